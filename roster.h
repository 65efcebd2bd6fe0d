#pragma once

#include "dialect.h"
#include "mechanism.h"

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
	USE_SILENT, /* answers nothing; tried now and then */
	USE_COLD, /* has its share of requests for this second */
	USE_BUSY, /* has as many requests of this node as its connections bear
		   */
};

/**
 * struct live_target - a published target
 * @key: hash of the id
 * @domain_key: hash of its failure domain
 * @near: in this node's failure domain
 * @listed: its entry is in the store
 * @left_at: when its entry went, or said that it is leaving; 0: it has not
 * @moved_until: its address was found to be another target's, until then its
 *               entry is not believed
 * @cold_until: it is cold until then
 * @down_until: takes no connections, and is not tried until then
 * @wary_until: failed or was full just now: others go first until then
 * @failures: in a row
 * @faults: smoothed share of requests that it did not serve, at @faults_at
 * @open: requests of this node that it has not answered
 * @asked_at: when the oldest of them was sent; 0 when there is none
 * @asked_us: what its reply was expected to take
 * @answered_at: when it last answered
 * @silent_since: first request since then, 0 for none; @unanswered: how many
 * @probe_at: when a silent one is next tried
 * @slowness: smoothed time from sending to the reply, as a multiple of what is
 *            usual for the kind of request, at @slowness_at
 * @slow_tries: times that it was tried again and was as slow as before
 * @cold_second, @cold_sent: requests sent in the present second while cold
 */
struct live_target {
	struct str id;
	uint64_t key;
	uint64_t service;
	struct str addr;
	struct str domain;
	uint64_t domain_key;
	int64_t born_ms;
	int slots;
	bool near;
	bool listed;
	int64_t left_at;
	int64_t moved_until;
	int64_t cold_until;
	int64_t down_until;
	int64_t wary_until;
	int failures;
	double faults;
	int64_t faults_at;
	int open;
	int64_t asked_at;
	double asked_us;
	int64_t answered_at;
	int64_t silent_since;
	int unanswered;
	int64_t probe_at;
	double slowness;
	int64_t slowness_at;
	int slow_tries;
	int64_t cold_second;
	int cold_sent;
	struct live_target *next; /* of the same service */
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
/** roster_reply_us() - of a target that nothing else keeps busy. */
double roster_reply_us(const struct live_target *target, double usual_us);
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
/** roster_sweep() - forget targets whose entries are long gone. */
void roster_sweep(struct roster *roster, int64_t now);
size_t roster_count(const struct roster *roster);

/** roster_sent(), roster_answered() - a request went out, and came back. */
void roster_sent(struct roster *roster, struct live_target *target,
		 double usual_us, int64_t now);

/** enum target_reply - what a reply says of its target */
enum target_reply {
	REPLY_GOOD,
	REPLY_FULL, /* it did not run the request */
	REPLY_FAILED, /* an error, a broken connection, no reply in time */
	REPLY_DOWN, /* no connection */
	REPLY_OTHER, /* another target has its address */
	REPLY_DROPPED, /* nobody waited for it any more */
};

void roster_answered(struct roster *roster, struct live_target *target,
		     enum target_reply what, double usual_us, int64_t sent_at,
		     int64_t now);
