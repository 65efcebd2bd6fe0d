/*
 * Tests of whole nodes in the simulation: repeats at targets over all nodes and
 * within each sliding window, while nodes restart or lose sight of each other.
 */
#include <stdio.h>
#include <stdlib.h>

#include <check.h>

#include "sim.h"
#include "suite.h"

#define COUNT(table) (int)(sizeof(table) / sizeof(*(table)))

enum {
	SECOND_US = 1000000,
	NODES = 9,
	RUN_US = 40000000,
	DOWN_US = 400000,
};

/**
 * struct budget_case - faults of nodes while most requests need a repeat
 * @call_interval_us: time between two requests
 * @step_us: time between two faults
 * @fault: injects fault number @step
 * @large: number of nodes with a full core; the others have a fifth of it
 */
struct budget_case {
	const char *name;
	int64_t call_interval_us;
	int64_t step_us;
	void (*fault)(struct sim *sim, int step);
	int large;
};

static void restart(struct sim *sim, int node)
{
	sim_kill_node(sim, node);
	sim_start_node(sim, node);
}

static void kill_next(struct sim *sim, int step)
{
	restart(sim, step % sim->nnodes);
}

static void kill_two_series(struct sim *sim, int step)
{
	restart(sim, step % sim->nnodes);
	restart(sim, (step + sim->nnodes / 2) % sim->nnodes);
}

static void kill_all(struct sim *sim, int step)
{
	(void)step;
	for (int i = 0; i < sim->nnodes; i++)
		restart(sim, i);
}

static void stop_next(struct sim *sim, int step)
{
	sim_stop_node(sim, step % sim->nnodes);
	sim_run(sim, DOWN_US);
	restart(sim, step % sim->nnodes);
}

static void cut(struct sim *sim, int nodes, bool is_cut)
{
	for (int i = 0; i < sim->nnodes; i++)
		for (int j = 0; j < sim->nnodes; j++)
			if ((i < nodes) != (j < nodes))
				sim->links_cut[i][j] = is_cut;
}

static void cut_half(struct sim *sim, int step)
{
	(void)step;
	cut(sim, sim->nnodes / 2, true);
}

/* Nodes that start behind a cut do not know of those beyond it. */
static void restart_cut_off(struct sim *sim, int step)
{
	for (int i = 0; i < sim->nnodes; i++)
		for (int j = 0; j < sim->nnodes; j++)
			sim->links_cut[i][j] = i != j;
	if (!step)
		kill_all(sim, step);
}

static void replace_third(struct sim *sim, int step)
{
	int nodes = sim->nnodes;

	for (int i = 0; i < nodes / 3; i++) {
		int node = (step * (nodes / 3) + i) % nodes;

		if (sim->nodes[node].up)
			sim_kill_node(sim, node);
		node = (node + nodes / 3) % nodes;
		if (!sim->nodes[node].up)
			sim_start_node(sim, node);
	}
}

static const struct budget_case budget_cases[] = {
	{ "no faults", 20000, RUN_US, kill_next, 0 },
	{ "killed in turn", 20000, SECOND_US, kill_next, 0 },
	{ "killed in turn, few requests", 50000, SECOND_US, kill_next, 0 },
	{ "killed in turn, large ones merge", 20000, SECOND_US, kill_next, 3 },
	{ "two series at once", 20000, SECOND_US, kill_two_series, 0 },
	{ "all at once, each 2 s", 20000, 2 * SECOND_US, kill_all, 0 },
	{ "stopped in turn", 20000, SECOND_US, stop_next, 0 },
	{ "half cut off", 20000, RUN_US, cut_half, 0 },
	{ "started while cut off", 50000, SECOND_US, restart_cut_off, 0 },
	{ "a third replaced each 3 s", 20000, 3 * SECOND_US, replace_third, 0 },
};

static struct sim *setup(const struct budget_case *c)
{
	struct sim *sim = sim_create(NODES, 5);

	sim_add_targets(sim, "s", 2);
	sim_configure(sim, 1);
	for (int i = 0; i < NODES; i++) {
		if (c->large)
			sim->nodes[i].settings.core = i < c->large ? 1 : 0.2;
		sim_start_node(sim, i);
	}
	sim_run_until_ready(sim);
	for (int i = 0; i < sim->ntargets; i++)
		sim->targets[i].reply_loss = 0.6;
	return sim;
}

static int next_up(const struct sim *sim, int node)
{
	for (int i = 0; i < sim->nnodes; i++)
		if (sim->nodes[(node + i) % sim->nnodes].up)
			return (node + i) % sim->nnodes;
	return -1;
}

/* Repeats over all nodes go beyond the limit although each keeps its part. */
START_TEST(test_repeats_of_all_nodes_in_a_window)
{
	const struct budget_case *c = &budget_cases[_i];
	struct sim *sim = setup(c);
	int64_t next_fault_at = sim->now + SECOND_US;
	int64_t end = sim->now + RUN_US;
	struct sim_window worst;

	for (int step = 0; sim->now < end;) {
		int node = next_up(sim, sim->ncalls % NODES);

		if (node >= 0)
			sim_send_call(sim, node, SIM_MERGED);
		sim_run(sim, c->call_interval_us);
		if (sim->now < next_fault_at)
			continue;
		c->fault(sim, step++);
		next_fault_at = sim->now + c->step_us;
	}
	worst = sim_budget_worst(sim);
	if (getenv("TELL"))
		printf("%-34s %3d of %3.0f\n", c->name, worst.repeats,
		       worst.allowed);
	ck_assert_msg(worst.repeats <= worst.allowed,
		      "%s: %d repeats at a shard in 10 s, %.0f allowed",
		      c->name, worst.repeats, worst.allowed);
	sim_destroy(sim);
}
END_TEST

static void add_tests(TCase *tcase)
{
	tcase_add_loop_test(tcase, test_repeats_of_all_nodes_in_a_window, 0,
			    COUNT(budget_cases));
}

int main(void)
{
	return suite_run("budget", add_tests);
}
