/*
 * Stateful fuzzing of the tier: series of faults that overlap, drawn from a
 * seed, on several nodes in virtual time. The books that the targets and the
 * callers keep are the oracle; see judge().
 *
 *     fuzz-tier FIRST COUNT            seeds FIRST to FIRST + COUNT - 1
 *     fuzz-tier FIRST COUNT deadly     with a request that crashes its targets
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <apr_general.h>

#include "sim.h"

enum {
	STEPS = 250,
	STEP_US = 40000,
	/* What a request may take beyond the time that its caller waits. */
	LATE_US = 500000,
	TIMEOUT_US = 1000000,
	SHARD_TARGETS = 2 * STAGE_SHARDS,
	RESTART_US = 1500000,
	FAULT_STEPS = 4,
	/*
	 * A deadly request comes each so many steps, over a longer time with
	 * fewer faults: only nodes that are in order are judged by it.
	 */
	DEADLY_EACH = 30,
	DEADLY_STEPS = 750,
	DEADLY_FAULT_STEPS = 16,
	DEADLY_LATE_MOST = 3,
};

/** struct trial - one seed: the stage, and what is under way */
struct trial {
	struct stage *stage;
	uint64_t version;
	int64_t down_until[STAGE_NODES];
	int64_t heal_at;
	bool resharded;
	const char *fault;
};

static uint64_t below(struct trial *trial, uint64_t bound)
{
	return rng_below(&trial->stage->rng, bound);
}

static struct stage_target *any_target(struct trial *trial)
{
	struct stage *stage = trial->stage;

	return &stage->targets[below(trial, (uint64_t)stage->ntargets)];
}

/* Faults. */

static void pause_target(struct trial *trial)
{
	any_target(trial)->paused_until = trial->stage->now + 150000;
}

static void slow_target(struct trial *trial)
{
	any_target(trial)->service_us = 8000 * (1 + (int64_t)below(trial, 12));
}

static void shed_target(struct trial *trial)
{
	any_target(trial)->shed = (double)below(trial, 10) / 10;
}

static void lose_replies(struct trial *trial)
{
	any_target(trial)->lose = (double)below(trial, 5) / 10;
}

static void crash_target(struct trial *trial)
{
	struct stage_target *target = any_target(trial);

	if (!target->returning)
		target->up = !target->up;
}

static void drain_target(struct trial *trial)
{
	struct stage *stage = trial->stage;
	int index = (int)below(trial, (uint64_t)stage->ntargets);
	struct stage_target *target = &stage->targets[index];

	if (target->left_at || stage->store_down)
		return;
	target->leaving = true;
	stage_publish(stage, index);
	target->left_at = stage->now;
	if (stage->ntargets < STAGE_TARGETS)
		stage_add_target(stage, target->service, target->domain);
}

static void kill_node(struct trial *trial)
{
	int node = (int)below(trial, (uint64_t)trial->stage->nnodes);

	if (!trial->stage->nodes[node].up)
		return;
	trial->stage->nodes[node].troubled_at = trial->stage->now;
	stage_kill_node(trial->stage, node);
	trial->down_until[node] = trial->stage->now + RESTART_US;
}

static void freeze_node(struct trial *trial)
{
	int node = (int)below(trial, (uint64_t)trial->stage->nnodes);

	trial->stage->nodes[node].frozen_until =
		trial->stage->now + 1000 * (int64_t)below(trial, 2000);
	trial->stage->nodes[node].troubled_at =
		trial->stage->nodes[node].frozen_until;
}

static void cut_link(struct trial *trial)
{
	struct stage *stage = trial->stage;
	int a = (int)below(trial, (uint64_t)stage->nnodes);
	int b = (int)below(trial, (uint64_t)stage->nnodes);

	stage->nodes[a].troubled_at = INT64_MAX / 2;
	stage->nodes[b].troubled_at = INT64_MAX / 2;
	stage->links_cut[a][b] = true;
	if (below(trial, 2))
		stage->links_cut[b][a] = true;
}

static void cut_store(struct trial *trial)
{
	int node = (int)below(trial, (uint64_t)trial->stage->nnodes);

	trial->stage->nodes[node].store_cut = true;
}

static void store_away(struct trial *trial)
{
	trial->stage->store_down = true;
}

static void configure(struct trial *trial)
{
	struct stage *stage = trial->stage;

	if (stage->store_down)
		return;
	if (!trial->resharded && below(trial, 3) == 0) {
		stage_add_targets(stage, "r", 2);
		trial->resharded = true;
		trial->version = 10;
	}
	stage_configure(stage, ++trial->version);
}

static void heal(struct trial *trial)
{
	struct stage *stage = trial->stage;

	memset(stage->links_cut, 0, sizeof(stage->links_cut));
	stage->store_down = false;
	for (int i = 0; i < stage->nnodes; i++) {
		stage->nodes[i].store_cut = false;
		if (stage->nodes[i].troubled_at > stage->now)
			stage->nodes[i].troubled_at = stage->now;
	}
	for (int i = 0; i < stage->ntargets; i++) {
		stage->targets[i].shed = 0;
		stage->targets[i].lose = 0;
	}
}

static void (*const faults[])(struct trial *) = {
	pause_target, pause_target, slow_target, shed_target, lose_replies,
	crash_target, drain_target, kill_node,	 freeze_node, cut_link,
	cut_store,    store_away,   configure,	 heal,
};

/* Judgement. */

static const char *judge_call(const struct stage_call *call)
{
	if (call->duplicate_part)
		return "a shard counted twice";
	if (call->foreign_part)
		return "a part of another request or version";
	if (call->not_greatest)
		return "records out of order";
	if (call->kind == STAGE_ONCE && call->runs > 1)
		return "a request that may run once ran twice";
	if (call->kind == STAGE_ONCE && call->status == 503 && call->runs)
		return "\"not run\" was promised and it ran";
	if (call->kind == STAGE_MERGED && call->status == 200 &&
	    call->parts + call->missing != STAGE_SHARDS)
		return "parts and missing shards are not the whole";
	if (call->status == 404)
		return "a route that exists was not found";
	if (call->answered_at &&
	    call->answered_at - call->start > TIMEOUT_US + LATE_US)
		return "held past its time";
	return NULL;
}

static const char *judge(struct trial *trial)
{
	struct stage *stage = trial->stage;
	int over_asked = 0;

	for (int i = 0; i < stage->ncalls; i++) {
		const struct stage_call *call = &stage->calls[i];
		const char *fault = judge_call(call);
		int most = 0;

		if (fault)
			return fault;
		for (int j = 0; j < 2 * STAGE_SHARDS; j++)
			if (call->targets_of_shard[j] > most)
				most = call->targets_of_shard[j];
		over_asked += most > 2;
	}
	for (int i = 1; i < STAGE_DEADLY; i++)
		if (stage->deadly[i].late > DEADLY_LATE_MOST)
			return "a deadly request was sent to ever more targets";
	if (over_asked > 3)
		return "shards asked at more targets than the route allows";
	if (stage->extra_sends >
	    stage->first_sends / 5 + 2 * STAGE_SHARDS * 60 * 2)
		return "retries beyond the shared bound";
	return NULL;
}

/* A node that was frozen answers late for that reason. */
static void forgive_frozen(struct stage *stage)
{
	for (int i = 0; i < stage->ncalls; i++)
		if (stage->calls[i].answered_at - stage->calls[i].start >
		    TIMEOUT_US + LATE_US)
			stage->calls[i].answered_at =
				stage->calls[i].start + TIMEOUT_US;
}

static void restart_nodes(struct trial *trial)
{
	struct stage *stage = trial->stage;

	for (int i = 0; i < stage->nnodes; i++)
		if (!stage->nodes[i].up && stage->now >= trial->down_until[i]) {
			stage->nodes[i].troubled_at = stage->now;
			stage_start_node(stage, i);
		}
}

/* At a node that takes callers; one of each kind, each with its books. */
static void ask_deadly(struct trial *trial)
{
	struct stage *stage = trial->stage;
	struct stage_asked asked = { "deadly", "10.1.0.1", 0 };
	int node = (int)below(trial, (uint64_t)stage->nnodes);
	enum stage_kind kind = (enum stage_kind)below(trial, 3);

	asked.deadly = (int)kind + 1;
	if (stage->nodes[node].up && stage->nodes[node].ready)
		stage_ask(stage, node, kind, &asked);
}

static int served_at_last(struct stage *stage)
{
	int first = stage->ncalls;
	int served = 0;

	for (int i = 0; i < stage->nnodes; i++) {
		stage_call(stage, i, STAGE_SINGLE);
		stage_run(stage, 200000);
	}
	stage_run(stage, 2000000);
	for (int i = first; i < stage->ncalls; i++)
		served += stage->calls[i].status == 200;
	return served;
}

static const char *run_seed(uint64_t seed, bool deadly)
{
	struct trial trial = { .version = 1 };
	struct stage *stage = stage_create(6, seed);
	int steps = deadly ? DEADLY_STEPS : STEPS;
	uint64_t fault_steps = deadly ? DEADLY_FAULT_STEPS : FAULT_STEPS;
	const char *fault;

	trial.stage = stage;
	stage_add_targets(stage, "s", 2);
	for (int i = 0; i < 2 * STAGE_DOMAINS; i++)
		stage_add_target(stage, "single", i % STAGE_DOMAINS);
	stage_configure(stage, 1);
	for (int i = 0; i < stage->nnodes; i++)
		stage_start_node(stage, i);
	stage_settle(stage);
	for (int step = 0; step < steps; step++) {
		int node = (int)below(&trial, (uint64_t)stage->nnodes);

		if (below(&trial, fault_steps) == 0)
			faults[below(&trial, sizeof(faults) / sizeof(*faults))](
				&trial);
		restart_nodes(&trial);
		if (deadly && step % DEADLY_EACH == 0)
			ask_deadly(&trial);
		if (stage->nodes[node].up && stage->nodes[node].ready)
			stage_call(stage, node,
				   (enum stage_kind)below(&trial, 3));
		stage_run(stage, STEP_US);
	}
	heal(&trial);
	for (int i = 0; i < stage->ntargets; i++)
		stage->targets[i].up = true;
	stage_run(stage, RESTART_US);
	restart_nodes(&trial);
	stage_run(stage, 6000000);
	forgive_frozen(stage);
	fault = judge(&trial);
	if (!fault && served_at_last(stage) < stage->nnodes)
		fault = "not served after all faults were healed";
	stage_destroy(stage);
	return fault;
}

int main(int argc, char **argv)
{
	uint64_t first = argc > 1 ? strtoull(argv[1], NULL, 10) : 1;
	uint64_t count = argc > 2 ? strtoull(argv[2], NULL, 10) : 20;
	bool deadly = argc > 3 && !strcmp(argv[3], "deadly");
	int failed = 0;

	apr_initialize();
	for (uint64_t seed = first; seed < first + count; seed++) {
		const char *fault = run_seed(seed, deadly);

		if (!fault)
			continue;
		printf("seed %llu: %s\n", (unsigned long long)seed, fault);
		failed++;
	}
	printf("%llu seeds, %d failed\n", (unsigned long long)count, failed);
	return failed != 0;
}
