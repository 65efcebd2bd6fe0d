#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** enum timer_kind - which module a due timer belongs to */
enum timer_kind {
	TIMER_HEARTBEAT,
	TIMER_VIEW,
	TIMER_CONF,
	TIMER_QUESTION,
	TIMER_HEDGE,
	TIMER_LEASE,
	TIMER_TARGET,
	TIMER_JOB,
	TIMER_RECORD,
	TIMER_FORWARD,
	TIMER_LEAVE,
	TIMER_REVIEW,
	TIMER_HANDOVER,
};

/**
 * struct timer - one pending timer
 * @when: monotonic microseconds
 * @kind: owner
 * @id: question, target, job or record; the owner checks that it still lives,
 *      so timers are never cancelled
 */
struct timer {
	int64_t when;
	uint64_t order;
	enum timer_kind kind;
	uint64_t id;
};

/** struct timers - binary heap; equal times fire in the order of adding */
struct timers {
	struct timer *heap;
	size_t count;
	size_t cap;
	uint64_t order;
};

void timer_add(struct timers *timers, int64_t when, enum timer_kind kind,
	       uint64_t id);
/** timer_pop() - take the first timer that is due at @now. */
bool timer_pop(struct timers *timers, int64_t now, struct timer *out);
/** timer_next() - time of the first timer, INT64_MAX when there is none. */
int64_t timer_next(const struct timers *timers);
void timers_free(struct timers *timers);
