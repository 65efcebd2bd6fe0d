#pragma once

#include <stdint.h>

/**
 * struct rng - counter-based random numbers (Random123, Philox 4x32)
 *
 * The same seed and the same number of draws give the same values, so that
 * replaying an event log gives the same effects.
 */
struct rng {
	uint64_t seed;
	uint64_t counter;
};

uint64_t rng_next(struct rng *rng);
/** rng_below() - 0 to @bound - 1; @bound must not be 0. */
uint64_t rng_below(struct rng *rng, uint64_t bound);
