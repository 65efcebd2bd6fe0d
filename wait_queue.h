#pragma once

#include <apr_hash.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/**
 * DOC: queue of requests that wait for the targets of a service
 *
 * When all targets of a shard have as many requests as they can take, the next
 * free slot goes to the question that benefits most. In random order, a
 * question over many shards would wait for its last shard longer than for all
 * others together, and under load no question would be in time.
 */

/**
 * struct waiter - a queued part of a call
 * @call: id of the call, not a pointer, as calls end at any time
 * @part: index of the part
 * @nattempts: number of attempts for the part when it was queued
 */
struct waiter {
	uint64_t call;
	size_t part;
	size_t nattempts;
};

/** struct wait_queue - waiters for the targets of one service */
struct wait_queue {
	uint64_t service;
	struct waiter *waiters;
	size_t count;
	size_t capacity;
};

/**
 * wait_queue_add() - append a waiter to the queue of @service.
 * @wait_queues: service -> struct wait_queue
 */
void wait_queue_add(apr_hash_t *wait_queues, uint64_t service,
		    struct waiter waiter);
/** wait_queue_find() - queue of @service, or NULL. */
struct wait_queue *wait_queue_find(apr_hash_t *wait_queues, uint64_t service);
void wait_queue_remove(struct wait_queue *wait_queue, size_t index);
/** wait_queues_count() - number of waiters of all services. */
size_t wait_queues_count(apr_hash_t *wait_queues);
void wait_queues_free(apr_hash_t *wait_queues);

/**
 * struct wait_priority - priority of a waiter
 * @in_time: a reply can still arrive before @soft_deadline, so that the answer
 *           has its full value
 * @soft_deadline: when the question is answered with the shards it has
 * @start: arrival of the question
 */
struct wait_priority {
	bool in_time;
	int64_t soft_deadline;
	int64_t start;
};

/** wait_queue_precedes() - whether @a is served before @b. */
bool wait_queue_precedes(const struct wait_priority *a,
			 const struct wait_priority *b);
