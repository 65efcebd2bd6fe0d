#include "health.h"

enum {
	RAMP_STREAK = 8,
	HOLD_NEW_US = 2000000,
	HOLD_STALE_US = 8000000,
	SAME_FALL_US = 50000,
	RELAPSE_US = 30000000,
	HOLD_MAX_US = 16000000,
	SLOW_FACTOR = 8,
	SLOW_MIN_US = 50000,
	SLOW_STREAK = 3,
	SHED_STREAK = 3,
	BROKEN_STREAK = 2,
	SERVICE_SHIFT = 4,
	DOWN_SHIFT = 3,
	UP_SHIFT = 7,
	WARM_FACTOR = 2,
	PROBE_MAX_US = 1000000,
	PROBE_WAIT_US = 500000,
};

static void probe_later(struct node *node, struct target *target)
{
	if (target->probing || !target->owned)
		return;
	target->probing = true;
	timer_add(&node->timers, node->now + target->probe_us, TIMER_TARGET,
		  target->key);
	if (target->probe_us < PROBE_MAX_US)
		target->probe_us *= 2;
}

static void audit_target(struct node *node, const struct target *target,
			 const char *to, const char *why)
{
	node_audit(node, "target", target->name, str_of(to), why, 0);
}

/*
 * Any sign of a cold start takes the target to its floor at once: reports
 * lag, and a cold target that gets its full load falls over again. A relapse
 * soon after a step doubles the time that steps take, so a target whose start
 * is longer than expected is not pushed over time and again.
 */
void health_cold(struct node *node, struct target *target, const char *why)
{
	int64_t since = node->now - target->step_at;

	node->counters[CNT_TARGET_COLD]++;
	/* Several requests break in one fall: it counts once. */
	if (target->cold && target->limit == FLOOR && since < SAME_FALL_US)
		return;
	audit_target(node, target, "cold", why);
	if (target->cold && since < RELAPSE_US && target->hold_us < HOLD_MAX_US)
		target->hold_us *= 2;
	else if (since >= RELAPSE_US)
		target->hold_us = HOLD_MIN_US;
	target->cold++;
	target->limit = node->opt.off.no_ramp ? target->slots : FLOOR;
	target->streak = 0;
	target->ramp_us = 0;
	target->slow = 0;
	target->sheds = 0;
	target->step_at = node->now;
}

static void set_down(struct node *node, struct target *target, const char *why)
{
	if (target->down)
		return;
	node->counters[CNT_TARGET_DOWN]++;
	audit_target(node, target, "down", why);
	target->down = true;
	target->probe_us = PROBE_MIN_US;
	gate_refuse_all(node, target, ERR_TARGET_DOWN);
	probe_later(node, target);
}

static void set_draining(struct node *node, struct target *target)
{
	if (target->draining)
		return;
	audit_target(node, target, "draining", "the target says so");
	target->draining = true;
	target->probe_us = PROBE_MAX_US;
	if (!node->opt.off.no_leaving_check)
		gate_refuse_all(node, target, ERR_TARGET_LEAVING);
	probe_later(node, target);
}

static void note_boot(struct node *node, struct target *target, uint64_t boot)
{
	target->replied_at = node->now;
	target->unverified = false;
	if (!boot || boot == target->boot)
		return;
	if (target->boot) {
		health_cold(node, target, "its boot id changed");
		target->draining = false;
	}
	target->boot = boot;
}

/* A report can lower the limit: others' work counts against the slots. */
static void note_load(struct target *target, int load)
{
	if (load < 0)
		return;
	target->foreign = load > target->busy ? load - target->busy : 0;
}

int health_limit(const struct target *target)
{
	int limit = target->slots - target->foreign;

	if (target->unverified)
		return FLOOR;
	if (limit > target->limit)
		limit = target->limit;
	return limit < FLOOR ? FLOOR : limit;
}

/*
 * Whether the answers since the last step allow one more slot. A cold target
 * answers, but slowly: its answers have to be about as fast as they were when
 * it was warm. Where that is not known, because the gate is new, or no longer
 * true, time decides.
 */
static bool may_step(const struct node *node, const struct target *target)
{
	int64_t since = node->now - target->step_at;
	int64_t mean = target->ramp_us / target->streak;

	if (!target->baseline_us)
		return since >= HOLD_NEW_US;
	if (mean > target->baseline_us * WARM_FACTOR)
		return since >= HOLD_STALE_US;
	return since >= target->hold_us;
}

static void climb(struct node *node, struct target *target, int64_t service)
{
	target->streak++;
	target->ramp_us += service;
	if (target->streak < RAMP_STREAK)
		return;
	if (may_step(node, target)) {
		target->limit++;
		target->step_at = node->now;
		if (target->limit == target->slots)
			target->baseline_us = target->ramp_us / target->streak;
	}
	target->streak = 0;
	target->ramp_us = 0;
}

/* Quickly down and slowly up: a cold start that went unseen, or a busy hour,
 * must not pass for what the target does when it is warm. */
static void note_baseline(struct target *target, int64_t service)
{
	int64_t off = service - target->baseline_us;

	target->baseline_us += off >> (off < 0 ? DOWN_SHIFT : UP_SHIFT);
}

static void note_timely(struct node *node, struct target *target,
			int64_t service)
{
	target->sheds = 0;
	target->broken = 0;
	if (!target->service_us)
		target->service_us = service;
	target->service_us += (service - target->service_us) >> SERVICE_SHIFT;
	if (target->baseline_us && service > SLOW_MIN_US &&
	    service > target->baseline_us * SLOW_FACTOR) {
		if (++target->slow >= SLOW_STREAK)
			health_cold(node, target, "latency jumped");
		return;
	}
	target->slow = 0;
	if (target->limit < target->slots)
		climb(node, target, service);
	else if (!target->baseline_us)
		target->baseline_us = service;
	else
		note_baseline(target, service);
}

void health_note(struct node *node, struct target *target,
		 const struct job *job, const struct fetch_response *got,
		 int status)
{
	note_boot(node, target, got->boot);
	note_load(target, got->load);
	switch (got->result) {
	case FETCH_REFUSED:
		health_cold(node, target, "it refused a connection");
		set_down(node, target, "it refused a connection");
		return;
	case FETCH_BROKEN:
		health_cold(node, target, "it closed without a reply");
		if (++target->broken >= BROKEN_STREAK)
			set_down(node, target, "it closes without a reply");
		return;
	case FETCH_TIMEOUT:
		if (++target->broken < BROKEN_STREAK)
			return;
		health_cold(node, target, "it does not answer");
		set_down(node, target, "it does not answer");
		return;
	case FETCH_MALFORMED:
		return;
	case FETCH_OK:
		break;
	}
	if (got->draining)
		set_draining(node, target);
	if (status == ERR_TARGET_SHED) {
		if (++target->sheds >= SHED_STREAK)
			health_cold(node, target, "it sheds in a row");
		else if (target->limit > FLOOR)
			target->limit--;
		target->step_at = node->now;
		return;
	}
	/*
	 * Those that a front gave up on were the slow ones: without them the
	 * rest of a cold target's answers would look as fast as warm ones.
	 */
	if (job->cancelled) {
		target->streak = 0;
		target->ramp_us = 0;
	} else if (!status) {
		note_timely(node, target, node->now - job->started_at);
	}
}

void health_probed(struct node *node, struct target *target,
		   const struct fetch_response *got)
{
	target->probing = false;
	if (!target->owned || (!target->down && !target->draining))
		return;

	bool answers = got->result == FETCH_OK && got->status == 200;

	if (!answers && target->draining && !target->down) {
		target->draining = false;
		set_down(node, target, "it left");
		return;
	}
	if (!answers || got->draining) {
		probe_later(node, target);
		return;
	}
	note_boot(node, target, got->boot);
	target->down = false;
	target->draining = false;
	target->broken = 0;
	health_cold(node, target, "it answers again");
}

void health_timer(struct node *node, uint64_t key)
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
	fx->wait_us = PROBE_WAIT_US;
	node->counters[CNT_TARGET_PROBES]++;
}
