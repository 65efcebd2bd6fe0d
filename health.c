#include "health.h"

enum {
	RAMP_STREAK = 8,
	STEP_NO_BASELINE_US = 2000000,
	STEP_SLOW_US = 8000000,
	COLD_DEDUP_US = 50000,
	RELAPSE_WINDOW_US = 30000000,
	STEP_INTERVAL_MAX_US = 16000000,
	SLOW_FACTOR = 8,
	SLOW_MIN_US = 50000,
	SLOW_STREAK = 3,
	SHED_STREAK = 3,
	FAILURE_STREAK = 2,
	SERVICE_EWMA_SHIFT = 4,
	BASELINE_DOWN_SHIFT = 3,
	BASELINE_UP_SHIFT = 7,
	WARM_FACTOR = 2,
	PROBE_INTERVAL_MAX_US = 1000000,
	PROBE_TIMEOUT_US = 500000,
};

static void schedule_probe(struct node *node, struct target *target)
{
	if (target->probing || !target->owned)
		return;
	target->probing = true;
	timer_add(&node->timers, node->now + target->probe_interval_us,
		  TIMER_PROBE, target->key);
	if (target->probe_interval_us < PROBE_INTERVAL_MAX_US)
		target->probe_interval_us *= 2;
}

static void audit_target(struct node *node, const struct target *target,
			 const char *to, const char *reason)
{
	node_audit(node, "target", target->name, str_of(to), reason, 0);
}

/*
 * Any sign of a cold start cuts the limit to the minimum immediately: load
 * reports lag, and a cold target fails again under its full load. A relapse
 * soon after a raise doubles the time between raises, so that a target with a
 * longer warm-up than expected is not overloaded repeatedly.
 */
void health_set_cold(struct node *node, struct target *target,
		     const char *reason)
{
	int64_t since = node->now - target->limit_changed_at;

	node->counters[CNT_TARGET_COLD]++;
	/* One failure breaks several requests; it counts as one cold start. */
	if (target->cold_starts && target->limit == TARGET_LIMIT_MIN &&
	    since < COLD_DEDUP_US)
		return;
	audit_target(node, target, "cold", reason);
	if (target->cold_starts && since < RELAPSE_WINDOW_US &&
	    target->step_interval_us < STEP_INTERVAL_MAX_US)
		target->step_interval_us *= 2;
	else if (since >= RELAPSE_WINDOW_US)
		target->step_interval_us = STEP_INTERVAL_MIN_US;
	target->cold_starts++;
	target->limit =
		node->opt.off.no_ramp ? target->slots : TARGET_LIMIT_MIN;
	target->ramp_streak = 0;
	target->ramp_service_us = 0;
	target->slow_streak = 0;
	target->shed_streak = 0;
	target->limit_changed_at = node->now;
}

static void set_down(struct node *node, struct target *target,
		     const char *reason)
{
	if (target->down)
		return;
	node->counters[CNT_TARGET_DOWN]++;
	audit_target(node, target, "down", reason);
	target->down = true;
	target->probe_interval_us = PROBE_INTERVAL_MIN_US;
	gate_refuse_queued(node, target, ERR_TARGET_DOWN);
	schedule_probe(node, target);
}

static void set_draining(struct node *node, struct target *target)
{
	if (target->draining)
		return;
	audit_target(node, target, "draining", "the target says so");
	target->draining = true;
	target->probe_interval_us = PROBE_INTERVAL_MAX_US;
	if (!node->opt.off.no_leaving_check)
		gate_refuse_queued(node, target, ERR_TARGET_LEAVING);
	schedule_probe(node, target);
}

static void update_boot(struct node *node, struct target *target, uint64_t boot)
{
	target->replied_at = node->now;
	target->unverified = false;
	if (!boot || boot == target->boot)
		return;
	if (target->boot) {
		health_set_cold(node, target, "its boot id changed");
		target->draining = false;
	}
	target->boot = boot;
}

/* Requests of other senders, from the reported load, reduce the limit. */
static void update_foreign_load(struct target *target, int load)
{
	if (load < 0)
		return;
	target->foreign_load = load > target->busy ? load - target->busy : 0;
}

int health_limit(const struct target *target)
{
	int limit = target->slots - target->foreign_load;

	if (target->unverified)
		return TARGET_LIMIT_MIN;
	if (limit > target->limit)
		limit = target->limit;
	return limit < TARGET_LIMIT_MIN ? TARGET_LIMIT_MIN : limit;
}

/*
 * Returns whether the replies since the last raise allow one more slot. A cold
 * target replies, but slowly, so its replies must be about as fast as when it
 * was warm. If the baseline is unknown, at a new gate, or no longer holds, the
 * limit is raised after a longer time instead.
 */
static bool may_raise_limit(const struct node *node,
			    const struct target *target)
{
	int64_t since = node->now - target->limit_changed_at;
	int64_t mean = target->ramp_service_us / target->ramp_streak;

	if (!target->baseline_us)
		return since >= STEP_NO_BASELINE_US;
	if (mean > target->baseline_us * WARM_FACTOR)
		return since >= STEP_SLOW_US;
	return since >= target->step_interval_us;
}

static void raise_limit(struct node *node, struct target *target,
			int64_t service)
{
	target->ramp_streak++;
	target->ramp_service_us += service;
	if (target->ramp_streak < RAMP_STREAK)
		return;
	if (may_raise_limit(node, target)) {
		target->limit++;
		target->limit_changed_at = node->now;
		if (target->limit == target->slots)
			target->baseline_us =
				target->ramp_service_us / target->ramp_streak;
	}
	target->ramp_streak = 0;
	target->ramp_service_us = 0;
}

/*
 * The baseline follows decreases quickly and increases slowly, so that an
 * undetected cold start or a busy hour is not taken for the latency when warm.
 */
static void update_baseline(struct target *target, int64_t service)
{
	int64_t diff = service - target->baseline_us;

	target->baseline_us +=
		diff >> (diff < 0 ? BASELINE_DOWN_SHIFT : BASELINE_UP_SHIFT);
}

static void record_timely_reply(struct node *node, struct target *target,
				int64_t service)
{
	target->shed_streak = 0;
	target->failure_streak = 0;
	if (!target->service_us)
		target->service_us = service;
	target->service_us +=
		(service - target->service_us) >> SERVICE_EWMA_SHIFT;
	if (target->baseline_us && service > SLOW_MIN_US &&
	    service > target->baseline_us * SLOW_FACTOR) {
		if (++target->slow_streak >= SLOW_STREAK)
			health_set_cold(node, target, "latency jumped");
		return;
	}
	target->slow_streak = 0;
	if (target->limit < target->slots)
		raise_limit(node, target, service);
	else if (!target->baseline_us)
		target->baseline_us = service;
	else
		update_baseline(target, service);
}

void health_record_reply(struct node *node, struct target *target,
			 const struct job *job,
			 const struct parsed_reply *parsed_reply, int status)
{
	update_boot(node, target, parsed_reply->boot);
	update_foreign_load(target, parsed_reply->load);
	switch (parsed_reply->result) {
	case FETCH_REFUSED:
		health_set_cold(node, target, "it refused a connection");
		set_down(node, target, "it refused a connection");
		return;
	case FETCH_BROKEN:
		health_set_cold(node, target, "it closed without a reply");
		if (++target->failure_streak >= FAILURE_STREAK)
			set_down(node, target, "it closes without a reply");
		return;
	case FETCH_TIMEOUT:
		if (++target->failure_streak < FAILURE_STREAK)
			return;
		health_set_cold(node, target, "it does not answer");
		set_down(node, target, "it does not answer");
		return;
	case FETCH_MALFORMED:
		return;
	case FETCH_OK:
		break;
	}
	if (parsed_reply->draining)
		set_draining(node, target);
	if (status == ERR_TARGET_SHED) {
		if (++target->shed_streak >= SHED_STREAK)
			health_set_cold(node, target, "it sheds in a row");
		else if (target->limit > TARGET_LIMIT_MIN)
			target->limit--;
		target->limit_changed_at = node->now;
		return;
	}
	/*
	 * Cancelled requests were the slow ones: without them, the remaining
	 * replies of a cold target would look as fast as those of a warm one.
	 */
	if (job->cancelled) {
		target->ramp_streak = 0;
		target->ramp_service_us = 0;
	} else if (!status) {
		record_timely_reply(node, target, node->now - job->started_at);
	}
}

void health_record_probe(struct node *node, struct target *target,
			 const struct parsed_reply *parsed_reply)
{
	target->probing = false;
	if (!target->owned || (!target->down && !target->draining))
		return;

	bool healthy =
		parsed_reply->result == FETCH_OK && parsed_reply->status == 200;

	if (!healthy && target->draining && !target->down) {
		target->draining = false;
		set_down(node, target, "it left");
		return;
	}
	if (!healthy || parsed_reply->draining) {
		schedule_probe(node, target);
		return;
	}
	update_boot(node, target, parsed_reply->boot);
	target->down = false;
	target->draining = false;
	target->failure_streak = 0;
	health_set_cold(node, target, "it answers again");
}

void health_on_probe_timer(struct node *node, uint64_t key)
{
	struct target *target =
		apr_hash_get(node->gate->targets, &key, sizeof(key));

	if (!target || !target->probing)
		return;
	if (!target->owned || (!target->down && !target->draining)) {
		target->probing = false;
		return;
	}

	struct effect *fx = effects_add(node->fx, FX_FETCH);

	fx->id = key;
	fx->fetch = FETCH_HEALTH;
	fx->addr = str_dup(node->fx->pool, target->addr);
	fx->wait_us = PROBE_TIMEOUT_US;
	node->counters[CNT_TARGET_PROBES]++;
}
