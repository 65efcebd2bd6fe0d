#include "roster.h"

#include <stdlib.h>

#include "xmalloc.h"

enum {
	/*
	 * What a request to a target with an overdue reply is expected to wait
	 * on top: the rest of a pause, which lasts a tenth of a second or so.
	 */
	OVERDUE_WAIT_US = 60000,
	/*
	 * Another failure domain costs two more hops, and bytes between
	 * domains that are paid for: worth a wait of this long.
	 */
	FAR_WAIT_US = 35000,
	/*
	 * What a request costs that is not served: a part of the retry budget,
	 * which is soon used up, and then the shard is missing. More than most
	 * waits, so a target that rejects gets the overflow only.
	 */
	FAULT_WAIT_US = 250000,
	/*
	 * Entries that lapsed while the store was away come back within two
	 * seconds of its return if their target lives.
	 */
	LAPSE_US = 2000000,
	/* Targets that are gone are remembered until no late word can come. */
	KEPT_US = 30000000,
	SECOND_US = 1000000,
};

/**
 * struct group - targets of a service, and what bounds them
 * @cold_per_second: requests that this node may send to a cold one, 0: any
 * @conns: requests of this node that one may have, 0: any
 */
struct group {
	uint64_t service;
	struct live_target *first;
	int cold_per_second;
	struct conn_bound conns;
};

/** struct roster - @without: mechanisms that are off */
struct roster {
	apr_pool_t *pool;
	uint32_t without;
	struct str domain;
	apr_hash_t *targets; /* key -> struct live_target */
	apr_hash_t *groups; /* service -> struct group */
	apr_hash_t *out; /* hash of a failure domain taken out */
	int64_t store_lost_at;
	size_t count;
};

struct roster *roster_create(apr_pool_t *parent, struct str domain,
			     uint32_t without)
{
	apr_pool_t *pool;
	struct roster *roster;

	apr_pool_create(&pool, parent);
	roster = apr_pcalloc(pool, sizeof(*roster));
	roster->pool = pool;
	roster->domain = str_dup(pool, domain);
	roster->without = without;
	roster->targets = hash_make(pool);
	roster->groups = hash_make(pool);
	roster->out = hash_make(pool);
	roster->store_lost_at = INT64_MIN / 2;
	return roster;
}

static void free_strings(struct live_target *target)
{
	str_free(target->id);
	str_free(target->addr);
	str_free(target->domain);
}

static bool has(const struct roster *roster, enum mechanism mechanism)
{
	return mechanism_on(roster->without, mechanism);
}

void roster_destroy(struct roster *roster)
{
	apr_hash_index_t *it;

	for (it = apr_hash_first(NULL, roster->targets); it;
	     it = apr_hash_next(it)) {
		void *target = hash_value(it);

		free_strings(target);
		free(target);
	}
	for (it = apr_hash_first(NULL, roster->groups); it;
	     it = apr_hash_next(it)) {
		void *group = hash_value(it);

		free(group);
	}
	apr_pool_destroy(roster->pool);
}

static struct group *group_get(struct roster *roster, uint64_t service)
{
	struct group *group =
		apr_hash_get(roster->groups, &service, sizeof(service));

	if (group)
		return group;
	group = xcalloc(1, sizeof(*group));
	group->service = service;
	apr_hash_set(roster->groups, &group->service, sizeof(group->service),
		     group);
	return group;
}

static void unlink_target(struct roster *roster, struct live_target *target)
{
	struct live_target **at = &group_get(roster, target->service)->first;

	while (*at && *at != target)
		at = &(*at)->next;
	if (*at)
		*at = target->next;
}

static void forget(struct roster *roster, struct live_target *target)
{
	unlink_target(roster, target);
	apr_hash_set(roster->targets, &target->key, sizeof(target->key), NULL);
	free_strings(target);
	free(target);
	roster->count--;
}

static struct live_target *add(struct roster *roster, uint64_t key,
			       const struct target_entry *entry)
{
	struct live_target *target = xcalloc(1, sizeof(*target));
	struct group *group = group_get(roster, entry->service);

	target->key = key;
	target->id = str_heap_dup(entry->id);
	target->addr = str_heap_dup(entry->addr);
	target->domain = str_heap_dup(entry->domain);
	target->domain_key = str_hash(entry->domain);
	target->near = str_eq(entry->domain, roster->domain);
	target->service = entry->service;
	target->born_ms = entry->born_ms;
	target->slowness = 1;
	target->next = group->first;
	group->first = target;
	apr_hash_set(roster->targets, &target->key, sizeof(target->key),
		     target);
	roster->count++;
	return target;
}

/* The same id on another place, or started anew, is another target. */
static bool is_same(const struct live_target *target,
		    const struct target_entry *entry)
{
	return target->service == entry->service &&
	       target->born_ms == entry->born_ms &&
	       str_eq(target->addr, entry->addr);
}

void roster_put(struct roster *roster, const struct target_entry *entry,
		int64_t now)
{
	uint64_t key = str_hash(entry->id);
	struct live_target *target =
		apr_hash_get(roster->targets, &key, sizeof(key));

	if (target && !is_same(target, entry)) {
		/* Requests under way still point to it. */
		if (target->open) {
			unlink_target(roster, target);
			apr_hash_set(roster->targets, &target->key,
				     sizeof(target->key), NULL);
			target->service = 0;
			target->listed = false;
			roster->count--;
		} else {
			forget(roster, target);
		}
		target = NULL;
	}
	if (!target)
		target = add(roster, key, entry);
	target->listed = true;
	target->slots = entry->slots;
	target->cold_until = entry->cold_us ? now + entry->cold_us : 0;
	if (!entry->leaving)
		target->left_at = 0;
	else if (!target->left_at)
		target->left_at = now;
}

void roster_drop(struct roster *roster, struct str id, int64_t now)
{
	uint64_t key = str_hash(id);
	struct live_target *target =
		apr_hash_get(roster->targets, &key, sizeof(key));

	if (!target)
		return;
	target->listed = false;
	if (!target->left_at)
		target->left_at = now;
}

void roster_domain(struct roster *roster, struct str domain, bool out)
{
	uint64_t key = str_hash(domain);
	uint64_t *kept = apr_hash_get(roster->out, &key, sizeof(key));

	if (out && !kept) {
		kept = apr_palloc(roster->pool, sizeof(key));
		*kept = key;
		apr_hash_set(roster->out, kept, sizeof(*kept), kept);
	} else if (!out && kept) {
		apr_hash_set(roster->out, &key, sizeof(key), NULL);
	}
}

void roster_store_lost(struct roster *roster, int64_t now)
{
	if (now > roster->store_lost_at)
		roster->store_lost_at = now;
}

int64_t roster_store_lost_at(const struct roster *roster)
{
	return roster->store_lost_at;
}

void roster_cold_bound(struct roster *roster, uint64_t service, int per_second)
{
	group_get(roster, service)->cold_per_second = per_second;
}

void roster_conn_bound(struct roster *roster, uint64_t service,
		       struct conn_bound bound)
{
	group_get(roster, service)->conns = bound;
}

/*
 * What queues at a slow target is answered too late to be of use, and makes
 * each later one later still: so few are sent there that a reply comes within
 * half of the goal, one at least.
 */
static bool is_busy(const struct roster *roster, const struct group *group,
		    const struct live_target *target, double usual_us,
		    int64_t goal_us)
{
	double us = track_reply_us(target, usual_us);
	int most;

	if (!group)
		return false;
	most = target->near ? group->conns.near : group->conns.far;
	if (!most)
		return false;
	if (target->slots && most > target->slots)
		most = target->slots;
	if (has(roster, MECHANISM_SLOW_BOUND) && goal_us &&
	    us * 2 > (double)goal_us)
		most = (int)(most * (double)goal_us / (us * 2));
	return target->open >= (most > 1 ? most : 1);
}

/* Choice. */

static const struct group *group_find(const struct roster *roster,
				      uint64_t service)
{
	return apr_hash_get(roster->groups, &service, sizeof(service));
}

static bool cold_is_full(const struct group *group,
			 const struct live_target *target, int64_t now)
{
	if (now >= target->cold_until || !group || !group->cold_per_second)
		return false;
	return now - target->cold_second < SECOND_US &&
	       target->cold_sent >= group->cold_per_second;
}

static enum target_use use_for(const struct roster *roster,
			       const struct live_target *target,
			       double usual_us, int64_t goal_us, int64_t now)
{
	const struct group *group = group_find(roster, target->service);

	if (apr_hash_get(roster->out, &target->domain_key,
			 sizeof(target->domain_key)))
		return USE_DOMAIN_OUT;
	if (now < target->moved_until)
		return USE_LEAVING;
	/*
	 * While the store was away entries lapse though their targets live.
	 * Such a target is used until its entry would have been back.
	 */
	if (target->left_at &&
	    (target->listed || now - target->left_at > LAPSE_US ||
	     target->left_at - roster->store_lost_at > LAPSE_US))
		return USE_LEAVING;
	if (now < target->down_until && has(roster, MECHANISM_TARGET_REST))
		return USE_DOWN;
	if (has(roster, MECHANISM_COLD_BOUND) &&
	    cold_is_full(group, target, now))
		return USE_COLD;
	if (is_busy(roster, group, target, usual_us, goal_us))
		return USE_BUSY;
	return USE_OK;
}

enum target_use roster_use(const struct roster *roster,
			   const struct live_target *target, int64_t now)
{
	return use_for(roster, target, 0, 0, now);
}

int64_t roster_expect(const struct roster *roster,
		      const struct live_target *target, double usual_us,
		      int64_t now)
{
	double us = usual_us * (has(roster, MECHANISM_SLOWNESS)
					? track_slowness(target, now)
					: 1);
	int slots = target->slots > 0 ? target->slots : 1;
	double queued = (double)target->open / slots;
	int64_t expected = (int64_t)(us * (1 + queued));

	if (has(roster, MECHANISM_OVERDUE_COST) &&
	    track_is_overdue(target, now))
		expected += OVERDUE_WAIT_US;
	if (now < target->cold_until)
		expected += (int64_t)us;
	if (has(roster, MECHANISM_FAULT_COST))
		expected +=
			(int64_t)(FAULT_WAIT_US * track_faults(target, now));
	if (has(roster, MECHANISM_TARGET_REST) && now < target->wary_until)
		expected += target->wary_until - now;
	if (has(roster, MECHANISM_FAR_COST) && !target->near)
		expected += FAR_WAIT_US;
	return expected;
}

static bool is_avoided(const struct choice *choice, uint64_t key)
{
	for (size_t i = 0; i < choice->navoid; i++)
		if (choice->avoid[i] == key)
			return true;
	return false;
}

struct live_target *roster_first(const struct roster *roster, uint64_t service)
{
	const struct group *group = group_find(roster, service);

	return group ? group->first : NULL;
}

/*
 * Of a target that has as many requests of this node as it bears: one of them
 * must be answered first. A quick target that is busy is worth the wait: were
 * the request sent to a slow one at hand instead, its reply would come later
 * still, and a retry be spent on it.
 */
static int64_t expect_busy(const struct roster *roster,
			   const struct live_target *target,
			   const struct choice *choice)
{
	return roster_expect(roster, target, choice->usual_us, choice->now) +
	       (int64_t)track_reply_us(target, choice->usual_us);
}

struct live_target *roster_choose(struct roster *roster,
				  const struct choice *choice)
{
	struct live_target *best = NULL;
	int64_t least = 0;
	int64_t least_busy = INT64_MAX;

	for (struct live_target *target = roster_first(roster, choice->service);
	     target; target = target->next) {
		enum target_use use = use_for(roster, target, choice->usual_us,
					      choice->goal_us, choice->now);
		int64_t expected;

		if (is_avoided(choice, target->key))
			continue;
		if (use == USE_BUSY && has(roster, MECHANISM_BUSY_WAIT) &&
		    expect_busy(roster, target, choice) < least_busy)
			least_busy = expect_busy(roster, target, choice);
		if (use != USE_OK)
			continue;
		expected = roster_expect(roster, target, choice->usual_us,
					 choice->now);
		if (!best || expected < least) {
			best = target;
			least = expected;
		}
	}
	return least_busy < least ? NULL : best;
}

bool roster_any(const struct roster *roster, uint64_t service, int64_t now)
{
	for (struct live_target *target = roster_first(roster, service); target;
	     target = target->next) {
		enum target_use use = roster_use(roster, target, now);

		/* What is busy or has its share of a second is soon free. */
		if (use == USE_OK || use == USE_BUSY || use == USE_COLD)
			return true;
	}
	return false;
}

bool roster_near_first(struct roster *roster, const struct choice *choice)
{
	const struct live_target *target = roster_choose(roster, choice);

	return target && target->near;
}

bool roster_holds(const struct roster *roster, uint64_t service,
		  uint64_t domain, int64_t now)
{
	for (struct live_target *target = roster_first(roster, service); target;
	     target = target->next)
		if (target->domain_key == domain &&
		    roster_use(roster, target, now) == USE_OK)
			return true;
	return false;
}

bool roster_lists(const struct roster *roster, uint64_t key, int64_t born_ms)
{
	const struct live_target *target =
		apr_hash_get(roster->targets, &key, sizeof(key));

	return target && target->listed && target->born_ms == born_ms;
}

/* Return: one that can be forgotten, or NULL. */
static struct live_target *find_gone(struct roster *roster, int64_t now)
{
	apr_hash_index_t *it;

	for (it = apr_hash_first(NULL, roster->targets); it;
	     it = apr_hash_next(it)) {
		struct live_target *target = hash_value(it);

		if (!target->listed && !target->open &&
		    now - target->left_at > KEPT_US)
			return target;
	}
	return NULL;
}

void roster_sweep(struct roster *roster, int64_t now)
{
	struct live_target *gone;

	while ((gone = find_gone(roster, now)))
		forget(roster, gone);
}

size_t roster_count(const struct roster *roster)
{
	return roster->count;
}

void roster_answered(struct roster *roster, struct live_target *target,
		     enum target_reply what, double usual_us, int64_t sent_at,
		     int64_t now)
{
	track_answered(target, what, usual_us, sent_at, now);
	if (!target->open && !target->service) {
		free_strings(target);
		free(target);
	} else if (!target->open && !target->listed &&
		   now - target->left_at > 2 * LAPSE_US) {
		forget(roster, target);
	}
}
