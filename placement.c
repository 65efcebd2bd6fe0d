#include "placement.h"

#include <stdlib.h>

#include "directory.h"

enum {
	PLAN_TTL_US = 250000,
	/*
	 * Connections of a merging node to one target: one for each slot of the
	 * target, and one that waits for a late reply.
	 */
	CONNS_PER_MERGER = 3,
	/* Minimum number of merging nodes per domain, so that one may fail. */
	MERGERS_MIN = 2,
	/*
	 * A node with open batches that has sent no message for this long may
	 * be stuck: a working node sends an interim reply after a third of a
	 * question's goal.
	 */
	OVERDUE_US = 80000,
};

/*
 * Fraction of the extra retries for merging nodes, which send nearly all
 * requests to targets; the rest is divided equally among all nodes, for those
 * that cannot reach any of them. If all were divided equally, most retries
 * would stay unused while the merging nodes have none.
 */
static const double MERGERS_RETRY_SHARE = 0.8;

/*
 * Fraction of a target's connections for merging nodes; the rest is for
 * restarts and fallbacks.
 */
static const double CONNS_FRACTION = 0.8;
/* Minimum coverage of a merging domain, relative to the best one. */
static const double COVERAGE_FRACTION = 0.8;
/* Minimum processor time of a merging node, relative to the best one. */
static const double CORE_FRACTION = 0.5;

/** struct coverage - number of shards with a usable target in a domain */
struct coverage {
	uint64_t domain;
	size_t shards;
};

/** struct candidate - a node that may merge; @member is NULL for this node */
struct candidate {
	struct member_info *member;
	uint64_t domain;
	uint32_t core;
	uint32_t ip;
};

void placement_init(struct placement *placement, struct gossip *gossip,
		    struct balancer *balancer, struct rng *rng,
		    uint32_t without)
{
	*placement = (struct placement){ .gossip = gossip,
					 .balancer = balancer,
					 .rng = rng,
					 .without = without };
}

void placement_invalidate(struct placement *placement)
{
	for (size_t i = 0; i < PLACEMENT_ROUTES_MAX; i++)
		placement->plans[i].made_at = INT64_MIN / 2;
}

static struct coverage *coverage_get(struct coverage *coverages, size_t *count,
				     uint64_t domain)
{
	for (size_t i = 0; i < *count; i++)
		if (coverages[i].domain == domain)
			return &coverages[i];
	if (*count == PLACEMENT_DOMAINS_MAX)
		return NULL;
	coverages[*count] = (struct coverage){ .domain = domain };
	return &coverages[(*count)++];
}

static void add_shard_coverage(struct placement *placement, uint64_t service,
			       struct coverage *coverages, size_t *count,
			       int64_t now)
{
	uint64_t seen[PLACEMENT_DOMAINS_MAX];
	size_t nseen = 0;

	for (struct live_target *target =
		     balancer_first_target(placement->balancer, service);
	     target; target = target->next) {
		struct coverage *coverage =
			coverage_get(coverages, count, target->domain_key);
		bool counted = false;
		enum target_availability availability =
			balancer_availability(placement->balancer, target, now);

		if (!coverage || availability == AVAIL_LEAVING ||
		    availability == AVAIL_DOMAIN_OUT)
			continue;
		for (size_t i = 0; i < nseen; i++)
			counted = counted || seen[i] == target->domain_key;
		if (counted || nseen == PLACEMENT_DOMAINS_MAX)
			continue;
		seen[nseen++] = target->domain_key;
		coverage->shards++;
	}
}

size_t placement_list_domains(const struct placement *placement,
			      uint64_t *domains)
{
	apr_hash_index_t *it;
	size_t count = 0;

	for (it = apr_hash_first(NULL, placement->gossip->members); it;
	     it = apr_hash_next(it)) {
		void *value = hash_value(it);
		uint64_t domain;
		bool known;

		domain = ((struct member_info *)value)->entry.domain;
		known = domain == placement->gossip->self.domain;
		for (size_t i = 0; i < count; i++)
			known = known || domains[i] == domain;
		if (!known && count < PLACEMENT_DOMAINS_MAX)
			domains[count++] = domain;
	}
	return count;
}

static size_t find_domains(struct placement *placement,
			   const struct route *route, int64_t now,
			   struct coverage *coverages)
{
	size_t count = 0;
	size_t kept = 0;
	size_t max_shards = 0;

	for (size_t i = 0; i < route->nshards; i++)
		add_shard_coverage(placement, route->shards[i], coverages,
				   &count, now);
	for (size_t i = 0; i < count; i++)
		if (coverages[i].shards > max_shards)
			max_shards = coverages[i].shards;
	for (size_t i = 0; i < count; i++)
		if (max_shards &&
		    (double)coverages[i].shards >=
			    COVERAGE_FRACTION * (double)max_shards)
			coverages[kept++] = coverages[i];
	return kept;
}

static bool is_candidate(const struct member_info *member,
			 bool include_inactive, int64_t now)
{
	if (include_inactive)
		return gossip_holds_share(member, now);
	return (member->entry.state & MEMBER_SERVING) &&
	       gossip_is_live(member, now);
}

/* @include_inactive: also nodes that do not serve yet or have stopped. */
static size_t find_candidates(struct placement *placement, uint64_t domain,
			      bool include_inactive, int64_t now,
			      struct candidate *candidates)
{
	const struct gossip *gossip = placement->gossip;
	apr_hash_index_t *it;
	size_t count = 0;

	if (gossip->self.domain == domain &&
	    !(gossip->self.state & MEMBER_LEAVING))
		candidates[count++] =
			(struct candidate){ NULL, domain, gossip->self.core,
					    gossip->self.ip };
	for (it = apr_hash_first(NULL, gossip->members); it;
	     it = apr_hash_next(it)) {
		struct member_info *member = hash_value(it);

		if (member->entry.domain != domain ||
		    !is_candidate(member, include_inactive, now) ||
		    count == PLACEMENT_MERGERS_MAX)
			continue;
		candidates[count++] =
			(struct candidate){ member, domain, member->entry.core,
					    member->entry.ip };
	}
	return count;
}

/* Most processor time first. The order must be the same on all nodes. */
static int compare_core(const void *a, const void *b)
{
	const struct candidate *x = a;
	const struct candidate *y = b;

	if (x->core != y->core)
		return x->core > y->core ? -1 : 1;
	return x->ip < y->ip ? -1 : 1;
}

/*
 * Small VMs do not replace large ones that are down: with an eighth of a core,
 * a question over 135 shards takes longer than its goal. Large VMs of other
 * domains merge instead.
 */
static void add_mergers(struct placement_plan *plan,
			struct candidate *candidates, size_t count,
			size_t max_mergers, double min_core)
{
	qsort(candidates, count, sizeof(*candidates), compare_core);
	for (size_t i = 0; i < count && i < max_mergers; i++) {
		if ((double)candidates[i].core < min_core)
			return;
		if (!candidates[i].member)
			plan->self = true;
		else if (plan->count < PLACEMENT_MERGERS_MAX)
			plan->members[plan->count++] = candidates[i].member;
	}
}

static uint32_t max_core(const struct candidate *candidates, size_t count)
{
	uint32_t best = 0;

	for (size_t i = 0; i < count; i++)
		if (candidates[i].core > best)
			best = candidates[i].core;
	return best;
}

static size_t mergers_per_domain(const struct catalog *catalog,
				 const struct route *route, size_t domains)
{
	const struct service *service =
		catalog_find_service(catalog, route->shards[0]);
	double conns = service ? service->max_conns : 0;
	size_t total = (size_t)(conns * CONNS_FRACTION / CONNS_PER_MERGER);
	size_t per_domain = total / domains;

	return per_domain > MERGERS_MIN ? per_domain : MERGERS_MIN;
}

/*
 * Counts the nodes among which shared limits are divided. Nodes that have just
 * started and do not serve yet are included, otherwise each serving node would
 * take too large a share. Nodes that stopped recently are included too, as
 * their requests are still within the window of the limit.
 */
static size_t count_mergers(struct placement *placement,
			    const struct catalog *catalog,
			    const struct route *route,
			    const struct coverage *coverages, size_t domains,
			    uint32_t best, int64_t now)
{
	size_t max_mergers =
		mergers_per_domain(catalog, route, domains ? domains : 1);
	struct candidate candidates[PLACEMENT_MERGERS_MAX + 1];
	size_t mergers = 0;

	for (size_t i = 0; i < domains; i++) {
		size_t count = find_candidates(placement, coverages[i].domain,
					       true, now, candidates);
		size_t eligible = 0;

		for (size_t j = 0; j < count; j++)
			eligible += (double)candidates[j].core >=
				    CORE_FRACTION * best;
		mergers += eligible < max_mergers ? eligible : max_mergers;
	}
	return mergers;
}

/*
 * Divides a target's connections among the merging nodes, which send nearly all
 * requests to the targets of a route. Divided equally among all nodes, most
 * connections were never used, while shards waited for a free one.
 */
static void divide_conns(struct placement *placement,
			 const struct placement_plan *plan,
			 const struct catalog *catalog,
			 const struct route *route, size_t domains)
{
	const struct service *service =
		catalog_find_service(catalog, route->shards[0]);
	int merging = (int)plan->count + plan->self;
	int near_mergers = plan->self;
	struct conn_limit limit;

	if (!service || !plan->self || !domains || !placement->discovery_done ||
	    !mechanism_enabled(placement->without, MECHANISM_SHARED_CONNS))
		return;
	for (size_t i = 0; i < plan->count; i++)
		near_mergers += plan->members[i]->near;
	limit = directory_conn_limits(service->max_conns, near_mergers,
				      merging - merging / (int)domains);
	for (size_t i = 0; i < route->nshards; i++)
		balancer_set_conn_limit(placement->balancer, route->shards[i],
					limit);
}

static void make_plan(struct placement *placement, struct placement_plan *plan,
		      const struct catalog *catalog, const struct route *route,
		      int64_t now)
{
	struct coverage coverages[PLACEMENT_DOMAINS_MAX];
	struct candidate candidates[PLACEMENT_MERGERS_MAX + 1];
	size_t domains = find_domains(placement, route, now, coverages);
	uint32_t best = 0;

	*plan = (struct placement_plan){ .route = str_hash(route->name),
					 .version = catalog->version,
					 .made_at = now };
	for (size_t i = 0; i < domains; i++) {
		size_t count = find_candidates(placement, coverages[i].domain,
					       false, now, candidates);
		uint32_t core = max_core(candidates, count);

		best = core > best ? core : best;
	}
	for (size_t i = 0; i < domains; i++) {
		size_t count = find_candidates(placement, coverages[i].domain,
					       false, now, candidates);

		add_mergers(plan, candidates, count,
			    mergers_per_domain(catalog, route, domains),
			    CORE_FRACTION * best);
	}
	plan->mergers = count_mergers(placement, catalog, route, coverages,
				      domains, best, now);
	divide_conns(placement, plan, catalog, route, domains);
}

static const struct placement_plan *get_plan(struct placement *placement,
					     const struct catalog *catalog,
					     const struct route *route,
					     int64_t now)
{
	uint64_t key = str_hash(route->name);
	struct placement_plan *plan =
		&placement->plans[key % PLACEMENT_ROUTES_MAX];

	if (plan->route != key || plan->version != catalog->version ||
	    now - plan->made_at > PLAN_TTL_US)
		make_plan(placement, plan, catalog, route, now);
	return plan;
}

static bool is_available(const struct member_info *member, int64_t now)
{
	return now >= member->backoff_until && gossip_is_live(member, now) &&
	       (!member->unanswered_since ||
		now - member->unanswered_since < OVERDUE_US);
}

static double relative_load(const struct member_info *member)
{
	return (member->in_flight + 1.0) / (member->entry.core + 1.0);
}

bool placement_is_local(struct placement *placement,
			const struct catalog *catalog,
			const struct route *route, int64_t now)
{
	return !mechanism_enabled(placement->without,
				  MECHANISM_MERGING_NODES) ||
	       get_plan(placement, catalog, route, now)->self;
}

double placement_retry_share(struct placement *placement,
			     const struct catalog *catalog,
			     const struct route *route, int64_t now)
{
	const struct placement_plan *plan =
		get_plan(placement, catalog, route, now);
	double equal = gossip_equal_share(placement->gossip, now);
	double share;

	if (!plan->mergers || equal * (double)plan->mergers >= 1 ||
	    !mechanism_enabled(placement->without, MECHANISM_MERGER_BUDGET))
		return equal;
	share = (1 - MERGERS_RETRY_SHARE) * equal;
	/* A node that does not know the others yet does not know its part. */
	if (plan->self && equal > 0)
		share += MERGERS_RETRY_SHARE / (double)plan->mergers;
	return share;
}

/* The less loaded of two random nodes, preferably in this failure domain. */
struct member_info *placement_choose_merger(struct placement *placement,
					    const struct catalog *catalog,
					    const struct route *route,
					    uint64_t domain, int64_t now)
{
	const struct placement_plan *plan =
		get_plan(placement, catalog, route, now);
	struct member_info *available[PLACEMENT_MERGERS_MAX];
	size_t near = 0;
	size_t count = 0;
	struct member_info *a;
	struct member_info *b;

	for (size_t i = 0; i < plan->count; i++) {
		struct member_info *member = plan->members[i];

		if ((domain && member->entry.domain != domain) ||
		    !is_available(member, now))
			continue;
		available[count++] = member;
		if (member->entry.domain != placement->gossip->self.domain)
			continue;
		available[count - 1] = available[near];
		available[near++] = member;
	}
	if (near)
		count = near;
	if (!count)
		return NULL;
	a = available[rng_below(placement->rng, count)];
	b = available[rng_below(placement->rng, count)];
	return relative_load(a) <= relative_load(b) ? a : b;
}
