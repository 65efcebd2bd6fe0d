#include "drain.h"

#include "decision_log.h"

enum {
	/*
	 * Fraction of the grace period during which a node keeps serving after
	 * the signal to stop. The load balancer checks each second and needs
	 * two failed checks; callers with open connections must move on too.
	 */
	LEAVE_GRACE_NUM = 6,
	/*
	 * All requests are answered by then. The rest is for the last answers
	 * to reach the sockets and for the process to end, on a slow core.
	 */
	END_GRACE_NUM = 9,
	GRACE_DEN = 10,
	LOG_INTERVAL_US = 1000000,
};

static void log_progress(const struct drain *drain, const struct calls *calls,
			 const char *why)
{
	struct drain_progress progress = {
		.since_us = calls->now - drain->began_at,
		.requests = drain->requests,
		.batches = drain->batches,
	};
	apr_hash_index_t *it;

	for (it = apr_hash_first(NULL, calls->open); it;
	     it = apr_hash_next(it)) {
		const struct call *call = hash_value(it);

		progress.open++;
		progress.delegated += call->origin.len > 0;
		if (calls->now - call->start > progress.oldest_us)
			progress.oldest_us = calls->now - call->start;
	}
	decision_log_drain(calls->decision_log, calls->now, &progress, why);
}

/* The reviews that calls have scheduled may all be later than their end. */
static void schedule_last_reviews(struct calls *calls)
{
	apr_hash_index_t *it;

	for (it = apr_hash_first(NULL, calls->open); it; it = apr_hash_next(it))
		call_schedule_review(calls, hash_value(it), calls->ends_at);
}

void drain_begin(struct drain *drain, struct calls *calls, int64_t grace_us,
		 int64_t pause_us)
{
	if (drain->began_at)
		return;
	drain->began_at = calls->now - pause_us;
	drain->leave_at =
		drain->began_at + grace_us * LEAVE_GRACE_NUM / GRACE_DEN;
	drain->log_at = drain->leave_at;
	drain->requests = 0;
	drain->batches = 0;
	calls->ends_at = drain->began_at + grace_us * END_GRACE_NUM / GRACE_DEN;
	schedule_last_reviews(calls);
	log_progress(drain, calls, "planned stop");
}

bool drain_exits(struct drain *drain, struct calls *calls)
{
	if (!drain->began_at || drain->exiting || calls->nopen ||
	    calls->now < drain->leave_at)
		return false;
	drain->exiting = true;
	calls->ends_at = calls->now;
	return true;
}

void drain_log(struct drain *drain, const struct calls *calls)
{
	if (!drain->began_at || drain->exiting || calls->now < drain->log_at)
		return;
	drain->log_at = calls->now + LOG_INTERVAL_US;
	log_progress(drain, calls,
		     calls->nopen ? "requests are open" : "nothing is open");
}

int64_t drain_wake_at(const struct drain *drain, const struct calls *calls)
{
	if (!drain->began_at || drain->exiting || calls->nopen)
		return INT64_MAX;
	return drain->leave_at;
}
