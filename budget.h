#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "str.h"

/**
 * DOC: how many requests may be sent beyond the first
 *
 * Hedges and retries are bounded for each service over all nodes together. Each
 * node keeps within its own part: a share of the requests that it has itself
 * sent there, and of the extra ones by the number of nodes that send. The parts
 * add up to less than the whole, so the bound holds without any talk.
 */

struct budget;

/**
 * struct budget_rules - the bound over all nodes
 * @ratio: sends beyond the first, per first send
 * @extra: more of them that are free
 * @window_us: in any time of this length
 */
struct budget_rules {
	double ratio;
	int extra;
	int64_t window_us;
};

struct budget *budget_create(apr_pool_t *parent, struct budget_rules rules);
void budget_destroy(struct budget *budget);
void budget_rules(struct budget *budget, struct budget_rules rules);
/** budget_set_nodes() - how many nodes share the bound, at least 1. */
void budget_set_nodes(struct budget *budget, int nodes);
/** budget_count_first() - a first send to @service. */
void budget_count_first(struct budget *budget, uint64_t service, int64_t now);
/**
 * budget_take() - true, and counted, if one more send is allowed
 * @share: this node's part of the extra sends; 0 for that of all nodes alike
 */
bool budget_take(struct budget *budget, uint64_t service, double share,
		 int64_t now);
/** budget_left() - how many more sends would be allowed now. */
int budget_left(struct budget *budget, uint64_t service, double share,
		int64_t now);
