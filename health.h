#pragma once

#include "gate.h"

/**
 * DOC: health of targets
 *
 * How many requests a target gets at a time: its floor when it is cold, more
 * by timely answers only, none when it is down or leaving.
 */

enum {
	TARGET_LIMIT_MIN = 1,
	STEP_INTERVAL_MIN_US = 500000,
	PROBE_MIN_US = 100000,
};

/** health_set_cold() - back to the floor. */
void health_set_cold(struct node *node, struct target *target,
		     const char *reason);
/** health_limit() - requests that may be in progress now. */
int health_limit(const struct target *target);
/** health_record_reply() - learn from the reply to @job. */
void health_record_reply(struct node *node, struct target *target,
			 const struct job *job, const struct fetched *got,
			 int status);
/** health_record_probe() - learn from the reply to a probe. */
void health_record_probe(struct node *node, struct target *target,
			 const struct fetched *got);
/** health_timer() - a probe of the target with @key is due. */
void health_timer(struct node *node, uint64_t key);
