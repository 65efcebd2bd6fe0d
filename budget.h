#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "str.h"

/**
 * DOC: retry budget
 *
 * Hedges and retries are limited for each service over all nodes together. Each
 * node keeps to its own part: a ratio of its own first attempts at the service,
 * plus its share of the extra retries, by default one over the number of nodes.
 * The parts add up to less than the limit, so it holds without coordination.
 */

struct budget;

/**
 * struct budget_rules - limit of hedges and retries over all nodes
 * @ratio: hedges and retries allowed per first attempt
 * @extra: hedges and retries allowed in addition, in each window
 * @window_us: length of the sliding window that the limit applies to
 */
struct budget_rules {
	double ratio;
	int extra;
	int64_t window_us;
};

struct budget *budget_create(apr_pool_t *parent, struct budget_rules rules);
void budget_destroy(struct budget *budget);
void budget_set_rules(struct budget *budget, struct budget_rules rules);
/** budget_set_nodes() - set how many nodes share the limit, at least 1. */
void budget_set_nodes(struct budget *budget, int nodes);
/** budget_count_first_attempt() - count a first attempt at @service. */
void budget_count_first_attempt(struct budget *budget, uint64_t service,
				int64_t now);
/**
 * budget_take_retry() - take one hedge or retry from the budget of @service.
 * @share: this node's share of the extra retries, 0 for an equal share
 *
 * Return: true if it is allowed, and then counted.
 */
bool budget_take_retry(struct budget *budget, uint64_t service, double share,
		       int64_t now);
/**
 * budget_retries_left() - number of hedges and retries that are allowed now.
 */
int budget_retries_left(struct budget *budget, uint64_t service, double share,
			int64_t now);
