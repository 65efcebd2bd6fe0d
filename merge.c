#include "merge.h"

#include "records.h"

enum {
	/*
	 * A reply is late after this multiple of its target's usual time: the
	 * times of targets spread by about a third, so 2 % of replies that are
	 * merely slow are asked for twice.
	 */
	HEDGE_TIMES = 2,
	/* Never sooner, so that a round trip's noise does not count. */
	HEDGE_LEAST_US = 12000,
	/* A part that no target could be asked for is looked at again. */
	LOOK_AGAIN_US = 10000,
	/* On a refusal: targets that rest are back within about this time. */
	RETRY_AFTER_US = 300000,
	/* The way back to the caller, and what a busy core needs to answer. */
	RETURN_US = 12000,
};

/* A hedge at a slow target must still be in time itself. */
static const double HEDGE_GOAL_PART = 0.3;
/* Goals are short where little is merged; the return takes its part of them. */
static const double SOFT_GOAL_PART = 0.75;

struct merge_state {
	struct records records;
	struct buf signatures;
};

static apr_status_t free_state(void *data)
{
	struct merge_state *state = data;

	buf_free(&state->signatures);
	return APR_SUCCESS;
}

bool merge_enough(const struct route *route, size_t done)
{
	double need = route->least * (double)route->nshards;

	return done > 0 && (double)done + 1e-9 >= need;
}

static int64_t hedge_after(const struct call *call,
			   const struct attempt *attempt)
{
	int64_t late = (int64_t)(attempt->target->service_us * HEDGE_TIMES);
	int64_t most =
		(int64_t)((double)call->route->goal_us * HEDGE_GOAL_PART);

	if (late < HEDGE_LEAST_US)
		late = HEDGE_LEAST_US;
	return late < most ? late : most;
}

static void answer(struct calls *calls, struct call *call, const char *why)
{
	struct merge_state *state = call->state;
	struct final final = {
		.status = 200,
		.merged = true,
		.headers = STR("Content-Type: application/octet-stream\r\n"),
		.body = records_str(&state->records),
		.signatures = buf_str(&state->signatures),
		.missing = call->nparts - call->ndone,
		.why = why,
	};

	call_answer(calls, call, &final);
}

static bool any_ran(const struct call *call)
{
	for (size_t i = 0; i < call->nparts; i++)
		if (call->parts[i].ran || call->parts[i].open)
			return true;
	return false;
}

/* "Not run" is promised only where it is so. */
static void give_up(struct calls *calls, struct call *call, const char *why)
{
	if (calls->now >= call->give_up_at)
		call_refuse(calls, call, 504, why, 0);
	else if (any_ran(call))
		call_refuse(calls, call, 502, why, RETRY_AFTER_US);
	else
		call_refuse(calls, call, 503, why, RETRY_AFTER_US);
}

static bool may_try_again(const struct call *call, const struct part *part)
{
	return (int)part->ntried < call->route->attempts &&
	       part->ntried < CALL_TRIES_MAX;
}

/* Shards that are in, or still may be. */
static size_t count_possible(const struct call *call, bool waiting_counts)
{
	size_t possible = 0;

	for (size_t i = 0; i < call->nparts; i++) {
		const struct part *part = &call->parts[i];

		if (part->done || part->open ||
		    (waiting_counts && may_try_again(call, part)))
			possible++;
	}
	return possible;
}

/* Return: true when the call has ended. */
static bool settle(struct calls *calls, struct call *call)
{
	bool late = calls->now >= call->soft_at;
	size_t possible = count_possible(call, !late);

	if (call->ndone == call->nparts) {
		answer(calls, call, "complete");
		return true;
	}
	if (merge_enough(call->route, call->ndone) &&
	    (late || possible == call->ndone)) {
		answer(calls, call, late ? "soft deadline" : "nothing more");
		return true;
	}
	if (calls->now >= call->give_up_at) {
		give_up(calls, call, "out of time");
		return true;
	}
	if (!merge_enough(call->route, possible)) {
		give_up(calls, call, "too few shards can be reached");
		return true;
	}
	return false;
}

static void plan_review(struct calls *calls, struct call *call)
{
	int64_t when =
		calls->now < call->soft_at ? call->soft_at : call->give_up_at;

	for (const struct attempt *at = call->attempts; at; at = at->next) {
		int64_t due = at->sent_at + hedge_after(call, at);

		if (!may_try_again(call, &call->parts[at->part]))
			continue;
		if (due <= calls->now)
			due = calls->now + LOOK_AGAIN_US;
		if (due < when)
			when = due;
	}
	for (size_t i = 0; i < call->nparts; i++) {
		const struct part *part = &call->parts[i];

		if (!part->done && !part->open && may_try_again(call, part) &&
		    calls->now + LOOK_AGAIN_US < when)
			when = calls->now + LOOK_AGAIN_US;
	}
	call_review_at(calls, call, when);
}

static void hedge(struct calls *calls, struct call *call)
{
	for (size_t i = 0; i < call->nparts; i++) {
		struct part *part = &call->parts[i];

		if (!part->done && !part->open)
			call_send(calls, call, i);
	}
	/* call_send() puts new attempts in front of those that are walked. */
	for (struct attempt *at = call->attempts; at; at = at->next)
		if (call->parts[at->part].open == 1 &&
		    calls->now - at->sent_at >= hedge_after(call, at))
			call_send(calls, call, at->part);
}

static void review(struct calls *calls, struct call *call)
{
	if (settle(calls, call))
		return;
	hedge(calls, call);
	plan_review(calls, call);
}

static size_t count_reachable(struct calls *calls, const struct call *call)
{
	size_t reachable = 0;

	for (size_t i = 0; i < call->nparts; i++)
		if (roster_any(calls->roster, call->parts[i].service,
			       calls->now))
			reachable++;
	return reachable;
}

static void begin(struct calls *calls, struct call *call)
{
	const struct route *route = call->route;
	struct merge_state *state =
		apr_pcalloc(call->pool, sizeof(struct merge_state));
	int64_t soft = (int64_t)((double)route->goal_us * SOFT_GOAL_PART);

	call->state = state;
	apr_pool_cleanup_register(call->pool, state, free_state,
				  apr_pool_cleanup_null);
	records_init(&state->records, route->top, call->pool);
	call->nparts = route->nshards;
	call->parts = apr_pcalloc(call->pool,
				  (route->nshards + 1) * sizeof(*call->parts));
	for (size_t i = 0; i < route->nshards; i++)
		call->parts[i].service = route->shards[i];
	if (soft > route->goal_us - RETURN_US)
		soft = route->goal_us - RETURN_US;
	call->soft_at = calls->now + soft;
	if (!merge_enough(route, count_reachable(calls, call))) {
		call_refuse(calls, call, 503, "too few shards have a target",
			    RETRY_AFTER_US);
		return;
	}
	for (size_t i = 0; i < call->nparts; i++)
		call_send(calls, call, i);
	plan_review(calls, call);
}

static bool is_part(const struct flow_reply *reply)
{
	return reply->result == FETCH_OK && reply->status / 100 == 2 &&
	       reply->signature.len && !reply->encoded;
}

static void replied(struct calls *calls, struct call *call,
		    const struct attempt *attempt,
		    const struct flow_reply *reply)
{
	struct part *part = &call->parts[attempt->part];
	struct merge_state *state = call->state;

	if (is_part(reply)) {
		part->done = true;
		call->ndone++;
		records_take(&state->records, reply->body);
		if (state->signatures.len)
			buf_str_add(&state->signatures, STR(", "));
		buf_str_add(&state->signatures, reply->signature);
	} else if (!part->open) {
		call_send(calls, call, attempt->part);
	}
	if (!settle(calls, call) && !is_part(reply))
		plan_review(calls, call);
}

const struct call_kind merge_kind = {
	.name = "merge",
	.begin = begin,
	.replied = replied,
	.review = review,
};
