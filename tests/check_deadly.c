/*
 * Tests of whole nodes in the simulation, under poison requests, which crash
 * each target that runs them: how many of these still reach targets, and
 * whether harmless requests are served.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <check.h>

#include "sim.h"
#include "suite.h"

#define COUNT(table) (int)(sizeof(table) / sizeof(*(table)))

enum {
	SECOND_US = 1000000,
	NODES = 6,
	ROUNDS = 10,
	/* Between a failed answer and the caller's retry. */
	RETRY_US = 80000,
	/* Between two rounds of the request; targets restart meanwhile. */
	ROUND_US = 4400000,
	/* Late calls that may reach targets, over all nodes. */
	LATE_RUNS_MAX = 3,
	/* Targets that these may crash: two each, one after the other. */
	CRASHES_AFTER_FIRST_ROUND_MAX = 2 * LATE_RUNS_MAX,
	STEP_US = 1000,
	/* Three hops between failure domains. */
	PROPAGATION_US = 4000,
	/* Targets crash 8 ms after the request has arrived. */
	BEFORE_CRASH_US = 7000,
	/* From this round on all harmless requests must be served. */
	SERVED_FROM_ROUND = 3,
	/* How long a frequent request comes between two power losses. */
	FREQUENT_US = 12000000,
	SLOW_RESTART_US = 2800000,
};

/**
 * struct poison_case - how a poison request is sent, and other faults
 * @concurrent: number of nodes that receive it at the same time; 0: 1
 * @callers: number of caller addresses, used in turn; 0: 1
 * @requests: number of different poison requests, sent in turn; 0: 1
 * @kill: one node is killed and restarted each round, in turn, and is the first
 *        to receive the request in the next round
 * @power_loss_round: before this round all nodes lose power; 0: never
 * @cut_round: for this round one failure domain, a third of the nodes, is cut
 * off from the others; 0: never
 * @keeps_id: targets keep their ids over a restart
 * @run_us: time from its start to the crash; 0: usual service time
 * @nodes: number of nodes; 0: NODES
 */
struct poison_case {
	const char *name;
	enum sim_request_kind kind;
	int concurrent;
	int callers;
	int requests;
	bool kill;
	int power_loss_round;
	int cut_round;
	bool keeps_id;
	int64_t run_us;
	int nodes;
};

static const struct poison_case poison_cases[] = {
	{ .name = "over all shards", .kind = SIM_MERGED },
	{ .name = "nearly all shards needed", .kind = SIM_STRICT },
	{ .name = "one target", .kind = SIM_SINGLE },
	{ .name = "once only", .kind = SIM_ONCE },
	{ .name = "at four nodes at once",
	  .kind = SIM_MERGED,
	  .concurrent = 4 },
	{ .name = "one target, four at once",
	  .kind = SIM_SINGLE,
	  .concurrent = 4 },
	{ .name = "from many addresses", .kind = SIM_MERGED, .callers = 5 },
	{ .name = "three requests in turn", .kind = SIM_MERGED, .requests = 3 },
	{ .name = "nodes restart in turn", .kind = SIM_MERGED, .kill = true },
	{ .name = "all nodes restart",
	  .kind = SIM_MERGED,
	  .power_loss_round = 5 },
	{ .name = "a domain is cut off", .kind = SIM_MERGED, .cut_round = 1 },
	{ .name = "targets keep their ids",
	  .kind = SIM_MERGED,
	  .keeps_id = true },
	/* Its hedges are sent before the first target has crashed. */
	{ .name = "slow to crash", .kind = SIM_MERGED, .run_us = 40000 },
	{ .name = "slow, all nodes restart",
	  .kind = SIM_MERGED,
	  .run_us = 40000,
	  .power_loss_round = 5 },
	{ .name = "slow, four at once",
	  .kind = SIM_MERGED,
	  .concurrent = 4,
	  .run_us = 40000 },
	{ .name = "many nodes", .kind = SIM_MERGED, .nodes = 40 },
};

static int at_least_one(int number)
{
	return number ? number : 1;
}

static struct sim *setup(int nodes, uint64_t seed)
{
	struct sim *sim = sim_create(nodes, seed);

	sim_add_targets(sim, "s", 2);
	for (int i = 0; i < 2 * SIM_DOMAINS; i++)
		sim_add_target(sim, "single", i % SIM_DOMAINS);
	sim_configure(sim, 1);
	for (int i = 0; i < sim->nnodes; i++)
		sim_start_node(sim, i);
	sim_run_until_ready(sim);
	return sim;
}

static int send_call(struct sim *sim, int node, enum sim_request_kind kind,
		     const struct sim_request_spec *spec)
{
	return sim_send_call_with(sim, node % sim->nnodes, kind, spec);
}

static int send_poison_request(struct sim *sim, const struct poison_case *c,
			       int round, int node)
{
	int number = round % at_least_one(c->requests) + 1;
	char caller[24];
	char query[24];
	struct sim_request_spec spec = { query, caller, number };

	snprintf(caller, sizeof(caller), "10.1.0.%d",
		 round % at_least_one(c->callers));
	snprintf(query, sizeof(query), "deadly%d", number);
	return send_call(sim, node, c->kind, &spec);
}

/* Sends a request that has not been sent before. */
static int send_harmless(struct sim *sim, int node, enum sim_request_kind kind)
{
	char query[24];
	struct sim_request_spec spec = { query, "10.2.0.1", 0 };

	snprintf(query, sizeof(query), "other%d", sim->ncalls);
	return send_call(sim, node, kind, &spec);
}

/* Sends the poison request, and retries it once where it failed. */
static void run_round(struct sim *sim, const struct poison_case *c, int round)
{
	int first = sim->ncalls;

	for (int i = 0; i < at_least_one(c->concurrent); i++)
		send_poison_request(sim, c, round, round + i);
	sim_run(sim, 2 * RETRY_US);
	for (int i = 0; i < at_least_one(c->concurrent); i++)
		if (sim->calls[first + i].status != 200)
			send_poison_request(sim, c, round, round + i + 1);
	sim_run(sim, RETRY_US);
}

static void restart_all_nodes(struct sim *sim)
{
	for (int i = 0; i < sim->nnodes; i++)
		sim_kill_node(sim, i);
	sim_run(sim, SECOND_US);
	for (int i = 0; i < sim->nnodes; i++)
		sim_start_node(sim, i);
	sim_run_until_ready(sim);
}

/* Cuts one failure domain off from other nodes, not from targets or store. */
static void cut_domain(struct sim *sim, bool cut)
{
	for (int i = 0; i < sim->nnodes; i++)
		for (int j = 0; j < sim->nnodes; j++)
			if (sim->nodes[i].domain != sim->nodes[j].domain &&
			    (!sim->nodes[i].domain || !sim->nodes[j].domain))
				sim->links_cut[i][j] = cut;
}

static void restart_node(struct sim *sim, int node)
{
	sim_kill_node(sim, node);
	sim_run(sim, SECOND_US / 2);
	sim_start_node(sim, node);
}

/* Sends harmless requests for @us. Return: the number of failures. */
static int send_harmless_calls(struct sim *sim, int64_t us)
{
	int first = sim->ncalls;
	int failed = 0;

	for (int64_t t = 0; t < us; t += SECOND_US / 10) {
		send_harmless(sim, sim->ncalls, SIM_MERGED);
		send_harmless(sim, sim->ncalls, SIM_SINGLE);
		sim_run(sim, SECOND_US / 10);
	}
	for (int i = first; i < sim->ncalls - 2; i++)
		failed += sim->calls[i].status != 200;
	return failed;
}

/* True if no node loses evidence or is cut off from it. */
static bool is_undisturbed(const struct poison_case *c)
{
	return !c->kill && !c->power_loss_round && !c->cut_round;
}

/*
 * A request crashes all targets that run it, and is sent again every few
 * seconds to another node under another id, which takes the service down for
 * all callers. It must be blocked, and harmless requests must be served.
 */
START_TEST(test_poison_request_is_blocked)
{
	const struct poison_case *c = &poison_cases[_i];
	struct sim *sim = setup(c->nodes ? c->nodes : NODES, 11);
	int failed = 0;
	int first = 0;

	sim->poison_run_us = c->run_us;
	for (int i = 0; i < sim->ntargets; i++)
		sim->targets[i].keeps_id = c->keeps_id;
	for (int round = 0; round < ROUNDS; round++) {
		if (c->power_loss_round && round == c->power_loss_round)
			restart_all_nodes(sim);
		if (c->cut_round)
			cut_domain(sim, round == c->cut_round);
		run_round(sim, c, round);
		if (c->kill)
			restart_node(sim, (round + 1) % NODES);
		if (!round)
			first = sim->poison[1].crashes;
		failed = send_harmless_calls(sim, ROUND_US);
		if (round >= at_least_one(c->requests) * SERVED_FROM_ROUND &&
		    round != c->power_loss_round && !c->kill)
			ck_assert_msg(
				!failed,
				"%s: round %d: %d harmless requests failed",
				c->name, round, failed);
	}
	if (getenv("TELL"))
		printf("%-28s late %d, crashed %d, %d after the first round\n",
		       c->name, sim->poison[1].late, sim->poison[1].crashes,
		       sim->poison[1].crashes - first);
	if (is_undisturbed(c))
		ck_assert_msg(sim->poison[1].crashes - first <=
				      CRASHES_AFTER_FIRST_ROUND_MAX,
			      "%s: %d targets crashed after the first round",
			      c->name, sim->poison[1].crashes - first);
	for (int i = 1; i <= at_least_one(c->requests); i++)
		ck_assert_msg(sim->poison[i].crashes >= 3 &&
				      sim->poison[i].late <= LATE_RUNS_MAX,
			      "%s: %d late calls, %d targets crashed", c->name,
			      sim->poison[i].late, sim->poison[i].crashes);
	sim_destroy(sim);
}
END_TEST

/** struct frequent_case - a poison request that comes all the time */
struct frequent_case {
	const char *name;
	uint64_t seed;
	int64_t interval_us;
	int power_losses;
	int64_t run_us;
};

static const struct frequent_case frequent_cases[] = {
	{ "each half second", 1, 500000, 0, 0 },
	{ "all nodes restart twice", 2, 500000, 2, 0 },
	{ "all nodes restart three times", 3, 700000, 3, 0 },
	{ "slow to crash, restart twice", 4, 500000, 2, 40000 },
	{ "slow, often, restart twice", 5, 150000, 2, 90000 },
	{ "slow, restart three times", 6, 400000, 3, 60000 },
};

/* Callers send it to all nodes in turn until @end. */
static void send_until(struct sim *sim, const struct frequent_case *c,
		       int64_t end)
{
	const struct poison_case poison = { .kind = SIM_MERGED };

	while (sim->now < end) {
		send_poison_request(sim, &poison, 0, sim->ncalls);
		sim_run(sim, c->interval_us);
	}
}

/* A trial whose targets are all still down ends without a verdict. */
START_TEST(test_trials_end_with_a_verdict)
{
	const struct frequent_case *c = &frequent_cases[_i];
	struct sim *sim = setup(NODES, c->seed);

	sim->poison_run_us = c->run_us;
	sim->restart_us = SLOW_RESTART_US;
	send_until(sim, c, sim->now + FREQUENT_US);
	for (int i = 0; i < c->power_losses; i++) {
		restart_all_nodes(sim);
		for (int j = 0; j < sim->nnodes; j++)
			sim->nodes[j].fault_at = sim->now;
		send_until(sim, c, sim->now + FREQUENT_US);
	}
	if (getenv("TELL"))
		printf("%-30s late %d, crashed %d\n", c->name,
		       sim->poison[1].late, sim->poison[1].crashes);
	ck_assert_msg(sim->poison[1].late <= LATE_RUNS_MAX,
		      "%s: %d late calls, %d targets crashed", c->name,
		      sim->poison[1].late, sim->poison[1].crashes);
	/* No caller waits for its deadline. */
	for (int i = 0; i < sim->ncalls; i++)
		ck_assert_int_ne(sim->calls[i].status, 504);
	sim_destroy(sim);
}
END_TEST

/**
 * struct other_case - a harmless request beside a poison request
 * @spec: the request and its caller
 * @call_interval_us: interval at which it is also sent continuously; 0: never
 * @since_round: first round in which it is sent
 *
 * In each round it is in flight when the poison request crashes its targets,
 * and is sent again after their restart.
 */
struct other_case {
	const char *name;
	enum sim_request_kind kind;
	struct sim_request_spec spec;
	int64_t call_interval_us;
	int since_round;
};

static const struct other_case other_cases[] = {
	{ "sent rarely", SIM_MERGED, { "other", "10.2.0.1", 0 }, 0, 0 },
	{ "sent often", SIM_MERGED, { "other", "10.2.0.1", 0 }, 50000, 0 },
	{ "sent rarely, one target",
	  SIM_SINGLE,
	  { "other", "10.2.0.1", 0 },
	  0,
	  0 },
	{ "the same content from another caller",
	  SIM_MERGED,
	  { "deadly1", "10.2.0.1", 0 },
	  0,
	  0 },
	{ "the same content from another caller, later",
	  SIM_MERGED,
	  { "deadly1", "10.2.0.1", 0 },
	  0,
	  5 },
	{ "another request of the same caller",
	  SIM_MERGED,
	  { "other", "10.1.0.0", 0 },
	  0,
	  0 },
};

static void check_complete(struct sim *sim, const struct other_case *other,
			   int round)
{
	int index = send_call(sim, round, other->kind, &other->spec);
	const struct sim_call *call = &sim->calls[index];

	sim_run(sim, SECOND_US / 2);
	ck_assert_msg(call->status == 200 && !call->missing,
		      "%s: round %d: status %d", other->name, round,
		      call->status);
}

/*
 * A harmless request loses its connections whenever the poison request
 * arrives, as it is in flight at the same targets. It must not be mistaken for
 * the poison request: after the restart of the targets it gets a complete
 * answer.
 */
START_TEST(test_other_request_is_served)
{
	const struct other_case *other = &other_cases[_i];
	const struct poison_case c = { .name = "beside", .kind = other->kind };
	struct sim *sim = setup(NODES, 11);

	for (int round = 0; round < ROUNDS; round++) {
		send_poison_request(sim, &c, round, round);
		sim_run(sim, BEFORE_CRASH_US);
		for (int i = 0; i < NODES && round >= other->since_round; i++)
			send_call(sim, i, other->kind, &other->spec);
		for (int64_t t = 0; other->call_interval_us && t < ROUND_US / 2;
		     t += other->call_interval_us) {
			send_call(sim, sim->ncalls, other->kind, &other->spec);
			sim_run(sim, other->call_interval_us);
		}
		sim_run(sim, ROUND_US / 2);
		if (round >= other->since_round)
			check_complete(sim, other, round);
		sim_run(sim, ROUND_US / 2);
	}
	ck_assert_int_le(sim->poison[1].late, LATE_RUNS_MAX);
	sim_destroy(sim);
}
END_TEST

/**
 * struct crash_case - crashes of targets that no request has caused
 * @domains: all targets of a failure domain crash at once, domains in turn;
 *           otherwise single targets in turn
 * @crash_interval_us: interval of these crashes
 * @kind: kind of a harmless request that is sent meanwhile
 * @call_interval_us: interval of that request
 */
struct crash_case {
	const char *name;
	bool domains;
	int64_t crash_interval_us;
	enum sim_request_kind kind;
	int64_t call_interval_us;
};

static const struct crash_case crash_cases[] = {
	{ "three domains in a row", true, 500000, SIM_MERGED, 20000 },
	{ "three domains in a row, rarely", true, 500000, SIM_MERGED, 400000 },
	{ "domains all the time", true, 2000000, SIM_STRICT, 100000 },
	{ "domains, one target", true, 2000000, SIM_SINGLE, 20000 },
	{ "targets restart in turn", false, 100000, SIM_MERGED, 20000 },
	{ "in turn, one target", false, 100000, SIM_SINGLE, 20000 },
};

static void crash_next_targets(struct sim *sim, const struct crash_case *c,
			       int n)
{
	if (!c->domains) {
		sim_crash_target(sim, n % sim->ntargets);
		return;
	}
	for (int i = 0; i < sim->ntargets; i++)
		if (sim->targets[i].domain == n % SIM_DOMAINS)
			sim_crash_target(sim, i);
}

/*
 * Targets crash repeatedly while they run a harmless request: whole failure
 * domains, or single targets in turn. The request must never be blocked for it.
 */
START_TEST(test_crashes_of_other_causes)
{
	const struct crash_case *c = &crash_cases[_i];
	struct sim_request_spec spec = { "popular", "10.2.0.1", 0 };
	struct sim *sim = setup(NODES, 11);
	int64_t next = sim->now;
	int n = 0;
	int index;

	for (int64_t t = 0; t < 12 * (int64_t)SECOND_US;
	     t += c->call_interval_us) {
		send_call(sim, sim->ncalls, c->kind, &spec);
		sim_run(sim, c->call_interval_us / 2);
		if (sim->now >= next) {
			crash_next_targets(sim, c, n++);
			next = sim->now + c->crash_interval_us;
		}
		sim_run(sim, c->call_interval_us / 2);
	}
	/* Targets have restarted and are published again. */
	sim_run(sim, ROUND_US);
	for (int i = 0; i < NODES; i++) {
		index = send_call(sim, i, c->kind, &spec);
		sim_run(sim, SECOND_US / 2);
		ck_assert_msg(sim->calls[index].status == 200, "%s: status %d",
			      c->name, sim->calls[index].status);
	}
	sim_destroy(sim);
}
END_TEST

/*
 * All replies are lost for seconds, but no target crashes. Requests blocked for
 * that must be served again once it is known that the targets did not crash.
 */
START_TEST(test_broken_connections_are_no_crashes)
{
	static const enum sim_request_kind kinds[] = { SIM_MERGED, SIM_SINGLE,
						       SIM_ONCE };
	struct sim_request_spec spec = { "seldom", "10.2.0.1", 0 };
	struct sim *sim = setup(NODES, 11);
	int index;

	for (int i = 0; i < sim->ntargets; i++)
		sim->targets[i].reply_loss = 1;
	for (int i = 0; i < NODES; i++) {
		send_call(sim, i, kinds[_i], &spec);
		sim_run(sim, SECOND_US);
	}
	for (int i = 0; i < sim->ntargets; i++)
		sim->targets[i].reply_loss = 0;
	sim_run(sim, 16 * SECOND_US);
	index = send_call(sim, 0, kinds[_i], &spec);
	sim_run(sim, SECOND_US);
	ck_assert_int_eq(sim->calls[index].status, 200);
	sim_destroy(sim);
}
END_TEST

static bool has_suspect(struct sim *sim, int node)
{
	static const char suspect[] = "\nwasabimoor_suspect_requests 1\n";
	static const char blocked[] = "\nwasabimoor_blocked_requests 1\n";
	struct buf text = { 0 };
	bool found;

	tier_metrics(sim->nodes[node].tier, &text);
	found = memmem(text.ptr, text.len, suspect, sizeof(suspect) - 1) ||
		memmem(text.ptr, text.len, blocked, sizeof(blocked) - 1);
	buf_free(&text);
	return found;
}

/** struct propagation_case - @run_us: as in struct poison_case */
struct propagation_case {
	int nodes;
	int64_t run_us;
};

static const struct propagation_case propagation_cases[] = {
	{ NODES, 0 },
	{ 40, 0 },
	{ NODES, 40000 },
	{ 40, 40000 },
};

/*
 * The caller of a poison request retries at another node as soon as it has
 * failed: the evidence must have reached all nodes by then, also in a fleet too
 * large for one node to send it to all others.
 */
START_TEST(test_evidence_reaches_all_nodes)
{
	const struct propagation_case *c = &propagation_cases[_i];
	static const struct poison_case once = { .kind = SIM_MERGED };
	struct sim *sim = setup(c->nodes, 11);
	int call;

	sim->poison_run_us = c->run_us;
	call = send_poison_request(sim, &once, 0, 0);
	while (!sim->calls[call].answered_at)
		sim_run(sim, STEP_US);
	sim_run(sim, PROPAGATION_US);
	for (int i = 0; i < sim->nnodes; i++)
		ck_assert_msg(has_suspect(sim, i), "node %d of %d", i,
			      sim->nnodes);
	sim_destroy(sim);
}
END_TEST

static void add_tests(TCase *tcase)
{
	tcase_add_loop_test(tcase, test_poison_request_is_blocked, 0,
			    COUNT(poison_cases));
	tcase_add_loop_test(tcase, test_trials_end_with_a_verdict, 0,
			    COUNT(frequent_cases));
	tcase_add_loop_test(tcase, test_evidence_reaches_all_nodes, 0,
			    COUNT(propagation_cases));
	tcase_add_loop_test(tcase, test_other_request_is_served, 0,
			    COUNT(other_cases));
	tcase_add_loop_test(tcase, test_crashes_of_other_causes, 0,
			    COUNT(crash_cases));
	tcase_add_loop_test(tcase, test_broken_connections_are_no_crashes, 0,
			    3);
}

int main(void)
{
	return suite_run("deadly", add_tests);
}
