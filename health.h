#pragma once

#include "gate.h"

/**
 * DOC: health of targets
 *
 * Limits the requests in progress at a target: TARGET_LIMIT_MIN when it is
 * cold, more only after timely replies, none when it is down or leaving.
 */

enum {
	TARGET_LIMIT_MIN = 1,
	STEP_INTERVAL_MIN_US = 500000,
	PROBE_INTERVAL_MIN_US = 100000,
};

/** health_set_cold() - cut the limit to TARGET_LIMIT_MIN. */
void health_set_cold(struct node *node, struct target *target,
		     const char *reason);
/** health_limit() - number of requests that may be in progress now. */
int health_limit(const struct target *target);
/** health_record_reply() - update the state with the result of @job. */
void health_record_reply(struct node *node, struct target *target,
			 const struct job *job,
			 const struct parsed_reply *parsed_reply, int status);
/** health_record_probe() - update the state with the result of a probe. */
void health_record_probe(struct node *node, struct target *target,
			 const struct parsed_reply *parsed_reply);
/** health_on_probe_timer() - probe the target with the key @key. */
void health_on_probe_timer(struct node *node, uint64_t key);
