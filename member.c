#include "member.h"

#include <stdlib.h>

#include <xxhash.h>

#include "doc_sync.h"
#include "front.h"
#include "front_poison.h"
#include "gate.h"
#include "once.h"
#include "xmalloc.h"

enum {
	VIEW_CONFIRM_TIMEOUT_US = 1000000,
	VM_RETENTION_US = 30000000,
};

static struct vm *vm_add(struct node *node, struct str addr)
{
	struct membership *membership = node->membership;
	struct vm *vm = xcalloc(1, sizeof(*vm));

	vm->addr = str_heap_dup(addr);
	vm->key = str_hash(addr);
	vm->heartbeat_at = INT64_MIN;
	vm->last_seen_at = node->now;
	if (membership->count == membership->cap) {
		membership->cap = membership->cap ? membership->cap * 2 : 16;
		membership->vms =
			xrealloc(membership->vms,
				 membership->cap * sizeof(*membership->vms));
	}
	membership->vms[membership->count++] = vm;
	apr_hash_set(membership->by_key, &vm->key, sizeof(vm->key), vm);
	return vm;
}

static void vm_free(struct vm *vm)
{
	str_free(vm->domain);
	str_free(vm->addr);
	free(vm);
}

static void vm_set_domain(struct vm *vm, struct str domain)
{
	if (str_eq(vm->domain, domain))
		return;

	str_free(vm->domain);
	vm->domain = str_heap_dup(domain);
}

struct vm *member_find(const struct node *node, uint64_t key)
{
	return apr_hash_get(node->membership->by_key, &key, sizeof(key));
}

static struct vm *vm_get(struct node *node, struct str addr)
{
	struct vm *vm = member_find(node, str_hash(addr));

	return vm ? vm : vm_add(node, addr);
}

bool member_reachable(const struct node *node, const struct vm *vm)
{
	return vm == node->membership->vms[0] ||
	       (vm->heartbeat_at != INT64_MIN &&
		node->now - vm->heartbeat_at <= HEARTBEAT_TIMEOUT_US);
}

bool member_usable(const struct node *node, const struct vm *vm)
{
	return member_reachable(node, vm) && vm->state == VM_LIVE &&
	       !vm->listed_leaving && !vm->domain_out;
}

static uint64_t rendezvous_weight(uint64_t key, uint64_t vm)
{
	uint64_t pair[2] = { key, vm };

	return XXH64(pair, sizeof(pair), 0);
}

struct vm *member_owner(const struct node *node, uint64_t key,
			struct str domain)
{
	struct vm *best = NULL;
	uint64_t best_weight = 0;
	bool best_same_domain = false;

	for (size_t i = 0; i < node->membership->count; i++) {
		struct vm *vm = node->membership->vms[i];
		bool same_domain = domain.len && str_eq(vm->domain, domain);

		if (!member_usable(node, vm) ||
		    (best_same_domain && !same_domain))
			continue;

		uint64_t weight = rendezvous_weight(key, vm->key);

		if (best && same_domain == best_same_domain &&
		    weight <= best_weight)
			continue;
		best = vm;
		best_weight = weight;
		best_same_domain = same_domain;
	}
	return best;
}

size_t member_rank(const struct node *node, uint64_t key)
{
	uint64_t own = rendezvous_weight(key, node->key);
	size_t rank = 0;

	for (size_t i = 1; i < node->membership->count; i++)
		if (member_usable(node, node->membership->vms[i]) &&
		    rendezvous_weight(key, node->membership->vms[i]->key) > own)
			rank++;
	return rank;
}

size_t member_usable_count(const struct node *node)
{
	size_t count = 0;

	for (size_t i = 0; i < node->membership->count; i++)
		if (member_usable(node, node->membership->vms[i]))
			count++;
	return count ? count : 1;
}

void member_init(struct node *node)
{
	struct membership *membership = xcalloc(1, sizeof(*membership));

	node->membership = membership;
	apr_pool_create(&membership->pool, node->pool);
	membership->by_key = hash_make(membership->pool);
	membership->view_confirmed = true;
	membership->platform_read_at = INT64_MIN;
	membership->paused_at = INT64_MIN;

	struct vm *self = vm_add(node, node->opt.addr);

	self->incarnation = node->opt.incarnation;
	self->state = VM_STARTING;
	vm_set_domain(self, node->opt.domain);
	for (size_t i = 0; i < node->opt.npeers; i++)
		vm_get(node, node->opt.peers[i]);
	timer_add(&node->timers, node->now, TIMER_HEARTBEAT, 0);
}

void member_destroy(struct node *node)
{
	for (size_t i = 0; i < node->membership->count; i++)
		vm_free(node->membership->vms[i]);
	free(node->membership->vms);
	apr_pool_destroy(node->membership->pool);
	free(node->membership);
}

static int64_t platform_age(const struct node *node)
{
	if (node->membership->platform_read_at == INT64_MIN)
		return INT64_MAX / 2;
	return node->now - node->membership->platform_read_at;
}

static struct msg heartbeat_msg(const struct node *node)
{
	struct msg msg = {
		.kind = MSG_HEARTBEAT,
		.state = node->membership->vms[0]->state,
		.fresh_us = platform_age(node),
		.name = node->opt.domain,
		.key = front_poison_digest(node),
	};

	if (node->lists) {
		msg.version = node->lists->version;
		msg.hash = node->lists->hash;
	}
	if (node->fleet) {
		msg.version2 = node->fleet->version;
		msg.hash2 = node->fleet->hash;
	}
	return msg;
}

static void send_heartbeats(struct node *node)
{
	struct msg msg = heartbeat_msg(node);

	for (size_t i = 1; i < node->membership->count; i++)
		node_send(node, node->membership->vms[i]->addr, 0, &msg);
	node->counters[CNT_HEARTBEATS] += node->membership->count - 1;
}

static bool is_configured_peer(const struct node *node, const struct vm *vm)
{
	for (size_t i = 0; i < node->opt.npeers; i++)
		if (str_eq(node->opt.peers[i], vm->addr))
			return true;
	return false;
}

/* Removes VMs that are neither listed, nor in the settings, nor reachable. */
static void remove_stale_vms(struct node *node)
{
	struct membership *membership = node->membership;

	for (size_t i = membership->count; i-- > 1;) {
		struct vm *vm = membership->vms[i];

		if (vm->listed || is_configured_peer(node, vm) ||
		    member_reachable(node, vm) ||
		    node->now - vm->last_seen_at < VM_RETENTION_US)
			continue;
		apr_hash_set(membership->by_key, &vm->key, sizeof(vm->key),
			     NULL);
		vm_free(vm);
		membership->vms[i] = membership->vms[--membership->count];
	}
}

static void vm_mark_lost(struct node *node, struct vm *vm)
{
	uint64_t incarnation = vm->incarnation;

	if (vm->heartbeat_at == INT64_MIN)
		return;
	vm->heartbeat_at = INT64_MIN;
	node->membership->epoch++;
	vm->departed = vm->state == VM_LEAVING;
	node_audit(node, "vm", vm->addr, STR("lost"),
		   vm->departed ? "left" : "no heartbeat", incarnation);
	front_on_gate_lost(node, vm->key, incarnation);
	once_on_peer_lost(node, vm->key, incarnation);
	gate_on_origin_lost(node, vm->key, incarnation);
}

static void expire_vms(struct node *node)
{
	bool changed = false;

	for (size_t i = 1; i < node->membership->count; i++) {
		struct vm *vm = node->membership->vms[i];

		if (vm->heartbeat_at == INT64_MIN || member_reachable(node, vm))
			continue;
		vm_mark_lost(node, vm);
		changed = true;
	}
	remove_stale_vms(node);
	if (changed)
		node_vms_changed(node);
}

/*
 * A node that reaches neither the platform nor half of the VMs may have missed
 * that a failure domain was taken out, and would send new work to that domain
 * for as long as the partition lasts. When the platform is down for all nodes,
 * the other VMs are still reachable and service continues.
 */
static bool should_isolate(const struct node *node)
{
	size_t total = 1;
	size_t reachable = 1;

	if (platform_age(node) <= PLATFORM_STALE_US)
		return false;
	for (size_t i = 1; i < node->membership->count; i++) {
		const struct vm *vm = node->membership->vms[i];

		if (vm->departed ||
		    (!vm->listed && !member_reachable(node, vm)))
			continue;
		total++;
		if (member_reachable(node, vm))
			reachable++;
	}
	return reachable * 2 < total;
}

static void update_isolation(struct node *node)
{
	bool isolated = should_isolate(node);

	if (isolated == node->membership->isolated)
		return;
	node->membership->isolated = isolated;
	node_audit(node, "isolated", isolated ? STR("no") : STR("yes"),
		   isolated ? STR("yes") : STR("no"),
		   "platform silent and most VMs unheard", 0);
	if (!isolated)
		gate_resume(node);
}

void member_on_heartbeat_timer(struct node *node)
{
	send_heartbeats(node);
	expire_vms(node);
	update_isolation(node);
	doc_sync_read_if_stale(node, platform_age(node));
	front_poison_sweep(node);
	timer_add(&node->timers, node->now + HEARTBEAT_PERIOD_US,
		  TIMER_HEARTBEAT, 0);
}

static void set_view_confirmed(struct node *node, const char *why)
{
	node->membership->view_confirmed = true;
	update_isolation(node);
	node_audit(node, "view", STR("old"), STR("confirmed"), why, 0);
	gate_resume(node);
}

/*
 * A reply alone does not confirm the view: it can refer to a document that has
 * not arrived yet, and the current document may still list a failure domain as
 * in that has been taken out.
 */
static void confirm_view(struct node *node, const char *why)
{
	if (node->membership->view_confirmed)
		return;
	node->membership->view_reply_received = true;
	if (!doc_sync_behind(node))
		set_view_confirmed(node, why);
}

void member_on_docs_updated(struct node *node)
{
	if (!node->membership->view_confirmed &&
	    node->membership->view_reply_received && !doc_sync_behind(node))
		set_view_confirmed(node, "documents are up to date");
}

static void update_platform_read_at(struct node *node, int64_t at)
{
	if (at > node->membership->platform_read_at)
		node->membership->platform_read_at = at;
}

void member_on_heartbeat(struct node *node, struct str from,
			 uint64_t incarnation, const struct msg *msg)
{
	struct vm *vm = vm_get(node, from);
	bool was_usable = member_usable(node, vm);

	if (vm == node->membership->vms[0])
		return;
	if (vm->incarnation && vm->incarnation != incarnation) {
		vm_mark_lost(node, vm);
		was_usable = false;
	}
	vm->incarnation = incarnation;
	vm->heartbeat_at = node->now;
	vm->last_seen_at = node->now;
	vm->state = msg->state <= VM_LEAVING ? (enum vm_state)msg->state
					     : VM_LEAVING;
	vm->departed = vm->state == VM_LEAVING;
	vm_set_domain(vm, msg->name);
	/* After a pause, only the reply to the probe is current. */
	bool current = node->membership->view_confirmed ||
		       (msg->id && msg->id == node->membership->nonce);

	if (current && msg->fresh_us >= 0 && msg->fresh_us < INT64_MAX / 4)
		update_platform_read_at(node, node->now - msg->fresh_us);
	if (was_usable != member_usable(node, vm)) {
		node_audit(node, "vm", vm->addr,
			   was_usable ? STR("unusable") : STR("usable"),
			   "heartbeat", incarnation);
		node_vms_changed(node);
	}
	doc_sync_on_offer(node, vm, DOC_LISTS, msg->version, msg->hash);
	doc_sync_on_offer(node, vm, DOC_FLEET, msg->version2, msg->hash2);
	if (vm->state == VM_STARTING)
		front_poison_on_start(node, from);
	else
		front_poison_on_digest(node, from, msg->key);
	/*
	 * After a pause the socket still holds heartbeats from before it; only
	 * the reply to a probe sent after it confirms the view.
	 */
	if (msg->id && msg->id == node->membership->nonce)
		confirm_view(node, "a peer answered");
}

void member_on_probe(struct node *node, struct str from, uint64_t incarnation,
		     const struct msg *msg)
{
	struct msg reply = heartbeat_msg(node);
	struct msg heartbeat = *msg;

	heartbeat.id = 0;
	member_on_heartbeat(node, from, incarnation, &heartbeat);
	reply.id = msg->id;
	node_send(node, from, incarnation, &reply);
}

void member_probe(struct node *node, struct str addr)
{
	struct msg msg = heartbeat_msg(node);

	msg.kind = MSG_PROBE;
	msg.id = node->membership->nonce;
	node_send(node, addr, 0, &msg);
}

void member_on_peer_lost(struct node *node, struct str addr)
{
	struct vm *vm = member_find(node, str_hash(addr));

	if (!vm || vm == node->membership->vms[0] ||
	    vm->heartbeat_at == INT64_MIN)
		return;
	vm_mark_lost(node, vm);
	node_vms_changed(node);
}

void member_on_fleet_changed(struct node *node)
{
	const struct fleet *fleet = node->fleet;
	struct membership *membership = node->membership;

	for (size_t i = 0; i < membership->count; i++) {
		membership->vms[i]->listed = false;
		membership->vms[i]->listed_leaving = false;
		membership->vms[i]->domain_out = false;
	}
	for (size_t i = 0; i < fleet->nvms; i++) {
		struct vm *vm = vm_get(node, fleet->vms[i].addr);

		vm->listed = true;
		vm->listed_leaving = fleet->vms[i].leaving;
		if (vm != membership->vms[0])
			vm_set_domain(vm, fleet->vms[i].domain->name);
	}
	for (size_t i = 0; i < membership->count; i++) {
		struct vm *vm = membership->vms[i];
		struct domain *domain = fleet_domain(fleet, vm->domain);

		vm->domain_out = domain && domain->out;
	}
}

void member_set_state(struct node *node, enum vm_state state)
{
	static const char *const names[] = { "starting", "live", "leaving" };
	struct vm *self = node->membership->vms[0];

	if (self->state == state)
		return;
	node_audit(node, "node", str_of(names[self->state]),
		   str_of(names[state]), "own state", 0);
	self->state = state;
	send_heartbeats(node);
	node_view_changed(node);
}

enum vm_state member_state(const struct node *node)
{
	return node->membership->vms[0]->state;
}

void member_on_pause(struct node *node, int64_t gap)
{
	struct membership *membership = node->membership;

	node->counters[CNT_PAUSES]++;
	node_audit(node, "pause", STR("running"), STR("woken"),
		   "gap between events", (uint64_t)gap);
	membership->view_confirmed = false;
	membership->nonce = rng_next(&node->rng) | 1;
	membership->view_reply_received = false;
	membership->paused_at = node->now;
	timer_add(&node->timers, node->now + VIEW_CONFIRM_TIMEOUT_US,
		  TIMER_VIEW_TIMEOUT, membership->nonce);
	for (size_t i = 1; i < membership->count; i++)
		member_probe(node, membership->vms[i]->addr);
	/* Heartbeats could not be read during the pause: restart timeouts. */
	for (size_t i = 1; i < membership->count; i++)
		if (membership->vms[i]->heartbeat_at != INT64_MIN)
			membership->vms[i]->heartbeat_at = node->now;
	gate_on_pause(node);
	doc_sync_read_now(node);
}

void member_on_view_timeout(struct node *node, uint64_t nonce)
{
	/*
	 * No reply: this node is either the only one or partitioned. From here
	 * on the isolation rule applies, as on any other node.
	 */
	if (nonce == node->membership->nonce &&
	    !node->membership->view_confirmed)
		set_view_confirmed(node, "nobody answered in time");
}

void member_on_platform_read(struct node *node)
{
	update_platform_read_at(node, node->now);
	confirm_view(node, "the platform answered");
}

bool member_view_confirmed(const struct node *node)
{
	return node->membership->view_confirmed;
}

bool member_isolated(const struct node *node)
{
	return node->membership->isolated;
}
