#pragma once

#include "flow.h"

/**
 * DOC: the tier's reducer
 *
 * A node that serves published targets is its state and one function,
 * tier_reduce(). It puts the modules together: what is published (reader,
 * directory), targets (roster), bounds (budget), requests (call, merge,
 * forward), other nodes (gossip).
 */

struct tier;

/**
 * struct tier_options - what a node is created with
 * @settings: of the VM; copied
 * @dialect: how the outside speaks
 * @incarnation: differs for every process, also on the same address
 * @seed: for the random numbers
 * @without: set of mechanisms that are off (mechanism.h)
 */
struct tier_options {
	const struct vm_settings *settings;
	const struct dialect *dialect;
	uint64_t incarnation;
	uint64_t seed;
	uint32_t without;
};

struct tier *tier_create(const struct tier_options *opt, int64_t now,
			 struct flow_effects *fx);
void tier_destroy(struct tier *tier);
/** tier_reduce() - take one event; effects are appended. */
void tier_reduce(struct tier *tier, const struct flow_event *event,
		 struct flow_effects *fx);
/** tier_reap() - all effects have been carried out. */
void tier_reap(struct tier *tier);
/** tier_wake_at() - when the next FLOW_TICK is due at the latest. */
int64_t tier_wake_at(const struct tier *tier);
/** tier_metrics() - counters and histograms, one "name value" a line. */
void tier_metrics(const struct tier *tier, struct buf *out);
