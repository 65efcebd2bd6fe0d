#include "node.h"

#include <stdlib.h>

#include "conf.h"
#include "front.h"
#include "front_poison.h"
#include "gate.h"
#include "health.h"
#include "member.h"
#include "once.h"
#include "quota.h"
#include "xmalloc.h"

enum {
	REVIEW_US = 50000,
	LEAVE_MIN_US = 1500000,
	LEAVE_QUIET_US = 500000,
	LEAVE_CHECK_US = 50000,
};

/** struct leave - progress of a planned stop, kept beside the node */
struct leave {
	int64_t begun;
	int64_t last_request;
	bool done;
};

struct full_node {
	struct node node;
	struct leave leave;
};

static struct leave *leave_of(struct node *node)
{
	return &((struct full_node *)node)->leave;
}

struct node *node_create(const struct node_options *opt, int64_t now,
			 struct effects *fx)
{
	struct full_node *full = xcalloc(1, sizeof(*full));
	struct node *node = &full->node;

	apr_pool_create(&node->pool, NULL);
	node->opt = *opt;
	node->opt.addr = str_dup(node->pool, opt->addr);
	node->opt.domain = str_dup(node->pool, opt->domain);
	node->key = str_hash(opt->addr);
	node->now = now;
	node->rng.seed = opt->seed;
	node->fx = fx;
	node_audit(node, "node", STR("none"), STR("starting"), "start",
		   opt->incarnation);
	member_init(node);
	conf_init(node);
	quota_init(node);
	gate_init(node);
	front_init(node);
	once_init(node);
	node->fx = NULL;
	return node;
}

void node_destroy(struct node *node)
{
	once_destroy(node);
	front_destroy(node);
	gate_destroy(node);
	quota_destroy(node);
	conf_destroy(node);
	member_destroy(node);
	lists_free(node->lists);
	fleet_unref(node->fleet);
	timers_free(&node->timers);
	free(node->local);
	apr_pool_destroy(node->pool);
	free(node);
}

int64_t node_wake_at(const struct node *node)
{
	return timer_next(&node->timers);
}

/* Effects. */

static struct msg msg_dup(apr_pool_t *pool, const struct msg *msg)
{
	struct msg copy = *msg;

	copy.name = str_dup(pool, msg->name);
	copy.body = str_dup(pool, msg->body);
	copy.text = str_dup(pool, msg->text);
	return copy;
}

static void send_local(struct node *node, const struct msg *msg)
{
	if (node->nlocal == node->local_cap) {
		node->local_cap = node->local_cap ? node->local_cap * 2 : 64;
		node->local = xrealloc(node->local,
				       node->local_cap * sizeof(struct msg));
	}
	node->local[node->nlocal++] = *msg;
}

void node_send(struct node *node, struct str addr, uint64_t incarnation,
	       const struct msg *msg)
{
	struct msg copy = msg_dup(node->fx->pool, msg);

	if (str_eq(addr, node->opt.addr)) {
		if (!incarnation || incarnation == node->opt.incarnation)
			send_local(node, &copy);
		return;
	}

	struct effect *fx = effects_add(node->fx, FX_SEND);

	fx->addr = str_dup(node->fx->pool, addr);
	fx->incarnation = incarnation;
	fx->msg = copy;
}

void node_answer(struct node *node, uint64_t caller, int status,
		 struct str body)
{
	struct effect *fx = effects_add(node->fx, FX_ANSWER);

	fx->id = caller;
	fx->status = status;
	fx->body = str_dup(node->fx->pool, body);
}

void node_refuse(struct node *node, uint64_t caller, int code, const char *text,
		 int64_t retry_after_us)
{
	struct buf out = { 0 };

	error_json(&out, code, text, (retry_after_us + 999) / 1000);
	node_answer(node, caller, error_info(code)->status, buf_str(&out));
	buf_free(&out);
}

void node_audit(struct node *node, const char *what, struct str from,
		struct str to, const char *why, uint64_t version)
{
	struct buf out = { 0 };
	struct effect *fx = effects_add(node->fx, FX_AUDIT);

	buf_printf(&out, "{\"what\":\"%s\",\"from\":", what);
	buf_json_add(&out, from);
	buf_str_add(&out, STR(",\"to\":"));
	buf_json_add(&out, to);
	buf_str_add(&out, STR(",\"why\":"));
	buf_json_add(&out, str_of(why));
	buf_printf(&out, ",\"version\":%llu}", (unsigned long long)version);
	fx->body = str_dup(node->fx->pool, buf_str(&out));
	buf_free(&out);
}

void node_view_changed(struct node *node)
{
	node->member->epoch++;
	node->reviewed_at = node->now;
	gate_view_changed(node);
}

void node_vms_changed(struct node *node)
{
	node->member->epoch++;
	if (node->now - node->reviewed_at >= REVIEW_US) {
		node_view_changed(node);
		return;
	}
	if (node->review_due)
		return;
	node->review_due = true;
	timer_add(&node->timers, node->reviewed_at + REVIEW_US, TIMER_REVIEW,
		  0);
}

static void review_due(struct node *node)
{
	node->review_due = false;
	node_view_changed(node);
}

/* Planned stop. */

static bool is_quiet(struct node *node)
{
	const struct leave *leave = leave_of(node);

	return !front_open(node) && !gate_open(node) && !once_open(node) &&
	       node->now - leave->begun >= LEAVE_MIN_US &&
	       node->now - leave->last_request >= LEAVE_QUIET_US;
}

/*
 * Peers need a heartbeat to move the gates, and the balancer a health check
 * to stop sending. A node that ends before that cuts off requests that were
 * sent in good faith, so it stays until it was quiet for a while.
 */
static void leave_check(struct node *node)
{
	struct leave *leave = leave_of(node);
	bool late = node->now - leave->begun >= node->opt.drain_us;

	if (leave->done)
		return;
	if (!is_quiet(node) && !late && !node->opt.off.no_drain) {
		timer_add(&node->timers, node->now + LEAVE_CHECK_US,
			  TIMER_LEAVE, 0);
		return;
	}
	leave->done = true;
	node_audit(node, "node", STR("leaving"), STR("stopped"),
		   late ? "drain_ms is over" : "quiet", 0);
	effects_add(node->fx, FX_STOP);
}

static void leave_begin(struct node *node)
{
	struct leave *leave = leave_of(node);

	if (leave->begun)
		return;
	leave->begun = node->now;
	leave->last_request = node->now;
	member_set_state(node, VM_LEAVING);
	leave_check(node);
}

/* Dispatch. */

/** A handler of one kind of message. */
struct handler {
	void (*fn)(struct node *node, struct str from, uint64_t incarnation,
		   const struct msg *msg);
};

static void on_doc(struct node *node, struct str from, uint64_t incarnation,
		   const struct msg *msg)
{
	(void)from;
	(void)incarnation;
	conf_peer_doc(node, msg);
}

static void on_lease_reply(struct node *node, struct str from,
			   uint64_t incarnation, const struct msg *msg)
{
	(void)from;
	(void)incarnation;
	quota_lease_reply(node, msg);
}

static const struct handler handlers[MSG_KINDS] = {
	[MSG_HEARTBEAT] = { member_heard },
	[MSG_PROBE] = { member_probed },
	[MSG_DOC_GET] = { conf_asked },
	[MSG_DOC] = { on_doc },
	[MSG_LEAF] = { gate_leaf },
	[MSG_LEAF_REPLY] = { front_reply },
	[MSG_CANCEL] = { gate_cancel },
	[MSG_RESERVE] = { gate_reserve },
	[MSG_GRANT] = { once_grant },
	[MSG_GO] = { gate_go },
	[MSG_GO_REPLY] = { once_go_reply },
	[MSG_RELEASE] = { gate_cancel },
	[MSG_FORWARD] = { once_forwarded },
	[MSG_FORWARD_REPLY] = { once_forward_reply },
	[MSG_LEASE] = { quota_lease },
	[MSG_LEASE_REPLY] = { on_lease_reply },
	[MSG_HANDOVER] = { gate_handover },
	[MSG_SUSPECTS] = { front_suspects },
};

static void on_msg(struct node *node, struct str from, uint64_t incarnation,
		   const struct msg *msg)
{
	if (msg->kind >= MSG_KINDS || !handlers[msg->kind].fn) {
		node->counters[CNT_STRAY_MSGS]++;
		return;
	}
	handlers[msg->kind].fn(node, from, incarnation, msg);
}

static void on_caller(struct node *node, const struct event *event)
{
	leave_of(node)->last_request = node->now;
	switch (event->type) {
	case EV_ASK:
		front_ask(node, event->id, event->body);
		break;
	case EV_TICKET:
		once_ticket(node, event->id, event->body);
		break;
	case EV_ENTRY:
		once_entry(node, event->id, event->body);
		break;
	case EV_LOOKUP:
		once_lookup(node, event->id, event->body);
		break;
	default:
		front_caller_gone(node, event->id);
		once_caller_gone(node, event->id);
	}
}

static void on_event(struct node *node, const struct event *event)
{
	switch (event->type) {
	case EV_TICK:
		break;
	case EV_ASK:
	case EV_TICKET:
	case EV_ENTRY:
	case EV_LOOKUP:
	case EV_CALLER_GONE:
		on_caller(node, event);
		break;
	case EV_MSG:
		on_msg(node, event->from, event->incarnation, event->msg);
		break;
	case EV_PEER_LOST:
		member_lost(node, event->from);
		break;
	case EV_FETCHED:
		gate_fetched(node, event->id, event->fetch_response);
		break;
	case EV_DOC:
		conf_platform_doc(node, event->doc, event->body);
		break;
	case EV_DOC_UNCHANGED:
		conf_platform_same(node, event->doc);
		break;
	case EV_DOC_FAILED:
		conf_platform_failed(node, event->doc);
		break;
	case EV_LEAVE:
		leave_begin(node);
		break;
	}
}

static void on_timer(struct node *node, const struct timer *timer)
{
	switch (timer->kind) {
	case TIMER_HEARTBEAT:
		member_heartbeat(node);
		break;
	case TIMER_VIEW:
		member_view_timeout(node, timer->id);
		break;
	case TIMER_CONF:
		conf_timer(node, timer->id);
		break;
	case TIMER_QUESTION:
		front_timer(node, timer->id);
		break;
	case TIMER_HEDGE:
		front_hedge_timer(node, timer->id);
		break;
	case TIMER_LEASE:
		quota_timer(node, timer->id);
		break;
	case TIMER_TARGET:
		health_timer(node, timer->id);
		break;
	case TIMER_JOB:
		gate_job_timer(node, timer->id);
		break;
	case TIMER_RECORD:
		once_timer(node, timer->id);
		break;
	case TIMER_FORWARD:
		once_forward_timer(node, timer->id);
		break;
	case TIMER_LEAVE:
		leave_check(node);
		break;
	case TIMER_REVIEW:
		review_due(node);
		break;
	case TIMER_HANDOVER:
		gate_handover_timer(node, timer->id);
		break;
	}
}

/* Messages to oneself can cause further ones; all are handled at once. */
static void drain_local(struct node *node)
{
	for (size_t i = 0; i < node->nlocal; i++) {
		struct msg msg = node->local[i];

		on_msg(node, node->opt.addr, node->opt.incarnation, &msg);
	}
	node->nlocal = 0;
}

void node_reduce(struct node *node, const struct event *event,
		 struct effects *fx)
{
	int64_t gap = event->now - node->now;
	struct timer timer;

	node->fx = fx;
	if (gap > 0)
		node->now = event->now;
	if (gap > PAUSE_US && !node->opt.off.no_pause_check)
		member_paused(node, gap);
	on_event(node, event);
	drain_local(node);
	while (timer_pop(&node->timers, node->now, &timer)) {
		on_timer(node, &timer);
		drain_local(node);
	}
	node->fx = NULL;
}
