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
 * struct usual - of one kind of request
 * @key: hash of the kind's name
 * @us: the median so far, microseconds
 * @samples: that it stands on, up to USUAL_SAMPLES_MAX
 */
struct usual {
	uint64_t key;
	double us;
	int samples;
};

enum {
	USUAL_SAMPLES_MAX = 32,
};

/**
 * usual_get() - that of the kind @key, made in @table when there is none yet
 * @guess_us: taken until replies tell
 */
struct usual *usual_get(apr_hash_t *table, uint64_t key, int64_t guess_us);
/** usual_add() - a reply took @us. */
void usual_add(struct usual *usual, int64_t us);
