#include "front_poison.h"

#include "poison_sync.h"
#include "replica.h"

/* Other nodes. */

static void send_news(void *ctx, struct str addr, const struct msg *msg)
{
	node_send(ctx, addr, 0, msg);
}

enum {
	/* More nodes are told by some that pass it on. */
	DIRECT = 32,
	FANOUT = 8,
};

/* From a place that is drawn on, each at most once. */
static void spread_news(void *ctx, const struct msg *msg, bool near)
{
	struct node *node = ctx;
	size_t others = node->member->count - 1;
	size_t first = others ? rng_below(&node->rng, others) : 0;
	size_t most = others > DIRECT ? FANOUT : others;
	struct msg copy = *msg;

	/* Nodes know no failure domains here: all are told alike. */
	(void)near;
	copy.ran = others > DIRECT;
	for (size_t i = 0; i < most; i++)
		send_news(node,
			  node->member->vms[1 + (first + i) % others]->addr,
			  &copy);
}

/* The same process has answered since. */
static bool has_answered(const void *ctx, const struct poison_crash *crash)
{
	const struct node *node = ctx;
	const struct replica *replica = apr_hash_get(
		node->front->targets, &crash->key, sizeof(crash->key));

	return replica && replica->boot == (uint64_t)crash->born_ms &&
	       replica->boot_at > crash->at;
}

void front_poison_init(struct node *node)
{
	struct front *front = node->front;

	poison_init(&front->poison, front->pool,
		    (struct poison_targets){ has_answered, node });
	front->news = (struct poison_sync){
		.poison = &front->poison,
		.transport = { spread_news, send_news, node },
		.pool = front->pool,
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

void front_poison_heard(struct node *node, struct str from, uint64_t digest)
{
	if (node->front)
		poison_sync_on_digest(&node->front->news, from, digest,
				      node->now);
}

void front_poison_sweep(struct node *node)
{
	if (node->front)
		poison_sweep(&node->front->poison, true, node->now);
}

void front_suspects(struct node *node, struct str from, uint64_t incarnation,
		    const struct msg *msg)
{
	(void)incarnation;
	poison_sync_on_msg(&node->front->news, from, msg, true, node->now);
}

/* Questions. */

static enum poison_verdict verdict(const struct node *node,
				   const struct question *q)
{
	return poison_verdict(&node->front->poison, &q->print);
}

bool front_blocked(const struct node *node, const struct question *q)
{
	return verdict(node, q) == POISON_BLOCKED;
}

bool front_suspect(const struct node *node, const struct question *q)
{
	return verdict(node, q) != POISON_NONE;
}

static bool has_open(const struct question *q)
{
	for (size_t i = 0; i < q->nleafs; i++)
		for (uint32_t j = 0; j < q->leafs[i].nattempts; j++)
			if (q->leafs[i].attempts[j].open)
				return true;
	return false;
}

bool front_may_send(const struct node *node, const struct question *q)
{
	switch (verdict(node, q)) {
	case POISON_NONE:
		return true;
	case POISON_SUSPECT:
		return !has_open(q);
	case POISON_BLOCKED:
		break;
	}
	return false;
}

void front_target_broke(struct node *node, const struct question *q,
			const struct attempt *attempt, const struct msg *msg)
{
	struct front *front = node->front;
	struct poison_crash crash = { .key = attempt->target->key,
				      .born_ms = (int64_t)msg->hash,
				      .at = node->now };
	bool was_blocked = front_blocked(node, q);

	if (q->served)
		return;
	poison_crashed(&front->poison, &q->print, attempt->round, &crash);
	poison_sync_send(&front->news, node->now);
	if (!was_blocked && front_blocked(node, q))
		node_audit(node, "question", STR("suspect"), STR("blocked"),
			   "it crashes the targets that run it",
			   q->print.content[0]);
}

void front_target_served(struct node *node, struct question *q,
			 const struct attempt *attempt, const struct msg *msg)
{
	struct replica *replica = replica_get(node, attempt->target->key);

	q->served = true;
	replica->boot = msg->hash;
	replica->boot_at = node->now;
	poison_answered(&node->front->poison, &q->print, node->now);
	poison_sync_send(&node->front->news, node->now);
}

void front_unserved(struct node *node, const struct question *q)
{
	if (q->served)
		return;
	poison_unanswered(&node->front->poison, &q->print);
	poison_sync_send(&node->front->news, node->now);
}
