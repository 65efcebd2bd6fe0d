#include "gate.h"
#include <stddef.h>
#include <stdlib.h>
#include "health.h"
#include "xmalloc.h"

enum {
	HANDOVER_WAIT_US = 250000,
	HANDOVER_FRESH_US = 1000000,
};

/* Ownership. */

/* What is known of a warm target stays known when its gate moves. */
static void take_over(struct node *node, struct target *target)
{
	const struct handover *handed = &target->handed;

	target->limit =
		handed->limit > target->slots ? target->slots : handed->limit;
	if (target->limit < FLOOR)
		target->limit = FLOOR;
	target->baseline_us = handed->baseline_us;
	target->boot = handed->boot;
	if (handed->hold_us >= HOLD_MIN_US)
		target->hold_us = handed->hold_us;
	target->step_at = node->now;
	target->wait_until = 0;
}

/*
 * The gate before may have requests in progress. A cold target would get this
 * gate's first one beside them. So the next gate waits for its word, for a
 * while, if that node is still heard.
 */
static bool gate_before(const struct node *node, const struct target *target)
{
	const struct vm *vm;

	if (node->opt.direct || target->owner == node->key)
		return false;
	if (target->owner) {
		vm = member_find(node, target->owner);
		return vm && member_reachable(node, vm);
	}
	/* This node has just joined: somebody else was the gate. */
	return member_count(node) > 1;
}

static void await_handover(struct node *node, struct target *target)
{
	target->wait_until = node->now + HANDOVER_WAIT_US;
	timer_add(&node->timers, target->wait_until, TIMER_HANDOVER,
		  target->key);
}

void gate_handover_timer(struct node *node, uint64_t key)
{
	struct target *target =
		apr_hash_get(node->gate->targets, &key, sizeof(key));

	if (target && target->owned)
		gate_pump(node, target);
}

void gate_handover(struct node *node, struct str from, uint64_t incarnation,
		   const struct msg *msg)
{
	uint64_t key = msg->target;
	struct target *target =
		apr_hash_get(node->gate->targets, &key, sizeof(key));

	(void)from;
	(void)incarnation;
	if (!target || msg->amount < FLOOR || msg->amount > target->slots ||
	    msg->service_us < 0)
		return;
	target->handed = (struct handover){
		.at = node->now,
		.limit = (int)msg->amount,
		.baseline_us = msg->service_us,
		.hold_us = msg->wait_us,
		.boot = msg->hash,
	};
	if (!target->owned || node->now >= target->wait_until)
		return;
	take_over(node, target);
	gate_pump(node, target);
}

static void gain(struct node *node, struct target *target)
{
	target->owned = true;
	target->down = false;
	target->draining = false;
	target->foreign = 0;
	target->boot = 0;
	target->unverified = false;
	target->broken = 0;
	target->hold_us = HOLD_MIN_US;
	target->probe_us = PROBE_MIN_US;
	target->cold = 0;
	target->baseline_us = 0;
	target->streak = 0;
	target->ramp_us = 0;
	/*
	 * Another gate may still send to the target for as long as the views
	 * differ, and nothing is known of its state. One request at a time
	 * bounds what the overlap can add to the other gate's work.
	 */
	target->limit = node->opt.off.no_ramp ? target->slots : FLOOR;
	target->step_at = node->now;
	target->owes = false;
	target->wait_until = 0;
	node->counters[CNT_GATES_GAINED]++;
	if (target->handed.at &&
	    node->now - target->handed.at < HANDOVER_FRESH_US)
		take_over(node, target);
	else if (gate_before(node, target))
		await_handover(node, target);
}

static void lose(struct node *node, struct target *target)
{
	target->owned = false;
	target->owes = true;
	node->counters[CNT_GATES_LOST]++;
	gate_refuse_all(node, target, ERR_NOT_OWNER);
	gate_hand_over(node, target);
}

static void review_owner(struct node *node, struct target *target)
{
	struct vm *owner = NULL;

	if (target->listed)
		owner = member_owner(node, target->key, target->domain);

	bool own = owner && (owner->key == node->key || node->opt.direct);

	if (own && !target->owned)
		gain(node, target);
	else if (!own && target->owned)
		lose(node, target);
	target->owner = owner ? owner->key : 0;
}

static struct target *target_get(struct node *node,
				 const struct fleet_target *listed)
{
	struct gate *gate = node->gate;
	struct target *target =
		apr_hash_get(gate->targets, &listed->key, sizeof(listed->key));

	if (!target) {
		target = xcalloc(1, sizeof(*target));
		target->key = listed->key;
		target->name = str_keep(listed->name);
		apr_hash_set(gate->targets, &target->key, sizeof(target->key),
			     target);
	}
	return target;
}

static int share_of(int slots, size_t nodes)
{
	int share = slots / (int)nodes;

	return share < 1 ? 1 : share;
}

static void list_target(struct node *node, const struct fleet_target *listed)
{
	struct target *target = target_get(node, listed);
	bool was_out = target->domain_out;

	if (!str_eq(target->addr, listed->addr)) {
		str_free(target->addr);
		target->addr = str_keep(listed->addr);
		target->boot = 0;
		target->limit = FLOOR;
	}
	str_free(target->domain);
	target->domain = str_keep(listed->domain->name);
	target->slots = listed->slots;
	if (node->opt.direct)
		target->slots = share_of(listed->slots, member_count(node));
	if (target->limit > target->slots)
		target->limit = target->slots;
	target->listed = true;
	target->listed_leaving = listed->leaving;
	target->domain_out = listed->domain->out;
	/* A domain that returns has lost its caches: all of it is cold. */
	if (was_out && !target->domain_out && target->owned)
		health_cold(node, target, "its failure domain returned");
}

static void each_target(struct node *node,
			void (*fn)(struct node *node, struct target *target))
{
	apr_pool_t *pool;
	apr_hash_index_t *it;

	apr_pool_create(&pool, node->gate->pool);
	for (it = apr_hash_first(pool, node->gate->targets); it;
	     it = apr_hash_next(it)) {
		void *value;

		apr_hash_this(it, NULL, NULL, &value);
		fn(node, value);
	}
	apr_pool_destroy(pool);
}

static void unlist(struct node *node, struct target *target)
{
	(void)node;
	target->listed = false;
}

static void drop_unlisted(struct node *node, struct target *target)
{
	if (target->listed || target->jobs)
		return;
	apr_hash_set(node->gate->targets, &target->key, sizeof(target->key),
		     NULL);
	gate_target_free(target);
}

void gate_view_changed(struct node *node)
{
	each_target(node, unlist);
	for (size_t i = 0; node->fleet && i < node->fleet->ntargets; i++)
		list_target(node, &node->fleet->targets[i]);
	each_target(node, review_owner);
	each_target(node, gate_pump);
	each_target(node, drop_unlisted);
}

void gate_resume(struct node *node)
{
	each_target(node, gate_pump);
}
