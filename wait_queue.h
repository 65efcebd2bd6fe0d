#pragma once

#include <apr_hash.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/**
 * DOC: requests that wait for room at the targets of a service
 *
 * When all targets of a shard have as many requests as they bear, the next free
 * place goes to the question that it helps most. Were it left to chance, a
 * question over many shards would wait for its last shard longer than all
 * others together, and under load none would be in time.
 */

/**
 * struct waiter - a part of a call, named by id as calls end at any time
 * @sends: how often the part had been sent when it began to wait
 */
struct waiter {
	uint64_t call;
	size_t part;
	size_t sends;
};

/** struct wait_queue - those that wait for one service */
struct wait_queue {
	uint64_t service;
	struct waiter *list;
	size_t count;
	size_t cap;
};

/** wait_queue_add() - @wait_queues: service -> struct wait_queue. */
void wait_queue_add(apr_hash_t *wait_queues, uint64_t service,
		    struct waiter waiter);
/** wait_queue_find() - those that wait for @service, or NULL. */
struct wait_queue *wait_queue_find(apr_hash_t *wait_queues, uint64_t service);
void wait_queue_remove(struct wait_queue *wait_queue, size_t index);
/** wait_queues_count() - that wait for any service. */
size_t wait_queues_count(apr_hash_t *wait_queues);
void wait_queues_free(apr_hash_t *wait_queues);

/**
 * struct wait_priority - what a waiter could make of a free place
 * @in_time: its answer can still be worth all
 * @soft_deadline: when it is answered with what is there
 * @start: of the question
 */
struct wait_priority {
	bool in_time;
	int64_t soft_deadline;
	int64_t start;
};

/** wait_queue_precedes() - @a gets the place rather than @b. */
bool wait_queue_precedes(const struct wait_priority *a,
			 const struct wait_priority *b);
