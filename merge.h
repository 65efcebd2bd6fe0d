#pragma once

#include "call.h"

/**
 * DOC: questions over many shards
 *
 * Sends the question to one target of each shard and answers with the greatest
 * records of all parts. A shard whose target is late is hedged to another
 * target. From the soft deadline on a partial answer is sent if coverage
 * suffices.
 */
extern const struct call_kind merge_kind;

struct batch_table;

/** merge_init() - register the handlers of batches from and to other nodes. */
void merge_init(struct calls *calls, struct batch_table *batches);
/** merge_soft_deadline() - from when on a partial answer may be sent. */
int64_t merge_soft_deadline(const struct call *call);
/** merge_has_coverage() - whether @done shards suffice for an answer. */
bool merge_has_coverage(const struct route *route, size_t done);
