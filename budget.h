#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "str.h"

/**
 * DOC: retry budget
 *
 * Hedges and retries are limited for each service over all nodes together. Each
 * node keeps to its own part: a ratio of its own first attempts at the service,
 * plus its share of the extra retries, which accrues over a window. The parts
 * add up to less than the limit, so it holds without coordination, also while
 * processes restart and shares move between nodes.
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

/**
 * budget_create() - create a budget without any attempts.
 * @held_since: start of the process, or long ago if no other one used its share
 *              before
 */
struct budget *budget_create(apr_pool_t *parent, struct budget_rules rules,
			     int64_t held_since);
void budget_destroy(struct budget *budget);
void budget_set_rules(struct budget *budget, struct budget_rules rules);
/**
 * budget_count_first_attempt() - count a first attempt at @service.
 * @share: this node's share of the extra retries, 0 to 1
 */
void budget_count_first_attempt(struct budget *budget, uint64_t service,
				double share, int64_t now);
/**
 * budget_take_retry() - take one hedge or retry from the budget of @service.
 * @share: this node's share of the extra retries, 0 to 1
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
