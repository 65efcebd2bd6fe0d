#include "spread.h"

#include <stdlib.h>

#include "directory.h"

enum {
	PLAN_US = 250000,
	/*
	 * Connections that a merging node has open to one target: one for each
	 * of its slots, and one that waits for a late reply.
	 */
	CONNS_EACH = 3,
	/* A domain's part of them at least, so that one may fail. */
	MERGERS_LEAST = 2,
	/*
	 * A node that owes answers and sent no word for this long may be stuck:
	 * it tells at a third of a question's goal that it is at work.
	 */
	OVERDUE_US = 80000,
};

/*
 * Merging nodes send nearly all requests to targets, so they get this part of
 * the free retries; the rest is for nodes that cannot reach any of them. Shared
 * by all nodes alike, most would stay unused while those that merge have none.
 */
static const double MERGERS_SHARE = 0.8;

/* Of a target's connections; the rest is for restarts and fallbacks. */
static const double CONNS_PART = 0.8;
/* A domain merges if it holds this part of the shards of the best one. */
static const double COVER_PART = 0.8;
/* A node merges if it has this part of the best node's processor time. */
static const double CORE_PART = 0.5;

/** struct cover - shards with a target that may be asked, in one domain */
struct cover {
	uint64_t domain;
	size_t shards;
};

/** struct runner - a node that may merge; member NULL: this one */
struct runner {
	struct member_info *member;
	uint64_t domain;
	uint32_t core;
	uint32_t ip;
};

void spread_init(struct spread *spread, struct gossip *gossip,
		 struct roster *roster, struct rng *rng, uint32_t without)
{
	*spread = (struct spread){ .gossip = gossip,
				   .roster = roster,
				   .rng = rng,
				   .without = without };
}

void spread_forget(struct spread *spread)
{
	for (size_t i = 0; i < SPREAD_ROUTES_MAX; i++)
		spread->plans[i].made_at = INT64_MIN / 2;
}

static struct cover *cover_get(struct cover *covers, size_t *count,
			       uint64_t domain)
{
	for (size_t i = 0; i < *count; i++)
		if (covers[i].domain == domain)
			return &covers[i];
	if (*count == SPREAD_DOMAINS_MAX)
		return NULL;
	covers[*count] = (struct cover){ .domain = domain };
	return &covers[(*count)++];
}

static void cover_shard(struct spread *spread, uint64_t service,
			struct cover *covers, size_t *count, int64_t now)
{
	uint64_t seen[SPREAD_DOMAINS_MAX];
	size_t nseen = 0;

	for (struct live_target *target = roster_first(spread->roster, service);
	     target; target = target->next) {
		struct cover *cover =
			cover_get(covers, count, target->domain_key);
		bool counted = false;
		enum target_use use = roster_use(spread->roster, target, now);

		if (!cover || use == USE_LEAVING || use == USE_DOMAIN_OUT)
			continue;
		for (size_t i = 0; i < nseen; i++)
			counted = counted || seen[i] == target->domain_key;
		if (counted || nseen == SPREAD_DOMAINS_MAX)
			continue;
		seen[nseen++] = target->domain_key;
		cover->shards++;
	}
}

size_t spread_domains(const struct spread *spread, uint64_t *domains)
{
	apr_hash_index_t *it;
	size_t count = 0;

	for (it = apr_hash_first(NULL, spread->gossip->members); it;
	     it = apr_hash_next(it)) {
		void *value = hash_value(it);
		uint64_t domain;
		bool known;

		domain = ((struct member_info *)value)->entry.domain;
		known = domain == spread->gossip->self.domain;
		for (size_t i = 0; i < count; i++)
			known = known || domains[i] == domain;
		if (!known && count < SPREAD_DOMAINS_MAX)
			domains[count++] = domain;
	}
	return count;
}

static size_t find_domains(struct spread *spread, const struct route *route,
			   int64_t now, struct cover *covers)
{
	size_t count = 0;
	size_t kept = 0;
	size_t most = 0;

	for (size_t i = 0; i < route->nshards; i++)
		cover_shard(spread, route->shards[i], covers, &count, now);
	for (size_t i = 0; i < count; i++)
		if (covers[i].shards > most)
			most = covers[i].shards;
	for (size_t i = 0; i < count; i++)
		if (most &&
		    (double)covers[i].shards >= COVER_PART * (double)most)
			covers[kept++] = covers[i];
	return kept;
}

static bool may_run(const struct member_info *member, bool later, int64_t now)
{
	if (later)
		return gossip_is_counted(member, now);
	return (member->entry.state & MEMBER_SERVING) &&
	       gossip_is_live(member, now);
}

/* @later: also those that do not serve yet, or not any more. */
static size_t find_runners(struct spread *spread, uint64_t domain, bool later,
			   int64_t now, struct runner *runners)
{
	const struct gossip *gossip = spread->gossip;
	apr_hash_index_t *it;
	size_t count = 0;

	if (gossip->self.domain == domain &&
	    !(gossip->self.state & MEMBER_LEAVING))
		runners[count++] =
			(struct runner){ NULL, domain, gossip->self.core,
					 gossip->self.ip };
	for (it = apr_hash_first(NULL, gossip->members); it;
	     it = apr_hash_next(it)) {
		struct member_info *member = hash_value(it);

		if (member->entry.domain != domain ||
		    !may_run(member, later, now) || count == SPREAD_MERGERS_MAX)
			continue;
		runners[count++] =
			(struct runner){ member, domain, member->entry.core,
					 member->entry.ip };
	}
	return count;
}

/* Most processor time first; all nodes must come to the same order. */
static int by_core(const void *a, const void *b)
{
	const struct runner *x = a;
	const struct runner *y = b;

	if (x->core != y->core)
		return x->core > y->core ? -1 : 1;
	return x->ip < y->ip ? -1 : 1;
}

/*
 * Small VMs do not stand in for large ones that are down: a question over 135
 * shards takes an eighth of a core longer than its goal. The large ones of
 * other domains do.
 */
static void take_runners(struct spread_plan *plan, struct runner *runners,
			 size_t count, size_t most, double least_core)
{
	qsort(runners, count, sizeof(*runners), by_core);
	for (size_t i = 0; i < count && i < most; i++) {
		if ((double)runners[i].core < least_core)
			return;
		if (!runners[i].member)
			plan->self = true;
		else if (plan->count < SPREAD_MERGERS_MAX)
			plan->members[plan->count++] = runners[i].member;
	}
}

static uint32_t best_core(const struct runner *runners, size_t count)
{
	uint32_t best = 0;

	for (size_t i = 0; i < count; i++)
		if (runners[i].core > best)
			best = runners[i].core;
	return best;
}

static size_t mergers_each(const struct catalog *catalog,
			   const struct route *route, size_t domains)
{
	const struct service *service =
		catalog_find_service(catalog, route->shards[0]);
	double conns = service ? service->max_conns : 0;
	size_t all = (size_t)(conns * CONNS_PART / CONNS_EACH);
	size_t each = all / domains;

	return each > MERGERS_LEAST ? each : MERGERS_LEAST;
}

/*
 * How many nodes may merge, for their parts of a shared bound. Those that have
 * just started and do not serve yet count: else each of those that do takes too
 * much. So do those that went lately: what they sent is still in the bound's
 * window.
 */
static size_t count_sharing(struct spread *spread,
			    const struct catalog *catalog,
			    const struct route *route,
			    const struct cover *covers, size_t domains,
			    uint32_t best, int64_t now)
{
	size_t most = mergers_each(catalog, route, domains ? domains : 1);
	struct runner runners[SPREAD_MERGERS_MAX + 1];
	size_t sharing = 0;

	for (size_t i = 0; i < domains; i++) {
		size_t count = find_runners(spread, covers[i].domain, true, now,
					    runners);
		size_t able = 0;

		for (size_t j = 0; j < count; j++)
			able += (double)runners[j].core >= CORE_PART * best;
		sharing += able < most ? able : most;
	}
	return sharing;
}

/*
 * Nodes that merge send nearly all requests to the targets of a route. A
 * target's connections are theirs to share: split by all nodes alike most of
 * them were never used, while shards waited for room at a target.
 */
static void share_conns(struct spread *spread, const struct spread_plan *plan,
			const struct catalog *catalog,
			const struct route *route, size_t domains)
{
	const struct service *service =
		catalog_find_service(catalog, route->shards[0]);
	int merging = (int)plan->count + plan->self;
	int near = plan->self;
	struct conn_bound bound;

	if (!service || !plan->self || !domains || !spread->met ||
	    !mechanism_on(spread->without, MECHANISM_SHARED_CONNS))
		return;
	for (size_t i = 0; i < plan->count; i++)
		near += plan->members[i]->near;
	bound = directory_conn_limits(service->max_conns, near,
				      merging - merging / (int)domains);
	for (size_t i = 0; i < route->nshards; i++)
		roster_conn_bound(spread->roster, route->shards[i], bound);
}

static void make_plan(struct spread *spread, struct spread_plan *plan,
		      const struct catalog *catalog, const struct route *route,
		      int64_t now)
{
	struct cover covers[SPREAD_DOMAINS_MAX];
	struct runner runners[SPREAD_MERGERS_MAX + 1];
	size_t domains = find_domains(spread, route, now, covers);
	uint32_t best = 0;

	*plan = (struct spread_plan){ .route = str_hash(route->name),
				      .version = catalog->version,
				      .made_at = now };
	for (size_t i = 0; i < domains; i++) {
		size_t count = find_runners(spread, covers[i].domain, false,
					    now, runners);
		uint32_t core = best_core(runners, count);

		best = core > best ? core : best;
	}
	for (size_t i = 0; i < domains; i++) {
		size_t count = find_runners(spread, covers[i].domain, false,
					    now, runners);

		take_runners(plan, runners, count,
			     mergers_each(catalog, route, domains),
			     CORE_PART * best);
	}
	plan->sharing = count_sharing(spread, catalog, route, covers, domains,
				      best, now);
	share_conns(spread, plan, catalog, route, domains);
}

static const struct spread_plan *get_plan(struct spread *spread,
					  const struct catalog *catalog,
					  const struct route *route,
					  int64_t now)
{
	uint64_t key = str_hash(route->name);
	struct spread_plan *plan = &spread->plans[key % SPREAD_ROUTES_MAX];

	if (plan->route != key || plan->version != catalog->version ||
	    now - plan->made_at > PLAN_US)
		make_plan(spread, plan, catalog, route, now);
	return plan;
}

static bool may_ask(const struct member_info *member, int64_t now)
{
	return now >= member->backoff_until && gossip_is_live(member, now) &&
	       (!member->unanswered_since ||
		now - member->unanswered_since < OVERDUE_US);
}

static double load(const struct member_info *member)
{
	return (member->in_flight + 1.0) / (member->entry.core + 1.0);
}

bool spread_here(struct spread *spread, const struct catalog *catalog,
		 const struct route *route, int64_t now)
{
	return !mechanism_on(spread->without, MECHANISM_MERGING_NODES) ||
	       get_plan(spread, catalog, route, now)->self;
}

double spread_share(struct spread *spread, const struct catalog *catalog,
		    const struct route *route, int64_t now)
{
	const struct spread_plan *plan = get_plan(spread, catalog, route, now);
	size_t nodes = (size_t)gossip_counted_nodes(spread->gossip);

	if (!plan->sharing || plan->sharing >= nodes ||
	    !mechanism_on(spread->without, MECHANISM_MERGER_BUDGET))
		return 1.0 / (double)nodes;
	if (plan->self)
		return MERGERS_SHARE / (double)plan->sharing;
	return (1 - MERGERS_SHARE) / (double)(nodes - plan->sharing);
}

/* Of two drawn at random the one with less to do, near ones before others. */
struct member_info *spread_choose(struct spread *spread,
				  const struct catalog *catalog,
				  const struct route *route, uint64_t domain,
				  int64_t now)
{
	const struct spread_plan *plan = get_plan(spread, catalog, route, now);
	struct member_info *fit[SPREAD_MERGERS_MAX];
	size_t near = 0;
	size_t count = 0;
	struct member_info *a;
	struct member_info *b;

	for (size_t i = 0; i < plan->count; i++) {
		struct member_info *member = plan->members[i];

		if ((domain && member->entry.domain != domain) ||
		    !may_ask(member, now))
			continue;
		fit[count++] = member;
		if (member->entry.domain != spread->gossip->self.domain)
			continue;
		fit[count - 1] = fit[near];
		fit[near++] = member;
	}
	if (near)
		count = near;
	if (!count)
		return NULL;
	a = fit[rng_below(spread->rng, count)];
	b = fit[rng_below(spread->rng, count)];
	return load(a) <= load(b) ? a : b;
}
