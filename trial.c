#include "trial.h"

#include "decision_log.h"
#include "gossip.h"

enum {
	/* A reply takes two hops; by then the owner is down or unreachable. */
	LEASE_REPLY_TIMEOUT_US = 50000,
	/* Attempts of one call; after these it is cleared or blocked. */
	TRIAL_ATTEMPTS_MAX = 2,
	/* A caller is not kept waiting for a target for longer than this. */
	TRIAL_IDLE_US = 500000,
	/* A trial takes about as long as an ordinary request. */
	TRIAL_RETRY_US = 300000,
	/* Retries are refused too, so a shorter time would only add load. */
	BLOCKED_RETRY_US = 60000000,
	/* Attempts of an unproven call; after these it is proven or blocked. */
	CANARY_ATTEMPTS_MAX = 3,
	/* Part of the goal; then the target may be paused. */
	CANARY_GOAL_DIVISOR = 2,
};

enum poison_verdict trial_verdict(const struct calls *calls,
				  const struct call *call)
{
	enum poison_verdict verdict =
		poison_verdict(calls->poison, &call->fingerprint);

	if (verdict == POISON_NONE && call->unproven && !call->served)
		return POISON_SUSPECT;
	return verdict;
}

void trial_on_canary_reply(struct call *call, const struct flow_reply *reply)
{
	bool replied =
		reply->result == FETCH_OK || reply->result == FETCH_MALFORMED;

	if (replied && !reply->not_run && !reply->wrong_target)
		call->unproven = false;
}

/* Return: it is a canary; nothing else speaks against the request. */
static bool is_canary(const struct calls *calls, const struct call *call)
{
	return call->unproven && !call->served &&
	       !poison_has_crashes(calls->poison, &call->fingerprint);
}

static uint64_t content_key(const struct call *call)
{
	return call->fingerprint.content[0];
}

static void set_lease(struct calls *calls, struct call *call, bool granted)
{
	call->trial.lease = granted ? LEASE_GRANTED : LEASE_DENIED;
	call->trial.idle_since = calls->now;
	if (granted)
		metric_add(&calls->decision_log->metrics,
			   call->unproven ? METRIC_CANARIES : METRIC_TRIALS);
}

static bool take_lease(struct calls *calls,
		       const struct fingerprint *fingerprint, bool canary)
{
	return canary ? poison_take_canary_lease(calls->poison, fingerprint,
						 calls->now)
		      : poison_take_lease(calls->poison, fingerprint,
					  calls->now);
}

static void request_lease(struct calls *calls, struct call *call)
{
	struct member_info *owner =
		gossip_owner(calls->gossip, content_key(call), calls->now);
	bool canary = is_canary(calls, call);
	struct flow_effect *fx;

	if (!owner) {
		set_lease(calls, call,
			  take_lease(calls, &call->fingerprint, canary));
		return;
	}
	call->trial.lease = LEASE_REQUESTED;
	call->trial.lease_reply_deadline = calls->now + LEASE_REPLY_TIMEOUT_US;
	fx = flow_add(calls->fx, FLOW_PEER_SEND);
	fx->addr = str_dup(calls->fx->pool, owner->addr);
	fx->msg.kind = MSG_TRY;
	fx->msg.id = call->id;
	fx->msg.hash = call->fingerprint.content[0];
	fx->msg.hash2 = call->fingerprint.content[1];
	fx->msg.key = call->fingerprint.caller;
	fx->msg.state = canary;
}

void trial_on_request(struct calls *calls, struct str from,
		      uint64_t incarnation, const struct msg *msg)
{
	struct fingerprint fingerprint = { { msg->hash, msg->hash2 },
					   msg->key };
	struct flow_effect *fx = flow_add(calls->fx, FLOW_PEER_SEND);

	fx->addr = str_dup(calls->fx->pool, from);
	fx->incarnation = incarnation;
	fx->msg.kind = MSG_TRY_REPLY;
	fx->msg.id = msg->id;
	fx->msg.state =
		poison_verdict(calls->poison, &fingerprint) != POISON_BLOCKED &&
		take_lease(calls, &fingerprint, msg->state);
}

void trial_on_reply(struct calls *calls, const struct msg *msg)
{
	struct call *call = call_find(calls, msg->id);

	if (!call || call->trial.lease != LEASE_REQUESTED)
		return;
	set_lease(calls, call, msg->state);
	call->kind->review(calls, call);
}

/* Return: the owner has not replied, and its timeout has not expired. */
static bool awaits_lease(const struct calls *calls, const struct call *call)
{
	return call->trial.lease == LEASE_REQUESTED &&
	       calls->now < call->trial.lease_reply_deadline;
}

static int64_t canary_delay_us(const struct call *call)
{
	return call->route->goal_us / CANARY_GOAL_DIVISOR;
}

/*
 * A caller is not refused because other callers send the same request. While
 * nothing else speaks against it, the call is sent without a lease after a
 * while. Evidence of the canary that holds the lease has arrived by then.
 */
static void grant_overdue_canary(struct calls *calls, struct call *call)
{
	if (is_canary(calls, call) && call->trial.lease != LEASE_GRANTED &&
	    calls->now >= call->start + canary_delay_us(call))
		set_lease(calls, call, true);
}

static bool has_lease(const struct calls *calls, const struct call *call)
{
	int max = call->unproven ? CANARY_ATTEMPTS_MAX : TRIAL_ATTEMPTS_MAX;

	return call->trial.lease == LEASE_GRANTED &&
	       call->trial.nattempts < max &&
	       calls->now - call->trial.idle_since < TRIAL_IDLE_US;
}

/*
 * After a crash of all targets a trial may find only targets that are still
 * down. If these used up its attempts, one call after the other would have a
 * trial, each at the few targets that are up again, and none a verdict.
 */
void trial_on_attempt_ended(struct calls *calls, struct call *call, bool ran)
{
	if (call->trial.lease != LEASE_GRANTED)
		return;
	if (ran)
		call->trial.idle_since = calls->now;
	else if (call->trial.nattempts)
		call->trial.nattempts--;
}

bool trial_exhausted(const struct calls *calls, const struct call *call)
{
	switch (trial_verdict(calls, call)) {
	case POISON_NONE:
		return false;
	case POISON_BLOCKED:
		return true;
	case POISON_SUSPECT:
		break;
	}
	/* A reply to a request in flight may still clear it. */
	if (call->attempts || call->batches)
		return false;
	/* Only the node that received the caller's request runs trials. */
	if (call->origin.len)
		return true;
	if (call->trial.lease != LEASE_GRANTED && is_canary(calls, call))
		return false;
	return call->trial.lease != LEASE_NONE && !awaits_lease(calls, call) &&
	       !has_lease(calls, call);
}

/*
 * A shard that loses all of its targets is missing from every answer, so the
 * second trial is sent to another shard.
 */
static bool has_untried_part(const struct calls *calls, const struct call *call,
			     const struct part *part)
{
	for (size_t i = 0; part->ntried && i < call->nparts; i++)
		if (!call->parts[i].ntried &&
		    balancer_has_usable(calls->balancer, call->parts[i].service,
					calls->now))
			return true;
	return false;
}

/*
 * A suspect request waits for the reply to its only attempt. An unproven one is
 * mostly harmless and its target may be paused, so another one is tried.
 */
static bool must_wait(const struct calls *calls, const struct call *call)
{
	if (!call->attempts)
		return false;
	return !is_canary(calls, call) ||
	       calls->now - call->attempts->sent_at < canary_delay_us(call);
}

enum send_result trial_check_send(struct calls *calls, struct call *call,
				  const struct part *part)
{
	if (trial_verdict(calls, call) == POISON_NONE)
		return SEND_DONE;
	call->trial.held = true;
	if (trial_exhausted(calls, call))
		return SEND_BLOCKED;
	if (must_wait(calls, call) || call->batches || call->origin.len ||
	    has_untried_part(calls, call, part))
		return SEND_HELD;
	if (call->trial.lease == LEASE_NONE)
		request_lease(calls, call);
	grant_overdue_canary(calls, call);
	if (!has_lease(calls, call))
		return trial_exhausted(calls, call) ? SEND_BLOCKED : SEND_HELD;
	return SEND_DONE;
}

void trial_refusal_reason(const struct calls *calls, const struct call *call,
			  const char **why, int64_t *retry_us)
{
	if (!trial_exhausted(calls, call))
		return;
	if (poison_verdict(calls->poison, &call->fingerprint) ==
	    POISON_BLOCKED) {
		*why = "it crashes the targets that run it";
		*retry_us = BLOCKED_RETRY_US;
		return;
	}
	*why = "it may crash targets and is being tried";
	*retry_us = TRIAL_RETRY_US;
}

bool trial_clear(struct calls *calls, struct call *call)
{
	if (!call->trial.held || trial_verdict(calls, call) != POISON_NONE)
		return false;
	call->trial = (struct trial){ 0 };
	return true;
}
