#include "target_health.h"

enum {
	/* A reply is overdue after this multiple of its expected latency. */
	OVERDUE_FACTOR = 2,
	/*
	 * Half-life of the smoothed slowness while there are no replies. It
	 * decays until a request probes the target again, as otherwise a
	 * recovery would not be noticed.
	 */
	SLOWNESS_HALF_LIFE_US = 1000000,
	/*
	 * A probe that finds the target still slow doubles the half-life; this
	 * many probes count. Each such probe makes a question late or costs a
	 * retry, and slowness that has lasted is likely to continue.
	 */
	SLOW_PROBES_MAX = 4,
	/* Replies after a pause arrive together and count as one probe. */
	SLOW_PROBE_INTERVAL_US = 300000,
	/* Backoff of a failed target, doubled with each further failure. */
	BACKOFF_MIN_US = 100000,
	BACKOFF_MAX_US = 1600000,
	/* The error rate decays to half in this time: the target is retried. */
	ERROR_RATE_HALF_US = 1500000,
	/* Backoff of a target that was full: about the time of a request. */
	REJECTED_BACKOFF_US = 15000,
	/*
	 * A target whose address belongs to another one is gone, but its entry
	 * may still be written a few times. Longer than entries outlive their
	 * target.
	 */
	STALE_ENTRY_US = 10000000,
};

/* A target whose reply is this much faster than expected has recovered. */
static const double RECOVERED_FACTOR = 2;
/* A reply is slow if it takes this multiple of the current slowness. */
static const double SLOW_FACTOR = 1.5;

/* Weight of a new reply in the smoothed values: about five replies. */
static const double SMOOTHING_WEIGHT = 0.2;

double target_health_slowness(const struct live_target *target, int64_t now)
{
	/* The first slow reply may be due to a pause, which ends by itself. */
	int confirmed = target->slow_probes > 1 ? target->slow_probes - 1 : 0;
	double half_life = (double)(SLOWNESS_HALF_LIFE_US << confirmed);
	double halvings = (double)(now - target->slowness_at) / half_life;
	double slowness = target->slowness;

	if (!target->slowness_at || halvings < 0.1)
		return slowness;
	while (halvings > 0 && slowness > 1) {
		slowness *= halvings >= 1 ? 0.5 : 1 - halvings / 2;
		halvings -= 1;
	}
	return slowness;
}

bool target_health_is_overdue(const struct live_target *target, int64_t now)
{
	int64_t age = target->oldest_sent_at ? now - target->oldest_sent_at : 0;

	return age > (int64_t)(target->oldest_expected_us * OVERDUE_FACTOR);
}

double target_health_expected_us(const struct live_target *target,
				 double baseline_us)
{
	return baseline_us * target->slowness;
}

double target_health_error_rate(const struct live_target *target, int64_t now)
{
	int64_t age = now - target->error_rate_at;

	return target->error_rate * ERROR_RATE_HALF_US /
	       (double)(ERROR_RATE_HALF_US + age);
}

static void update_error_rate(struct live_target *target, bool failed,
			      int64_t now)
{
	double current = target_health_error_rate(target, now);

	target->error_rate =
		current + SMOOTHING_WEIGHT * ((failed ? 1.0 : 0.0) - current);
	target->error_rate_at = now;
}

void target_health_on_send(struct live_target *target, double baseline_us,
			   int64_t now)
{
	if (!target->open++) {
		target->oldest_sent_at = now;
		target->oldest_expected_us =
			target_health_expected_us(target, baseline_us);
	}
}

static void update_slow_probes(struct live_target *target, double ratio,
			       int64_t now)
{
	double current = target_health_slowness(target, now);

	if (ratio * RECOVERED_FACTOR < current) {
		target->slow_probes = 0;
		return;
	}
	if (ratio > current * SLOW_FACTOR &&
	    now - target->slowness_at > SLOW_PROBE_INTERVAL_US &&
	    target->slow_probes < SLOW_PROBES_MAX)
		target->slow_probes++;
}

static void update_slowness(struct live_target *target, double ratio,
			    int64_t now)
{
	double current = target_health_slowness(target, now);

	target->slowness = current + SMOOTHING_WEIGHT * (ratio - current);
	target->slowness_at = now;
}

static int64_t backoff_us(const struct live_target *target)
{
	int64_t us = BACKOFF_MIN_US;

	for (int i = 1; i < target->consecutive_failures && us < BACKOFF_MAX_US;
	     i++)
		us *= 2;
	return us;
}

void target_health_on_reply(struct live_target *target,
			    enum target_reply outcome, double baseline_us,
			    int64_t sent_at, int64_t now)
{
	double ratio = (double)(now - sent_at) / baseline_us;

	target->open--;
	/* The remaining requests were sent when this one was, or later. */
	target->oldest_sent_at = target->open ? now : 0;
	switch (outcome) {
	case REPLY_GOOD:
		update_error_rate(target, false, now);
		target->consecutive_failures = 0;
		update_slow_probes(target, ratio, now);
		update_slowness(target, ratio, now);
		break;
	case REPLY_REJECTED:
		update_error_rate(target, true, now);
		target->backoff_until = now + REJECTED_BACKOFF_US;
		break;
	case REPLY_FAILED:
		update_error_rate(target, true, now);
		target->consecutive_failures++;
		target->backoff_until = now + backoff_us(target);
		break;
	case REPLY_DOWN:
		target->consecutive_failures++;
		target->down_until = now + backoff_us(target);
		break;
	case REPLY_WRONG_TARGET:
		target->entry_ignored_until = now + STALE_ENTRY_US;
		break;
	case REPLY_CANCELLED:
		/* A lower bound: it must not make a slow target look fast. */
		if (ratio > target->slowness)
			update_slowness(target, ratio, now);
		break;
	}
}
