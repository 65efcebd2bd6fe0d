#pragma once

#include <stddef.h>
#include <stdint.h>

/**
 * DOC: count of the repeats that targets received
 *
 * Counts arrivals beyond the first of each call at a shard over all nodes, as
 * the targets see them, and compares each sliding window with the limit.
 */

/** struct sim_repeat - a further arrival of a call at a shard */
struct sim_repeat {
	int shard;
	int64_t at;
};

/** struct sim_budget - all repeats in the order of their arrival */
struct sim_budget {
	struct sim_repeat *list;
	size_t count;
	size_t cap;
};

/** struct sim_window - repeats at one shard within the window, and the limit */
struct sim_window {
	int repeats;
	double allowed;
};

struct sim;

void sim_budget_add(struct sim_budget *budget, int shard, int64_t at);
/** sim_budget_worst() - the fullest window of any shard, relative to its limit
 */
struct sim_window sim_budget_worst(const struct sim *sim);
