#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "error.h"
#include "str.h"

/**
 * DOC: mechanisms of the tier, by name
 *
 * Each mechanism can be disabled when a node starts: to measure its effect in a
 * deployment, and for tests that must fail without it.
 */

enum mechanism {
	MECHANISM_HEDGES,
	MECHANISM_SOFT_DEADLINE,
	MECHANISM_BATCHES,
	MECHANISM_MERGING_NODES,
	MECHANISM_BUSY_WAIT,
	MECHANISM_FAR_COST,
	MECHANISM_FAULT_COST,
	MECHANISM_OVERDUE_COST,
	MECHANISM_SLOWNESS,
	MECHANISM_TARGET_REST,
	MECHANISM_RETRY_REJECTED,
	MECHANISM_LATE_ANSWERS,
	MECHANISM_LINE,
	MECHANISM_SLOW_BOUND,
	MECHANISM_SHARED_CONNS,
	MECHANISM_MERGER_BUDGET,
	MECHANISM_RETURN_SPREAD,
	MECHANISM_COLD_BOUND,
	MECHANISM_QUICK_START,
	MECHANISM_POISON,
	MECHANISM_COUNT,
};

/**
 * struct mechanism_info - a mechanism
 * @name: name by which it is disabled
 * @description: what it does, for the help text
 */
struct mechanism_info {
	const char *name;
	const char *description;
};

const struct mechanism_info *mechanism_info(enum mechanism mechanism);
/**
 * mechanism_disable() - add the mechanism @name to the bit set @without.
 *
 * Return: 0, or ERR_USAGE if there is no such mechanism.
 */
int mechanism_disable(struct str name, uint32_t *without, struct error *err);

static inline bool mechanism_enabled(uint32_t without, enum mechanism mechanism)
{
	return !(without & 1U << mechanism);
}
