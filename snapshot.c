#include "snapshot.h"

#include "replica.h"

#define EPSILON 1e-9

static bool is_available(struct node *node, const struct shard *shard,
			 uint64_t version)
{
	for (size_t i = 0; i < shard->nreplicas; i++)
		if (replica_usable(node, shard->replicas[i], version))
			return true;
	return false;
}

bool snapshot_shard_requested(const struct question_request *request,
			      uint32_t id)
{
	size_t low = 0;
	size_t high = request->nshards;

	if (!request->nshards)
		return true;
	while (low < high) {
		size_t mid = (low + high) / 2;

		if (request->shards[mid] < id)
			low = mid + 1;
		else
			high = mid;
	}
	return low < request->nshards && request->shards[low] == id;
}

/* Counts the question's shards in @snap and sums total and available weight. */
static size_t measure_coverage(struct node *node,
			       const struct question_request *request,
			       const struct snapshot *snap,
			       double *total_weight, double *available)
{
	size_t found = 0;

	*total_weight = 0;
	*available = 0;
	for (size_t i = 0; i < request->nindexes; i++) {
		size_t count;
		const struct shard *shards = snapshot_index_shards(
			snap, request->indexes[i], &count);

		if (!count)
			return 0;
		for (size_t j = 0; j < count; j++) {
			if (!snapshot_shard_requested(request, shards[j].id))
				continue;
			found++;
			*total_weight += shards[j].weight;
			if (is_available(node, &shards[j], snap->version))
				*available += shards[j].weight;
		}
	}
	return request->nshards && found != request->nshards ? 0 : found;
}

/*
 * Chooses the newest snapshot with the coverage that the plan requires, or the
 * one with the highest coverage if none has it. All shards of the question use
 * the same snapshot.
 */
const struct snapshot *snapshot_choose(struct node *node,
				       const struct question_request *request,
				       const struct fleet *fleet, double floor,
				       const struct snapshot *excluded,
				       size_t *count, double *total_weight)
{
	const struct snapshot *best = NULL;
	double best_coverage = -1;

	for (size_t i = 0; i < fleet->nsnapshots; i++) {
		const struct snapshot *snap = &fleet->snapshots[i];
		double weight;
		double available;
		size_t found = measure_coverage(node, request, snap, &weight,
						&available);

		if (!found || snap == excluded)
			continue;
		if (available / weight <= best_coverage)
			continue;
		best = snap;
		best_coverage = available / weight;
		*count = found;
		*total_weight = weight;
		if (best_coverage >= floor - EPSILON)
			break;
	}
	return best;
}
