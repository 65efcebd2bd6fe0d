#pragma once

#include <stdint.h>

enum {
	LATENCY_BUCKETS = 192,
	LATENCY_WINDOW = 4096
};

/**
 * struct latency - histogram of recent latencies, microseconds
 *
 * Eight buckets per octave. Counts are halved every LATENCY_WINDOW values, so
 * the histogram follows a change within a few thousand leaf requests.
 */
struct latency {
	uint32_t buckets[LATENCY_BUCKETS];
	uint32_t total;
};

void latency_add(struct latency *latency, int64_t us);
/** latency_quantile() - upper edge of the bucket at @q, 0 if too few values. */
int64_t latency_quantile(const struct latency *latency, double q);
