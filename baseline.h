#pragma once

#include <apr_hash.h>
#include <stdint.h>

/**
 * DOC: baseline latency
 *
 * Running median of the latency of one kind of request over all targets. Work
 * differs more by kind of request than by target, so the slowness of a target
 * is recorded as a multiple of the baseline (struct live_target).
 */

/**
 * struct baseline - baseline latency of one kind of request
 * @key: hash of the name of the kind
 * @us: running median in microseconds
 * @samples: number of samples, up to BASELINE_SAMPLES_MAX
 */
struct baseline {
	uint64_t key;
	double us;
	int samples;
};

enum {
	BASELINE_SAMPLES_MAX = 32,
};

/**
 * baseline_get() - find or create the baseline of the kind @key in @table.
 * @initial_us: value until the first reply
 */
struct baseline *baseline_get(apr_hash_t *table, uint64_t key,
			      int64_t initial_us);
/** baseline_add() - add a reply that took @us. */
void baseline_add(struct baseline *baseline, int64_t us);
