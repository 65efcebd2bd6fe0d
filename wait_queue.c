#include "wait_queue.h"

#include <stdlib.h>

#include "xmalloc.h"

enum {
	INITIAL_CAPACITY = 8,
};

struct wait_queue *wait_queue_find(apr_hash_t *wait_queues, uint64_t service)
{
	return apr_hash_get(wait_queues, &service, sizeof(service));
}

void wait_queue_add(apr_hash_t *wait_queues, uint64_t service,
		    struct waiter waiter)
{
	struct wait_queue *wait_queue = wait_queue_find(wait_queues, service);

	if (!wait_queue) {
		wait_queue = xcalloc(1, sizeof(*wait_queue));
		wait_queue->service = service;
		apr_hash_set(wait_queues, &wait_queue->service,
			     sizeof(wait_queue->service), wait_queue);
	}
	if (wait_queue->count == wait_queue->capacity) {
		wait_queue->capacity = wait_queue->capacity
					       ? wait_queue->capacity * 2
					       : INITIAL_CAPACITY;
		wait_queue->waiters = xrealloc(
			wait_queue->waiters,
			wait_queue->capacity * sizeof(*wait_queue->waiters));
	}
	wait_queue->waiters[wait_queue->count++] = waiter;
}

void wait_queue_remove(struct wait_queue *wait_queue, size_t index)
{
	wait_queue->waiters[index] = wait_queue->waiters[--wait_queue->count];
}

size_t wait_queues_count(apr_hash_t *wait_queues)
{
	apr_hash_index_t *it;
	size_t count = 0;

	for (it = apr_hash_first(NULL, wait_queues); it;
	     it = apr_hash_next(it)) {
		void *value;

		apr_hash_this(it, NULL, NULL, &value);
		count += ((struct wait_queue *)value)->count;
	}
	return count;
}

void wait_queues_free(apr_hash_t *wait_queues)
{
	apr_hash_index_t *it;

	for (it = apr_hash_first(NULL, wait_queues); it;
	     it = apr_hash_next(it)) {
		struct wait_queue *wait_queue;
		void *value;

		apr_hash_this(it, NULL, NULL, &value);
		wait_queue = value;
		free(wait_queue->waiters);
		free(wait_queue);
	}
}

/*
 * Of the waiters that can be in time, the one with the earliest deadline goes
 * first. The others are late in any case and follow, newest first: the newest
 * has most of its time left, while the oldest would mostly end without an
 * answer anyway.
 */
bool wait_queue_precedes(const struct wait_priority *a,
			 const struct wait_priority *b)
{
	if (a->in_time != b->in_time)
		return a->in_time;
	if (a->in_time)
		return a->soft_deadline < b->soft_deadline;
	return a->start > b->start;
}
