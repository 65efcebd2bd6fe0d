#include "forward.h"

#include <stdlib.h>

#include "gossip.h"
#include "trial.h"
#include "xmalloc.h"

enum {
	/* Interval of checks for a target that has become available. */
	REVIEW_INTERVAL_US = 10000,
	RETRY_AFTER_US = 300000,
};

/*
 * Fraction of the goal after which a hedge is sent. The run times of single
 * requests vary widely, so an earlier hedge would double the work of many.
 */
static const double HEDGE_GOAL_FRACTION = 0.55;
/* Fraction of the goal during which a call waits for an available target. */
static const double WAIT_GOAL_FRACTION = 0.25;

/* A weighted random choice needs no agreement between nodes. */
uint64_t forward_pick_service(struct calls *calls, const struct route *route)
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

	trial_refusal_reason(calls, call, &why, &retry_us);
	if (!part->ran && !part->open)
		call_refuse(calls, call, 503, why, retry_us);
	else if (calls->now >= call->deadline)
		call_refuse(calls, call, 504, why, 0);
	else
		call_refuse(calls, call, 502, why, 0);
}

/* A target that rejected the request may be tried again and still be full. */
static const char *unsent_reason(const struct call *call)
{
	return call->parts[0].rejected ? "the target is full"
				       : "no target may be asked";
}

static int64_t wait_deadline(const struct call *call)
{
	return call->start +
	       (int64_t)((double)call->route->goal_us * WAIT_GOAL_FRACTION);
}

static int64_t hedge_due_at(const struct call *call)
{
	return call->start +
	       (int64_t)((double)call->route->goal_us * HEDGE_GOAL_FRACTION);
}

/* Makes a further attempt if one is allowed, otherwise ends the call. */
static void send_or_give_up(struct calls *calls, struct call *call,
			    const char *why)
{
	switch (call_send(calls, call, 0)) {
	case SEND_DONE:
		return;
	case SEND_NO_TARGET:
	case SEND_NO_BUDGET:
		if (calls->now + REVIEW_INTERVAL_US < wait_deadline(call)) {
			call_schedule_review(calls, call,
					     calls->now + REVIEW_INTERVAL_US);
			return;
		}
		break;
	case SEND_HELD:
		call_schedule_review(calls, call,
				     calls->now + REVIEW_INTERVAL_US);
		return;
	case SEND_NO_ATTEMPTS:
	case SEND_BLOCKED:
		break;
	}
	give_up(calls, call, why);
}

static void begin(struct calls *calls, struct call *call)
{
	call->nparts = 1;
	call->parts = apr_pcalloc(call->pool, sizeof(*call->parts));
	call->parts[0].service = forward_pick_service(calls, call->route);
	call->retry_share = gossip_equal_share(calls->gossip, calls->now);
	if (!balancer_first_target(calls->balancer, call->parts[0].service)) {
		call_refuse(calls, call, 503, "no target of the service",
			    RETRY_AFTER_US);
		return;
	}
	send_or_give_up(calls, call, "no target may be asked");
	if (call->attempts)
		call_schedule_review(calls, call,
				     call->route->idempotent
					     ? hedge_due_at(call)
					     : call_ends_at(calls, call));
}

static void review(struct calls *calls, struct call *call)
{
	if (calls->now >= call_ends_at(calls, call)) {
		give_up(calls, call, call_end_reason(calls, call));
		return;
	}
	if (call->route->idempotent && trial_exhausted(calls, call)) {
		give_up(calls, call, "the request may be sent to no target");
		return;
	}
	if (!call->parts[0].open) {
		send_or_give_up(calls, call, unsent_reason(call));
		if (!call->attempts)
			return;
	} else if (call->route->idempotent && call->parts[0].open == 1 &&
		   calls_mechanism_enabled(calls, MECHANISM_HEDGES)) {
		call_send(calls, call, 0);
	}
	call_schedule_review(calls, call, call_ends_at(calls, call));
}

static void answer_with_reply(struct calls *calls, struct call *call,
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
 * A caller takes these status codes to mean that the request was not run. A
 * target may have run it all the same and state nothing about that, so the
 * status must not be forwarded unchanged.
 */
static bool implies_not_run(int status)
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
	if (implies_not_run(reply->status))
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
		answer_with_reply(calls, call, reply);
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
	send_or_give_up(calls, call, why);
	if (call->attempts)
		call_schedule_review(calls, call, call_ends_at(calls, call));
}

const struct call_kind forward_kind = {
	.name = "forward",
	.begin = begin,
	.replied = replied,
	.review = review,
};
