#pragma once

#include <apr_hash.h>
#include <stdint.h>

/**
 * DOC: how long a reply usually takes
 *
 * A running median of the replies to one kind of request, whichever target they
 * come from. Work differs by kind more than by target, so what is known of a
 * target is how much slower it is than usual (struct live_target).
 */

/**
 * struct baseline - of one kind of request
 * @key: hash of the kind's name
 * @us: the median so far, microseconds
 * @samples: that it stands on, up to BASELINE_SAMPLES_MAX
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
 * baseline_get() - that of the kind @key, made in @table when there is none yet
 * @initial_us: taken until replies tell
 */
struct baseline *baseline_get(apr_hash_t *table, uint64_t key,
			      int64_t initial_us);
/** baseline_add() - a reply took @us. */
void baseline_add(struct baseline *baseline, int64_t us);
