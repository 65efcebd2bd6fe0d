#include "balancer.h"

#include <stdlib.h>

#include "xmalloc.h"

enum {
	/*
	 * Additional expected latency at a target with an overdue reply: the
	 * rest of a pause, which lasts about a tenth of a second.
	 */
	OVERDUE_COST_US = 60000,
	/*
	 * Latency that is accepted to stay in this failure domain. A target in
	 * another one costs two more hops, and traffic between domains is paid
	 * by the byte.
	 */
	FAR_COST_US = 35000,
	/*
	 * Cost of a request that is not served. It takes a part of the retry
	 * budget, and once that is used up, shards are missing. Higher than
	 * most waits, so that a rejecting target gets only the overflow.
	 */
	FAILURE_COST_US = 250000,
	/* A gone target without requests in flight is kept for this long. */
	UNUSED_RETENTION_US = 4000000,
	/* Gone targets are kept until no late update about them can arrive. */
	GONE_RETENTION_US = 30000000,
};

/**
 * struct service_targets - targets of a service and their limits
 * @first: list of the targets
 * @cold_tokens: limit of a cold target's requests a second, 0 for none
 * @conns: limit of requests in flight to a target, 0 for none
 */
struct service_targets {
	uint64_t service;
	struct live_target *first;
	int cold_tokens;
	struct conn_limit conns;
};

/**
 * struct balancer - all targets
 * @without: bit set of disabled mechanisms
 * @domain: failure domain of this node
 * @targets: key -> struct live_target
 * @services: service -> struct service_targets
 * @out: hashes of the failure domains that are out of use
 * @count: number of targets
 */
struct balancer {
	apr_pool_t *pool;
	uint32_t without;
	struct str domain;
	apr_hash_t *targets;
	apr_hash_t *services;
	apr_hash_t *out;
	struct cold_parts cold_parts;
	size_t count;
};

struct balancer *balancer_create(apr_pool_t *parent, struct str domain,
				 uint32_t without)
{
	apr_pool_t *pool;
	struct balancer *balancer;

	apr_pool_create(&pool, parent);
	balancer = apr_pcalloc(pool, sizeof(*balancer));
	balancer->pool = pool;
	balancer->domain = str_dup(pool, domain);
	balancer->without = without;
	balancer->targets = hash_make(pool);
	balancer->services = hash_make(pool);
	balancer->out = hash_make(pool);
	return balancer;
}

static void target_free(struct live_target *target)
{
	str_free(target->id);
	str_free(target->addr);
	str_free(target->domain);
	cold_rate_free(target->cold_rate);
	free(target);
}

static bool is_mechanism_enabled(const struct balancer *balancer,
				 enum mechanism mechanism)
{
	return mechanism_enabled(balancer->without, mechanism);
}

void balancer_destroy(struct balancer *balancer)
{
	apr_hash_index_t *it;

	for (it = apr_hash_first(NULL, balancer->targets); it;
	     it = apr_hash_next(it)) {
		void *target = hash_value(it);

		target_free(target);
	}
	for (it = apr_hash_first(NULL, balancer->services); it;
	     it = apr_hash_next(it)) {
		void *service_targets = hash_value(it);

		free(service_targets);
	}
	apr_pool_destroy(balancer->pool);
}

static struct service_targets *service_targets_get(struct balancer *balancer,
						   uint64_t service)
{
	struct service_targets *service_targets =
		apr_hash_get(balancer->services, &service, sizeof(service));

	if (service_targets)
		return service_targets;
	service_targets = xcalloc(1, sizeof(*service_targets));
	service_targets->service = service;
	apr_hash_set(balancer->services, &service_targets->service,
		     sizeof(service_targets->service), service_targets);
	return service_targets;
}

static void unlink_target(struct balancer *balancer, struct live_target *target)
{
	struct live_target **at =
		&service_targets_get(balancer, target->service)->first;

	while (*at && *at != target)
		at = &(*at)->next;
	if (*at)
		*at = target->next;
}

static void remove_target(struct balancer *balancer, struct live_target *target)
{
	unlink_target(balancer, target);
	apr_hash_set(balancer->targets, &target->key, sizeof(target->key),
		     NULL);
	target_free(target);
	balancer->count--;
}

static void set_cold_tokens(struct live_target *target, int tokens)
{
	if (!tokens) {
		cold_rate_free(target->cold_rate);
		target->cold_rate = NULL;
	} else if (!target->cold_rate) {
		target->cold_rate = cold_rate_create(tokens);
	} else {
		cold_rate_resize(target->cold_rate, tokens);
	}
}

static struct live_target *add_target(struct balancer *balancer, uint64_t key,
				      const struct target_entry *entry)
{
	struct live_target *target = xcalloc(1, sizeof(*target));
	struct service_targets *service_targets =
		service_targets_get(balancer, entry->service);

	target->key = key;
	target->id = str_heap_dup(entry->id);
	target->addr = str_heap_dup(entry->addr);
	target->domain = str_heap_dup(entry->domain);
	target->domain_key = str_hash(entry->domain);
	target->near = str_eq(entry->domain, balancer->domain);
	target->service = entry->service;
	target->born_ms = entry->born_ms;
	target->slowness = 1;
	set_cold_tokens(target, service_targets->cold_tokens);
	target->next = service_targets->first;
	service_targets->first = target;
	apr_hash_set(balancer->targets, &target->key, sizeof(target->key),
		     target);
	balancer->count++;
	return target;
}

/* An id at a new address, or of a restarted process, is a new target. */
static bool is_same_process(const struct live_target *target,
			    const struct target_entry *entry)
{
	return target->service == entry->service &&
	       target->born_ms == entry->born_ms &&
	       str_eq(target->addr, entry->addr);
}

void balancer_publish(struct balancer *balancer,
		      const struct target_entry *entry, int64_t now)
{
	uint64_t key = str_hash(entry->id);
	struct live_target *target =
		apr_hash_get(balancer->targets, &key, sizeof(key));

	if (target && !is_same_process(target, entry)) {
		/* Attempts in flight still point to it. */
		if (target->open) {
			unlink_target(balancer, target);
			apr_hash_set(balancer->targets, &target->key,
				     sizeof(target->key), NULL);
			target->service = 0;
			target->published = false;
			balancer->count--;
		} else {
			remove_target(balancer, target);
		}
		target = NULL;
	}
	if (!target)
		target = add_target(balancer, key, entry);
	target->published = true;
	target->slots = entry->slots;
	target->cold_until = entry->cold_us ? now + entry->cold_us : 0;
	target->used_until = 0;
	if (!entry->leaving)
		target->leaving_at = 0;
	else if (!target->leaving_at)
		target->leaving_at = now;
}

void balancer_unpublish(struct balancer *balancer, struct str id,
			int64_t used_until, int64_t now)
{
	uint64_t key = str_hash(id);
	struct live_target *target =
		apr_hash_get(balancer->targets, &key, sizeof(key));

	if (!target)
		return;
	target->published = false;
	if (target->leaving_at)
		return;
	target->leaving_at = now;
	target->used_until = used_until;
}

void balancer_set_domain(struct balancer *balancer, struct str domain, bool out)
{
	uint64_t key = str_hash(domain);
	uint64_t *kept = apr_hash_get(balancer->out, &key, sizeof(key));

	if (out && !kept) {
		kept = apr_palloc(balancer->pool, sizeof(key));
		*kept = key;
		apr_hash_set(balancer->out, kept, sizeof(*kept), kept);
	} else if (!out && kept) {
		apr_hash_set(balancer->out, &key, sizeof(key), NULL);
	}
}

bool balancer_is_out(const struct balancer *balancer, uint64_t domain_key)
{
	return apr_hash_get(balancer->out, &domain_key, sizeof(domain_key));
}

void balancer_set_cold_limit(struct balancer *balancer, uint64_t service,
			     int per_second)
{
	struct service_targets *service_targets =
		service_targets_get(balancer, service);

	service_targets->cold_tokens = per_second;
	for (struct live_target *target = service_targets->first; target;
	     target = target->next)
		set_cold_tokens(target, per_second);
}

void balancer_set_cold_parts(struct balancer *balancer, struct cold_parts parts)
{
	balancer->cold_parts = parts;
}

struct live_target *balancer_find(const struct balancer *balancer, uint64_t key)
{
	return apr_hash_get(balancer->targets, &key, sizeof(key));
}

struct cold_rate *balancer_cold_rate(const struct balancer *balancer,
				     const struct live_target *target)
{
	if (target->cold_rate && balancer->cold_parts.update)
		balancer->cold_parts.update(balancer->cold_parts.ctx, target);
	return target->cold_rate;
}

bool balancer_on_send(const struct balancer *balancer,
		      struct live_target *target, double baseline_us,
		      int64_t now)
{
	struct cold_rate *rate = target->cold_rate;

	/* While it is warm its requests are only counted. */
	if (now < target->cold_until)
		rate = balancer_cold_rate(balancer, target);
	target_health_on_send(target, baseline_us, now);
	return rate && cold_rate_on_send(rate, now);
}

void balancer_set_conn_limit(struct balancer *balancer, uint64_t service,
			     struct conn_limit limit)
{
	service_targets_get(balancer, service)->conns = limit;
}

/*
 * Requests that queue at a slow target are answered too late and delay the ones
 * after them. So the limit of a target is reduced until replies are expected
 * within half of the goal, but not below one request.
 */
static bool is_busy(const struct balancer *balancer,
		    const struct service_targets *service_targets,
		    const struct live_target *target, double baseline_us,
		    int64_t goal_us)
{
	double us = target_health_expected_us(target, baseline_us);
	int limit;

	if (!service_targets)
		return false;
	limit = target->near ? service_targets->conns.near
			     : service_targets->conns.far;
	if (!limit)
		return false;
	if (target->slots && limit > target->slots)
		limit = target->slots;
	if (is_mechanism_enabled(balancer, MECHANISM_SLOW_BOUND) && goal_us &&
	    us * 2 > (double)goal_us)
		limit = (int)(limit * (double)goal_us / (us * 2));
	return target->open >= (limit > 1 ? limit : 1);
}

/* Choice of targets. */

static const struct service_targets *
service_targets_find(const struct balancer *balancer, uint64_t service)
{
	return apr_hash_get(balancer->services, &service, sizeof(service));
}

static bool cold_limit_reached(const struct balancer *balancer,
			       const struct live_target *target, int64_t now)
{
	const struct cold_rate *rate;

	if (now >= target->cold_until)
		return false;
	rate = balancer_cold_rate(balancer, target);
	return rate && !cold_rate_allows(rate, now);
}

static enum target_availability
availability_for(const struct balancer *balancer,
		 const struct live_target *target, double baseline_us,
		 int64_t goal_us, int64_t now)
{
	const struct service_targets *service_targets =
		service_targets_find(balancer, target->service);

	if (balancer_is_out(balancer, target->domain_key))
		return AVAIL_DOMAIN_OUT;
	if (now < target->entry_ignored_until)
		return AVAIL_LEAVING;
	if (target->leaving_at && now >= target->used_until)
		return AVAIL_LEAVING;
	if (now < target->down_until &&
	    is_mechanism_enabled(balancer, MECHANISM_TARGET_REST))
		return AVAIL_DOWN;
	if (is_mechanism_enabled(balancer, MECHANISM_COLD_BOUND) &&
	    cold_limit_reached(balancer, target, now))
		return AVAIL_COLD;
	if (is_busy(balancer, service_targets, target, baseline_us, goal_us))
		return AVAIL_BUSY;
	return AVAIL_OK;
}

enum target_availability balancer_availability(const struct balancer *balancer,
					       const struct live_target *target,
					       int64_t now)
{
	return availability_for(balancer, target, 0, 0, now);
}

int64_t balancer_expected_us(const struct balancer *balancer,
			     const struct live_target *target,
			     double baseline_us, int64_t now)
{
	double us = baseline_us *
		    (is_mechanism_enabled(balancer, MECHANISM_SLOWNESS)
			     ? target_health_slowness(target, now)
			     : 1);
	int slots = target->slots > 0 ? target->slots : 1;
	double queued = (double)target->open / slots;
	int64_t expected_us = (int64_t)(us * (1 + queued));

	if (is_mechanism_enabled(balancer, MECHANISM_OVERDUE_COST) &&
	    target_health_is_overdue(target, now))
		expected_us += OVERDUE_COST_US;
	if (now < target->cold_until)
		expected_us += (int64_t)us;
	if (is_mechanism_enabled(balancer, MECHANISM_FAULT_COST))
		expected_us += (int64_t)(FAILURE_COST_US *
					 target_health_error_rate(target, now));
	if (is_mechanism_enabled(balancer, MECHANISM_TARGET_REST) &&
	    now < target->backoff_until)
		expected_us += target->backoff_until - now;
	if (is_mechanism_enabled(balancer, MECHANISM_FAR_COST) && !target->near)
		expected_us += FAR_COST_US;
	return expected_us;
}

static bool is_excluded(const struct target_query *target_query, uint64_t key)
{
	for (size_t i = 0; i < target_query->nexcluded; i++)
		if (target_query->excluded[i] == key)
			return true;
	return false;
}

struct live_target *balancer_first_target(const struct balancer *balancer,
					  uint64_t service)
{
	const struct service_targets *service_targets =
		service_targets_find(balancer, service);

	return service_targets ? service_targets->first : NULL;
}

/*
 * Expected time to the reply of a target that is at its limit: one of its
 * requests must be answered first. Waiting for a fast target can be better than
 * sending to a slow one, whose reply would arrive even later and cost a retry.
 */
static int64_t expected_when_busy(const struct balancer *balancer,
				  const struct live_target *target,
				  const struct target_query *target_query)
{
	return balancer_expected_us(balancer, target, target_query->baseline_us,
				    target_query->now) +
	       (int64_t)target_health_expected_us(target,
						  target_query->baseline_us);
}

struct live_target *
balancer_choose_target(struct balancer *balancer,
		       const struct target_query *target_query)
{
	struct live_target *best = NULL;
	int64_t best_us = 0;
	int64_t best_busy_us = INT64_MAX;

	for (struct live_target *target =
		     balancer_first_target(balancer, target_query->service);
	     target; target = target->next) {
		enum target_availability availability = availability_for(
			balancer, target, target_query->baseline_us,
			target_query->goal_us, target_query->now);
		int64_t expected_us;

		if (is_excluded(target_query, target->key))
			continue;
		if (availability == AVAIL_BUSY &&
		    is_mechanism_enabled(balancer, MECHANISM_BUSY_WAIT) &&
		    expected_when_busy(balancer, target, target_query) <
			    best_busy_us)
			best_busy_us = expected_when_busy(balancer, target,
							  target_query);
		if (availability != AVAIL_OK)
			continue;
		expected_us = balancer_expected_us(balancer, target,
						   target_query->baseline_us,
						   target_query->now);
		if (!best || expected_us < best_us) {
			best = target;
			best_us = expected_us;
		}
	}
	return best_busy_us < best_us ? NULL : best;
}

bool balancer_has_usable(const struct balancer *balancer, uint64_t service,
			 int64_t now)
{
	for (struct live_target *target =
		     balancer_first_target(balancer, service);
	     target; target = target->next) {
		enum target_availability availability =
			balancer_availability(balancer, target, now);

		/* Busy and rate-limited targets are available again soon. */
		if (availability == AVAIL_OK || availability == AVAIL_BUSY ||
		    availability == AVAIL_COLD)
			return true;
	}
	return false;
}

bool balancer_prefers_near(struct balancer *balancer,
			   const struct target_query *target_query)
{
	const struct live_target *target =
		balancer_choose_target(balancer, target_query);

	return target && target->near;
}

bool balancer_has_target_in(const struct balancer *balancer, uint64_t service,
			    uint64_t domain, int64_t now)
{
	for (struct live_target *target =
		     balancer_first_target(balancer, service);
	     target; target = target->next)
		if (target->domain_key == domain &&
		    balancer_availability(balancer, target, now) == AVAIL_OK)
			return true;
	return false;
}

bool balancer_is_published(const struct balancer *balancer, uint64_t key,
			   int64_t born_ms)
{
	const struct live_target *target =
		apr_hash_get(balancer->targets, &key, sizeof(key));

	return target && target->published && target->born_ms == born_ms;
}

/* Return: a target that can be removed, or NULL. */
static struct live_target *find_expired(struct balancer *balancer, int64_t now)
{
	apr_hash_index_t *it;

	for (it = apr_hash_first(NULL, balancer->targets); it;
	     it = apr_hash_next(it)) {
		struct live_target *target = hash_value(it);

		if (!target->published && !target->open &&
		    now - target->leaving_at > GONE_RETENTION_US)
			return target;
	}
	return NULL;
}

void balancer_sweep(struct balancer *balancer, int64_t now)
{
	struct live_target *expired;

	while ((expired = find_expired(balancer, now)))
		remove_target(balancer, expired);
}

size_t balancer_count_born_after(const struct balancer *balancer,
				 int64_t born_ms)
{
	apr_hash_index_t *it;
	size_t count = 0;

	for (it = apr_hash_first(NULL, balancer->targets); it;
	     it = apr_hash_next(it)) {
		const struct live_target *target = hash_value(it);

		count += target->published && target->born_ms > born_ms;
	}
	return count;
}

size_t balancer_count(const struct balancer *balancer)
{
	return balancer->count;
}

void balancer_on_reply(struct balancer *balancer, struct live_target *target,
		       enum target_reply outcome, double baseline_us,
		       int64_t sent_at, int64_t now)
{
	target_health_on_reply(target, outcome, baseline_us, sent_at, now);
	if (!target->open && !target->service) {
		target_free(target);
	} else if (!target->open && !target->published &&
		   now - target->leaving_at > UNUSED_RETENTION_US) {
		remove_target(balancer, target);
	}
}
