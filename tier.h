#pragma once

#include "flow.h"

/**
 * DOC: the tier's reducer
 *
 * A node that serves published targets consists of its state and one function,
 * tier_reduce(), which combines the modules: published data (reader,
 * directory), targets (balancer), retry budget (budget), requests (call,
 * merge, forward) and membership (gossip).
 */

struct directory;
struct tier;

/**
 * struct tier_options - options of a new node
 * @settings: settings of the VM; copied
 * @dialect: encoding of the external interfaces
 * @incarnation: unique for every process, also on the same address
 * @seed: seed of the random number generator
 * @wall_ms: time of day, Unix milliseconds
 * @without: bit set of disabled mechanisms (mechanism.h)
 */
struct tier_options {
	const struct vm_settings *settings;
	const struct dialect *dialect;
	uint64_t incarnation;
	uint64_t seed;
	int64_t wall_ms;
	uint32_t without;
};

struct tier *tier_create(const struct tier_options *options, int64_t now,
			 struct flow_effects *fx);
void tier_destroy(struct tier *tier);
/** tier_reduce() - process one event and append its effects to @fx. */
void tier_reduce(struct tier *tier, const struct flow_event *event,
		 struct flow_effects *fx);
/** tier_reap() - free ended calls; all effects must have been carried out. */
void tier_reap(struct tier *tier);
/** tier_wake_at() - latest time at which the next FLOW_TICK is due. */
int64_t tier_wake_at(const struct tier *tier);
/** tier_directory() - what the node holds of the store, to be checked. */
const struct directory *tier_directory(const struct tier *tier);
/** tier_metrics() - append counters, gauges and histograms to @out as text. */
void tier_metrics(const struct tier *tier, struct buf *out);
