#include "node.h"

#include <stdlib.h>

#include "doc_sync.h"
#include "front.h"
#include "front_poison.h"
#include "gate.h"
#include "health.h"
#include "member.h"
#include "once.h"
#include "quota.h"
#include "xmalloc.h"

enum {
	VIEW_CHANGE_INTERVAL_US = 50000,
	DRAIN_MIN_US = 1500000,
	DRAIN_IDLE_US = 500000,
	DRAIN_CHECK_PERIOD_US = 50000,
};

/** struct drain - progress of a planned stop, private to this file */
struct drain {
	int64_t started_at;
	int64_t last_request_at;
	bool done;
};

struct node_impl {
	struct node node;
	struct drain drain;
};

static struct drain *drain_of(struct node *node)
{
	return &((struct node_impl *)node)->drain;
}

struct node *node_create(const struct node_options *opt, int64_t now,
			 struct effects *fx)
{
	struct node_impl *impl = xcalloc(1, sizeof(*impl));
	struct node *node = &impl->node;

	apr_pool_create(&node->pool, NULL);
	node->opt = *opt;
	node->opt.addr = str_dup(node->pool, opt->addr);
	node->opt.domain = str_dup(node->pool, opt->domain);
	node->key = str_hash(opt->addr);
	node->now = now;
	node->ends_at = INT64_MAX;
	node->rng.seed = opt->seed;
	node->fx = fx;
	node_audit(node, "node", STR("none"), STR("starting"), "start",
		   opt->incarnation);
	member_init(node);
	doc_sync_init(node);
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
	doc_sync_destroy(node);
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
	node->membership->epoch++;
	node->view_applied_at = node->now;
	gate_on_view_changed(node);
}

void node_vms_changed(struct node *node)
{
	node->membership->epoch++;
	if (node->now - node->view_applied_at >= VIEW_CHANGE_INTERVAL_US) {
		node_view_changed(node);
		return;
	}
	if (node->view_change_due)
		return;
	node->view_change_due = true;
	timer_add(&node->timers,
		  node->view_applied_at + VIEW_CHANGE_INTERVAL_US,
		  TIMER_VIEW_CHANGE, 0);
}

static void apply_view_change(struct node *node)
{
	node->view_change_due = false;
	node_view_changed(node);
}

/* Planned stop. */

bool node_accepts(const struct node *node, int64_t us)
{
	return node->now < node->ends_at - us;
}

static bool is_idle(struct node *node)
{
	const struct drain *drain = drain_of(node);

	return !front_open_count(node) && !gate_open_count(node) &&
	       !once_open_count(node) &&
	       node->now - drain->started_at >= DRAIN_MIN_US &&
	       node->now - drain->last_request_at >= DRAIN_IDLE_US;
}

static void answer_open_requests(struct node *node)
{
	front_end_questions(node);
	once_end(node);
}

/*
 * Peers move the gates after the next heartbeat, and the load balancer stops
 * sending after the next health check. A node that exits earlier drops requests
 * that were sent before either, so it drains until it has been idle for a
 * while. Callers that never move would keep it from that: at the end of the
 * drain time all that is open is answered with what there is.
 */
static void drain_check(struct node *node)
{
	struct drain *drain = drain_of(node);
	bool timed_out = node->now - drain->started_at >= node->opt.drain_us;

	if (drain->done)
		return;
	if (!is_idle(node) && !timed_out && !node->opt.off.no_drain) {
		timer_add(&node->timers, node->now + DRAIN_CHECK_PERIOD_US,
			  TIMER_DRAIN, 0);
		return;
	}
	drain->done = true;
	node->ends_at = node->now;
	if (!node->opt.off.no_drain)
		answer_open_requests(node);
	node_audit(node, "node", STR("leaving"), STR("stopped"),
		   timed_out ? "drain_ms is over" : "quiet", 0);
	effects_add(node->fx, FX_STOP);
}

static void drain_begin(struct node *node)
{
	struct drain *drain = drain_of(node);

	if (drain->started_at)
		return;
	drain->started_at = node->now;
	drain->last_request_at = node->now;
	node->ends_at = node->now + node->opt.drain_us;
	member_set_state(node, VM_LEAVING);
	drain_check(node);
}

/* Dispatch. */

/** struct handler - handles messages of one kind */
struct handler {
	void (*fn)(struct node *node, struct str from, uint64_t incarnation,
		   const struct msg *msg);
};

static void on_doc(struct node *node, struct str from, uint64_t incarnation,
		   const struct msg *msg)
{
	(void)from;
	(void)incarnation;
	doc_sync_on_peer_doc(node, msg);
}

static void on_lease_reply(struct node *node, struct str from,
			   uint64_t incarnation, const struct msg *msg)
{
	(void)from;
	(void)incarnation;
	quota_on_lease_reply(node, msg);
}

static const struct handler handlers[MSG_KINDS] = {
	[MSG_HEARTBEAT] = { member_on_heartbeat },
	[MSG_PROBE] = { member_on_probe },
	[MSG_DOC_GET] = { doc_sync_on_doc_get },
	[MSG_DOC] = { on_doc },
	[MSG_LEAF] = { gate_on_leaf },
	[MSG_LEAF_REPLY] = { front_on_leaf_reply },
	[MSG_CANCEL] = { gate_on_cancel },
	[MSG_RESERVE] = { gate_on_reserve },
	[MSG_GRANT] = { once_on_grant },
	[MSG_GO] = { gate_on_go },
	[MSG_GO_REPLY] = { once_on_go_reply },
	[MSG_RELEASE] = { gate_on_cancel },
	[MSG_FORWARD] = { once_on_forward },
	[MSG_FORWARD_REPLY] = { once_on_forward_reply },
	[MSG_LEASE] = { quota_on_lease },
	[MSG_LEASE_REPLY] = { on_lease_reply },
	[MSG_HANDOVER] = { gate_on_handover },
	[MSG_SUSPECTS] = { front_poison_on_msg },
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

static void on_caller_event(struct node *node, const struct event *event)
{
	drain_of(node)->last_request_at = node->now;
	switch (event->type) {
	case EV_QUESTION:
		front_on_question(node, event->id, event->body);
		break;
	case EV_TICKET:
		once_on_ticket(node, event->id, event->body);
		break;
	case EV_ENTRY:
		once_on_entry(node, event->id, event->body);
		break;
	case EV_LOOKUP:
		once_on_lookup(node, event->id, event->body);
		break;
	default:
		front_on_caller_gone(node, event->id);
		once_on_caller_gone(node, event->id);
	}
}

static void on_event(struct node *node, const struct event *event)
{
	switch (event->type) {
	case EV_TICK:
		break;
	case EV_QUESTION:
	case EV_TICKET:
	case EV_ENTRY:
	case EV_LOOKUP:
	case EV_CALLER_GONE:
		on_caller_event(node, event);
		break;
	case EV_MSG:
		on_msg(node, event->from, event->incarnation, event->msg);
		break;
	case EV_PEER_LOST:
		member_on_peer_lost(node, event->from);
		break;
	case EV_FETCH_DONE:
		gate_on_fetch_done(node, event->id, event->parsed_reply);
		break;
	case EV_DOC:
		doc_sync_on_platform_doc(node, event->doc, event->body);
		break;
	case EV_DOC_UNCHANGED:
		doc_sync_on_unchanged(node, event->doc);
		break;
	case EV_DOC_FAILED:
		doc_sync_on_failure(node, event->doc);
		break;
	case EV_DRAIN:
		drain_begin(node);
		break;
	}
}

static void on_timer(struct node *node, const struct timer *timer)
{
	switch (timer->kind) {
	case TIMER_HEARTBEAT:
		member_on_heartbeat_timer(node);
		break;
	case TIMER_VIEW_TIMEOUT:
		member_on_view_timeout(node, timer->id);
		break;
	case TIMER_DOC:
		doc_sync_on_timer(node, timer->id);
		break;
	case TIMER_QUESTION:
		front_on_question_timer(node, timer->id);
		break;
	case TIMER_HEDGE:
		front_on_hedge_timer(node, timer->id);
		break;
	case TIMER_ACCOUNT:
		quota_on_account_timer(node, timer->id);
		break;
	case TIMER_PROBE:
		health_on_probe_timer(node, timer->id);
		break;
	case TIMER_JOB:
		gate_on_job_timer(node, timer->id);
		break;
	case TIMER_RECORD:
		once_on_record_timer(node, timer->id);
		break;
	case TIMER_FORWARD:
		once_on_forward_timer(node, timer->id);
		break;
	case TIMER_DRAIN:
		drain_check(node);
		break;
	case TIMER_VIEW_CHANGE:
		apply_view_change(node);
		break;
	case TIMER_HANDOVER:
		gate_on_handover_timer(node, timer->id);
		break;
	case TIMER_COLD:
		/* Only the tier has these. */
		break;
	}
}

/* Handling a local message can queue further ones; handle them all. */
static void dispatch_local(struct node *node)
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
	if (gap > PAUSE_THRESHOLD_US && !node->opt.off.no_pause_check)
		member_on_pause(node, gap);
	on_event(node, event);
	dispatch_local(node);
	while (timer_pop(&node->timers, node->now, &timer)) {
		on_timer(node, &timer);
		dispatch_local(node);
	}
	node->fx = NULL;
}
