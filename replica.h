#pragma once

#include "front.h"

/**
 * DOC: replicas as a front sees them
 *
 * What a front learns of each target from its own leaf requests, and which
 * replica of a shard it asks next.
 */

/**
 * struct replica - what this front knows of a target from its own requests
 * @latency_us: smoothed time from sending to reply
 * @outstanding: leaf requests under way
 * @avoid_until: after a failure
 * @missing_version, @missing_until: snapshot that it did not have
 * @gate, @epoch: its gate in the current view
 * @boot, @boot_seen_at: id of the process that answered last, and when
 */
struct replica {
	uint64_t key;
	int64_t latency_us;
	int outstanding;
	int64_t avoid_until;
	uint64_t missing_version;
	int64_t missing_until;
	struct vm *gate;
	uint64_t epoch;
	uint64_t boot;
	int64_t boot_seen_at;
};

struct replica *replica_get(struct node *node, uint64_t key);
/** replica_gate() - gate of @target in the current view, NULL if none. */
struct vm *replica_gate(struct node *node, struct replica *replica,
			const struct fleet_target *target);
/** replica_usable() - in service, and has the snapshot for all we know. */
bool replica_usable(struct node *node, const struct fleet_target *target,
		    uint64_t version);
/** replica_choose() - replica to ask next; @untried_only: one that was not. */
struct fleet_target *replica_choose(struct node *node, const struct question *q,
				    const struct leaf *leaf, bool untried_only);
/** replica_remove_unlisted() - drop what is known of targets that are gone. */
void replica_remove_unlisted(struct node *node);
void replica_record_reply(struct node *node, const struct attempt *attempt);
void replica_record_failure(struct node *node, const struct question *q,
			    const struct attempt *attempt, int status);
