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

/* A new gate keeps the limit and baseline of a warm target. */
static void apply_handover(struct node *node, struct target *target)
{
	const struct handover *handover = &target->handover;

	target->limit = handover->limit > target->slots ? target->slots
							: handover->limit;
	if (target->limit < TARGET_LIMIT_MIN)
		target->limit = TARGET_LIMIT_MIN;
	target->baseline_us = handover->baseline_us;
	target->boot = handover->boot;
	if (handover->step_interval_us >= STEP_INTERVAL_MIN_US)
		target->step_interval_us = handover->step_interval_us;
	target->limit_changed_at = node->now;
	target->start_after = 0;
}

/*
 * The previous gate may have requests in progress, and a cold target would get
 * the first one of this gate in addition. So while heartbeats of that node
 * arrive, the new gate waits for its handover, up to HANDOVER_WAIT_US.
 */
static bool previous_gate_alive(const struct node *node,
				const struct target *target)
{
	const struct vm *vm;

	if (node->opt.direct || target->owner == node->key)
		return false;
	if (target->owner) {
		vm = member_find(node, target->owner);
		return vm && member_reachable(node, vm);
	}
	/* This node has just joined: another node was the gate. */
	return member_usable_count(node) > 1;
}

static void await_handover(struct node *node, struct target *target)
{
	target->start_after = node->now + HANDOVER_WAIT_US;
	timer_add(&node->timers, target->start_after, TIMER_HANDOVER,
		  target->key);
}

void gate_on_handover_timer(struct node *node, uint64_t key)
{
	struct target *target =
		apr_hash_get(node->gate->targets, &key, sizeof(key));

	if (target && target->owned)
		gate_start_queued(node, target);
}

void gate_on_handover(struct node *node, struct str from, uint64_t incarnation,
		      const struct msg *msg)
{
	uint64_t key = msg->target;
	struct target *target =
		apr_hash_get(node->gate->targets, &key, sizeof(key));

	(void)from;
	(void)incarnation;
	if (!target || msg->amount < TARGET_LIMIT_MIN ||
	    msg->amount > target->slots || msg->service_us < 0)
		return;
	target->handover = (struct handover){
		.at = node->now,
		.limit = (int)msg->amount,
		.baseline_us = msg->service_us,
		.step_interval_us = msg->wait_us,
		.boot = msg->hash,
	};
	if (!target->owned || node->now >= target->start_after)
		return;
	apply_handover(node, target);
	gate_start_queued(node, target);
}

/* Two gates of one target show in the lines of two nodes at the same time. */
static void audit_gate(struct node *node, const struct target *target,
		       const char *to, const char *why)
{
	node_audit(node, "gate", target->name, str_of(to), why,
		   (uint64_t)target->limit);
}

static void gain_target(struct node *node, struct target *target)
{
	target->owned = true;
	target->down = false;
	target->draining = false;
	target->foreign_load = 0;
	target->boot = 0;
	target->unverified = false;
	target->failure_streak = 0;
	target->step_interval_us = STEP_INTERVAL_MIN_US;
	target->probe_interval_us = PROBE_INTERVAL_MIN_US;
	target->cold_starts = 0;
	target->baseline_us = 0;
	target->ramp_streak = 0;
	target->ramp_service_us = 0;
	/*
	 * While views differ, another gate may still send to the target, and
	 * the state of the target is unknown. One request at a time bounds
	 * the load that the overlap adds.
	 */
	target->limit =
		node->opt.off.no_ramp ? target->slots : TARGET_LIMIT_MIN;
	target->limit_changed_at = node->now;
	target->handover_due = false;
	target->start_after = 0;
	node->counters[CNT_GATES_GAINED]++;
	if (target->handover.at &&
	    node->now - target->handover.at < HANDOVER_FRESH_US)
		apply_handover(node, target);
	else if (previous_gate_alive(node, target))
		await_handover(node, target);
	audit_gate(node, target, "gained",
		   target->start_after ? "awaits a handover"
				       : "no handover to await");
}

static void lose_target(struct node *node, struct target *target)
{
	target->owned = false;
	target->handover_due = true;
	node->counters[CNT_GATES_LOST]++;
	audit_gate(node, target, "lost",
		   target->busy ? "requests in progress" : "idle");
	gate_refuse_queued(node, target, ERR_NOT_OWNER);
	gate_send_handover(node, target);
}

static void update_owner(struct node *node, struct target *target)
{
	struct vm *owner = NULL;

	if (target->listed)
		owner = member_owner(node, target->key, target->domain);

	bool is_owner = owner && (owner->key == node->key || node->opt.direct);

	if (is_owner && !target->owned)
		gain_target(node, target);
	else if (!is_owner && target->owned)
		lose_target(node, target);
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
		target->name = str_heap_dup(listed->name);
		apr_hash_set(gate->targets, &target->key, sizeof(target->key),
			     target);
	}
	return target;
}

static int slots_per_node(int slots, size_t nodes)
{
	int share = slots / (int)nodes;

	return share < 1 ? 1 : share;
}

static void update_listed_target(struct node *node,
				 const struct fleet_target *listed)
{
	struct target *target = target_get(node, listed);
	bool was_out = target->domain_out;

	if (!str_eq(target->addr, listed->addr)) {
		str_free(target->addr);
		target->addr = str_heap_dup(listed->addr);
		target->boot = 0;
		target->limit = TARGET_LIMIT_MIN;
	}
	str_free(target->domain);
	target->domain = str_heap_dup(listed->domain->name);
	target->slots = listed->slots;
	if (node->opt.direct)
		target->slots = slots_per_node(listed->slots,
					       member_usable_count(node));
	if (target->limit > target->slots)
		target->limit = target->slots;
	target->listed = true;
	target->listed_leaving = listed->leaving;
	target->domain_out = listed->domain->out;
	/* Targets of a returning domain have lost their caches and are cold. */
	if (was_out && !target->domain_out && target->owned)
		health_set_cold(node, target, "its failure domain returned");
}

static void for_each_target(struct node *node,
			    void (*fn)(struct node *node,
				       struct target *target))
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

static void mark_unlisted(struct node *node, struct target *target)
{
	(void)node;
	target->listed = false;
}

static void remove_unlisted(struct node *node, struct target *target)
{
	if (target->listed || target->jobs)
		return;
	apr_hash_set(node->gate->targets, &target->key, sizeof(target->key),
		     NULL);
	gate_target_free(target);
}

void gate_on_view_changed(struct node *node)
{
	for_each_target(node, mark_unlisted);
	for (size_t i = 0; node->fleet && i < node->fleet->ntargets; i++)
		update_listed_target(node, &node->fleet->targets[i]);
	for_each_target(node, update_owner);
	for_each_target(node, gate_start_queued);
	for_each_target(node, remove_unlisted);
}

/*
 * The others may have counted this node as lost during a pause, and one of them
 * has been the gate since, with a request in progress. In this node's own view
 * nothing has changed, so it waits for a handover as a new gate does.
 */
static void rejoin_target(struct node *node, struct target *target)
{
	if (!target->owned || node->opt.direct)
		return;
	target->unverified = true;
	if (member_usable_count(node) > 1)
		await_handover(node, target);
}

void gate_on_pause(struct node *node)
{
	for_each_target(node, rejoin_target);
}

void gate_resume(struct node *node)
{
	for_each_target(node, gate_start_queued);
}
