#pragma once

#include "call.h"

/**
 * DOC: trials of suspect requests
 *
 * A request that is suspect of crashing its targets (poison.h) is sent to one
 * target at a time, and by one node at a time: repeats of it that come to
 * several nodes at once would each crash one more. One node, the same for all,
 * gives leave. A reply clears the request; the call then goes on as any other.
 */

/** trial_may_send() - SEND_DONE where @part may be sent to a target now. */
enum send_result trial_may_send(struct calls *calls, struct call *call,
				const struct part *part);
/** trial_exhausted() - it will not be sent any more, whatever it waits for. */
bool trial_exhausted(const struct calls *calls, const struct call *call);
/**
 * trial_refusal_reason() - what a caller is told, where the request is hopeless
 * @why, @retry_us: changed to the reason, and to when the caller may come back
 */
void trial_refusal_reason(const struct calls *calls, const struct call *call,
			  const char **why, int64_t *retry_us);
/** trial_clear() - a call that was held back is suspect no more. */
bool trial_clear(struct calls *calls, struct call *call);
/** trial_on_request(), trial_on_reply() - from the node at @from. */
void trial_on_request(struct calls *calls, struct str from,
		      uint64_t incarnation, const struct msg *msg);
void trial_on_reply(struct calls *calls, const struct msg *msg);
