#pragma once

#include "dialect.h"
#include "mechanism.h"
#include "target_health.h"

/**
 * DOC: targets, and which of them a request goes to
 *
 * One table of all published targets with what this node has seen of each.
 * Knows no network and no clock; times are monotonic microseconds.
 */

struct balancer;

/** enum target_availability - whether new requests may go to a target */
enum target_availability {
	AVAIL_OK,
	AVAIL_LEAVING, /* it drains, or its entry is gone */
	AVAIL_DOMAIN_OUT,
	AVAIL_DOWN, /* took no connection just now */
	AVAIL_COLD, /* has its share of requests for this second */
	AVAIL_BUSY, /* has as many requests of this node as its connections bear
		     */
};

/**
 * struct target_query - a request for a target
 * @excluded, @nexcluded: targets that have had the request already
 * @baseline_us: what a reply to this kind of request usually takes
 * @goal_us: the reply is of little use after this time, 0: any time
 */
struct target_query {
	uint64_t service;
	const uint64_t *excluded;
	size_t nexcluded;
	double baseline_us;
	int64_t goal_us;
	int64_t now;
};

/** balancer_create() - @without: set of mechanisms that are off. */
struct balancer *balancer_create(apr_pool_t *parent, struct str domain,
				 uint32_t without);
void balancer_destroy(struct balancer *balancer);

/** balancer_put() - take an entry as it is in the store now. */
void balancer_put(struct balancer *balancer, const struct target_entry *entry,
		  int64_t now);
/** balancer_unpublish() - its entry is gone. */
void balancer_unpublish(struct balancer *balancer, struct str id, int64_t now);
/** balancer_set_domain() - take a failure domain out, or back in. */
void balancer_set_domain(struct balancer *balancer, struct str domain,
			 bool out);
/** balancer_on_store_lost() - entries may vanish that are still alive. */
void balancer_on_store_lost(struct balancer *balancer, int64_t now);
/** balancer_store_lost_at() - when that was last so. */
int64_t balancer_store_lost_at(const struct balancer *balancer);
/**
 * balancer_set_cold_limit() - requests a second that this node may send to a
 * cold target of @service; 0 for no bound
 */
void balancer_set_cold_limit(struct balancer *balancer, uint64_t service,
			     int per_second);
/**
 * struct conn_limit - requests of this node that a target may have at a time
 * @near: if it is in this failure domain
 * @far: if it is not
 */
struct conn_limit {
	int near;
	int far;
};

void balancer_set_conn_limit(struct balancer *balancer, uint64_t service,
			     struct conn_limit limit);

/**
 * balancer_choose() - best target for a request, or NULL when none may have it
 *
 * The one where the reply is expected first: its smoothed time, times the
 * requests that wait there, plus what a reply that is overdue tells of it.
 */
struct live_target *balancer_choose(struct balancer *balancer,
				    const struct target_query *target_query);
/** balancer_expected_us() - microseconds until a reply, were it asked now. */
int64_t balancer_expected_us(const struct balancer *balancer,
			     const struct live_target *target,
			     double baseline_us, int64_t now);
enum target_availability balancer_availability(const struct balancer *balancer,
					       const struct live_target *target,
					       int64_t now);
/** balancer_has_usable() - some target of @service may be asked, if not at
 * once. */
bool balancer_has_usable(const struct balancer *balancer, uint64_t service,
			 int64_t now);
/** balancer_prefers_near() - the best target now is in this failure domain. */
bool balancer_prefers_near(struct balancer *balancer,
			   const struct target_query *target_query);
/** balancer_has_target_in() - a target in @domain may be asked now. */
bool balancer_has_target_in(const struct balancer *balancer, uint64_t service,
			    uint64_t domain, int64_t now);
/** balancer_first() - targets of a service, linked by next. */
struct live_target *balancer_first(const struct balancer *balancer,
				   uint64_t service);
/** balancer_is_published() - this start of the target @key is published. */
bool balancer_is_published(const struct balancer *balancer, uint64_t key,
			   int64_t born_ms);
/** balancer_remove_expired() - forget targets whose entries are long gone. */
void balancer_remove_expired(struct balancer *balancer, int64_t now);
size_t balancer_count(const struct balancer *balancer);

/** balancer_on_reply() - target_health_on_reply(), and forget it if it is long
 * gone. */

void balancer_on_reply(struct balancer *balancer, struct live_target *target,
		       enum target_reply what, double baseline_us,
		       int64_t sent_at, int64_t now);
