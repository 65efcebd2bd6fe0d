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

/** struct line - those that wait for one service */
struct line {
	uint64_t service;
	struct waiter *list;
	size_t count;
	size_t cap;
};

/** line_add() - @lines: service -> struct line. */
void line_add(apr_hash_t *lines, uint64_t service, struct waiter waiter);
/** line_find() - those that wait for @service, or NULL. */
struct line *line_find(apr_hash_t *lines, uint64_t service);
void line_drop(struct line *line, size_t index);
/** lines_count() - that wait for any service. */
size_t lines_count(apr_hash_t *lines);
void lines_free(apr_hash_t *lines);

/**
 * struct claim - what a waiter could make of a free place
 * @in_time: its answer can still be worth all
 * @soft_at: when it is answered with what is there
 * @start: of the question
 */
struct claim {
	bool in_time;
	int64_t soft_at;
	int64_t start;
};

/** line_before() - @a gets the place rather than @b. */
bool line_before(const struct claim *a, const struct claim *b);
