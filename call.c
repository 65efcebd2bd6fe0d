#include "call.h"

#include <stdlib.h>

#include "call_line.h"
#include "note.h"
#include "poison_news.h"
#include "trial.h"
#include "xmalloc.h"

enum {
	/*
	 * An attempt that nobody waits for may end by itself within this time,
	 * which keeps its connection; then it is cut, so that a target does not
	 * work for callers that have gone. Callers count half a second.
	 */
	ORPHAN_US = 250000,
	/* Callers' returns are spread over this part of the time to it. */
	SPREAD_PART = 4,
	/* Past the time told to a target, for its own refusal to arrive. */
	REPLY_SLACK_US = 30000,
	/* A reply is taken to need this part of the goal until some have come.
	 */
	GUESS_GOAL_PART = 8,
};

bool call_has(const struct calls *calls, enum mechanism mechanism)
{
	return mechanism_on(calls->without, mechanism);
}

void calls_init(struct calls *calls, apr_pool_t *pool, uint64_t seed)
{
	*calls = (struct calls){ .pool = pool, .rng.seed = seed };
	calls->open = hash_make(pool);
	calls->attempts = hash_make(pool);
	calls->usual = hash_make(pool);
	calls->lines = hash_make(pool);
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

		call->next_dead = calls->dead;
		calls->dead = call;
	}
	calls_reap(calls);
	free_all(calls->attempts);
	free_all(calls->usual);
	lines_free(calls->lines);
	timers_free(&calls->timers);
}

void calls_reap(struct calls *calls)
{
	while (calls->dead) {
		struct call *call = calls->dead;

		calls->dead = call->next_dead;
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
	int64_t wait = route->timeout_us;

	apr_pool_create(&pool, calls->pool);
	call = apr_pcalloc(pool, sizeof(*call));
	call->pool = pool;
	call->id = id;
	call->request = copy_request(pool, request);
	call->catalog = catalog_ref(catalog);
	call->route = route;
	call->usual = usual_get(calls->usual, str_hash(route->name),
				route->goal_us / GUESS_GOAL_PART);
	call->start = calls->now;
	if (request->time_left_us >= 0 && request->time_left_us < wait)
		wait = request->time_left_us;
	call->give_up_at = calls->now + wait;
	apr_hash_set(calls->open, &call->id, sizeof(call->id), call);
	calls->nopen++;
	return call;
}

struct call *call_find(struct calls *calls, uint64_t id)
{
	return apr_hash_get(calls->open, &id, sizeof(id));
}

void call_review_at(struct calls *calls, struct call *call, int64_t when)
{
	if (call->review_at && call->review_at <= when)
		return;
	call->review_at = when;
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
	int64_t until = attempt->sent_at + ORPHAN_US;

	attempt->served = attempt->call->served;
	attempt->call = NULL;
	attempt->next = NULL;
	timer_add(&calls->timers, until > calls->now ? until : calls->now,
		  TIMER_JOB, attempt->id);
}

/* The replies of a part that is done are not needed any more. */
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

static void attempt_cut(struct calls *calls, struct attempt *attempt)
{
	struct flow_effect *fx = flow_add(calls->fx, FLOW_CANCEL);

	fx->id = attempt->id;
	metric_add(&calls->notes->metrics, METRIC_CUT);
	roster_answered(calls->roster, attempt->target, REPLY_DROPPED,
			attempt->usual_us, attempt->sent_at, calls->now);
	apr_hash_set(calls->attempts, &attempt->id, sizeof(attempt->id), NULL);
	free(attempt);
}

/* Return: its place, or @part->ntried when it has not been asked. */
static size_t find_tried(const struct part *part, uint64_t key)
{
	size_t at = 0;

	while (at < part->ntried && part->tried[at] != key)
		at++;
	return at;
}

static void remember_tried(struct part *part, uint64_t key)
{
	size_t at = find_tried(part, key);

	if (at == part->ntried)
		part->ntried++;
	part->tried[at] = key;
	part->rejected &= ~(1U << at);
}

static void attempt_start(struct calls *calls, struct call *call, size_t part,
			  struct live_target *target)
{
	struct attempt *attempt = xcalloc(1, sizeof(*attempt));
	struct flow_effect *fx = flow_add(calls->fx, FLOW_SEND);
	struct part *p = &call->parts[part];

	attempt->id = ++calls->next_id;
	attempt->call = call;
	attempt->part = part;
	attempt->target = target;
	attempt->sent_at = calls->now;
	attempt->usual = call->usual;
	attempt->usual_us = call->usual->us;
	attempt->extra = p->ntried > 0;
	attempt->print = call->print;
	attempt->round = poison_round(calls->poison, &call->print);
	call->trial.sends += call->trial.state == TRIAL_GRANTED;
	attempt->next = call->attempts;
	call->attempts = attempt;
	apr_hash_set(calls->attempts, &attempt->id, sizeof(attempt->id),
		     attempt);
	remember_tried(p, target->key);
	p->nsent++;
	p->waits = false;
	p->open++;
	track_sent(target, attempt->usual_us, calls->now);
	fx->id = attempt->id;
	fx->addr = str_dup(calls->fx->pool, target->addr);
	fx->expected = str_dup(calls->fx->pool, target->id);
	fx->request = &call->request;
	fx->time_left_us = call->give_up_at - calls->now;
	fx->timeout_us = fx->time_left_us + REPLY_SLACK_US;
}

static bool has_fresh_tries(const struct call *call, const struct part *part)
{
	return (int)part->ntried < call->route->attempts &&
	       part->ntried < CALL_TRIES_MAX;
}

bool call_may_send(const struct call *call, const struct part *part)
{
	if (part->nsent >= CALL_SENDS_MAX)
		return false;
	return has_fresh_tries(call, part) || part->rejected;
}

/*
 * A target that rejected the request has not run it, and the bound of the route
 * is on targets, not on sends. So it is asked once more when no other can be:
 * else the shard is missing while one of its targets is full or in a pause.
 */
static struct live_target *choose_again(struct calls *calls,
					const struct call *call,
					const struct part *part)
{
	uint64_t avoid[CALL_TRIES_MAX];
	struct choice choice = { .service = part->service,
				 .avoid = avoid,
				 .usual_us = call->usual->us,
				 .goal_us = call->route->goal_us,
				 .now = calls->now };
	struct live_target *target;

	for (size_t i = 0; i < part->ntried; i++)
		if (!(part->rejected & 1U << i))
			avoid[choice.navoid++] = part->tried[i];
	target = roster_choose(calls->roster, &choice);
	if (!target || calls->now < target->wary_until ||
	    find_tried(part, target->key) == part->ntried)
		return NULL;
	return target;
}

static struct live_target *choose(struct calls *calls, const struct call *call,
				  const struct part *part)
{
	struct choice choice = { .service = part->service,
				 .avoid = part->tried,
				 .navoid = part->ntried,
				 .usual_us = call->usual->us,
				 .goal_us = call->route->goal_us,
				 .now = calls->now };
	struct live_target *target = NULL;

	if (has_fresh_tries(call, part))
		target = roster_choose(calls->roster, &choice);
	if (!target && part->rejected &&
	    call_has(calls, MECHANISM_RETRY_REJECTED))
		target = choose_again(calls, call, part);
	return target;
}

static enum send_result try_send(struct calls *calls, struct call *call,
				 size_t part)
{
	struct part *p = &call->parts[part];
	struct live_target *target;
	enum send_result leave;

	if (!call_may_send(call, p))
		return SEND_NO_TRIES;
	leave = trial_may_send(calls, call, p);
	if (leave != SEND_DONE)
		return leave;
	target = choose(calls, call, p);
	if (!target)
		return SEND_NO_TARGET;
	if (!p->ntried && !p->again) {
		budget_first(calls->budget, p->service, calls->now);
		metric_add(&calls->notes->metrics, METRIC_SENT);
	} else if (budget_take(calls->budget, p->service, call->retry_share,
			       calls->now)) {
		metric_add(&calls->notes->metrics, METRIC_SENT_AGAIN);
	} else {
		metric_add(&calls->notes->metrics, METRIC_NO_BUDGET);
		return SEND_NO_BUDGET;
	}
	attempt_start(calls, call, part, target);
	return SEND_DONE;
}

enum send_result call_send(struct calls *calls, struct call *call, size_t part)
{
	enum send_result result = try_send(calls, call, part);
	struct part *p = &call->parts[part];

	p->held_by = result;
	if (result == SEND_NO_TARGET && call->kind->in_line && !p->open &&
	    !p->waits && call_has(calls, MECHANISM_LINE))
		call_line_join(calls, call, part);
	return result;
}

static void mark_rejected(struct part *part, uint64_t key)
{
	size_t at = find_tried(part, key);

	if (at < part->ntried)
		part->rejected |= 1U << at;
}

static enum target_reply judge(const struct flow_reply *reply)
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
	if (reply->other)
		return REPLY_OTHER;
	if (reply->not_run)
		return REPLY_FULL;
	return reply->status / 100 == 2 ? REPLY_GOOD : REPLY_FAILED;
}

void call_served(struct calls *calls, struct call *call)
{
	call->served = true;
	if (poison_served(calls->poison, &call->print, calls->now))
		note_cleared(calls->notes, calls->now, &call->print);
	poison_news_send(calls->news, calls->now);
}

/* What a reply, or a broken connection, says of its request. */
static void judge_request(struct calls *calls, struct call *call,
			  const struct attempt *attempt,
			  const struct flow_reply *reply)
{
	struct poison_crash crash = { .key = attempt->target->key,
				      .born_ms = attempt->target->born_ms,
				      .at = calls->now };
	const struct poison_entry *entry;

	if (call && judge(reply) == REPLY_GOOD)
		call_served(calls, call);
	if (!call_has(calls, MECHANISM_POISON) ||
	    reply->result != FETCH_BROKEN ||
	    (call ? call->served : attempt->served))
		return;
	entry = poison_broke(calls->poison, &attempt->print, attempt->round,
			     &crash);
	if (!entry)
		return;
	note_suspect(calls->notes, calls->now, calls->poison, entry,
		     attempt->target->id);
	poison_news_send(calls->news, calls->now);
}

static void take_reply(struct calls *calls, uint64_t id,
		       const struct flow_reply *reply)
{
	struct attempt *attempt =
		apr_hash_get(calls->attempts, &id, sizeof(id));
	struct attempt copy;
	struct call *call;

	call = attempt->call;
	if (call) {
		attempt_unlink(attempt);
		call->parts[attempt->part].open--;
	}
	copy = *attempt;
	apr_hash_set(calls->attempts, &copy.id, sizeof(copy.id), NULL);
	free(attempt);
	if (call && judge(reply) != REPLY_GOOD)
		note_tried(calls->notes, calls->now, call, &copy, reply);
	if (judge(reply) == REPLY_GOOD) {
		metric_observe_latency(&calls->notes->metrics, LATENCY_TARGET,
				       calls->now - copy.sent_at);
		usual_add(copy.usual, calls->now - copy.sent_at);
	}
	judge_request(calls, call, &copy, reply);
	if (reply->cold_us > 0)
		copy.target->cold_until = calls->now + reply->cold_us;
	roster_answered(calls->roster, copy.target, judge(reply), copy.usual_us,
			copy.sent_at, calls->now);
	if (!call)
		return;
	if (reply->result != FETCH_REFUSED && !reply->not_run && !reply->other)
		call->parts[copy.part].ran = true;
	else if (reply->not_run && !reply->other)
		mark_rejected(&call->parts[copy.part], copy.target->key);
	call->kind->replied(calls, call, &copy, reply);
	/* The call may have ended: only its parts tell, and they still live. */
	if (call->parts[copy.part].done)
		orphan_part(calls, call, copy.part);
}

void call_replied(struct calls *calls, uint64_t id,
		  const struct flow_reply *reply)
{
	const struct attempt *attempt =
		apr_hash_get(calls->attempts, &id, sizeof(id));
	uint64_t service;

	if (!attempt)
		return;
	service = attempt->target->service;
	take_reply(calls, id, reply);
	call_line_serve(calls, service);
}

void call_due(struct calls *calls, const struct timer *due)
{
	struct attempt *attempt;
	struct call *call;

	if (due->kind == TIMER_JOB) {
		attempt = apr_hash_get(calls->attempts, &due->id,
				       sizeof(due->id));
		if (attempt && !attempt->call) {
			uint64_t service = attempt->target->service;

			attempt_cut(calls, attempt);
			call_line_serve(calls, service);
		}
		return;
	}
	call = call_find(calls, due->id);
	if (!call || call->review_at != due->when)
		return;
	call->review_at = 0;
	call->kind->review(calls, call);
}

/* Ends. */

/*
 * Other nodes know of it before its caller is answered, and may try again
 * there. What another node no longer wanted was mostly answered elsewhere.
 */
static void tell_unserved(struct calls *calls, const struct call *call)
{
	if (call->served || (call->asker.len && call->abandoned))
		return;
	poison_unserved(calls->poison, &call->print);
	poison_news_send(calls->news, calls->now);
}

static void call_end(struct calls *calls, struct call *call)
{
	tell_unserved(calls, call);
	while (call->attempts) {
		struct attempt *attempt = call->attempts;

		call->attempts = attempt->next;
		/*
		 * What may run once only is left to end by itself: cutting it
		 * would leave open whether it ran, also to the target's books.
		 */
		if (call->route->repeatable)
			attempt_orphan(calls, attempt);
		else
			attempt->call = NULL;
	}
	if (call->kind->ended)
		call->kind->ended(calls, call);
	call->over = true;
	apr_hash_set(calls->open, &call->id, sizeof(call->id), NULL);
	calls->nopen--;
	call->next_dead = calls->dead;
	calls->dead = call;
}

void call_answer(struct calls *calls, struct call *call,
		 const struct final *final)
{
	struct flow_effect *fx;

	note_final(calls->notes, calls->now, call, final);
	tell_unserved(calls, call);
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

int64_t call_spread(struct calls *calls, int64_t us)
{
	uint64_t most = (uint64_t)us / SPREAD_PART + 1;

	if (!call_has(calls, MECHANISM_RETURN_SPREAD))
		return us;
	return us - (int64_t)rng_below(&calls->rng, most);
}

static int code_of(const struct calls *calls, const struct call *call,
		   int status)
{
	if (poison_verdict(calls->poison, &call->print) == POISON_BLOCKED)
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
		final.retry_after_us = call_spread(calls, retry_after_us);
	error_json(&body, code_of(calls, call, status), why,
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
	note_gone(calls->notes, calls->now, call);
	call->abandoned = true;
	call_end(calls, call);
}
