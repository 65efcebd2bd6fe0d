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

bool snapshot_wants(const struct query *query, uint32_t id)
{
	size_t low = 0;
	size_t high = query->nshards;

	if (!query->nshards)
		return true;
	while (low < high) {
		size_t mid = (low + high) / 2;

		if (query->shards[mid] < id)
			low = mid + 1;
		else
			high = mid;
	}
	return low < query->nshards && query->shards[low] == id;
}

/* Shards of the question in @snap, their weight, and the weight at hand. */
static size_t measure(struct node *node, const struct query *query,
		      const struct snapshot *snap, double *total,
		      double *available)
{
	size_t found = 0;

	*total = 0;
	*available = 0;
	for (size_t i = 0; i < query->nindexes; i++) {
		size_t count;
		const struct shard *shards =
			snapshot_range(snap, query->indexes[i], &count);

		if (!count)
			return 0;
		for (size_t j = 0; j < count; j++) {
			if (!snapshot_wants(query, shards[j].id))
				continue;
			found++;
			*total += shards[j].weight;
			if (is_available(node, &shards[j], snap->version))
				*available += shards[j].weight;
		}
	}
	return query->nshards && found != query->nshards ? 0 : found;
}

/*
 * The newest snapshot that promises the coverage that the plan wants; if none
 * does, the one that promises most. Chosen once for the whole question.
 */
const struct snapshot *snapshot_choose(struct node *node,
				       const struct query *query,
				       const struct fleet *fleet, double floor,
				       const struct snapshot *not_this,
				       size_t *count, double *total)
{
	const struct snapshot *best = NULL;
	double best_share = -1;

	for (size_t i = 0; i < fleet->nsnapshots; i++) {
		const struct snapshot *snap = &fleet->snapshots[i];
		double weight;
		double available;
		size_t found = measure(node, query, snap, &weight, &available);

		if (!found || snap == not_this)
			continue;
		if (available / weight <= best_share)
			continue;
		best = snap;
		best_share = available / weight;
		*count = found;
		*total = weight;
		if (best_share >= floor - EPSILON)
			break;
	}
	return best;
}
