#include "forward.h"

#include <stdlib.h>

#include "trial.h"
#include "xmalloc.h"

enum {
	/* A target that is needed may be free again after about this time. */
	LOOK_AGAIN_US = 10000,
	RETRY_AFTER_US = 300000,
};

/*
 * A hedge goes out at this part of the goal: the work of a single
 * request spreads widely, so sooner would double the work of many.
 */
static const double HEDGE_GOAL_PART = 0.55;
/* Waiting for a target that may be asked ends at this part of the goal. */
static const double WAIT_GOAL_PART = 0.25;

/* By a draw, as the weights are: nodes need not agree on whose turn it is. */
uint64_t forward_share(struct calls *calls, const struct route *route)
{
	double total = 0;
	double draw;

	for (size_t i = 0; i < route->nshares; i++)
		total += route->shares[i].weight;
	draw = (double)(rng_next(&calls->rng) >> 11) / 9007199254740992.0 *
	       total;
	for (size_t i = 0; i < route->nshares; i++) {
		draw -= route->shares[i].weight;
		if (draw < 0)
			return route->shares[i].service;
	}
	return route->shares[0].service;
}

static void give_up(struct calls *calls, struct call *call, const char *why)
{
	const struct part *part = &call->parts[0];
	int64_t retry_us = RETRY_AFTER_US;

	trial_excuse(calls, call, &why, &retry_us);
	if (!part->ran && !part->open)
		call_refuse(calls, call, 503, why, retry_us);
	else if (calls->now >= call->give_up_at)
		call_refuse(calls, call, 504, why, 0);
	else
		call_refuse(calls, call, 502, why, 0);
}

/* Targets that rejected it may be asked again, and still be full. */
static const char *why_held(const struct call *call)
{
	return call->parts[0].rejected ? "the target is full"
				       : "no target may be asked";
}

static int64_t wait_until(const struct call *call)
{
	return call->start +
	       (int64_t)((double)call->route->goal_us * WAIT_GOAL_PART);
}

static int64_t hedge_at(const struct call *call)
{
	return call->start +
	       (int64_t)((double)call->route->goal_us * HEDGE_GOAL_PART);
}

/* Sends once more where that is allowed; ends the call where it is not. */
static void try_again(struct calls *calls, struct call *call, const char *why)
{
	switch (call_send(calls, call, 0)) {
	case SEND_DONE:
		return;
	case SEND_NO_TARGET:
	case SEND_NO_BUDGET:
		if (calls->now + LOOK_AGAIN_US < wait_until(call)) {
			call_review_at(calls, call, calls->now + LOOK_AGAIN_US);
			return;
		}
		break;
	case SEND_HELD:
		call_review_at(calls, call, calls->now + LOOK_AGAIN_US);
		return;
	case SEND_NO_TRIES:
	case SEND_BLOCKED:
		break;
	}
	give_up(calls, call, why);
}

static void begin(struct calls *calls, struct call *call)
{
	call->nparts = 1;
	call->parts = apr_pcalloc(call->pool, sizeof(*call->parts));
	call->parts[0].service = forward_share(calls, call->route);
	if (!roster_first(calls->roster, call->parts[0].service)) {
		call_refuse(calls, call, 503, "no target of the service",
			    RETRY_AFTER_US);
		return;
	}
	try_again(calls, call, "no target may be asked");
	if (call->attempts)
		call_review_at(calls, call,
			       call->route->idempotent ? hedge_at(call)
						       : call->give_up_at);
}

static void review(struct calls *calls, struct call *call)
{
	if (calls->now >= call->give_up_at) {
		give_up(calls, call, "out of time");
		return;
	}
	if (call->route->idempotent && trial_hopeless(calls, call)) {
		give_up(calls, call, "no target may have it");
		return;
	}
	if (!call->parts[0].open) {
		try_again(calls, call, why_held(call));
		if (!call->attempts)
			return;
	} else if (call->route->idempotent && call->parts[0].open == 1 &&
		   call_has(calls, MECHANISM_HEDGES)) {
		call_send(calls, call, 0);
	}
	call_review_at(calls, call, call->give_up_at);
}

static void pass_on(struct calls *calls, struct call *call,
		    const struct flow_reply *reply)
{
	struct final final = { .status = reply->status,
			       .headers = reply->headers,
			       .body = reply->body,
			       .why = "reply" };

	call->parts[0].done = true;
	call_answer(calls, call, &final);
}

/*
 * A status that promises "not run" may come from a target that did run the
 * request and does not say otherwise; it must not reach the caller as it is.
 */
static bool promises_not_run(int status)
{
	return status == 429 || status == 503 || status == 408 || status == 421;
}

static bool is_final(const struct call *call, const struct flow_reply *reply)
{
	if (reply->result != FETCH_OK || reply->not_run ||
	    reply->wrong_target || reply->encoded)
		return false;
	if (reply->status / 100 == 2)
		return reply->signature.len > 0;
	if (promises_not_run(reply->status))
		return false;
	return reply->status < 500 || !call->route->idempotent;
}

static void replied(struct calls *calls, struct call *call,
		    const struct attempt *attempt,
		    const struct flow_reply *reply)
{
	struct part *part = &call->parts[0];
	const char *why = "the target did not reply";

	(void)attempt;
	if (is_final(call, reply)) {
		pass_on(calls, call, reply);
		return;
	}
	if (part->open)
		return;
	if (reply->result == FETCH_OK)
		why = reply->not_run ? "the target is full"
				     : "the target failed";
	if (part->ran && !call->route->idempotent) {
		give_up(calls, call, why);
		return;
	}
	try_again(calls, call, why);
	if (call->attempts)
		call_review_at(calls, call, call->give_up_at);
}

const struct call_kind forward_kind = {
	.name = "forward",
	.begin = begin,
	.replied = replied,
	.review = review,
};
