#pragma once

#include <stdbool.h>

#include "cold_rate.h"
#include "str.h"

/**
 * DOC: health of a target as observed by this node
 *
 * How slow a target is, whether it is paused and how often it fails, derived
 * from requests and replies only and independent of other targets. Times are
 * monotonic microseconds.
 */

/**
 * struct live_target - a published target
 * @id: id of the target
 * @key: hash of @id
 * @domain_key: hash of @domain
 * @born_ms: start of the process
 * @slots: requests that it works on at a time
 * @near: in this node's failure domain
 * @published: its entry is in the store
 * @leaving_at: when its entry was removed or marked as leaving, 0 if neither
 * @used_until: its entry is missing, but may have lapsed while the target lives
 * @entry_ignored_until: its entry is ignored until then, as another target
 *                       answered at its address
 * @cold_until: end of its cold start
 * @down_until: it accepted no connection and is not used until then
 * @backoff_until: it failed or rejected a request; other targets are preferred
 *                 until then
 * @consecutive_failures: failures since the last good reply
 * @error_rate: smoothed share of requests that it did not serve
 * @error_rate_at: when @error_rate was updated
 * @open: requests in flight from this node
 * @oldest_sent_at: when the oldest request in flight was sent, 0 if none
 * @oldest_expected_us: expected latency of that request
 * @slowness: smoothed latency as a multiple of the baseline of the kind of
 *            request
 * @slowness_at: when @slowness was updated
 * @slow_probes: number of probes that found it still slow
 * @cold_rate: limit of its requests while it is cold; NULL: none
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
	int64_t used_until;
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
	struct cold_rate *cold_rate;
	struct live_target *next; /* next target of the same service */
};

/** enum target_reply - outcome of a request to a target */
enum target_reply {
	REPLY_GOOD,
	REPLY_REJECTED, /* refused without running the request */
	REPLY_FAILED, /* error, broken connection or timeout */
	REPLY_DOWN, /* no connection */
	REPLY_WRONG_TARGET, /* another target answered at its address */
	REPLY_CANCELLED, /* cancelled: the reply was no longer needed */
};

/** target_health_on_send() - record a request with baseline @baseline_us. */
void target_health_on_send(struct live_target *target, double baseline_us,
			   int64_t now);
/** target_health_on_reply() - record the outcome of the request of @sent_at. */
void target_health_on_reply(struct live_target *target,
			    enum target_reply outcome, double baseline_us,
			    int64_t sent_at, int64_t now);
/** target_health_expected_us() - expected latency if otherwise idle. */
double target_health_expected_us(const struct live_target *target,
				 double baseline_us);
/** target_health_slowness() - slowness, decayed since the last reply. */
double target_health_slowness(const struct live_target *target, int64_t now);
/** target_health_error_rate() - share of failed requests, decayed likewise. */
double target_health_error_rate(const struct live_target *target, int64_t now);
/**
 * target_health_is_overdue() - whether a reply is overdue.
 *
 * True after a multiple of its expected latency, mostly because of a pause.
 */
bool target_health_is_overdue(const struct live_target *target, int64_t now);
