#include "rng.h"

#include <Random123/philox.h>

uint64_t rng_next(struct rng *rng)
{
	philox4x32_key_t key = { { (uint32_t)rng->seed,
				   (uint32_t)(rng->seed >> 32) } };
	philox4x32_ctr_t ctr = { { (uint32_t)rng->counter,
				   (uint32_t)(rng->counter >> 32), 0, 0 } };
	philox4x32_ctr_t out = philox4x32(ctr, key);

	rng->counter++;
	return (uint64_t)out.v[1] << 32 | out.v[0];
}

uint64_t rng_below(struct rng *rng, uint64_t bound)
{
	return rng_next(rng) % bound;
}
