#pragma once

#include "catalog.h"
#include "gossip.h"
#include "balancer.h"

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
	SPREAD_MERGERS_MAX = 64,
	SPREAD_ROUTES_MAX = 16,
	SPREAD_DOMAINS_MAX = 16,
};

/**
 * struct spread_plan - who merges the questions of a route
 * @route: hash of its name; @version: of the configuration
 * @members: other nodes that merge
 * @self: this node merges
 * @sharing: nodes that merge, have merged lately or soon will
 */
struct spread_plan {
	uint64_t route;
	uint64_t version;
	int64_t made_at;
	struct member_info *members[SPREAD_MERGERS_MAX];
	size_t count;
	bool self;
	size_t sharing;
};

/**
 * struct spread - who merges what
 * @met: other nodes have had time to be heard of
 * @without: mechanisms that are off
 */
struct spread {
	struct gossip *gossip;
	struct balancer *balancer;
	struct rng *rng;
	bool met;
	uint32_t without;
	struct spread_plan plans[SPREAD_ROUTES_MAX];
};

void spread_init(struct spread *spread, struct gossip *gossip,
		 struct balancer *balancer, struct rng *rng, uint32_t without);
/** spread_here() - this node merges questions of @route. */
bool spread_here(struct spread *spread, const struct catalog *catalog,
		 const struct route *route, int64_t now);
/**
 * spread_share() - this node's part of what all nodes together may send to the
 * targets of @route beyond first requests
 *
 * Return: above 0, at most 1.
 */
double spread_share(struct spread *spread, const struct catalog *catalog,
		    const struct route *route, int64_t now);
/**
 * spread_choose() - a node that merges, in the failure domain @domain (0: in
 * any, the own one first), or NULL when there is none to be asked now
 */
struct member_info *spread_choose(struct spread *spread,
				  const struct catalog *catalog,
				  const struct route *route, uint64_t domain,
				  int64_t now);
/** spread_domains() - other failure domains that nodes are known in. */
size_t spread_domains(const struct spread *spread, uint64_t *domains);
/** spread_forget() - nodes or targets changed: make the plans anew. */
void spread_forget(struct spread *spread);
