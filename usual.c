#include "usual.h"

#include "xmalloc.h"

enum {
	/* A first reply may come at once; a time of 0 could not grow. */
	LEAST_US = 100,
	/*
	 * Routes come and go with configurations, and their names with them.
	 * Beyond so many, new kinds share one entry, so that the table does not
	 * grow for as long as the process lives.
	 */
	KINDS_MAX = 1024,
};

struct usual *usual_get(apr_hash_t *table, uint64_t key, int64_t guess_us)
{
	struct usual *usual = apr_hash_get(table, &key, sizeof(key));

	if (!usual && apr_hash_count(table) >= KINDS_MAX) {
		key = 0;
		usual = apr_hash_get(table, &key, sizeof(key));
	}
	if (usual)
		return usual;
	usual = xcalloc(1, sizeof(*usual));
	usual->key = key;
	usual->us = (double)guess_us;
	apr_hash_set(table, &usual->key, sizeof(usual->key), usual);
	return usual;
}

/*
 * Each reply moves the median by a step up or down, whatever its own size: a
 * mean would follow the few that a pause or a slow target makes long.
 */
void usual_add(struct usual *usual, int64_t us)
{
	double step = 1 + 1.0 / (usual->samples + 1);

	if (us < LEAST_US)
		us = LEAST_US;
	if (!usual->samples)
		usual->us = (double)us;
	else if ((double)us > usual->us)
		usual->us *= step;
	else
		usual->us /= step;
	if (usual->samples < USUAL_SAMPLES_MAX)
		usual->samples++;
}
