#pragma once

#include "node.h"
#include "request.h"

/** DOC: choice of the snapshot from which a question is answered */

/** snapshot_shard_requested() - whether @request includes the shard @id. */
bool snapshot_shard_requested(const struct question_request *request,
			      uint32_t id);
/**
 * snapshot_choose() - choose the snapshot for @request
 * @floor: coverage that the plan requires
 * @excluded: snapshot not to choose, may be NULL
 * @count: receives the number of the question's shards in the snapshot's map
 * @total_weight: receives their weight
 *
 * Return: NULL if no snapshot has all indexes and shards of @request.
 */
const struct snapshot *snapshot_choose(struct node *node,
				       const struct question_request *request,
				       const struct fleet *fleet, double floor,
				       const struct snapshot *excluded,
				       size_t *count, double *total_weight);
