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
	SHARD_TARGETS = 2 * SIM_SHARDS,
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
	struct sim *sim;
	uint64_t version;
	int64_t down_until[SIM_NODES_MAX];
	int64_t heal_at;
	bool resharded;
	const char *fault;
};

static uint64_t below(struct trial *trial, uint64_t bound)
{
	return rng_below(&trial->sim->rng, bound);
}

static struct sim_target *any_target(struct trial *trial)
{
	struct sim *sim = trial->sim;

	return &sim->targets[below(trial, (uint64_t)sim->ntargets)];
}

/* Faults. */

static void pause_target(struct trial *trial)
{
	any_target(trial)->paused_until = trial->sim->now + 150000;
}

static void slow_target(struct trial *trial)
{
	any_target(trial)->service_us = 8000 * (1 + (int64_t)below(trial, 12));
}

static void shed_target(struct trial *trial)
{
	any_target(trial)->reject_rate = (double)below(trial, 10) / 10;
}

static void lose_replies(struct trial *trial)
{
	any_target(trial)->reply_loss = (double)below(trial, 5) / 10;
}

static void crash_target(struct trial *trial)
{
	struct sim_target *target = any_target(trial);

	if (!target->restarting)
		target->up = !target->up;
}

static void drain_target(struct trial *trial)
{
	struct sim *sim = trial->sim;
	int index = (int)below(trial, (uint64_t)sim->ntargets);
	struct sim_target *target = &sim->targets[index];

	if (target->leaving_since || sim->store_down)
		return;
	target->leaving = true;
	sim_publish_target(sim, index);
	target->leaving_since = sim->now;
	if (sim->ntargets < SIM_TARGETS_MAX)
		sim_add_target(sim, target->service, target->domain);
}

static void kill_node(struct trial *trial)
{
	int node = (int)below(trial, (uint64_t)trial->sim->nnodes);

	if (!trial->sim->nodes[node].up)
		return;
	trial->sim->nodes[node].fault_at = trial->sim->now;
	sim_kill_node(trial->sim, node);
	trial->down_until[node] = trial->sim->now + RESTART_US;
}

static void freeze_node(struct trial *trial)
{
	int node = (int)below(trial, (uint64_t)trial->sim->nnodes);

	trial->sim->nodes[node].frozen_until =
		trial->sim->now + 1000 * (int64_t)below(trial, 2000);
	trial->sim->nodes[node].fault_at = trial->sim->nodes[node].frozen_until;
}

static void cut_link(struct trial *trial)
{
	struct sim *sim = trial->sim;
	int a = (int)below(trial, (uint64_t)sim->nnodes);
	int b = (int)below(trial, (uint64_t)sim->nnodes);

	sim->nodes[a].fault_at = INT64_MAX / 2;
	sim->nodes[b].fault_at = INT64_MAX / 2;
	sim->links_cut[a][b] = true;
	if (below(trial, 2))
		sim->links_cut[b][a] = true;
}

static void cut_store(struct trial *trial)
{
	int node = (int)below(trial, (uint64_t)trial->sim->nnodes);

	trial->sim->nodes[node].store_cut = true;
}

static void store_away(struct trial *trial)
{
	trial->sim->store_down = true;
}

static void configure(struct trial *trial)
{
	struct sim *sim = trial->sim;

	if (sim->store_down)
		return;
	if (!trial->resharded && below(trial, 3) == 0) {
		sim_add_targets(sim, "r", 2);
		trial->resharded = true;
		trial->version = 10;
	}
	sim_configure(sim, ++trial->version);
}

static void heal(struct trial *trial)
{
	struct sim *sim = trial->sim;

	memset(sim->links_cut, 0, sizeof(sim->links_cut));
	sim->store_down = false;
	for (int i = 0; i < sim->nnodes; i++) {
		sim->nodes[i].store_cut = false;
		if (sim->nodes[i].fault_at > sim->now)
			sim->nodes[i].fault_at = sim->now;
	}
	for (int i = 0; i < sim->ntargets; i++) {
		sim->targets[i].reject_rate = 0;
		sim->targets[i].reply_loss = 0;
	}
}

static void (*const faults[])(struct trial *) = {
	pause_target, pause_target, slow_target, shed_target, lose_replies,
	crash_target, drain_target, kill_node,	 freeze_node, cut_link,
	cut_store,    store_away,   configure,	 heal,
};

/* Judgement. */

static const char *judge_call(const struct sim_call *call)
{
	if (call->duplicate_part)
		return "a shard counted twice";
	if (call->foreign_part)
		return "a part of another request or version";
	if (call->unsorted)
		return "records out of order";
	if (call->kind == SIM_ONCE && call->runs > 1)
		return "a request that may run once ran twice";
	if (call->kind == SIM_ONCE && call->status == 503 && call->runs)
		return "\"not run\" was promised and it ran";
	if (call->kind == SIM_MERGED && call->status == 200 &&
	    call->parts + call->missing != SIM_SHARDS)
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
	struct sim *sim = trial->sim;
	int over_asked = 0;

	for (int i = 0; i < sim->ncalls; i++) {
		const struct sim_call *call = &sim->calls[i];
		const char *fault = judge_call(call);
		int most = 0;

		if (fault)
			return fault;
		for (int j = 0; j < 2 * SIM_SHARDS; j++)
			if (call->targets_of_shard[j] > most)
				most = call->targets_of_shard[j];
		over_asked += most > 2;
	}
	for (int i = 1; i < SIM_DEADLY_MAX; i++)
		if (sim->deadly[i].late > DEADLY_LATE_MOST)
			return "a deadly request was sent to ever more targets";
	if (over_asked > 3)
		return "shards asked at more targets than the route allows";
	if (sim->extra_sends > sim->first_sends / 5 + 2 * SIM_SHARDS * 60 * 2)
		return "retries beyond the shared bound";
	return NULL;
}

/* A node that was frozen answers late for that reason. */
static void forgive_frozen(struct sim *sim)
{
	for (int i = 0; i < sim->ncalls; i++)
		if (sim->calls[i].answered_at - sim->calls[i].start >
		    TIMEOUT_US + LATE_US)
			sim->calls[i].answered_at =
				sim->calls[i].start + TIMEOUT_US;
}

static void restart_nodes(struct trial *trial)
{
	struct sim *sim = trial->sim;

	for (int i = 0; i < sim->nnodes; i++)
		if (!sim->nodes[i].up && sim->now >= trial->down_until[i]) {
			sim->nodes[i].fault_at = sim->now;
			sim_start_node(sim, i);
		}
}

/* At a node that takes callers; one of each kind, each with its books. */
static void ask_deadly(struct trial *trial)
{
	struct sim *sim = trial->sim;
	struct sim_request_spec spec = { "deadly", "10.1.0.1", 0 };
	int node = (int)below(trial, (uint64_t)sim->nnodes);
	enum sim_request_kind kind = (enum sim_request_kind)below(trial, 3);

	spec.deadly = (int)kind + 1;
	if (sim->nodes[node].up && sim->nodes[node].ready)
		sim_call_with(sim, node, kind, &spec);
}

static int served_at_last(struct sim *sim)
{
	int first = sim->ncalls;
	int served = 0;

	for (int i = 0; i < sim->nnodes; i++) {
		sim_call(sim, i, SIM_SINGLE);
		sim_run(sim, 200000);
	}
	sim_run(sim, 2000000);
	for (int i = first; i < sim->ncalls; i++)
		served += sim->calls[i].status == 200;
	return served;
}

static const char *run_seed(uint64_t seed, bool deadly)
{
	struct trial trial = { .version = 1 };
	struct sim *sim = sim_create(6, seed);
	int steps = deadly ? DEADLY_STEPS : STEPS;
	uint64_t fault_steps = deadly ? DEADLY_FAULT_STEPS : FAULT_STEPS;
	const char *fault;

	trial.sim = sim;
	sim_add_targets(sim, "s", 2);
	for (int i = 0; i < 2 * SIM_DOMAINS; i++)
		sim_add_target(sim, "single", i % SIM_DOMAINS);
	sim_configure(sim, 1);
	for (int i = 0; i < sim->nnodes; i++)
		sim_start_node(sim, i);
	sim_settle(sim);
	for (int step = 0; step < steps; step++) {
		int node = (int)below(&trial, (uint64_t)sim->nnodes);

		if (below(&trial, fault_steps) == 0)
			faults[below(&trial, sizeof(faults) / sizeof(*faults))](
				&trial);
		restart_nodes(&trial);
		if (deadly && step % DEADLY_EACH == 0)
			ask_deadly(&trial);
		if (sim->nodes[node].up && sim->nodes[node].ready)
			sim_call(sim, node,
				 (enum sim_request_kind)below(&trial, 3));
		sim_run(sim, STEP_US);
	}
	heal(&trial);
	for (int i = 0; i < sim->ntargets; i++)
		sim->targets[i].up = true;
	sim_run(sim, RESTART_US);
	restart_nodes(&trial);
	sim_run(sim, 6000000);
	forgive_frozen(sim);
	fault = judge(&trial);
	if (!fault && served_at_last(sim) < sim->nnodes)
		fault = "not served after all faults were healed";
	sim_destroy(sim);
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
