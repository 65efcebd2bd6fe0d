#include "replica.h"

#include <stdlib.h>

#include "gate.h"
#include "latency.h"
#include "xmalloc.h"

enum {
	AVOID_US = 200000,
	MISSING_VERSION_US = 2000000,
	EWMA_SHIFT = 3,
	INITIAL_LATENCY_US = 2000,
	SCORE_PENALTY = 16,
};

struct replica *replica_get(struct node *node, uint64_t key)
{
	struct front *front = node->front;
	struct replica *replica =
		apr_hash_get(front->replicas, &key, sizeof(key));

	if (!replica) {
		replica = xcalloc(1, sizeof(*replica));
		replica->key = key;
		replica->latency_us = INITIAL_LATENCY_US;
		replica->epoch = UINT64_MAX;
		apr_hash_set(front->replicas, &replica->key,
			     sizeof(replica->key), replica);
	}
	return replica;
}

struct vm *replica_gate(struct node *node, struct replica *replica,
			const struct fleet_target *target)
{
	if (node->opt.direct)
		return node->membership->vms[0];
	if (replica->epoch != node->membership->epoch) {
		replica->gate =
			member_owner(node, target->key, target->domain->name);
		replica->epoch = node->membership->epoch;
	}
	return replica->gate;
}

static bool has_version(struct node *node, const struct fleet_target *target,
			uint64_t version)
{
	const struct replica *replica = replica_get(node, target->key);

	return replica->missing_version != version ||
	       node->now >= replica->missing_until;
}

bool replica_usable(struct node *node, const struct fleet_target *target,
		    uint64_t version)
{
	return gate_target_in_service(node, target->key) &&
	       has_version(node, target, version);
}

/*
 * Returns whether an attempt of @leaf went to @target. Sets @same_domain if one
 * went to a target of its failure domain.
 */
static bool was_tried(const struct leaf *leaf,
		      const struct fleet_target *target, bool *same_domain)
{
	bool tried = false;

	*same_domain = false;
	for (uint32_t i = 0; i < leaf->nattempts; i++) {
		const struct fleet_target *other = leaf->attempts[i].target;

		if (other == target)
			tried = true;
		if (other->domain == target->domain)
			*same_domain = true;
	}
	return tried;
}

/*
 * Chooses the replica with the lowest expected latency. Penalties rank failed
 * replicas last, and those in a failure domain that was tried before: the cause
 * of a slow or lost attempt is likely shared within the domain.
 */
struct fleet_target *replica_choose(struct node *node, const struct question *q,
				    const struct leaf *leaf, bool untried_only)
{
	struct fleet_target *best = NULL;
	double best_score = 0;

	for (size_t i = 0; i < leaf->shard->nreplicas; i++) {
		struct fleet_target *target = leaf->shard->replicas[i];
		bool same_domain;
		bool tried = was_tried(leaf, target, &same_domain);

		if (!replica_usable(node, target, q->snapshot->version) ||
		    (untried_only && tried))
			continue;

		const struct replica *replica = replica_get(node, target->key);
		double score = (double)replica->latency_us *
			       (1 + replica->outstanding);

		if (tried)
			score *= (double)SCORE_PENALTY * SCORE_PENALTY;
		if (same_domain)
			score *= SCORE_PENALTY;
		if (node->now < replica->avoid_until)
			score *= SCORE_PENALTY;
		if (best && score >= best_score)
			continue;
		best = target;
		best_score = score;
	}
	return best;
}

/* Targets are replaced daily; their state must not accumulate. */
void replica_remove_unlisted(struct node *node)
{
	apr_hash_t *replicas = node->front->replicas;

	for (apr_hash_index_t *it = apr_hash_first(NULL, replicas); it;
	     it = apr_hash_next(it)) {
		void *value;

		apr_hash_this(it, NULL, NULL, &value);

		struct replica *replica = value;

		if (replica->outstanding || gate_has_target(node, replica->key))
			continue;
		apr_hash_set(replicas, &replica->key, sizeof(replica->key),
			     NULL);
		free(replica);
	}
}

void replica_record_reply(struct node *node, const struct attempt *attempt)
{
	struct replica *replica = replica_get(node, attempt->target->key);
	int64_t elapsed_us = node->now - attempt->sent_at;

	replica->latency_us += (elapsed_us - replica->latency_us) >> EWMA_SHIFT;
	if (replica->latency_us < 1)
		replica->latency_us = 1;
	latency_add(node->front->latency, elapsed_us);
}

void replica_record_failure(struct node *node, const struct question *q,
			    const struct attempt *attempt, int status)
{
	struct replica *replica = replica_get(node, attempt->target->key);

	if (status == ERR_WRONG_VERSION) {
		replica->missing_version = q->snapshot->version;
		replica->missing_until = node->now + MISSING_VERSION_US;
		node->counters[CNT_LEAF_WRONG_VERSION]++;
	} else if (status == ERR_NOT_OWNER || status == ERR_GATE_LOST) {
		replica->epoch = UINT64_MAX;
	} else {
		replica->avoid_until = node->now + AVOID_US;
	}
	if (status == ERR_MALFORMED)
		node->counters[CNT_LEAF_MALFORMED]++;
}
