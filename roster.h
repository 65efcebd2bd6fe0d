#pragma once

#include "dialect.h"
#include "mechanism.h"
#include "track.h"

/**
 * DOC: targets, and which of them a request goes to
 *
 * One table of all published targets with what this node has seen of each.
 * Knows no network and no clock; times are monotonic microseconds.
 */

struct roster;

/** enum target_use - whether new requests may go to a target */
enum target_use {
	USE_OK,
	USE_LEAVING, /* it drains, or its entry is gone */
	USE_DOMAIN_OUT,
	USE_DOWN, /* took no connection just now */
	USE_COLD, /* has its share of requests for this second */
	USE_BUSY, /* has as many requests of this node as its connections bear
		   */
};

/**
 * struct choice - a request for a target
 * @avoid, @navoid: targets that have had the request already
 * @usual_us: what a reply to this kind of request usually takes
 * @goal_us: the reply is of little use after this time, 0: any time
 */
struct choice {
	uint64_t service;
	const uint64_t *avoid;
	size_t navoid;
	double usual_us;
	int64_t goal_us;
	int64_t now;
};

/** roster_create() - @without: set of mechanisms that are off. */
struct roster *roster_create(apr_pool_t *parent, struct str domain,
			     uint32_t without);
void roster_destroy(struct roster *roster);

/** roster_put() - take an entry as it is in the store now. */
void roster_put(struct roster *roster, const struct target_entry *entry,
		int64_t now);
/** roster_drop() - its entry is gone. */
void roster_drop(struct roster *roster, struct str id, int64_t now);
/** roster_domain() - take a failure domain out, or back in. */
void roster_domain(struct roster *roster, struct str domain, bool out);
/** roster_store_lost() - entries may vanish that are still alive. */
void roster_store_lost(struct roster *roster, int64_t now);
/** roster_store_lost_at() - when that was last so. */
int64_t roster_store_lost_at(const struct roster *roster);
/**
 * roster_cold_bound() - requests a second that this node may send to a cold
 * target of @service; 0 for no bound
 */
void roster_cold_bound(struct roster *roster, uint64_t service, int per_second);
/**
 * struct conn_bound - requests of this node that a target may have at a time
 * @near: if it is in this failure domain
 * @far: if it is not
 */
struct conn_bound {
	int near;
	int far;
};

void roster_conn_bound(struct roster *roster, uint64_t service,
		       struct conn_bound bound);

/**
 * roster_choose() - best target for a request, or NULL when none may have it
 *
 * The one where the reply is expected first: its smoothed time, times the
 * requests that wait there, plus what a reply that is overdue tells of it.
 */
struct live_target *roster_choose(struct roster *roster,
				  const struct choice *choice);
/** roster_expect() - microseconds until a reply, were it asked now. */
int64_t roster_expect(const struct roster *roster,
		      const struct live_target *target, double usual_us,
		      int64_t now);
enum target_use roster_use(const struct roster *roster,
			   const struct live_target *target, int64_t now);
/** roster_any() - some target of @service may be asked, if not at once. */
bool roster_any(const struct roster *roster, uint64_t service, int64_t now);
/** roster_near_first() - the best target now is in this failure domain. */
bool roster_near_first(struct roster *roster, const struct choice *choice);
/** roster_holds() - a target in @domain may be asked now. */
bool roster_holds(const struct roster *roster, uint64_t service,
		  uint64_t domain, int64_t now);
/** roster_first() - targets of a service, linked by next. */
struct live_target *roster_first(const struct roster *roster, uint64_t service);
/** roster_lists() - this start of the target @key is published. */
bool roster_lists(const struct roster *roster, uint64_t key, int64_t born_ms);
/** roster_sweep() - forget targets whose entries are long gone. */
void roster_sweep(struct roster *roster, int64_t now);
size_t roster_count(const struct roster *roster);

/** roster_answered() - track_answered(), and forget it if it is long gone. */

void roster_answered(struct roster *roster, struct live_target *target,
		     enum target_reply what, double usual_us, int64_t sent_at,
		     int64_t now);
