/*
 * Load tests in the simulation: a rate of questions, a pattern of faults at the
 * targets, and how many callers still get a complete answer by their latency
 * goal. The dimensions are those of the small sites: two targets per shard with
 * two slots each, and a goal of 100 ms.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <check.h>

#include "../mechanism.h"
#include "sim.h"
#include "suite.h"

enum {
	NODES = 6,
	GOAL_US = 100000,
	SECOND_US = 1000000,
	/* Until nodes have adapted to the faults; not measured. */
	WARMUP_US = 2 * SECOND_US,
	MEASURED_US = 8 * SECOND_US,
	BASE_SERVICE_US = 10000,
	FAILURES_PRINTED_MAX = 3,
};

/**
 * struct pattern - load, faults, and limits of the result
 * @rate: questions per second, distributed evenly over the nodes
 * @inject: called before each question, to set the faults at that time
 * @credit: minimum mean of the squared coverage by the goal
 * @failed: maximum percentage of questions without an answer
 * @extra: maximum hedges and retries, in percent of the first attempts
 * @small_vms: two of three VMs are too small to merge
 */
struct pattern {
	const char *name;
	int rate;
	void (*inject)(struct sim *sim);
	double credit;
	double failed;
	double extra;
	bool small_vms;
};

/* The targets of shard i are those with the indexes 2 i and 2 i + 1. */

/* One target of each shard rejects three of five requests but is healthy. */
static void reject_at_one_target_per_shard(struct sim *sim)
{
	for (int i = 0; i < SIM_SHARDS; i++)
		sim->targets[2 * i + i % 2].reject_rate = 0.6;
}

/* One target of every fourth shard takes eight times as long. */
static void slow_every_fourth_shard(struct sim *sim)
{
	for (int i = 0; i < SIM_SHARDS; i += 4)
		sim->targets[2 * i].service_us = 8 * BASE_SERVICE_US;
}

/* Each target is paused for 150 ms every 3.6 s, at different times. */
static void pause_in_rotation(struct sim *sim)
{
	static const int64_t interval_us = 3600000;
	static const int64_t length_us = 150000;

	for (int i = 0; i < 2 * SIM_SHARDS; i++) {
		int64_t at = sim->now + interval_us - i * interval_us / 29;

		if (at % interval_us < length_us)
			sim->targets[i].paused_until =
				sim->now + length_us - at % interval_us;
	}
}

static void reject_and_pause(struct sim *sim)
{
	reject_at_one_target_per_shard(sim);
	pause_in_rotation(sim);
}

/* A burst: the remaining capacity of every fourth shard just falls short. */
static void overload_every_fourth_shard(struct sim *sim)
{
	for (int i = 0; i < SIM_SHARDS; i += 4)
		sim->targets[2 * i].service_us = 30 * BASE_SERVICE_US;
}

/* Both targets of two shards are too slow to serve all questions. */
static void slow_two_shards(struct sim *sim)
{
	for (int i = 0; i < 2 * SIM_SHARDS; i += SIM_SHARDS)
		for (int j = 0; j < 2; j++)
			sim->targets[i + j].service_us = 12 * BASE_SERVICE_US;
}

/*
 * One failure domain does not reply. Its shards have one target left, in a
 * domain with fewer nearby nodes. The capacity left is sufficient; a node that
 * uses too few of its connections there makes shards queue for the target.
 */
static void hang_domain(struct sim *sim)
{
	for (int i = 0; i < 2 * SIM_SHARDS; i++)
		if (sim->targets[i].domain == 0)
			sim->targets[i].hangs = true;
}

/* All targets lose three of ten replies after execution. */
static void lose_replies(struct sim *sim)
{
	for (int i = 0; i < 2 * SIM_SHARDS; i++)
		sim->targets[i].reply_loss = 0.3;
}

static void no_fault(struct sim *sim)
{
	(void)sim;
}

static const struct pattern patterns[] = {
	{ "calm", 120, no_fault, 0.99, 0, 1, false },
	{ "pauses in turn", 120, pause_in_rotation, 0.98, 0.5, 4, false },
	{ "slow across", 120, slow_every_fourth_shard, 0.99, 0, 1, false },
	{ "slow in a burst", 190, overload_every_fourth_shard, 0.98, 0, 1,
	  false },
	{ "short of room", 60, slow_two_shards, 0, 43, 4, false },
	{ "dark domain", 185, hang_domain, 0.99, 0, 2, false },
	/* The capacity of some shards is 200 per second. */
	{ "dark domain, no room", 215, hang_domain, 0.7, 15, 5, false },
	{ "replies lost", 10, lose_replies, 0.65, 30, 60, true },
	{ "shedding across", 120, reject_at_one_target_per_shard, 0.99, 0, 1.5,
	  false },
	{ "shedding across, pauses", 120, reject_and_pause, 0.945, 0.5, 5,
	  false },
};

/* Prints the first failed questions, as a starting point for debugging. */
static void print_failed(const struct sim *sim, int from)
{
	int printed = 0;

	for (int i = from; i < sim->ncalls && printed < FAILURES_PRINTED_MAX;
	     i++)
		if (sim->calls[i].status != 200 && ++printed)
			printf("  question %d: status %d after %.1f ms\n", i,
			       sim->calls[i].status,
			       (sim->calls[i].answered_at -
				sim->calls[i].sent_at) /
				       1000.0);
}

static struct sim *setup(bool small_vms, uint32_t without)
{
	struct sim *sim = sim_create(NODES, 11);

	sim->without = without;
	sim_add_targets(sim, "s", 2);
	for (int i = 0; i < 2 * SIM_SHARDS; i++) {
		sim->targets[i].slots = 2;
		sim->targets[i].service_us = BASE_SERVICE_US;
	}
	sim_configure(sim, 1);
	for (int i = 0; small_vms && i < NODES; i++)
		if (i % 3)
			sim->nodes[i].settings.core = 0.05;
	for (int i = 0; i < NODES; i++)
		sim_start_node(sim, i);
	sim_run_until_ready(sim);
	return sim;
}

static void send_load(struct sim *sim, const struct pattern *pattern,
		      int64_t length_us)
{
	int64_t gap = SECOND_US / pattern->rate;

	for (int64_t at = 0; at < length_us; at += gap) {
		pattern->inject(sim);
		sim_send_call(sim, sim->ncalls % NODES, SIM_STRICT);
		sim_run(sim, gap);
	}
}

/**
 * struct result - measured results
 * @credit: mean of the squared coverage by the goal
 * @failed: fraction of questions without an answer
 * @extra: hedges and retries, in percent of the first attempts
 */
struct result {
	double credit;
	double failed;
	double extra;
};

static struct result measure(const struct sim *sim, int from)
{
	struct result result = { 0 };
	int count = sim->ncalls - from;

	for (int i = from; i < sim->ncalls; i++) {
		const struct sim_call *call = &sim->calls[i];
		double fraction = (double)call->parts / SIM_SHARDS;

		if (call->status != 200)
			result.failed += 1.0 / count;
		else if (call->answered_at - call->sent_at <= GOAL_US)
			result.credit += fraction * fraction / count;
	}
	return result;
}

/* Runs @pattern; @without is the bit set of disabled mechanisms. */
static struct result run_pattern(const struct pattern *pattern,
				 uint32_t without)
{
	struct sim *sim = setup(pattern->small_vms, without);
	/* Number of the question whose log lines are printed. */
	const char *traced = getenv("TRACE");
	struct result result;
	int from;

	if (traced)
		sim->traced_call = atoi(traced);
	send_load(sim, pattern, WARMUP_US);
	from = sim->ncalls;
	sim->first_sends = sim->extra_sends = 0;
	send_load(sim, pattern, MEASURED_US);
	sim_run(sim, 2 * SECOND_US);
	result = measure(sim, from);
	result.extra = 100.0 * sim->extra_sends / sim->first_sends;
	printf("%-24s credit %.3f, failed %.3f, retries %.1f %%\n",
	       pattern->name, result.credit, result.failed, result.extra);
	if (!without)
		print_failed(sim, from);
	fflush(stdout);
	sim_destroy(sim);
	return result;
}

/*
 * Faults of targets under continuous load make answers late or partial. Nodes
 * must prefer the other target of a shard where a fault is already known, and
 * use hedges only for faults that they could not detect yet.
 */
START_TEST(test_pattern)
{
	const struct pattern *pattern = &patterns[_i];
	struct result result = run_pattern(pattern, 0);

	ck_assert_msg(result.credit >= pattern->credit, "%s: credit %.3f",
		      pattern->name, result.credit);
	ck_assert_msg(100 * result.failed <= pattern->failed, "%s: failed %.3f",
		      pattern->name, result.failed);
	ck_assert_msg(result.extra <= pattern->extra, "%s: retries %.1f %%",
		      pattern->name, result.extra);
}
END_TEST

/** struct requirement - a pattern that fails without a mechanism */
struct requirement {
	const char *pattern;
	enum mechanism mechanism;
};

static const struct requirement requirements[] = {
	{ "pauses in turn", MECHANISM_HEDGES },
	{ "slow across", MECHANISM_SLOWNESS },
	{ "dark domain, no room", MECHANISM_LINE },
	{ "shedding across", MECHANISM_FAULT_COST },
	{ "replies lost", MECHANISM_MERGER_BUDGET },
};

static const struct pattern *find_pattern(const char *name)
{
	size_t i = 0;

	while (strcmp(patterns[i].name, name))
		i++;
	return &patterns[i];
}

/* Without the mechanism the pattern must exceed one of its limits. */
START_TEST(test_mechanism_is_required)
{
	const struct requirement *requirement = &requirements[_i];
	const struct pattern *pattern = find_pattern(requirement->pattern);
	struct result result =
		run_pattern(pattern, 1U << requirement->mechanism);

	ck_assert_msg(result.credit < pattern->credit ||
			      100 * result.failed > pattern->failed ||
			      result.extra > pattern->extra,
		      "%s passes without %s", requirement->pattern,
		      mechanism_info(requirement->mechanism)->name);
}
END_TEST

static void add_tests(TCase *tcase)
{
	tcase_add_loop_test(tcase, test_pattern, 0,
			    sizeof(patterns) / sizeof(*patterns));
	tcase_add_loop_test(tcase, test_mechanism_is_required, 0,
			    sizeof(requirements) / sizeof(*requirements));
}

int main(void)
{
	return suite_run("load", add_tests);
}
