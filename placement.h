#pragma once

#include "balancer.h"
#include "catalog.h"
#include "gossip.h"

/**
 * DOC: placement of merges on nodes
 *
 * Traffic of leaf requests between failure domains is billed by the byte, and a
 * target accepts fewer connections than there are nodes. So questions are
 * merged by a few nodes close to the targets: those with the most processor
 * time in the failure domains that hold targets of most shards. Other nodes
 * forward their questions to one of them, which returns one merged answer.
 */

enum {
	PLACEMENT_MERGERS_MAX = 64,
	PLACEMENT_ROUTES_MAX = 16,
	PLACEMENT_DOMAINS_MAX = 16,
};

/**
 * struct placement_plan - nodes that merge the questions of a route
 * @route: hash of the route's name
 * @version: version of the configuration
 * @members: other nodes that merge
 * @self: this node merges
 * @mergers: number of nodes that merge, merged recently or soon will
 */
struct placement_plan {
	uint64_t route;
	uint64_t version;
	int64_t made_at;
	struct member_info *members[PLACEMENT_MERGERS_MAX];
	size_t count;
	bool self;
	size_t mergers;
};

/**
 * struct placement - plans of all routes
 * @discovery_done: other nodes have had time to be discovered
 * @without: bit set of disabled mechanisms
 */
struct placement {
	struct gossip *gossip;
	struct balancer *balancer;
	struct rng *rng;
	bool discovery_done;
	uint32_t without;
	struct placement_plan plans[PLACEMENT_ROUTES_MAX];
};

void placement_init(struct placement *placement, struct gossip *gossip,
		    struct balancer *balancer, struct rng *rng,
		    uint32_t without);
/** placement_is_local() - whether this node merges questions of @route. */
bool placement_is_local(struct placement *placement,
			const struct catalog *catalog,
			const struct route *route, int64_t now);
/**
 * placement_retry_share() - this node's share of the extra retries to the
 * targets of @route, which all nodes have in common.
 *
 * Return: greater than 0, at most 1.
 */
double placement_retry_share(struct placement *placement,
			     const struct catalog *catalog,
			     const struct route *route, int64_t now);
/**
 * placement_choose_merger() - choose a node that merges questions of @route.
 * @domain: its failure domain; 0 for any, preferably that of this node
 *
 * Return: NULL if none is available now.
 */
struct member_info *placement_choose_merger(struct placement *placement,
					    const struct catalog *catalog,
					    const struct route *route,
					    uint64_t domain, int64_t now);
/**
 * placement_list_domains() - list the other failure domains with known nodes.
 */
size_t placement_list_domains(const struct placement *placement,
			      uint64_t *domains);
/** placement_invalidate() - recompute the plans before their next use. */
void placement_invalidate(struct placement *placement);
