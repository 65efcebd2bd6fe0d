#include "baseline.h"

#include "xmalloc.h"

enum {
	/* A first reply may come at once; a time of 0 could not grow. */
	BASELINE_MIN_US = 100,
	/*
	 * Routes come and go with configurations, and their names with them.
	 * Beyond so many, new kinds share one entry, so that the table does not
	 * grow for as long as the process lives.
	 */
	KINDS_MAX = 1024,
};

struct baseline *baseline_get(apr_hash_t *table, uint64_t key,
			      int64_t initial_us)
{
	struct baseline *baseline = apr_hash_get(table, &key, sizeof(key));

	if (!baseline && apr_hash_count(table) >= KINDS_MAX) {
		key = 0;
		baseline = apr_hash_get(table, &key, sizeof(key));
	}
	if (baseline)
		return baseline;
	baseline = xcalloc(1, sizeof(*baseline));
	baseline->key = key;
	baseline->us = (double)initial_us;
	apr_hash_set(table, &baseline->key, sizeof(baseline->key), baseline);
	return baseline;
}

/*
 * Each reply moves the median by a step up or down, whatever its own size: a
 * mean would follow the few that a pause or a slow target makes long.
 */
void baseline_add(struct baseline *baseline, int64_t us)
{
	double step = 1 + 1.0 / (baseline->samples + 1);

	if (us < BASELINE_MIN_US)
		us = BASELINE_MIN_US;
	if (!baseline->samples)
		baseline->us = (double)us;
	else if ((double)us > baseline->us)
		baseline->us *= step;
	else
		baseline->us /= step;
	if (baseline->samples < BASELINE_SAMPLES_MAX)
		baseline->samples++;
}
