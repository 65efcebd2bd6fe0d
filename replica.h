#pragma once

#include "front.h"

/**
 * DOC: choice of replicas
 *
 * State of each target as measured by a front's own leaf requests, and the
 * choice of the replica for the next attempt.
 */

/**
 * struct replica - state of a target at this front
 * @latency_us: smoothed time from sending to reply
 * @outstanding: open leaf requests
 * @avoid_until: penalized until then, after a failure
 * @missing_version: snapshot that it is assumed to lack until @missing_until
 * @gate: its gate in the view with the number @epoch
 * @boot, @boot_seen_at: boot id of the last reply, and its time
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
/**
 * replica_usable() - whether @target is in service and may have the snapshot
 * @version: version of the snapshot
 */
bool replica_usable(struct node *node, const struct fleet_target *target,
		    uint64_t version);
/**
 * replica_choose() - replica for the next attempt, NULL if none
 * @untried_only: exclude replicas of earlier attempts
 */
struct fleet_target *replica_choose(struct node *node, const struct question *q,
				    const struct leaf *leaf, bool untried_only);
/** replica_remove_unlisted() - free the state of targets no longer listed. */
void replica_remove_unlisted(struct node *node);
void replica_record_reply(struct node *node, const struct attempt *attempt);
void replica_record_failure(struct node *node, const struct question *q,
			    const struct attempt *attempt, int status);
