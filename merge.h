#pragma once

#include "call.h"

/**
 * DOC: questions over many shards
 *
 * One target of each shard is asked; the greatest records of the parts are the
 * answer. A shard whose target is late is asked again at another target. At
 * the soft deadline what is there is answered if it is enough.
 */
extern const struct call_kind merge_kind;

struct batch_book;

/** merge_init() - take replies of other nodes, and questions of theirs. */
void merge_init(struct calls *calls, struct batch_book *batches);
/** merge_soft_deadline() - when what is there is answered if it is enough. */
int64_t merge_soft_deadline(const struct call *call);
/** merge_has_coverage() - the share of shards that are in makes an answer. */
bool merge_has_coverage(const struct route *route, size_t done);
