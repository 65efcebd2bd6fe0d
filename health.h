#pragma once

#include "gate.h"

/**
 * DOC: health of targets
 *
 * How many requests a target gets at a time: its floor when it is cold, more
 * by timely answers only, none when it is down or leaving.
 */

enum {
	FLOOR = 1,
	HOLD_MIN_US = 500000,
	PROBE_MIN_US = 100000,
};

/** health_cold() - back to the floor. */
void health_cold(struct node *node, struct target *target, const char *why);
/** health_limit() - requests that may be in progress now. */
int health_limit(const struct target *target);
/** health_note() - learn from the reply to @job. */
void health_note(struct node *node, struct target *target,
		 const struct job *job, const struct fetch_response *got,
		 int status);
/** health_probed() - learn from the reply to a probe. */
void health_probed(struct node *node, struct target *target,
		   const struct fetch_response *got);
/** health_timer() - a probe of the target with @key is due. */
void health_timer(struct node *node, uint64_t key);
