#include "front_poison.h"

#include "poison_sync.h"
#include "replica.h"

/* Exchange of evidence. */

static void send_to_node(void *ctx, struct str addr, const struct msg *msg)
{
	node_send(ctx, addr, 0, msg);
}

enum {
	/* With more peers, only RELAY_FANOUT get the message and relay it. */
	BROADCAST_MAX = 32,
	RELAY_FANOUT = 8,
};

/* Sends to consecutive peers from a random start, to each at most once. */
static void send_to_nodes(void *ctx, const struct msg *msg, bool near)
{
	struct node *node = ctx;
	size_t others = node->membership->count - 1;
	size_t first = others ? rng_below(&node->rng, others) : 0;
	size_t send_count = others > BROADCAST_MAX ? RELAY_FANOUT : others;
	struct msg copy = *msg;

	/* Peers are selected from all failure domains. */
	(void)near;
	copy.ran = others > BROADCAST_MAX;
	for (size_t i = 0; i < send_count; i++)
		send_to_node(
			node,
			node->membership->vms[1 + (first + i) % others]->addr,
			&copy);
}

/* Returns whether the same process has replied since its connection broke. */
static bool replied_since_crash(const void *ctx,
				const struct poison_crash *crash)
{
	const struct node *node = ctx;
	const struct replica *replica = apr_hash_get(
		node->front->replicas, &crash->key, sizeof(crash->key));

	return replica && replica->boot == (uint64_t)crash->born_ms &&
	       replica->boot_seen_at > crash->at;
}

void front_poison_init(struct node *node)
{
	struct front *front = node->front;

	poison_init(&front->poison, front->pool,
		    (struct poison_targets){ replied_since_crash, node });
	front->poison_sync = (struct poison_sync){
		.poison = &front->poison,
		.transport = { send_to_nodes, send_to_node, node },
		.pool = front->pool,
		.started_at = node->now,
	};
}

void front_poison_destroy(struct node *node)
{
	poison_destroy(&node->front->poison);
}

uint64_t front_poison_digest(const struct node *node)
{
	return node->front ? poison_digest(&node->front->poison, node->now) : 0;
}

void front_poison_on_digest(struct node *node, struct str from, uint64_t digest)
{
	if (node->front)
		poison_sync_on_digest(&node->front->poison_sync, from, digest,
				      node->now);
}

void front_poison_on_start(struct node *node, struct str from)
{
	if (node->front)
		poison_sync_on_start(&node->front->poison_sync, from,
				     node->now);
}

void front_poison_sweep(struct node *node)
{
	if (node->front)
		poison_sweep(&node->front->poison, true, node->now);
}

void front_poison_on_msg(struct node *node, struct str from,
			 uint64_t incarnation, const struct msg *msg)
{
	(void)incarnation;
	poison_sync_on_msg(&node->front->poison_sync, from, msg, true,
			   node->now);
}

/* Questions. */

static enum poison_verdict question_verdict(const struct node *node,
					    const struct question *q)
{
	return poison_verdict(&node->front->poison, &q->fingerprint);
}

bool front_poison_is_blocked(const struct node *node, const struct question *q)
{
	return question_verdict(node, q) == POISON_BLOCKED;
}

bool front_poison_is_suspect(const struct node *node, const struct question *q)
{
	return question_verdict(node, q) != POISON_NONE;
}

static bool any_attempt_open(const struct question *q)
{
	for (size_t i = 0; i < q->nleaves; i++)
		for (uint32_t j = 0; j < q->leaves[i].nattempts; j++)
			if (q->leaves[i].attempts[j].open)
				return true;
	return false;
}

bool front_poison_may_send(const struct node *node, const struct question *q)
{
	switch (question_verdict(node, q)) {
	case POISON_NONE:
		return true;
	case POISON_SUSPECT:
		return !any_attempt_open(q);
	case POISON_BLOCKED:
		break;
	}
	return false;
}

void front_poison_on_connection_broke(struct node *node,
				      const struct question *q,
				      const struct attempt *attempt,
				      const struct msg *msg)
{
	struct front *front = node->front;
	struct poison_crash crash = { .key = attempt->target->key,
				      .born_ms = (int64_t)msg->hash,
				      .at = node->now };
	bool was_blocked = front_poison_is_blocked(node, q);

	if (q->served)
		return;
	poison_on_crash(&front->poison, &q->fingerprint, attempt->round,
			&crash);
	poison_sync_send(&front->poison_sync, node->now);
	if (!was_blocked && front_poison_is_blocked(node, q))
		node_audit(node, "question", STR("suspect"), STR("blocked"),
			   "it crashes the targets that run it",
			   q->fingerprint.content[0]);
}

void front_poison_on_target_reply(struct node *node, struct question *q,
				  const struct attempt *attempt,
				  const struct msg *msg)
{
	struct replica *replica = replica_get(node, attempt->target->key);

	q->served = true;
	replica->boot = msg->hash;
	replica->boot_seen_at = node->now;
	poison_on_answer(&node->front->poison, &q->fingerprint, node->now);
	poison_sync_send(&node->front->poison_sync, node->now);
}

void front_poison_on_question_end(struct node *node, const struct question *q)
{
	if (q->served)
		return;
	poison_on_unanswered(&node->front->poison, &q->fingerprint);
	poison_sync_send(&node->front->poison_sync, node->now);
}
