#include "trial.h"

#include "gossip.h"
#include "decision_log.h"

enum {
	/* The owner's word takes two hops; after this it is down or cut off. */
	LEAVE_US = 50000,
	/* Sends of one call; by then it is cleared or blocked. */
	TRIES_MAX = 2,
	/* A trial takes about as long as a request. */
	TRIED_RETRY_US = 300000,
	/* It will be refused then too; a shorter time would invite retries. */
	BLOCKED_RETRY_US = 60000000,
};

static uint64_t content_key(const struct call *call)
{
	return call->print.content[0];
}

static void set_leave(struct calls *calls, struct call *call, bool leave)
{
	call->trial.state = leave ? TRIAL_GRANTED : TRIAL_DENIED;
	if (leave)
		metric_add(&calls->dlog->metrics, METRIC_TRIALS);
}

static void ask_leave(struct calls *calls, struct call *call)
{
	struct member_info *owner =
		gossip_owner(calls->gossip, content_key(call), calls->now);
	struct flow_effect *fx;

	if (!owner) {
		set_leave(
			calls, call,
			poison_lease(calls->poison, &call->print, calls->now));
		return;
	}
	call->trial.state = TRIAL_ASKED;
	call->trial.until = calls->now + LEAVE_US;
	fx = flow_add(calls->fx, FLOW_PEER_SEND);
	fx->addr = str_dup(calls->fx->pool, owner->addr);
	fx->msg.kind = MSG_TRY;
	fx->msg.id = call->id;
	fx->msg.hash = call->print.content[0];
	fx->msg.hash2 = call->print.content[1];
	fx->msg.key = call->print.caller;
}

void trial_asked(struct calls *calls, struct str from, uint64_t incarnation,
		 const struct msg *msg)
{
	struct fingerprint print = { { msg->hash, msg->hash2 }, msg->key };
	struct flow_effect *fx = flow_add(calls->fx, FLOW_PEER_SEND);

	fx->addr = str_dup(calls->fx->pool, from);
	fx->incarnation = incarnation;
	fx->msg.kind = MSG_TRY_REPLY;
	fx->msg.id = msg->id;
	fx->msg.state =
		poison_verdict(calls->poison, &print) != POISON_BLOCKED &&
		poison_lease(calls->poison, &print, calls->now);
}

void trial_on_reply(struct calls *calls, const struct msg *msg)
{
	struct call *call = call_find(calls, msg->id);

	if (!call || call->trial.state != TRIAL_ASKED)
		return;
	set_leave(calls, call, msg->state);
	call->kind->review(calls, call);
}

/* Return: the leave is still waited for. */
static bool waits_for_leave(const struct calls *calls, const struct call *call)
{
	return call->trial.state == TRIAL_ASKED &&
	       calls->now < call->trial.until;
}

static bool has_leave(const struct call *call)
{
	return call->trial.state == TRIAL_GRANTED &&
	       call->trial.sends < TRIES_MAX;
}

bool trial_hopeless(const struct calls *calls, const struct call *call)
{
	switch (poison_verdict(calls->poison, &call->print)) {
	case POISON_NONE:
		return false;
	case POISON_BLOCKED:
		return true;
	case POISON_SUSPECT:
		break;
	}
	/* What is under way may still clear it. */
	if (call->attempts || call->batches)
		return false;
	/* Trials are for the node that has the caller. */
	if (call->asker.len)
		return true;
	return call->trial.state != TRIAL_NONE &&
	       !waits_for_leave(calls, call) && !has_leave(call);
}

/*
 * A shard that loses all of its targets is missing in everybody's answers, so
 * a second trial goes to another shard.
 */
static bool has_better(const struct call *call, const struct part *part)
{
	for (size_t i = 0; part->ntried && i < call->nparts; i++)
		if (!call->parts[i].ntried)
			return true;
	return false;
}

enum send_result trial_may_send(struct calls *calls, struct call *call,
				const struct part *part)
{
	if (poison_verdict(calls->poison, &call->print) == POISON_NONE)
		return SEND_DONE;
	call->trial.held = true;
	if (trial_hopeless(calls, call))
		return SEND_BLOCKED;
	if (call->attempts || call->batches || call->asker.len ||
	    has_better(call, part))
		return SEND_HELD;
	if (call->trial.state == TRIAL_NONE)
		ask_leave(calls, call);
	if (!has_leave(call))
		return trial_hopeless(calls, call) ? SEND_BLOCKED : SEND_HELD;
	return SEND_DONE;
}

void trial_excuse(const struct calls *calls, const struct call *call,
		  const char **why, int64_t *retry_us)
{
	if (!trial_hopeless(calls, call))
		return;
	if (poison_verdict(calls->poison, &call->print) == POISON_BLOCKED) {
		*why = "it crashes the targets that run it";
		*retry_us = BLOCKED_RETRY_US;
		return;
	}
	*why = "it may crash targets and is being tried";
	*retry_us = TRIED_RETRY_US;
}

bool trial_over(struct calls *calls, struct call *call)
{
	if (!call->trial.held ||
	    poison_verdict(calls->poison, &call->print) != POISON_NONE)
		return false;
	call->trial = (struct trial){ 0 };
	return true;
}
