#include "tier.h"

#include <stdlib.h>

#include "batch.h"
#include "forward.h"
#include "merge.h"
#include "decision_log.h"
#include "poison_news.h"
#include "reader.h"
#include "share.h"
#include "spread.h"
#include "trial.h"
#include "xmalloc.h"

enum {
	/*
	 * After the signal to stop a node serves on, so that the balancer,
	 * which asks each second and needs two misses, and callers with
	 * connections have moved on before it ends: this part of the time until
	 * it is killed.
	 */
	LINGER_NUM = 6,
	LINGER_DEN = 10,
	/*
	 * A node without a configuration tells callers to come back: it mostly
	 * has one within a tenth of a second. While the store does not answer
	 * it may be long, and a caller that comes too soon is refused again.
	 */
	STARTING_RETRY_US = 300000,
	STORE_AWAY_RETRY_US = 1000000,
	SWEEP_US = 5000000,
	/*
	 * Nodes that start together hear of each other within this time. Until
	 * then each would take a target's connections for its own, and the
	 * target resets what is beyond its cap.
	 */
	MEET_US = 1000000,
	/* The table of targets is as the store has it: read this lately, */
	FRESH_US = 2000000,
	/* and entries that lapsed while it was away have come back. */
	AWAY_US = 5000000,
	/*
	 * News goes to so many nodes of the domain directly; where there are
	 * more, to so many that pass it on: four steps reach 910.
	 */
	NEWS_DIRECT = 32,
	NEWS_FANOUT = 8,
};

struct tier {
	apr_pool_t *pool;
	struct vm_settings settings;
	const struct dialect *dialect;
	uint64_t incarnation;
	struct flow_effects *fx;
	struct roster *roster;
	struct decision_log dlog;
	struct directory dir;
	struct reader reader;
	struct calls calls;
	struct gossip gossip;
	struct share share;
	struct spread spread;
	struct batch_book batches;
	struct poison poison;
	struct poison_news poison_news;
	bool ready;
	int64_t stop_at;
	bool stopped;
	uint64_t limits_version;
	int64_t sweep_at;
};

static struct budget_rules rules_of(const struct vm_settings *settings)
{
	return (struct budget_rules){ settings->retry_ratio,
				      settings->retry_extra,
				      settings->retry_window_us };
}

/* Evidence against requests, among nodes. */

static void send_news(void *ctx, struct str addr, const struct msg *msg)
{
	struct tier *tier = ctx;
	struct flow_effect *fx = flow_add(tier->fx, FLOW_PEER_SEND);

	fx->addr = str_dup(tier->fx->pool, addr);
	fx->msg = *msg;
	fx->msg.body = str_dup(tier->fx->pool, msg->body);
}

static void spread_to(struct tier *tier, struct msg msg, bool pass_on,
		      struct member_info *const *members, size_t count)
{
	msg.ran = pass_on;
	for (size_t i = 0; i < count; i++)
		send_news(tier, members[i]->addr, &msg);
}

/* Bytes between domains are paid for: one node of each passes it on there. */
static void spread_news(void *ctx, const struct msg *msg, bool near)
{
	struct tier *tier = ctx;
	int64_t now = tier->calls.now;
	bool relays = tier->gossip.near_live > NEWS_DIRECT;
	struct member_info *members[NEWS_DIRECT];
	size_t count;

	count = gossip_pick_near(&tier->gossip,
				 relays ? NEWS_FANOUT : NEWS_DIRECT, now,
				 members);
	spread_to(tier, *msg, relays, members, count);
	if (near)
		return;
	count = gossip_pick_far(&tier->gossip, NEWS_DIRECT, now, members);
	spread_to(tier, *msg, true, members, count);
}

static bool is_published(const void *ctx, const struct poison_crash *crash)
{
	return roster_lists(ctx, crash->key, crash->born_ms);
}

struct tier *tier_create(const struct tier_options *opt, int64_t now,
			 struct flow_effects *fx)
{
	struct tier *tier = xcalloc(1, sizeof(*tier));

	apr_pool_create(&tier->pool, NULL);
	tier->settings = *opt->settings;
	tier->settings.ip = str_dup(tier->pool, opt->settings->ip);
	tier->settings.domain = str_dup(tier->pool, opt->settings->domain);
	tier->dialect = opt->dialect;
	tier->incarnation = opt->incarnation;
	tier->fx = fx;
	tier->dlog.fx = fx;
	tier->roster =
		roster_create(tier->pool, tier->settings.domain, opt->without);
	directory_init(&tier->dir, tier->pool, opt->dialect, tier->roster,
		       &tier->dlog);
	tier->dir.cold_factor = tier->settings.cold_factor;
	tier->dir.cold_extra = tier->settings.cold_extra;
	reader_init(&tier->reader, &tier->dir, fx, now);
	calls_init(&tier->calls, tier->pool, opt->seed);
	tier->calls.roster = tier->roster;
	tier->calls.budget =
		budget_create(tier->pool, rules_of(&tier->settings));
	tier->calls.without = opt->without;
	tier->calls.fx = fx;
	tier->calls.dlog = &tier->dlog;
	gossip_init(&tier->gossip, tier->pool, fx, &tier->calls.rng,
		    &tier->settings, opt->incarnation, now);
	share_init(&tier->share, &tier->gossip, &tier->reader, fx,
		   tier->settings.first_start ||
			   !mechanism_on(opt->without, MECHANISM_QUICK_START),
		   now);
	spread_init(&tier->spread, &tier->gossip, tier->roster,
		    &tier->calls.rng, opt->without);
	batch_book_init(&tier->batches, tier->pool, &tier->gossip,
			&tier->spread);
	merge_init(&tier->calls, &tier->batches);
	poison_init(&tier->poison, tier->pool,
		    (struct poison_targets){ is_published, tier->roster });
	tier->poison_news = (struct poison_news){
		.poison = &tier->poison,
		.links = { spread_news, send_news, tier },
		.pool = tier->pool,
	};
	tier->calls.poison = &tier->poison;
	tier->calls.news = &tier->poison_news;
	tier->calls.gossip = &tier->gossip;
	return tier;
}

void tier_destroy(struct tier *tier)
{
	calls_destroy(&tier->calls);
	poison_destroy(&tier->poison);
	gossip_destroy(&tier->gossip);
	budget_destroy(tier->calls.budget);
	reader_destroy(&tier->reader);
	directory_destroy(&tier->dir);
	roster_destroy(tier->roster);
	apr_pool_destroy(tier->pool);
	free(tier);
}

/* Callers. */

static void refuse_early(struct tier *tier, uint64_t id, int status, int code,
			 const char *text, int64_t retry_after_us)
{
	struct flow_effect *fx = flow_add(tier->fx, FLOW_ANSWER);
	struct buf body = { 0 };

	error_json(&body, code, text, retry_after_us / 1000);
	fx->id = id;
	fx->status = status;
	fx->headers = STR("Content-Type: application/json\r\n");
	fx->body = str_dup(tier->fx->pool, buf_str(&body));
	fx->retry_after_us = retry_after_us;
	if (status == 503)
		metric_add(&tier->dlog.metrics, METRIC_REFUSED);
	buf_free(&body);
}

static int64_t starting_retry_us(struct tier *tier)
{
	bool store_away = tier->reader.failures > 0;

	return call_spread(&tier->calls, store_away ? STORE_AWAY_RETRY_US
						    : STARTING_RETRY_US);
}

/*
 * What is read after the process was frozen may have waited as long; the rest
 * of its time may be over. It has not run, and the caller can be told so.
 */
static bool is_stale(const struct flow_event *event)
{
	const struct flow_request *request = event->request;

	return event->queued_us && request->time_left_us >= 0 &&
	       request->time_left_us <= event->queued_us;
}

/* Return: true when it is one that crashes targets, and the call has ended. */
static bool refuse_blocked(struct tier *tier, struct call *call)
{
	const char *why = "blocked";
	int64_t retry_us = 0;

	if (poison_verdict(&tier->poison, &call->print) != POISON_BLOCKED)
		return false;
	metric_add(&tier->dlog.metrics, METRIC_BLOCKED);
	trial_excuse(&tier->calls, call, &why, &retry_us);
	call_refuse(&tier->calls, call, 503, why, retry_us);
	return true;
}

static void on_request(struct tier *tier, const struct flow_event *event)
{
	struct flow_request copy = *event->request;
	const struct flow_request *request = &copy;
	const struct route *route;
	struct call *call;

	if (!tier->dir.catalog) {
		refuse_early(tier, event->id, 503, ERR_STARTING,
			     "no configuration yet", starting_retry_us(tier));
		return;
	}
	if (is_stale(event)) {
		refuse_early(tier, event->id, 503, ERR_OVERLOADED,
			     "this node was paused", STARTING_RETRY_US);
		return;
	}
	if (copy.time_left_us >= 0)
		copy.time_left_us -= event->queued_us;
	route = catalog_find_route(tier->dir.catalog, request->host,
				   request->uri);
	if (!route) {
		refuse_early(tier, event->id, 404, ERR_NOT_FOUND,
			     "no route for this host and path", 0);
		return;
	}
	call = call_create(&tier->calls, event->id, request, tier->dir.catalog,
			   route);
	call->print = flow_fingerprint(request);
	call->kind = route->nshards ? &merge_kind : &forward_kind;
	poison_asked(&tier->poison, &call->print, event->now);
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

/* Life. */

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
	/* Others must not hand shards to a node that is about to end. */
	if (!ready)
		gossip_announce(&tier->gossip, tier->calls.now);
	decision_log_state(&tier->dlog, tier->calls.now, "ready",
			   ready ? STR("yes") : STR("no"),
			   ready ? "a configuration is in force"
				 : "planned stop",
			   tier->dlog.version);
}

static void tell_limits(struct tier *tier)
{
	const struct catalog *catalog = tier->dir.catalog;
	struct flow_effect *fx;

	if (!catalog || catalog->version == tier->limits_version)
		return;
	tier->limits_version = catalog->version;
	fx = flow_add(tier->fx, FLOW_LIMITS);
	fx->limits = catalog->limits;
}

static void on_stop(struct tier *tier)
{
	if (tier->stop_at)
		return;
	tier->stop_at = tier->calls.now +
			tier->settings.grace_us * LINGER_NUM / LINGER_DEN;
	set_ready(tier, false);
}

static void check_stop(struct tier *tier)
{
	if (!tier->stop_at || tier->stopped ||
	    tier->calls.now < tier->stop_at || tier->calls.nopen)
		return;
	tier->stopped = true;
	flow_add(tier->fx, FLOW_EXIT);
}

static void on_settings(struct tier *tier, const struct vm_settings *settings)
{
	budget_rules(tier->calls.budget, rules_of(settings));
	tier->dir.cold_factor = settings->cold_factor;
	tier->dir.cold_extra = settings->cold_extra;
	gossip_set_seeds(&tier->gossip, settings);
	directory_set_nodes(&tier->dir, tier->dir.nodes, tier->dir.near);
}

/* Other nodes. */

/* What the table of targets lacks now is gone, not only out of sight. */
static bool store_is_fresh(const struct tier *tier, int64_t now)
{
	return now - tier->dir.read_at < FRESH_US &&
	       now - roster_store_lost_at(tier->roster) > AWAY_US;
}

static void on_msg(struct tier *tier, const struct flow_event *event)
{
	const struct msg *msg = event->msg;
	struct flow_effect *fx;

	int64_t late_us = gossip_excess_delay(&tier->gossip, event->from,
					      event->incarnation,
					      event->sent_us, event->now);

	if (late_us < event->queued_us)
		late_us = event->queued_us;
	gossip_mark_answered(&tier->gossip, event->from);
	switch (msg->kind) {
	case MSG_GOSSIP:
		gossip_receive(&tier->gossip, event->from, msg->body,
			       event->now);
		poison_news_digest(&tier->poison_news, event->from, msg->hash,
				   event->now);
		break;
	case MSG_SUSPECTS:
		poison_news_msg(&tier->poison_news, event->from, msg,
				store_is_fresh(tier, event->now), event->now);
		break;
	case MSG_TRY:
		trial_asked(&tier->calls, event->from, event->incarnation, msg);
		break;
	case MSG_TRY_REPLY:
		trial_on_reply(&tier->calls, msg);
		break;
	case MSG_RELINK:
		fx = flow_add(tier->fx, FLOW_RESET_PEER);
		fx->addr = str_dup(tier->fx->pool, event->from);
		break;
	case MSG_ITEMS:
		share_items(&tier->share, event->from, msg, event->now);
		tell_limits(tier);
		break;
	case MSG_ITEMS_GET:
		share_wanted(&tier->share, event->from, msg, event->now);
		break;
	case MSG_ASK:
		batch_asked(&tier->calls, tier->dir.catalog, event->from,
			    event->incarnation, msg, late_us);
		break;
	case MSG_ASK_REPLY:
		batch_on_reply(&tier->calls, event->from, msg);
		break;
	case MSG_ASK_GO:
		batch_on_go(&tier->calls, event->from, msg);
		break;
	case MSG_ASK_CANCEL:
		batch_cancelled(&tier->calls, event->from, msg);
		break;
	default:
		/* Of the other kind of node, which serves its own interface. */
		break;
	}
}

static void count_nodes(struct tier *tier)
{
	int nodes = gossip_counted_nodes(&tier->gossip);
	bool met = tier->calls.now - tier->gossip.started_at > MEET_US;
	int near = met ? tier->gossip.near_counted : 0;

	if (nodes == tier->dir.nodes && near == tier->dir.near)
		return;
	decision_log_state(&tier->dlog, tier->calls.now, "nodes", STR("all"),
			   "heard of", (uint64_t)nodes);
	directory_set_nodes(&tier->dir, nodes, near);
	tier->spread.met = met;
	spread_forget(&tier->spread);
	budget_nodes(tier->calls.budget, nodes);
}

/* Tables must not grow with all targets that there ever were. */
static void sweep(struct tier *tier)
{
	if (tier->calls.now < tier->sweep_at)
		return;
	tier->sweep_at = tier->calls.now + SWEEP_US;
	roster_sweep(tier->roster, tier->calls.now);
	directory_sweep(&tier->dir, tier->calls.now);
	poison_settle(&tier->poison, store_is_fresh(tier, tier->calls.now),
		      tier->calls.now);
}

static void run_timers(struct tier *tier)
{
	struct timer due;

	while (timer_pop(&tier->calls.timers, tier->calls.now, &due))
		call_due(&tier->calls, &due);
}

void tier_reduce(struct tier *tier, const struct flow_event *event,
		 struct flow_effects *fx)
{
	tier->fx = fx;
	tier->calls.now = event->now;
	switch (event->type) {
	case FLOW_TICK:
		/*
		 * Only here, after all that has come in was taken: a process
		 * that was held up must not judge what it has not read late.
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
		call_replied(&tier->calls, event->id, event->reply);
		break;
	case FLOW_STORE_REPLY:
		reader_reply(&tier->reader, event->store, event->now);
		if (event->store->ok && tier->reader.state == READER_IDLE)
			share_read(&tier->share, event->now);
		tell_limits(tier);
		break;
	case FLOW_MSG:
		on_msg(tier, event);
		break;
	case FLOW_PEER_LOST:
		batch_on_lost(&tier->calls, event->from);
		break;
	case FLOW_SETTINGS:
		on_settings(tier, event->settings);
		break;
	case FLOW_STOP:
		on_stop(tier);
		break;
	case FLOW_EVENTS:
		break;
	}
	share_tick(&tier->share, event->now);
	if (event->now >= tier->gossip.next_at)
		tier->gossip.digest = poison_digest(&tier->poison, event->now);
	gossip_tick(&tier->gossip, event->now);
	count_nodes(tier);
	reader_tick(&tier->reader, event->now);
	if (!tier->stop_at && tier->dir.catalog)
		set_ready(tier, true);
	check_stop(tier);
}

void tier_reap(struct tier *tier)
{
	calls_reap(&tier->calls);
}

int64_t tier_wake_at(const struct tier *tier)
{
	int64_t when = timer_next(&tier->calls.timers);
	int64_t read_at = reader_wake_at(&tier->reader);

	int64_t share_at = share_wake_at(&tier->share, tier->calls.now);

	if (read_at < when)
		when = read_at;
	if (tier->gossip.next_at < when)
		when = tier->gossip.next_at;
	if (!tier->reader.active && share_at < when)
		when = share_at;
	if (tier->stop_at && !tier->stopped && !tier->calls.nopen &&
	    tier->stop_at < when)
		when = tier->stop_at;
	return when;
}

void tier_metrics(const struct tier *tier, struct buf *out)
{
	struct poison_counts counts = poison_count(&tier->poison);
	const struct directory *dir = &tier->dir;

	metrics_text(&tier->dlog.metrics, out);
	metric_gauge(out, "open_calls", "requests without an answer",
		     tier->calls.nopen);
	metric_gauge(out, "waiting",
		     "shards of requests that wait for a target",
		     lines_count(tier->calls.lines));
	metric_gauge(out, "targets", "targets in the table",
		     roster_count(tier->roster));
	metric_gauge(out, "nodes", "nodes that share bounds with this one",
		     (uint64_t)dir->nodes);
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
	metric_gauge(out, "store_age_ms",
		     "since the store, or a reader of it, was heard of",
		     (uint64_t)(tier->calls.now - dir->read_at) / 1000);
	metric_gauge(out, "suspect_requests",
		     "contents that are tried at one target at a time",
		     counts.suspect);
	metric_gauge(out, "blocked_requests",
		     "contents that are sent to no target", counts.blocked);
	metric_gauge(out, "ready", "callers may be sent here", tier->ready);
}
