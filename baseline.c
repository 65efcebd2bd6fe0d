#include "baseline.h"

#include "xmalloc.h"

enum {
	/* The first reply may take no time, and a value of 0 could not grow. */
	BASELINE_MIN_US = 100,
	/*
	 * Routes and their names come and go with configurations. Above this
	 * number new kinds share one entry, so that the table does not grow for
	 * the lifetime of the process.
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
 * Each reply moves the median one step up or down, regardless of its own value.
 * A mean would follow the few replies that a pause or a slow target delays.
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
