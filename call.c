#include "call.h"

#include <stdlib.h>

#include "call_queue.h"
#include "cold_share.h"
#include "decision_log.h"
#include "poison_sync.h"
#include "trial.h"
#include "xmalloc.h"

enum {
	/*
	 * An orphaned attempt may complete within this time after it was sent,
	 * which keeps its connection reusable. Later it is cancelled, so that
	 * targets do not work for callers that have gone. The limit that
	 * callers check is half a second.
	 */
	ORPHAN_TIMEOUT_US = 250000,
	/* Callers' retries are spread over the last quarter of their delay. */
	JITTER_DIVISOR = 4,
	/* Lets a target's own timeout reply arrive after its deadline. */
	REPLY_SLACK_US = 30000,
	/* Initial baseline latency of a route, as a fraction of its goal. */
	INITIAL_BASELINE_DIVISOR = 8,
};

bool calls_mechanism_enabled(const struct calls *calls,
			     enum mechanism mechanism)
{
	return mechanism_enabled(calls->without, mechanism);
}

void calls_init(struct calls *calls, apr_pool_t *pool, uint64_t seed)
{
	*calls = (struct calls){ .pool = pool,
				 .ends_at = INT64_MAX,
				 .rng.seed = seed };
	calls->open = hash_make(pool);
	calls->attempts = hash_make(pool);
	calls->baselines = hash_make(pool);
	calls->wait_queues = hash_make(pool);
}

static void free_all(apr_hash_t *hash)
{
	apr_hash_index_t *it;

	for (it = apr_hash_first(NULL, hash); it; it = apr_hash_next(it)) {
		void *value = hash_value(it);

		free(value);
	}
}

void calls_destroy(struct calls *calls)
{
	apr_hash_index_t *it;

	for (it = apr_hash_first(NULL, calls->open); it;
	     it = apr_hash_next(it)) {
		struct call *call = hash_value(it);

		call->next_ended = calls->ended_calls;
		calls->ended_calls = call;
	}
	calls_reap(calls);
	free_all(calls->attempts);
	free_all(calls->baselines);
	wait_queues_free(calls->wait_queues);
	timers_free(&calls->timers);
}

void calls_reap(struct calls *calls)
{
	while (calls->ended_calls) {
		struct call *call = calls->ended_calls;

		calls->ended_calls = call->next_ended;
		catalog_unref(call->catalog);
		apr_pool_destroy(call->pool);
	}
}

static struct flow_request copy_request(apr_pool_t *pool,
					const struct flow_request *from)
{
	return (struct flow_request){
		.method = str_dup(pool, from->method),
		.uri = str_dup(pool, from->uri),
		.host = str_dup(pool, from->host),
		.request_id = str_dup(pool, from->request_id),
		.headers = str_dup(pool, from->headers),
		.body = str_dup(pool, from->body),
		.time_left_us = from->time_left_us,
	};
}

struct call *call_create(struct calls *calls, uint64_t id,
			 const struct flow_request *request,
			 struct catalog *catalog, const struct route *route)
{
	apr_pool_t *pool;
	struct call *call;
	int64_t timeout = route->timeout_us;

	apr_pool_create(&pool, calls->pool);
	call = apr_pcalloc(pool, sizeof(*call));
	call->pool = pool;
	call->id = id;
	call->request = copy_request(pool, request);
	call->catalog = catalog_ref(catalog);
	call->route = route;
	call->baseline =
		baseline_get(calls->baselines, str_hash(route->name),
			     route->goal_us / INITIAL_BASELINE_DIVISOR);
	call->start = calls->now;
	if (request->time_left_us >= 0 && request->time_left_us < timeout)
		timeout = request->time_left_us;
	call->deadline = calls->now + timeout;
	apr_hash_set(calls->open, &call->id, sizeof(call->id), call);
	calls->nopen++;
	return call;
}

struct call *call_find(struct calls *calls, uint64_t id)
{
	return apr_hash_get(calls->open, &id, sizeof(id));
}

bool calls_accept(const struct calls *calls, const struct route *route)
{
	return calls->now < calls->ends_at - route->goal_us;
}

int64_t call_ends_at(const struct calls *calls, const struct call *call)
{
	return call->deadline < calls->ends_at ? call->deadline
					       : calls->ends_at;
}

const char *call_end_reason(const struct calls *calls, const struct call *call)
{
	return calls->now >= call->deadline ? "out of time"
					    : "the planned stop ended it";
}

void call_schedule_review(struct calls *calls, struct call *call, int64_t when)
{
	if (call->next_review_at && call->next_review_at <= when)
		return;
	call->next_review_at = when;
	timer_add(&calls->timers, when, TIMER_QUESTION, call->id);
}

/* Attempts. */

static void attempt_unlink(struct attempt *attempt)
{
	struct attempt **at = &attempt->call->attempts;

	while (*at != attempt)
		at = &(*at)->next;
	*at = attempt->next;
}

static void attempt_orphan(struct calls *calls, struct attempt *attempt)
{
	int64_t until = attempt->sent_at + ORPHAN_TIMEOUT_US;

	attempt->served = attempt->call->served;
	attempt->call = NULL;
	attempt->next = NULL;
	timer_add(&calls->timers, until > calls->now ? until : calls->now,
		  TIMER_JOB, attempt->id);
}

/* Further replies for a part that is done are not needed. */
static void orphan_part(struct calls *calls, struct call *call, size_t part)
{
	struct attempt **at = &call->attempts;

	while (*at) {
		struct attempt *attempt = *at;

		if (attempt->part != part) {
			at = &attempt->next;
			continue;
		}
		*at = attempt->next;
		attempt_orphan(calls, attempt);
	}
	call->parts[part].open = 0;
}

static void attempt_cancel(struct calls *calls, struct attempt *attempt)
{
	struct flow_effect *fx = flow_add(calls->fx, FLOW_CANCEL);

	fx->id = attempt->id;
	metric_add(&calls->decision_log->metrics, METRIC_CUT);
	balancer_on_reply(calls->balancer, attempt->target, REPLY_CANCELLED,
			  attempt->baseline_us, attempt->sent_at, calls->now);
	apr_hash_set(calls->attempts, &attempt->id, sizeof(attempt->id), NULL);
	free(attempt);
}

/* Return: index of @key in @part->tried, @part->ntried if it is not there. */
static size_t tried_index(const struct part *part, uint64_t key)
{
	size_t at = 0;

	while (at < part->ntried && part->tried[at] != key)
		at++;
	return at;
}

static void record_tried(struct part *part, uint64_t key)
{
	size_t at = tried_index(part, key);

	if (at == part->ntried)
		part->ntried++;
	part->tried[at] = key;
	part->rejected &= ~(1U << at);
}

static void attempt_start(struct calls *calls, struct call *call, size_t index,
			  struct live_target *target)
{
	struct attempt *attempt = xcalloc(1, sizeof(*attempt));
	struct flow_effect *fx = flow_add(calls->fx, FLOW_SEND);
	struct part *part = &call->parts[index];

	attempt->id = ++calls->next_id;
	attempt->call = call;
	attempt->part = index;
	attempt->target = target;
	attempt->sent_at = calls->now;
	attempt->baseline = call->baseline;
	attempt->baseline_us = call->baseline->us;
	attempt->extra = part->ntried > 0;
	attempt->fingerprint = call->fingerprint;
	attempt->round = poison_next_round(calls->poison, &call->fingerprint);
	call->trial.nattempts += call->trial.lease == LEASE_GRANTED;
	attempt->next = call->attempts;
	call->attempts = attempt;
	apr_hash_set(calls->attempts, &attempt->id, sizeof(attempt->id),
		     attempt);
	record_tried(part, target->key);
	part->nattempts++;
	part->queued = false;
	part->open++;
	if (balancer_on_send(calls->balancer, target, attempt->baseline_us,
			     calls->now))
		metric_add(&calls->decision_log->metrics, METRIC_COLD_BORROWED);
	fx->id = attempt->id;
	fx->addr = str_dup(calls->fx->pool, target->addr);
	fx->expected = str_dup(calls->fx->pool, target->id);
	fx->request = &call->request;
	fx->time_left_us = call->deadline - calls->now;
	fx->timeout_us = fx->time_left_us + REPLY_SLACK_US;
}

static bool may_try_new_target(const struct call *call, const struct part *part)
{
	return (int)part->ntried < call->route->max_attempts &&
	       part->ntried < CALL_TARGETS_MAX;
}

bool call_may_send(const struct call *call, const struct part *part)
{
	if (part->nattempts >= CALL_ATTEMPTS_MAX)
		return false;
	return may_try_new_target(call, part) || part->rejected;
}

/*
 * A target that rejected the request has not run it, and max_attempts of the
 * route limits targets, not attempts. So when no other target is left, one that
 * rejected the request may get it again. Otherwise the shard would be missing
 * whenever one of its targets is full or paused.
 */
static struct live_target *choose_rejected_target(struct calls *calls,
						  const struct call *call,
						  const struct part *part)
{
	uint64_t excluded[CALL_TARGETS_MAX];
	struct target_query target_query = { .service = part->service,
					     .excluded = excluded,
					     .baseline_us = call->baseline->us,
					     .goal_us = call->route->goal_us,
					     .now = calls->now };
	struct live_target *target;

	for (size_t i = 0; i < part->ntried; i++)
		if (!(part->rejected & 1U << i))
			excluded[target_query.nexcluded++] = part->tried[i];
	target = balancer_choose_target(calls->balancer, &target_query);
	if (!target || calls->now < target->backoff_until ||
	    tried_index(part, target->key) == part->ntried)
		return NULL;
	return target;
}

static struct live_target *choose_target(struct calls *calls,
					 const struct call *call,
					 const struct part *part)
{
	struct target_query target_query = { .service = part->service,
					     .excluded = part->tried,
					     .nexcluded = part->ntried,
					     .baseline_us = call->baseline->us,
					     .goal_us = call->route->goal_us,
					     .now = calls->now };
	struct live_target *target = NULL;

	if (may_try_new_target(call, part))
		target = balancer_choose_target(calls->balancer, &target_query);
	if (!target && part->rejected &&
	    calls_mechanism_enabled(calls, MECHANISM_RETRY_REJECTED))
		target = choose_rejected_target(calls, call, part);
	return target;
}

static enum send_result try_send(struct calls *calls, struct call *call,
				 size_t index)
{
	struct part *part = &call->parts[index];
	struct live_target *target;
	enum send_result trial_result;

	if (!call_may_send(call, part))
		return SEND_NO_ATTEMPTS;
	trial_result = trial_check_send(calls, call, part);
	if (trial_result != SEND_DONE)
		return trial_result;
	target = choose_target(calls, call, part);
	if (!target) {
		cold_share_want(calls->cold_share, part, calls->now);
		return SEND_NO_TARGET;
	}
	if (!part->ntried && !part->sent_elsewhere) {
		budget_count_first_attempt(calls->budget, part->service,
					   call->retry_share, calls->now);
		metric_add(&calls->decision_log->metrics, METRIC_SENT);
	} else if (budget_take_retry(calls->budget, part->service,
				     call->retry_share, calls->now)) {
		metric_add(&calls->decision_log->metrics, METRIC_SENT_AGAIN);
	} else {
		metric_add(&calls->decision_log->metrics, METRIC_NO_BUDGET);
		return SEND_NO_BUDGET;
	}
	attempt_start(calls, call, index, target);
	return SEND_DONE;
}

enum send_result call_send(struct calls *calls, struct call *call, size_t index)
{
	enum send_result result = try_send(calls, call, index);
	struct part *part = &call->parts[index];

	part->last_send_result = result;
	if (result == SEND_NO_TARGET && call->kind->may_queue && !part->open &&
	    !part->queued && calls_mechanism_enabled(calls, MECHANISM_LINE))
		call_queue_join(calls, call, index);
	return result;
}

static void mark_rejected(struct part *part, uint64_t key)
{
	size_t at = tried_index(part, key);

	if (at < part->ntried)
		part->rejected |= 1U << at;
}

static enum target_reply classify_reply(const struct flow_reply *reply)
{
	switch (reply->result) {
	case FETCH_REFUSED:
		return REPLY_DOWN;
	case FETCH_BROKEN:
	case FETCH_TIMEOUT:
	case FETCH_MALFORMED:
		return REPLY_FAILED;
	case FETCH_OK:
		break;
	}
	if (reply->wrong_target)
		return REPLY_WRONG_TARGET;
	if (reply->not_run)
		return REPLY_REJECTED;
	return reply->status / 100 == 2 ? REPLY_GOOD : REPLY_FAILED;
}

/* The target did not run the request, or did not even receive it. */
static bool never_ran(const struct flow_reply *reply)
{
	return reply->result == FETCH_REFUSED || reply->not_run ||
	       reply->wrong_target;
}

void call_mark_served(struct calls *calls, struct call *call)
{
	call->served = true;
	if (poison_on_answer(calls->poison, &call->fingerprint, calls->now))
		decision_log_cleared(calls->decision_log, calls->now,
				     &call->fingerprint);
	poison_sync_send(calls->poison_sync, calls->now);
}

/*
 * A good reply clears the request of suspicion; a connection that broke while
 * the request was unserved counts as evidence that it crashes targets.
 */
static void record_evidence(struct calls *calls, struct call *call,
			    const struct attempt *attempt,
			    const struct flow_reply *reply)
{
	struct poison_crash crash = { .key = attempt->target->key,
				      .born_ms = attempt->target->born_ms,
				      .at = calls->now };
	const struct poison_entry *entry;

	if (call && classify_reply(reply) == REPLY_GOOD)
		call_mark_served(calls, call);
	if (!calls_mechanism_enabled(calls, MECHANISM_POISON) ||
	    reply->result != FETCH_BROKEN ||
	    (call ? call->served : attempt->served))
		return;
	entry = poison_on_crash(calls->poison, &attempt->fingerprint,
				attempt->round, &crash);
	/* Others may be about to send a canary of the same content. */
	if (call && call->unproven) {
		poison_on_unanswered(calls->poison, &call->fingerprint);
		poison_sync_send(calls->poison_sync, calls->now);
	}
	if (!entry)
		return;
	decision_log_suspect(calls->decision_log, calls->now, calls->poison,
			     entry, attempt->target->id);
	poison_sync_send(calls->poison_sync, calls->now);
}

static void handle_reply(struct calls *calls, uint64_t id,
			 const struct flow_reply *reply)
{
	struct attempt *attempt =
		apr_hash_get(calls->attempts, &id, sizeof(id));
	struct attempt copy;
	struct call *call;
	uint64_t target_key;

	call = attempt->call;
	if (call) {
		attempt_unlink(attempt);
		call->parts[attempt->part].open--;
	}
	copy = *attempt;
	target_key = copy.target->key;
	apr_hash_set(calls->attempts, &copy.id, sizeof(copy.id), NULL);
	free(attempt);
	if (call && classify_reply(reply) != REPLY_GOOD)
		decision_log_attempt(calls->decision_log, calls->now, call,
				     &copy, reply);
	if (classify_reply(reply) == REPLY_GOOD) {
		metric_observe_latency(&calls->decision_log->metrics,
				       LATENCY_TARGET,
				       calls->now - copy.sent_at);
		baseline_add(copy.baseline, calls->now - copy.sent_at);
	}
	record_evidence(calls, call, &copy, reply);
	if (call)
		trial_on_canary_reply(call, reply);
	if (call)
		trial_on_attempt_ended(calls, call, !never_ran(reply));
	if (reply->cold_us > 0)
		copy.target->cold_until = calls->now + reply->cold_us;
	/* This frees the target if it is no longer published. */
	balancer_on_reply(calls->balancer, copy.target, classify_reply(reply),
			  copy.baseline_us, copy.sent_at, calls->now);
	copy.target = NULL;
	if (!call)
		return;
	if (!never_ran(reply))
		call->parts[copy.part].ran = true;
	else if (reply->not_run && !reply->wrong_target)
		mark_rejected(&call->parts[copy.part], target_key);
	call->kind->replied(calls, call, &copy, reply);
	/* The call may have ended, but its parts live until calls_reap(). */
	if (call->parts[copy.part].done)
		orphan_part(calls, call, copy.part);
}

void call_on_reply(struct calls *calls, uint64_t id,
		   const struct flow_reply *reply)
{
	const struct attempt *attempt =
		apr_hash_get(calls->attempts, &id, sizeof(id));
	uint64_t service;

	if (!attempt)
		return;
	service = attempt->target->service;
	handle_reply(calls, id, reply);
	call_queue_serve(calls, service);
}

void call_on_timer(struct calls *calls, const struct timer *due)
{
	struct attempt *attempt;
	struct call *call;

	if (due->kind == TIMER_JOB) {
		attempt = apr_hash_get(calls->attempts, &due->id,
				       sizeof(due->id));
		if (attempt && !attempt->call) {
			uint64_t service = attempt->target->service;

			attempt_cancel(calls, attempt);
			call_queue_serve(calls, service);
		}
		return;
	}
	if (due->kind == TIMER_COLD) {
		call_queue_serve(calls, due->id);
		return;
	}
	call = call_find(calls, due->id);
	if (!call || call->next_review_at != due->when)
		return;
	call->next_review_at = 0;
	call->kind->review(calls, call);
}

/* Ending calls. */

/*
 * Other nodes get the evidence before the caller gets its answer, as the caller
 * may retry at any of them. A batch that its origin cancelled is left out: it
 * was mostly answered elsewhere.
 */
static void report_unserved(struct calls *calls, const struct call *call)
{
	if (call->served || (call->origin.len && call->abandoned))
		return;
	poison_on_unanswered(calls->poison, &call->fingerprint);
	poison_sync_send(calls->poison_sync, calls->now);
}

static void call_end(struct calls *calls, struct call *call)
{
	report_unserved(calls, call);
	while (call->attempts) {
		struct attempt *attempt = call->attempts;

		call->attempts = attempt->next;
		/*
		 * A request that is not idempotent is left to complete:
		 * cancelling it would leave open whether it ran, also in the
		 * target's own records.
		 */
		if (call->route->idempotent)
			attempt_orphan(calls, attempt);
		else
			attempt->call = NULL;
	}
	if (call->kind->ended)
		call->kind->ended(calls, call);
	call->finished = true;
	apr_hash_set(calls->open, &call->id, sizeof(call->id), NULL);
	calls->nopen--;
	call->next_ended = calls->ended_calls;
	calls->ended_calls = call;
}

void call_answer(struct calls *calls, struct call *call,
		 const struct final *final)
{
	struct flow_effect *fx;

	decision_log_final(calls->decision_log, calls->now, call, final);
	report_unserved(calls, call);
	fx = flow_add(calls->fx, FLOW_ANSWER);
	fx->id = call->id;
	fx->status = final->status;
	fx->headers = str_dup(call->pool, final->headers);
	fx->body = str_dup(call->pool, final->body);
	fx->merged = final->merged;
	fx->signatures = str_dup(call->pool, final->signatures);
	fx->missing = final->missing;
	fx->retry_after_us = final->retry_after_us;
	call_end(calls, call);
}

int64_t call_jitter(struct calls *calls, int64_t us)
{
	uint64_t range = (uint64_t)us / JITTER_DIVISOR + 1;

	if (!calls_mechanism_enabled(calls, MECHANISM_RETURN_SPREAD))
		return us;
	return us - (int64_t)rng_below(&calls->rng, range);
}

static int error_code(const struct calls *calls, const struct call *call,
		      int status)
{
	if (poison_verdict(calls->poison, &call->fingerprint) == POISON_BLOCKED)
		return ERR_BLOCKED;
	if (status == 503)
		return ERR_OVERLOADED;
	return status == 504 ? ERR_DEADLINE : ERR_BROKEN;
}

void call_refuse(struct calls *calls, struct call *call, int status,
		 const char *why, int64_t retry_after_us)
{
	struct buf body = { 0 };
	struct final final = { .status = status,
			       .why = why,
			       .headers = STR("Content-Type: "
					      "application/json\r\n") };

	if (retry_after_us)
		final.retry_after_us = call_jitter(calls, retry_after_us);
	error_json(&body, error_code(calls, call, status), why,
		   final.retry_after_us / 1000);
	final.body = buf_str(&body);
	call_answer(calls, call, &final);
	buf_free(&body);
}

void call_finish(struct calls *calls, struct call *call)
{
	call_end(calls, call);
}

void call_abandon(struct calls *calls, struct call *call)
{
	decision_log_caller_gone(calls->decision_log, calls->now, call);
	call->abandoned = true;
	call_end(calls, call);
}
