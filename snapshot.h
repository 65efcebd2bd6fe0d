#pragma once

#include "node.h"
#include "request.h"

/** DOC: choice of the one snapshot that a question is answered from */

/** snapshot_wants() - whether the question asks for the shard @id. */
bool snapshot_wants(const struct query *query, uint32_t id);
/**
 * snapshot_choose() - the snapshot for @query, NULL when none has all of it
 * @floor: coverage that the plan wants
 * @not_this: left out, may be NULL
 * @count: shards of the question in its map; @total: their weight
 */
const struct snapshot *snapshot_choose(struct node *node,
				       const struct query *query,
				       const struct fleet *fleet, double floor,
				       const struct snapshot *not_this,
				       size_t *count, double *total);
