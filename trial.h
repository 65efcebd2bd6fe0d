#pragma once

#include "call.h"

/**
 * DOC: trials of suspect requests
 *
 * A request that is suspected of crashing its targets (poison.h) is sent to one
 * target at a time, and by one node at a time: otherwise repeats that reach
 * several nodes at once would each crash another target. All nodes request a
 * lease for the trial from the same owner node. A reply clears the request, and
 * the call then continues as any other.
 *
 * A node that has lost all evidence, because all nodes ended, knows no
 * suspects. While it sees that targets have been ending, each merged call is
 * unproven: it is sent to one target first, as a canary, and to all shards once
 * that target has replied. A request that crashes targets is then blocked after
 * three of them; otherwise each loss of all nodes would cost targets of all
 * shards.
 */

/** trial_verdict() - verdict on @call, which is suspect while unproven. */
enum poison_verdict trial_verdict(const struct calls *calls,
				  const struct call *call);
/** trial_on_canary_reply() - a target that still runs has replied. */
void trial_on_canary_reply(struct call *call, const struct flow_reply *reply);

/** trial_check_send() - SEND_DONE if @part may be sent to a target now. */
enum send_result trial_check_send(struct calls *calls, struct call *call,
				  const struct part *part);
/** trial_on_attempt_ended() - @ran: the target ran it, as far as is known */
void trial_on_attempt_ended(struct calls *calls, struct call *call, bool ran);
/** trial_exhausted() - the request of @call will not be sent any more. */
bool trial_exhausted(const struct calls *calls, const struct call *call);
/**
 * trial_refusal_reason() - reason of a refusal if trial_exhausted().
 * @why: set to the reason
 * @retry_us: set to the time after which the caller may retry
 */
void trial_refusal_reason(const struct calls *calls, const struct call *call,
			  const char **why, int64_t *retry_us);
/**
 * trial_clear() - reset the trial of a call that is no longer suspect.
 *
 * Return: whether the call was held back and is not suspect any more.
 */
bool trial_clear(struct calls *calls, struct call *call);
/** trial_on_request() - decide on a lease that the node at @from requests. */
void trial_on_request(struct calls *calls, struct str from,
		      uint64_t incarnation, const struct msg *msg);
/** trial_on_reply() - process the owner's decision on a lease. */
void trial_on_reply(struct calls *calls, const struct msg *msg);
