#include "latency.h"

enum {
	OCTAVE_BITS = 3,
	BUCKETS_PER_OCTAVE = 1 << OCTAVE_BITS,
	SAMPLES_MIN = 64,
};

static int bucket_of(int64_t us)
{
	uint64_t value =
		us < BUCKETS_PER_OCTAVE ? BUCKETS_PER_OCTAVE : (uint64_t)us;
	int octave = 63 - __builtin_clzll(value);
	int part = (int)(value >> (octave - OCTAVE_BITS)) &
		   (BUCKETS_PER_OCTAVE - 1);
	int bucket = (octave - OCTAVE_BITS) * BUCKETS_PER_OCTAVE + part;

	return bucket < LATENCY_BUCKETS ? bucket : LATENCY_BUCKETS - 1;
}

static int64_t upper_edge(int bucket)
{
	int octave = bucket / BUCKETS_PER_OCTAVE + OCTAVE_BITS;
	int part = bucket % BUCKETS_PER_OCTAVE;

	return (int64_t)(BUCKETS_PER_OCTAVE + part + 1)
	       << (octave - OCTAVE_BITS);
}

void latency_add(struct latency *latency, int64_t us)
{
	latency->buckets[bucket_of(us)]++;
	if (++latency->total < LATENCY_WINDOW)
		return;
	latency->total = 0;
	for (int i = 0; i < LATENCY_BUCKETS; i++) {
		latency->buckets[i] /= 2;
		latency->total += latency->buckets[i];
	}
}

int64_t latency_quantile(const struct latency *latency, double q)
{
	uint32_t below = (uint32_t)(q * latency->total);
	uint32_t seen = 0;

	if (latency->total < SAMPLES_MIN)
		return 0;
	for (int i = 0; i < LATENCY_BUCKETS; i++) {
		seen += latency->buckets[i];
		if (seen > below)
			return upper_edge(i);
	}
	return upper_edge(LATENCY_BUCKETS - 1);
}
