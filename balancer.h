#pragma once

#include "dialect.h"
#include "mechanism.h"
#include "target_health.h"

/**
 * DOC: choice of the target of a request
 *
 * A table of all published targets with the health that this node has observed
 * of each (target_health.h). Uses no network and no clock; times are monotonic
 * microseconds.
 */

struct balancer;

/** enum target_availability - whether new requests may go to a target */
enum target_availability {
	AVAIL_OK,
	AVAIL_LEAVING, /* draining, or its entry is gone */
	AVAIL_DOMAIN_OUT,
	AVAIL_DOWN, /* accepted no connection recently */
	AVAIL_COLD, /* cold, and at its rate limit for this second */
	AVAIL_BUSY, /* at the limit of requests in flight from this node */
};

/**
 * struct target_query - request that a target is chosen for
 * @service: service of the target
 * @excluded: keys of targets that the request was already sent to
 * @nexcluded: number of keys in @excluded
 * @baseline_us: baseline latency of this kind of request
 * @goal_us: a later reply is of little use; 0 for no limit
 */
struct target_query {
	uint64_t service;
	const uint64_t *excluded;
	size_t nexcluded;
	double baseline_us;
	int64_t goal_us;
	int64_t now;
};

/**
 * balancer_create() - create an empty table of targets.
 * @domain: failure domain of this node
 * @without: bit set of disabled mechanisms
 */
struct balancer *balancer_create(apr_pool_t *parent, struct str domain,
				 uint32_t without);
void balancer_destroy(struct balancer *balancer);

/** balancer_publish() - add or update a target from its entry in the store. */
void balancer_publish(struct balancer *balancer,
		      const struct target_entry *entry, int64_t now);
/**
 * balancer_unpublish() - the entry of a target is gone from the store.
 * @used_until: the target is used until then, as the entry may have lapsed; 0
 *              if it is gone
 */
void balancer_unpublish(struct balancer *balancer, struct str id,
			int64_t used_until, int64_t now);
/** balancer_set_domain() - take a failure domain out of use, or back in. */
void balancer_set_domain(struct balancer *balancer, struct str domain,
			 bool out);
/** balancer_is_out() - whether a failure domain is out of use. */
bool balancer_is_out(const struct balancer *balancer, uint64_t domain_key);
/**
 * balancer_set_cold_limit() - set the rate limit of cold targets of @service.
 * @per_second: requests that all nodes together may send to each, 0 for no
 *              limit
 */
void balancer_set_cold_limit(struct balancer *balancer, uint64_t service,
			     int per_second);

/**
 * struct cold_parts - determines this node's part of a cold target's limit
 * @update: brings @target->cold_rate up to date
 */
struct cold_parts {
	void (*update)(void *ctx, const struct live_target *target);
	void *ctx;
};

void balancer_set_cold_parts(struct balancer *balancer,
			     struct cold_parts parts);
/** balancer_find() - target by the hash of its id, or NULL. */
struct live_target *balancer_find(const struct balancer *balancer,
				  uint64_t key);
/** balancer_cold_rate() - its limit while cold, up to date; NULL for none. */
struct cold_rate *balancer_cold_rate(const struct balancer *balancer,
				     const struct live_target *target);
/**
 * balancer_on_send() - record a request to @target with baseline @baseline_us.
 *
 * Return: whether it took a token that another node has lent.
 */
bool balancer_on_send(const struct balancer *balancer,
		      struct live_target *target, double baseline_us,
		      int64_t now);
/**
 * struct conn_limit - limit of requests in flight from this node to a target
 * @near: for targets in this failure domain
 * @far: for targets in other failure domains
 */
struct conn_limit {
	int near;
	int far;
};

void balancer_set_conn_limit(struct balancer *balancer, uint64_t service,
			     struct conn_limit limit);

/**
 * balancer_choose_target() - choose the best target for a request.
 *
 * Prefers the target whose reply is expected first, from its smoothed latency,
 * the requests in flight there and penalties such as for an overdue reply.
 *
 * Return: the target, or NULL if none is available or a busy one is expected to
 * reply first.
 */
struct live_target *
balancer_choose_target(struct balancer *balancer,
		       const struct target_query *target_query);
/** balancer_expected_us() - expected time to the reply if sent now. */
int64_t balancer_expected_us(const struct balancer *balancer,
			     const struct live_target *target,
			     double baseline_us, int64_t now);
enum target_availability balancer_availability(const struct balancer *balancer,
					       const struct live_target *target,
					       int64_t now);
/** balancer_has_usable() - whether a target is usable now or soon. */
bool balancer_has_usable(const struct balancer *balancer, uint64_t service,
			 int64_t now);
/** balancer_prefers_near() - whether the best target is in the own domain. */
bool balancer_prefers_near(struct balancer *balancer,
			   const struct target_query *target_query);
/** balancer_has_target_in() - whether a target in @domain is available now. */
bool balancer_has_target_in(const struct balancer *balancer, uint64_t service,
			    uint64_t domain, int64_t now);
/** balancer_first_target() - first target of a service, linked by next. */
struct live_target *balancer_first_target(const struct balancer *balancer,
					  uint64_t service);
/**
 * balancer_is_published() - whether a target process is published.
 * @key: hash of the target id
 * @born_ms: start of the process
 */
bool balancer_is_published(const struct balancer *balancer, uint64_t key,
			   int64_t born_ms);
/**
 * balancer_count_born_after() - number of published targets whose processes
 * have started after @born_ms, Unix milliseconds.
 */
size_t balancer_count_born_after(const struct balancer *balancer,
				 int64_t born_ms);
/** balancer_sweep() - remove targets whose entries are long gone. */
void balancer_sweep(struct balancer *balancer, int64_t now);
size_t balancer_count(const struct balancer *balancer);

/**
 * balancer_on_reply() - record a reply with target_health_on_reply().
 *
 * Removes the target if its entry is long gone.
 */
void balancer_on_reply(struct balancer *balancer, struct live_target *target,
		       enum target_reply outcome, double baseline_us,
		       int64_t sent_at, int64_t now);
