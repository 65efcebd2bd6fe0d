#include "target_health.h"

enum {
	/* A reply over this multiple of the usual time is overdue. */
	OVERDUE_TIMES = 2,
	/*
	 * Slow targets must be seen to have recovered: without requests the
	 * smoothed slowness halves each second, until one tries it again.
	 */
	FORGET_HALF_US = 1000000,
	/*
	 * A try that finds it as slow doubles that time, at most so often: each
	 * such try makes a question late or costs a retry, and slowness
	 * that has lasted is likely to last.
	 */
	SLOW_TRIES_MAX = 4,
	/* Replies after a pause come together and are one finding. */
	SLOW_TRY_GAP_US = 300000,
	/* A target that failed waits, doubled with each failure in a row. */
	REST_US = 100000,
	REST_MAX_US = 1600000,
	/* A target that did not serve is tried again as this halves. */
	FAULT_HALF_US = 1500000,
	/* One that was full rests for about the time of a request. */
	REST_FULL_US = 15000,
	/*
	 * A target whose address another one has is gone, but its entry may be
	 * written a few times more. Longer than entries outlive their target.
	 */
	MOVED_US = 10000000,
	SECOND_US = 1000000,
};

/* One that is this much quicker than was believed has recovered. */
static const double QUICK_TIMES = 2;
/* A reply is slow if it takes this multiple of what was expected. */
static const double SLOW_TIMES = 1.5;

/* Weight of a new reply in the smoothed slowness: follows in about five. */
static const double SMOOTHING = 0.2;

double target_health_slowness(const struct live_target *target, int64_t now)
{
	/* A first slow reply may be a pause, which ends by itself. */
	int confirmed = target->slow_tries > 1 ? target->slow_tries - 1 : 0;
	double half = (double)(FORGET_HALF_US << confirmed);
	double halvings = (double)(now - target->slowness_at) / half;
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
	int64_t age = target->asked_at ? now - target->asked_at : 0;

	return age > (int64_t)(target->asked_us * OVERDUE_TIMES);
}

double target_health_expected_us(const struct live_target *target,
				 double baseline_us)
{
	return baseline_us * target->slowness;
}

double target_health_error_rate(const struct live_target *target, int64_t now)
{
	int64_t age = now - target->faults_at;

	return target->faults * FAULT_HALF_US / (double)(FAULT_HALF_US + age);
}

static void count_fault(struct live_target *target, bool fault, int64_t now)
{
	double known = target_health_error_rate(target, now);

	target->faults = known + SMOOTHING * ((fault ? 1.0 : 0.0) - known);
	target->faults_at = now;
}

void target_health_on_send(struct live_target *target, double baseline_us,
			   int64_t now)
{
	if (!target->open++) {
		target->asked_at = now;
		target->asked_us =
			target_health_expected_us(target, baseline_us);
	}
	if (now < target->cold_until) {
		if (now - target->cold_second >= SECOND_US) {
			target->cold_second = now;
			target->cold_sent = 0;
		}
		target->cold_sent++;
	}
}

static void count_slow_try(struct live_target *target, double times,
			   int64_t now)
{
	double known = target_health_slowness(target, now);

	if (times * QUICK_TIMES < known) {
		target->slow_tries = 0;
		return;
	}
	if (times > known * SLOW_TIMES &&
	    now - target->slowness_at > SLOW_TRY_GAP_US &&
	    target->slow_tries < SLOW_TRIES_MAX)
		target->slow_tries++;
}

static void smooth(struct live_target *target, double times, int64_t now)
{
	double known = target_health_slowness(target, now);

	target->slowness = known + SMOOTHING * (times - known);
	target->slowness_at = now;
}

static int64_t rest_us(const struct live_target *target)
{
	int64_t us = REST_US;

	for (int i = 1; i < target->failures && us < REST_MAX_US; i++)
		us *= 2;
	return us;
}

void target_health_on_reply(struct live_target *target, enum target_reply what,
			    double baseline_us, int64_t sent_at, int64_t now)
{
	double times = (double)(now - sent_at) / baseline_us;

	target->open--;
	/* The others were sent at this one's time or later. */
	target->asked_at = target->open ? now : 0;
	switch (what) {
	case REPLY_GOOD:
		count_fault(target, false, now);
		target->failures = 0;
		count_slow_try(target, times, now);
		smooth(target, times, now);
		break;
	case REPLY_FULL:
		count_fault(target, true, now);
		target->wary_until = now + REST_FULL_US;
		break;
	case REPLY_FAILED:
		count_fault(target, true, now);
		target->failures++;
		target->wary_until = now + rest_us(target);
		break;
	case REPLY_DOWN:
		target->failures++;
		target->down_until = now + rest_us(target);
		break;
	case REPLY_OTHER:
		target->moved_until = now + MOVED_US;
		break;
	case REPLY_DROPPED:
		/* At least this long: a slow target must not look quick. */
		if (times > target->slowness)
			smooth(target, times, now);
		break;
	}
}
