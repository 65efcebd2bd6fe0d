#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** enum timer_kind - handler of a timer */
enum timer_kind {
	TIMER_HEARTBEAT,
	TIMER_VIEW_TIMEOUT,
	TIMER_DOC,
	TIMER_QUESTION,
	TIMER_HEDGE,
	TIMER_ACCOUNT,
	TIMER_PROBE,
	TIMER_JOB,
	TIMER_RECORD,
	TIMER_FORWARD,
	TIMER_DRAIN,
	TIMER_VIEW_CHANGE,
	TIMER_HANDOVER,
	TIMER_COLD,
};

/**
 * struct timer - one pending timer
 * @when: monotonic microseconds
 * @order: sequence number, which orders timers with equal times
 * @kind: handler
 * @id: object of the timer, such as a question, target, job, record or
 *      document; timers are never cancelled, instead the handler checks that
 *      the object still exists
 */
struct timer {
	int64_t when;
	uint64_t order;
	enum timer_kind kind;
	uint64_t id;
};

/** struct timers - binary heap; equal times fire in insertion order */
struct timers {
	struct timer *heap;
	size_t count;
	size_t cap;
	uint64_t order;
};

void timer_add(struct timers *timers, int64_t when, enum timer_kind kind,
	       uint64_t id);
/** timer_pop() - remove the first timer that is due at @now, if any. */
bool timer_pop(struct timers *timers, int64_t now, struct timer *out);
/** timer_next() - time of the first timer, INT64_MAX if there is none. */
int64_t timer_next(const struct timers *timers);
void timers_free(struct timers *timers);
