#include "tier.h"

#include <stdlib.h>

#include "batch.h"
#include "cold_share.h"
#include "decision_log.h"
#include "drain.h"
#include "evidence.h"
#include "forward.h"
#include "merge.h"
#include "placement.h"
#include "poison_sync.h"
#include "reader.h"
#include "relay.h"
#include "trial.h"
#include "xmalloc.h"

enum {
	/*
	 * Retry-After of a node without a configuration. It usually has one
	 * within 100 ms. While the store does not answer that may take long,
	 * and a caller that retries too soon is refused again.
	 */
	STARTING_RETRY_US = 300000,
	STORE_DOWN_RETRY_US = 1000000,
	/* Another node can serve at once. */
	STOPPING_RETRY_US = 50000,
	SWEEP_US = 5000000,
	/*
	 * Nodes that start together discover each other within this time.
	 * Until then each would use all of a target's connections, and the
	 * target resets connections above its limit.
	 */
	DISCOVERY_US = 1000000,
	/* Maximum age of a target table that counts as up to date. */
	STORE_FRESH_US = 2000000,
	/* After an outage of the store, expired entries are back by then. */
	STORE_RECOVERY_US = 5000000,
	/* A request that crashes targets has mostly come again by then. */
	CANARIES_US = 10000000,
	/*
	 * A request over shards that crashes targets ends many of them, other
	 * faults end a few. Clocks differ by seconds.
	 */
	YOUNG_TARGET_MS = 30000,
	YOUNG_SHARE_DIVISOR = 4,
	CANARIES_CHECK_US = 100000,
};

struct tier {
	apr_pool_t *pool;
	struct vm_settings settings;
	const struct dialect *dialect;
	uint64_t incarnation;
	int64_t started_at;
	int64_t started_wall_ms; /* the time of day then */
	int64_t canaries_checked_at;
	struct flow_effects *fx;
	struct balancer *balancer;
	struct decision_log decision_log;
	struct directory dir;
	struct reader reader;
	struct calls calls;
	struct gossip gossip;
	struct relay relay;
	struct placement placement;
	struct batch_table batches;
	struct poison poison;
	struct poison_sync poison_sync;
	struct cold_share cold_share;
	bool ready;
	struct drain drain;
	uint64_t limits_version;
	int64_t sweep_at;
};

static struct budget_rules budget_rules_of(const struct vm_settings *settings)
{
	return (struct budget_rules){ settings->retry_ratio,
				      settings->retry_extra,
				      settings->retry_window_us };
}

static void apply_bounds(struct tier *tier, const struct vm_settings *settings)
{
	tier->settings.grace_us = settings->grace_us;
	tier->dir.cold_factor = settings->cold_factor;
	tier->dir.cold_extra = settings->cold_extra;
	tier->dir.drain_us = settings->drain_us;
	tier->dir.heartbeat_us = settings->heartbeat_us;
}

/* The processes of new VMs replace none that have used their shares. */
static int64_t share_held_since(const struct vm_settings *settings, int64_t now)
{
	return settings->first_start ? now - 2 * settings->retry_window_us
				     : now;
}

static bool is_published(const void *ctx, const struct poison_crash *crash)
{
	return balancer_is_published(ctx, crash->key, crash->born_ms);
}

struct tier *tier_create(const struct tier_options *options, int64_t now,
			 struct flow_effects *fx)
{
	struct tier *tier = xcalloc(1, sizeof(*tier));

	apr_pool_create(&tier->pool, NULL);
	tier->settings = *options->settings;
	tier->settings.ip = str_dup(tier->pool, options->settings->ip);
	tier->settings.domain = str_dup(tier->pool, options->settings->domain);
	tier->dialect = options->dialect;
	tier->incarnation = options->incarnation;
	tier->started_at = now;
	tier->started_wall_ms = options->wall_ms;
	tier->fx = fx;
	tier->decision_log.fx = fx;
	tier->balancer = balancer_create(tier->pool, tier->settings.domain,
					 options->without);
	directory_init(&tier->dir, tier->pool, options->dialect, tier->balancer,
		       &tier->decision_log);
	apply_bounds(tier, &tier->settings);
	reader_init(&tier->reader, &tier->dir, fx, now);
	calls_init(&tier->calls, tier->pool, options->seed);
	tier->calls.balancer = tier->balancer;
	tier->calls.budget =
		budget_create(tier->pool, budget_rules_of(&tier->settings),
			      share_held_since(&tier->settings, now));
	tier->calls.without = options->without;
	tier->calls.fx = fx;
	tier->calls.decision_log = &tier->decision_log;
	gossip_init(&tier->gossip, tier->pool, fx, &tier->calls.rng,
		    &tier->settings, options->incarnation, now);
	relay_init(&tier->relay, &tier->gossip, &tier->reader, fx,
		   tier->settings.first_start ||
			   !mechanism_enabled(options->without,
					      MECHANISM_QUICK_START),
		   now);
	placement_init(&tier->placement, &tier->gossip, tier->balancer,
		       &tier->calls.rng, options->without);
	batch_table_init(&tier->batches, tier->pool, &tier->gossip,
			 &tier->placement);
	merge_init(&tier->calls, &tier->batches);
	poison_init(&tier->poison, tier->pool,
		    (struct poison_targets){ is_published, tier->balancer });
	tier->poison_sync = (struct poison_sync){
		.poison = &tier->poison,
		.transport = evidence_transport(&tier->calls),
		.pool = tier->pool,
		.started_at = now,
		.informed = tier->settings.first_start,
	};
	tier->calls.poison = &tier->poison;
	tier->calls.poison_sync = &tier->poison_sync;
	tier->calls.gossip = &tier->gossip;
	cold_share_init(&tier->cold_share, &tier->calls, now);
	tier->calls.cold_share = &tier->cold_share;
	return tier;
}

void tier_destroy(struct tier *tier)
{
	calls_destroy(&tier->calls);
	cold_share_destroy(&tier->cold_share);
	poison_destroy(&tier->poison);
	gossip_destroy(&tier->gossip);
	budget_destroy(tier->calls.budget);
	reader_destroy(&tier->reader);
	directory_destroy(&tier->dir);
	balancer_destroy(tier->balancer);
	apr_pool_destroy(tier->pool);
	free(tier);
}

/* Callers. */

/** struct refusal - answer to a request that has not become a call */
struct refusal {
	int status;
	int code;
	const char *why;
	int64_t retry_after_us;
};

static void refuse_early(struct tier *tier, const struct flow_event *event,
			 const struct refusal *refusal)
{
	struct flow_effect *fx = flow_add(tier->fx, FLOW_ANSWER);
	struct buf body = { 0 };

	error_json(&body, refusal->code, refusal->why,
		   refusal->retry_after_us / 1000);
	fx->id = event->id;
	fx->status = refusal->status;
	fx->headers = STR("Content-Type: application/json\r\n");
	fx->body = str_dup(tier->fx->pool, buf_str(&body));
	fx->retry_after_us = refusal->retry_after_us;
	decision_log_refused(&tier->decision_log, event->now,
			     event->request->request_id, refusal->status,
			     refusal->why);
	buf_free(&body);
}

/* Return: true if requests may be sent to targets. */
static bool may_serve(const struct tier *tier, int64_t now)
{
	return tier->dir.catalog &&
	       now >= poison_sync_serves_at(&tier->poison_sync);
}

static int64_t starting_retry_us(struct tier *tier)
{
	bool store_down = tier->reader.failures > 0;

	return call_jitter(&tier->calls, store_down ? STORE_DOWN_RETRY_US
						    : STARTING_RETRY_US);
}

static void refuse_starting(struct tier *tier, const struct flow_event *event)
{
	struct refusal refusal = { 503, ERR_STARTING, "no configuration yet",
				   starting_retry_us(tier) };

	if (tier->dir.catalog)
		refusal.why = "this node has just started";
	refuse_early(tier, event, &refusal);
}

static void refuse_stopping(struct tier *tier, const struct flow_event *event)
{
	struct refusal refusal = { 503, ERR_STOPPING, "this node stops",
				   call_jitter(&tier->calls,
					       STOPPING_RETRY_US) };

	refuse_early(tier, event, &refusal);
}

/*
 * A request that is read after the process was paused may have waited for as
 * long as the pause, and its deadline may have passed. It has not run, so it
 * can be refused as not executed.
 */
static bool is_stale(const struct flow_event *event)
{
	const struct flow_request *request = event->request;

	return event->queued_us && request->time_left_us >= 0 &&
	       request->time_left_us <= event->queued_us;
}

/* Return: true if the request is blocked; the call has ended then. */
static bool refuse_blocked(struct tier *tier, struct call *call)
{
	const char *why = "blocked";
	int64_t retry_us = 0;

	if (poison_verdict(&tier->poison, &call->fingerprint) != POISON_BLOCKED)
		return false;
	metric_add(&tier->decision_log.metrics, METRIC_BLOCKED);
	trial_refusal_reason(&tier->calls, call, &why, &retry_us);
	call_refuse(&tier->calls, call, 503, why, retry_us);
	return true;
}

/* Whether so many target processes are young that a request may end them. */
static bool targets_have_ended(const struct tier *tier, int64_t now)
{
	int64_t wall_ms =
		tier->started_wall_ms + (now - tier->started_at) / 1000;
	size_t young = balancer_count_born_after(tier->balancer,
						 wall_ms - YOUNG_TARGET_MS);

	return young * YOUNG_SHARE_DIVISOR > balancer_count(tier->balancer);
}

/* No other node has told this one which requests crash targets. */
static bool lacks_evidence(const struct tier *tier, int64_t now)
{
	return !tier->poison_sync.informed &&
	       now - tier->started_at < CANARIES_US &&
	       mechanism_enabled(tier->calls.without, MECHANISM_POISON);
}

static void update_canaries(struct tier *tier, int64_t now)
{
	bool canaries = lacks_evidence(tier, now);

	if (canaries && (!balancer_count(tier->balancer) ||
			 now < tier->canaries_checked_at + CANARIES_CHECK_US))
		return;
	tier->canaries_checked_at = now;
	canaries = canaries && targets_have_ended(tier, now);
	if (canaries == tier->calls.canaries)
		return;
	tier->calls.canaries = canaries;
	decision_log_state(&tier->decision_log, now, "canaries",
			   canaries ? STR("yes") : STR("no"),
			   "evidence is lost and targets have ended", 0);
}

static void on_request(struct tier *tier, const struct flow_event *event)
{
	struct flow_request copy = *event->request;
	const struct flow_request *request = &copy;
	const struct route *route;
	struct call *call;

	tier->drain.requests++;
	if (!may_serve(tier, event->now)) {
		refuse_starting(tier, event);
		return;
	}
	if (is_stale(event)) {
		refuse_early(tier, event,
			     &(struct refusal){ 503, ERR_OVERLOADED,
						"this node was paused",
						STARTING_RETRY_US });
		return;
	}
	if (copy.time_left_us >= 0)
		copy.time_left_us -= event->queued_us;
	route = catalog_find_route(tier->dir.catalog, request->host,
				   request->uri);
	if (!route) {
		refuse_early(tier, event,
			     &(struct refusal){
				     404, ERR_NOT_FOUND,
				     "no route for this host and path", 0 });
		return;
	}
	if (!calls_accept(&tier->calls, route)) {
		refuse_stopping(tier, event);
		return;
	}
	call = call_create(&tier->calls, event->id, request, tier->dir.catalog,
			   route);
	call->fingerprint = flow_fingerprint(request);
	call->kind = route->nshards ? &merge_kind : &forward_kind;
	call->unproven = tier->calls.canaries && route->nshards &&
			 !poison_was_answered(&tier->poison, &call->fingerprint,
					      event->now);
	poison_on_request(&tier->poison, &call->fingerprint, event->now);
	if (refuse_blocked(tier, call))
		return;
	call->kind->begin(&tier->calls, call);
}

static void on_caller_gone(struct tier *tier, uint64_t id)
{
	struct call *call = call_find(&tier->calls, id);

	if (call)
		call_abandon(&tier->calls, call);
}

/* Lifecycle. */

static void set_ready(struct tier *tier, bool ready)
{
	struct flow_effect *fx;

	if (tier->ready == ready)
		return;
	tier->ready = ready;
	fx = flow_add(tier->fx, FLOW_READY);
	fx->ready = ready;
	if (ready)
		tier->gossip.self.state |= MEMBER_SERVING;
	else
		tier->gossip.self.state |= MEMBER_LEAVING;
	/* Other nodes must not send shards to a node that is about to exit. */
	if (!ready)
		gossip_announce(&tier->gossip, tier->calls.now);
	decision_log_state(&tier->decision_log, tier->calls.now, "ready",
			   ready ? STR("yes") : STR("no"),
			   ready ? "a configuration is in force"
				 : "planned stop",
			   tier->decision_log.version);
}

static void emit_limits(struct tier *tier)
{
	const struct catalog *catalog = tier->dir.catalog;
	struct flow_effect *fx;

	if (!catalog || catalog->version == tier->limits_version)
		return;
	tier->limits_version = catalog->version;
	fx = flow_add(tier->fx, FLOW_LIMITS);
	fx->limits = catalog->limits;
}

static void on_stop(struct tier *tier, int64_t pause_us)
{
	drain_begin(&tier->drain, &tier->calls, tier->settings.grace_us,
		    pause_us);
	set_ready(tier, false);
}

static void exit_when_drained(struct tier *tier)
{
	drain_log(&tier->drain, &tier->calls);
	if (drain_exits(&tier->drain, &tier->calls))
		flow_add(tier->fx, FLOW_EXIT);
}

static void on_settings(struct tier *tier, const struct vm_settings *settings)
{
	budget_set_rules(tier->calls.budget, budget_rules_of(settings));
	apply_bounds(tier, settings);
	gossip_set_seeds(&tier->gossip, settings);
	directory_set_nodes(&tier->dir, tier->dir.nodes, tier->dir.near_nodes);
}

/* Other nodes. */

/* Return: true if a target that is missing from the table is gone. */
static bool store_is_fresh(const struct tier *tier, int64_t now)
{
	return now - tier->dir.read_at < STORE_FRESH_US &&
	       now - tier->dir.call_failed_at > STORE_RECOVERY_US;
}

static void on_suspects(struct tier *tier, const struct flow_event *event)
{
	bool was_informed = tier->poison_sync.informed;

	poison_sync_on_msg(&tier->poison_sync, event->from, event->msg,
			   store_is_fresh(tier, event->now), event->now);
	if (!was_informed && tier->poison_sync.informed)
		decision_log_state(&tier->decision_log, event->now, "evidence",
				   event->from, "all of it after the start",
				   tier->poison.count);
}

static void on_msg(struct tier *tier, const struct flow_event *event)
{
	const struct msg *msg = event->msg;
	struct flow_effect *fx;

	int64_t delay_us = gossip_excess_delay(&tier->gossip, event->from,
					       event->incarnation,
					       event->sent_us, event->now);

	if (delay_us < event->queued_us)
		delay_us = event->queued_us;
	gossip_mark_answered(&tier->gossip, event->from);
	switch (msg->kind) {
	case MSG_GOSSIP:
		gossip_on_msg(&tier->gossip, event->from, msg->body,
			      event->now);
		if (msg->state)
			poison_sync_on_start(&tier->poison_sync, event->from,
					     event->now);
		else
			poison_sync_on_digest(&tier->poison_sync, event->from,
					      msg->hash, event->now);
		break;
	case MSG_SUSPECTS:
		on_suspects(tier, event);
		break;
	case MSG_TRY:
		trial_on_request(&tier->calls, event->from, event->incarnation,
				 msg);
		break;
	case MSG_TRY_REPLY:
		trial_on_reply(&tier->calls, msg);
		break;
	case MSG_COLD_ASK:
		cold_share_on_ask(&tier->cold_share, event->from, msg,
				  event->now);
		break;
	case MSG_COLD_REPLY:
		cold_share_on_reply(&tier->cold_share, event->from, msg,
				    event->queued_us, event->now);
		break;
	case MSG_RELINK:
		fx = flow_add(tier->fx, FLOW_RESET_PEER);
		fx->addr = str_dup(tier->fx->pool, event->from);
		break;
	case MSG_ITEMS:
		relay_on_items(&tier->relay, event->from, msg, event->now);
		emit_limits(tier);
		break;
	case MSG_ITEMS_GET:
		relay_on_request(&tier->relay, event->from, msg, event->now);
		break;
	case MSG_ASK:
		tier->drain.batches++;
		batch_on_request(&tier->calls, tier->dir.catalog, event->from,
				 event->incarnation, msg, delay_us);
		break;
	case MSG_ASK_REPLY:
		batch_on_reply(&tier->calls, event->from, msg);
		break;
	case MSG_ASK_GO:
		batch_on_retry_grant(&tier->calls, event->from,
				     event->incarnation, msg);
		break;
	case MSG_ASK_CANCEL:
		batch_on_cancel(&tier->calls, event->from, event->incarnation,
				msg);
		break;
	default:
		/* The other kinds are used by node.c, not by the tier. */
		break;
	}
}

static void update_node_count(struct tier *tier)
{
	int nodes = gossip_counted_nodes(&tier->gossip);
	bool discovery_done =
		tier->calls.now - tier->gossip.started_at > DISCOVERY_US;
	int near_nodes = discovery_done ? tier->gossip.near_counted : 0;

	if (nodes == tier->dir.nodes && near_nodes == tier->dir.near_nodes)
		return;
	decision_log_state(&tier->decision_log, tier->calls.now, "nodes",
			   STR("all"), "membership changed", (uint64_t)nodes);
	directory_set_nodes(&tier->dir, nodes, near_nodes);
	tier->placement.discovery_done = discovery_done;
	placement_invalidate(&tier->placement);
}

/* Removes old entries: the tables must not grow with every target ever seen. */
static void sweep(struct tier *tier)
{
	if (tier->calls.now < tier->sweep_at)
		return;
	tier->sweep_at = tier->calls.now + SWEEP_US;
	balancer_sweep(tier->balancer, tier->calls.now);
	directory_sweep(&tier->dir, tier->calls.now);
	poison_sweep(&tier->poison, store_is_fresh(tier, tier->calls.now),
		     tier->calls.now);
}

static void run_timers(struct tier *tier)
{
	struct timer due;

	while (timer_pop(&tier->calls.timers, tier->calls.now, &due))
		call_on_timer(&tier->calls, &due);
}

void tier_reduce(struct tier *tier, const struct flow_event *event,
		 struct flow_effects *fx)
{
	tier->fx = fx;
	tier->calls.now = event->now;
	cold_share_tick(&tier->cold_share, event->queued_us, event->now);
	switch (event->type) {
	case FLOW_TICK:
		/*
		 * Timers run only after all received input was processed:
		 * otherwise a process that was paused would treat replies that
		 * it has not read yet as late.
		 */
		run_timers(tier);
		sweep(tier);
		break;
	case FLOW_REQUEST:
		on_request(tier, event);
		break;
	case FLOW_CALLER_GONE:
		on_caller_gone(tier, event->id);
		break;
	case FLOW_REPLY:
		call_on_reply(&tier->calls, event->id, event->reply);
		break;
	case FLOW_STORE_REPLY:
		reader_on_reply(&tier->reader, event->store, event->now);
		if (event->store->ok && tier->reader.state == READER_IDLE)
			relay_on_read(&tier->relay, event->now);
		emit_limits(tier);
		break;
	case FLOW_MSG:
		on_msg(tier, event);
		break;
	case FLOW_PEER_LOST:
		batch_on_lost(&tier->calls, event->from);
		gossip_on_lost(&tier->gossip, event->from, event->now);
		break;
	case FLOW_SETTINGS:
		on_settings(tier, event->settings);
		break;
	case FLOW_STOP:
		on_stop(tier, event->queued_us);
		break;
	case FLOW_EVENTS:
		break;
	}
	relay_tick(&tier->relay, event->now);
	if (event->now >= tier->gossip.next_at)
		tier->gossip.digest = poison_digest(&tier->poison, event->now);
	update_canaries(tier, event->now);
	tier->gossip.wants_state =
		poison_sync_asks(&tier->poison_sync, event->now);
	gossip_tick(&tier->gossip, event->now);
	update_node_count(tier);
	reader_tick(&tier->reader, event->now);
	if (!tier->drain.began_at && may_serve(tier, event->now))
		set_ready(tier, true);
	exit_when_drained(tier);
}

void tier_reap(struct tier *tier)
{
	calls_reap(&tier->calls);
}

int64_t tier_wake_at(const struct tier *tier)
{
	int64_t when = timer_next(&tier->calls.timers);
	int64_t read_at = reader_wake_at(&tier->reader);
	int64_t relay_at = relay_wake_at(&tier->relay, tier->calls.now);
	int64_t drain_at = drain_wake_at(&tier->drain, &tier->calls);

	if (read_at < when)
		when = read_at;
	if (!tier->ready && !tier->drain.began_at && tier->dir.catalog &&
	    poison_sync_serves_at(&tier->poison_sync) < when)
		when = poison_sync_serves_at(&tier->poison_sync);
	if (gossip_wake_at(&tier->gossip) < when)
		when = gossip_wake_at(&tier->gossip);
	if (!tier->reader.active && relay_at < when)
		when = relay_at;
	if (drain_at < when)
		when = drain_at;
	return when;
}

const struct directory *tier_directory(const struct tier *tier)
{
	return &tier->dir;
}

void tier_metrics(const struct tier *tier, struct buf *out)
{
	struct poison_counts counts = poison_count(&tier->poison);
	const struct directory *dir = &tier->dir;

	metrics_text(&tier->decision_log.metrics, out);
	metric_gauge(out, "open_calls", "requests without an answer",
		     tier->calls.nopen);
	metric_gauge(out, "waiting",
		     "shards of requests that wait for a target",
		     wait_queues_count(tier->calls.wait_queues));
	metric_gauge(out, "targets", "targets in the table",
		     balancer_count(tier->balancer));
	metric_gauge(out, "nodes", "nodes that share bounds with this one",
		     (uint64_t)dir->nodes);
	metric_gauge(out, "share_holders",
		     "nodes that may hold a share of the extra retries",
		     (uint64_t)tier->gossip.holders);
	metric_gauge(out, "configuration_version", "in force",
		     dir->catalog ? dir->catalog->version : 0);
	metric_gauge(out, "configuration_revision",
		     "of the store, at which it was published",
		     dir->catalog_revision);
	metric_gauge(out, "configuration_seen_revision",
		     "of the newest one that was read; above the one in force: "
		     "it was refused",
		     dir->seen_revision);
	metric_gauge(out, "configuration_seen_bytes", "size of that one",
		     dir->seen_bytes);
	metric_gauge(out, "store_revision", "that this node knows",
		     dir->revision);
	metric_gauge(out, "store_history_start",
		     "revision after which this node holds all deletions",
		     dir->history_start);
	metric_gauge(out, "store_age_ms",
		     "since the store, or a reader of it, was heard of",
		     (uint64_t)(tier->calls.now - dir->read_at) / 1000);
	metric_gauge(out, "suspect_requests",
		     "contents that are tried at one target at a time",
		     counts.suspect);
	metric_gauge(out, "blocked_requests",
		     "contents that are sent to no target", counts.blocked);
	metric_gauge(out, "unproven",
		     "requests over shards are sent to one target first",
		     tier->calls.canaries);
	metric_gauge(out, "ready", "callers may be sent here", tier->ready);
}
