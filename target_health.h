#pragma once

#include <stdbool.h>

#include "str.h"

/**
 * DOC: what this node has seen of a target
 *
 * How slow it is, whether it stands still, how often it does not serve. Follows
 * from what was sent and what came back; knows no other target. Times are
 * monotonic microseconds.
 */

/**
 * struct live_target - a published target
 * @key: hash of the id
 * @domain_key: hash of its failure domain
 * @near: in this node's failure domain
 * @published: its entry is in the store
 * @leaving_at: when its entry went, or said that it is leaving; 0: it has not
 * @entry_ignored_until: its address was found to be another target's, until
 * then its entry is not believed
 * @cold_until: it is cold until then
 * @down_until: takes no connections, and is not tried until then
 * @backoff_until: failed or was full just now: others go first until then
 * @consecutive_failures: in a row
 * @error_rate: smoothed share of requests that it did not serve, at
 * @error_rate_at
 * @open: requests of this node that it has not answered
 * @oldest_sent_at: when the oldest of them was sent; 0 when there is none
 * @oldest_expected_us: what its reply was expected to take
 * @slowness: smoothed time from sending to the reply, as a multiple of what is
 *            usual for the kind of request, at @slowness_at
 * @slow_probes: times that it was tried again and was as slow as before
 * @cold_window_start, @cold_sent: requests sent in the present second while
 * cold
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
	bool published;
	int64_t leaving_at;
	int64_t entry_ignored_until;
	int64_t cold_until;
	int64_t down_until;
	int64_t backoff_until;
	int consecutive_failures;
	double error_rate;
	int64_t error_rate_at;
	int open;
	int64_t oldest_sent_at;
	double oldest_expected_us;
	double slowness;
	int64_t slowness_at;
	int slow_probes;
	int64_t cold_window_start;
	int cold_sent;
	struct live_target *next; /* of the same service */
};

/** enum target_reply - what a reply says of its target */
enum target_reply {
	REPLY_GOOD,
	REPLY_REJECTED, /* it did not run the request */
	REPLY_FAILED, /* an error, a broken connection, no reply in time */
	REPLY_DOWN, /* no connection */
	REPLY_WRONG_TARGET, /* another target has its address */
	REPLY_CANCELLED, /* nobody waited for it any more */
};

/** target_health_on_send() - a request went out whose reply usually takes
 * @baseline_us. */
void target_health_on_send(struct live_target *target, double baseline_us,
			   int64_t now);
/** target_health_on_reply() - what came of the one sent at @sent_at. */
void target_health_on_reply(struct live_target *target, enum target_reply what,
			    double baseline_us, int64_t sent_at, int64_t now);
/** target_health_expected_us() - time to its reply, if nothing else keeps it
 * busy. */
double target_health_expected_us(const struct live_target *target,
				 double baseline_us);
/** target_health_slowness() - multiple of what is usual, as far as still
 * believed. */
double target_health_slowness(const struct live_target *target, int64_t now);
/** target_health_error_rate() - share of requests that it does not serve. */
double target_health_error_rate(const struct live_target *target, int64_t now);
/**
 * target_health_is_overdue() - it has not answered within a multiple of its
 * usual time: a pause, mostly
 */
bool target_health_is_overdue(const struct live_target *target, int64_t now);
