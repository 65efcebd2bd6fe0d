#pragma once

#include "catalog.h"
#include "gossip.h"
#include "roster.h"

/**
 * DOC: which node merges a question
 *
 * A leaf request that crosses failure domains is paid for by the byte, and a
 * target takes fewer connections than there are nodes. So questions are merged
 * by a few nodes where the targets are: those with the most processor time in
 * the failure domains that hold targets of most shards. Others hand their
 * questions to one of these, which sends back one merged answer.
 */

enum {
	PLACEMENT_MERGERS_MAX = 64,
	PLACEMENT_ROUTES_MAX = 16,
	PLACEMENT_DOMAINS_MAX = 16,
};

/**
 * struct placement_plan - who merges the questions of a route
 * @route: hash of its name; @version: of the configuration
 * @members: other nodes that merge
 * @self: this node merges
 * @mergers: nodes that merge, have merged lately or soon will
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
 * struct placement - who merges what
 * @discovery_done: other nodes have had time to be heard of
 * @without: mechanisms that are off
 */
struct placement {
	struct gossip *gossip;
	struct roster *roster;
	struct rng *rng;
	bool discovery_done;
	uint32_t without;
	struct placement_plan plans[PLACEMENT_ROUTES_MAX];
};

void placement_init(struct placement *placement, struct gossip *gossip,
		    struct roster *roster, struct rng *rng, uint32_t without);
/** placement_is_local() - this node merges questions of @route. */
bool placement_is_local(struct placement *placement,
			const struct catalog *catalog,
			const struct route *route, int64_t now);
/**
 * placement_retry_share() - this node's part of what all nodes together may
 * send to the targets of @route beyond first requests
 *
 * Return: above 0, at most 1.
 */
double placement_retry_share(struct placement *placement,
			     const struct catalog *catalog,
			     const struct route *route, int64_t now);
/**
 * placement_choose() - a node that merges, in the failure domain @domain (0: in
 * any, the own one first), or NULL when there is none to be asked now
 */
struct member_info *placement_choose(struct placement *placement,
				     const struct catalog *catalog,
				     const struct route *route, uint64_t domain,
				     int64_t now);
/** placement_domains() - other failure domains that nodes are known in. */
size_t placement_domains(const struct placement *placement, uint64_t *domains);
/** placement_invalidate() - nodes or targets changed: make the plans anew. */
void placement_invalidate(struct placement *placement);
