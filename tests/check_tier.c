/*
 * Tests of whole nodes in the simulation: replies to callers and requests to
 * targets under faults of nodes, targets, links and the store.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <check.h>

#include "sim.h"
#include "suite.h"

enum {
	GOAL_US = 100000,
	SECOND_US = 1000000,
	NODES = 6,
	SMALL_FLEET = 9,
	LARGE_FLEET = SIM_NODES_MAX,
	ALL_SHARDS = SIM_SHARDS,
};

static struct sim *setup(int nodes)
{
	struct sim *sim = sim_create(nodes, 7);

	sim_add_targets(sim, "s", 2);
	for (int i = 0; i < 2 * SIM_DOMAINS; i++)
		sim_add_target(sim, "single", i % SIM_DOMAINS);
	sim_configure(sim, 1);
	for (int i = 0; i < nodes; i++)
		sim_start_node(sim, i);
	sim_run_until_ready(sim);
	return sim;
}

/* Stops all nodes abruptly for a second; the test restarts them. */
static void lose_power(struct sim *sim, int nodes)
{
	for (int i = 0; i < nodes; i++)
		sim_kill_node(sim, i);
	sim_run(sim, SECOND_US);
}

static int64_t elapsed_us(const struct sim_call *call)
{
	return call->answered_at - call->sent_at;
}

static int max_targets_per_shard(const struct sim_call *call)
{
	int max = 0;

	for (int i = 0; i < 2 * SIM_SHARDS; i++)
		if (call->targets_of_shard[i] > max)
			max = call->targets_of_shard[i];
	return max;
}

static void check_merged(const struct sim_call *call, size_t parts)
{
	ck_assert_int_eq(call->status, 200);
	ck_assert_uint_eq(call->parts, parts);
	ck_assert_uint_eq(call->missing, ALL_SHARDS - parts);
	ck_assert(!call->duplicate_part);
	ck_assert(!call->foreign_part);
	ck_assert(!call->unsorted);
	ck_assert_int_le(max_targets_per_shard(call), 2);
}

/* Without faults each node answers each kind completely and in time. */
START_TEST(test_no_faults)
{
	struct sim *sim = setup(NODES);
	int merged = sim_send_call(sim, _i, SIM_MERGED);
	int single = sim_send_call(sim, _i, SIM_SINGLE);
	int once = sim_send_call(sim, _i, SIM_ONCE);

	sim_run(sim, SECOND_US);
	check_merged(&sim->calls[merged], ALL_SHARDS);
	ck_assert_int_le(elapsed_us(&sim->calls[merged]), GOAL_US / 2);
	ck_assert_int_eq(sim->calls[single].status, 200);
	ck_assert_int_eq(sim->calls[once].status, 200);
	ck_assert_int_eq(sim->calls[once].runs, 1);
	sim_destroy(sim);
}
END_TEST

/*
 * One target of every third shard is paused for longer than the latency goal.
 * Late requests are hedged at the other target of the shard, and the paused one
 * gets no new requests meanwhile, so answers are complete and in time.
 */
START_TEST(test_paused_targets)
{
	struct sim *sim = setup(NODES);
	int first;
	int second;

	for (int i = 0; i < 2 * ALL_SHARDS; i += 6)
		sim->targets[i].paused_until = sim->now + 3 * GOAL_US;
	first = sim_send_call(sim, 0, SIM_MERGED);
	sim_run(sim, GOAL_US);
	second = sim_send_call(sim, 0, SIM_MERGED);
	sim_run(sim, SECOND_US);
	check_merged(&sim->calls[first], ALL_SHARDS);
	check_merged(&sim->calls[second], ALL_SHARDS);
	ck_assert_int_le(elapsed_us(&sim->calls[first]), GOAL_US);
	ck_assert_int_le(elapsed_us(&sim->calls[second]), GOAL_US / 2);
	sim_destroy(sim);
}
END_TEST

/** struct outage - shards without a working target, and the expected answer */
struct outage {
	int shards;
	bool hangs; /* requests get no reply, connections are accepted */
	int status;
	bool in_time;
};

static const struct outage outages[] = {
	{ 1, true, 200, true },	  { 3, true, 200, true },
	{ 1, false, 200, true },  { 3, false, 200, true },
	{ 6, true, 504, false },  { 6, false, 503, true },
	{ 12, false, 503, true },
};

/*
 * Both targets of some shards are down. With sufficient coverage the caller
 * gets a partial answer that lists the missing shards, by its goal. Otherwise,
 * if connections are refused, it is rejected at once with a retry time.
 */
START_TEST(test_missing_shards)
{
	const struct outage *outage = &outages[_i];
	struct sim *sim = setup(NODES);
	struct sim_call *call;
	int previous;
	int index;

	for (int i = 0; i < 2 * outage->shards; i++) {
		sim->targets[i].hangs = outage->hangs;
		sim->targets[i].up = outage->hangs;
	}
	/* Refused connections mark the targets as down for the next call. */
	previous = sim_send_call(sim, 2, SIM_MERGED);
	sim_run(sim, GOAL_US / 4);
	index = sim_send_call(sim, 2, SIM_MERGED);
	sim_run(sim, 3 * SECOND_US);
	call = &sim->calls[index];
	ck_assert_int_ne(sim->calls[previous].status, 0);
	ck_assert_int_eq(call->status, outage->status);
	if (outage->status == 200)
		check_merged(call, (size_t)(ALL_SHARDS - outage->shards));
	if (outage->in_time)
		ck_assert_int_le(elapsed_us(call), GOAL_US);
	if (outage->status == 503) {
		ck_assert_int_gt(call->retry_after_us, 0);
		ck_assert_int_eq(call->runs, 0);
	}
	sim_destroy(sim);
}
END_TEST

/** struct once_case - faults of the targets, expected status and runs */
struct once_case {
	const char *name;
	double reject_rate;
	double reply_loss;
	bool down;
	int status;
	int runs;
};

static const struct once_case once_cases[] = {
	{ "reply lost after the run", 0, 1, false, 502, 1 },
	{ "rejected by all", 1, 0, false, 503, 0 },
	{ "no connection to any", 0, 0, true, 503, 0 },
};

/*
 * A request that is not idempotent, whose reply is lost or which no target
 * accepts: it never runs twice, and "not run" is reported only if it did not.
 */
START_TEST(test_once)
{
	const struct once_case *c = &once_cases[_i];
	struct sim *sim = setup(NODES);
	int index;

	for (int i = 2 * ALL_SHARDS; i < sim->ntargets; i++) {
		sim->targets[i].reject_rate = c->reject_rate;
		sim->targets[i].reply_loss = c->reply_loss;
		sim->targets[i].up = !c->down;
	}
	index = sim_send_call(sim, 1, SIM_ONCE);
	sim_run(sim, 3 * SECOND_US);
	ck_assert_int_eq(sim->calls[index].status, c->status);
	ck_assert_int_eq(sim->calls[index].runs, c->runs);
	if (c->status == 503)
		ck_assert_int_gt(sim->calls[index].retry_after_us, 0);
	sim_destroy(sim);
}
END_TEST

/*
 * Targets reject a request that is not idempotent as not executed: it is sent
 * to another target, and most callers are served.
 */
START_TEST(test_once_rerouted)
{
	struct sim *sim = setup(NODES);
	int served = 0;

	for (int i = 2 * ALL_SHARDS; i < sim->ntargets - 1; i++)
		sim->targets[i].reject_rate = 0.4;
	for (int i = 0; i < 20; i++) {
		int index = sim_send_call(sim, 1, SIM_ONCE);

		sim_run(sim, SECOND_US);
		served += sim->calls[index].status == 200;
		ck_assert_int_le(sim->calls[index].runs, 1);
	}
	ck_assert_int_ge(served, 15);
	sim_destroy(sim);
}
END_TEST

/** struct node_fault - a fault of a merging node */
struct node_fault {
	const char *name;
	bool kill;
	bool pause;
	bool cut;
};

static const struct node_fault node_faults[] = {
	{ "killed", true, false, false },
	{ "frozen", false, true, false },
	{ "cut off", false, false, true },
};

/* Adds a third target to each shard, so that a limit of two can be exceeded. */
static struct sim *setup_three_per_shard(void)
{
	struct sim *sim = setup(NODES);

	for (int i = 0; i < SIM_SHARDS; i++) {
		char service[16];

		snprintf(service, sizeof(service), "s%d", i);
		sim_add_target(sim, service, i % SIM_DOMAINS);
	}
	sim_run(sim, 2 * SECOND_US);
	return sim;
}

static void inject_fault(struct sim *sim, const struct node_fault *fault,
			 int node)
{
	if (fault->kill)
		sim_kill_node(sim, node);
	if (fault->pause)
		sim->nodes[node].paused_until = sim->now + 2 * SECOND_US;
	for (int i = 0; fault->cut && i < sim->nnodes; i++)
		sim->links_cut[i][node] = sim->links_cut[node][i] = true;
}

/*
 * All other nodes are killed, paused or cut off just after they received
 * shards. The caller's node falls back to the targets, answers by the goal or
 * soon after, and sends no shard to more targets than the route allows.
 */
START_TEST(test_merging_node_lost)
{
	struct sim *sim = setup_three_per_shard();
	int index = sim_send_call(sim, 0, SIM_MERGED);
	int next;

	/* Slow enough for the first requests of the other nodes to be late. */
	for (int i = 0; i < sim->ntargets; i++)
		sim->targets[i].service_us = 30000;
	sim_run(sim, 1200);
	for (int i = 1; i < NODES; i++)
		inject_fault(sim, &node_faults[_i], i);
	sim_run(sim, SECOND_US / 2);
	for (int i = 0; i < sim->ntargets; i++)
		sim->targets[i].service_us = 8000;
	next = sim_send_call(sim, 0, SIM_MERGED);
	sim_run(sim, SECOND_US);
	ck_assert_int_eq(sim->calls[index].status, 200);
	ck_assert_int_le(elapsed_us(&sim->calls[index]), 3 * GOAL_US / 2);
	ck_assert_int_le(max_targets_per_shard(&sim->calls[index]), 2);
	check_merged(&sim->calls[next], ALL_SHARDS);
	ck_assert_int_le(elapsed_us(&sim->calls[next]), GOAL_US);
	sim_destroy(sim);
}
END_TEST

/*
 * A small VM forwards a question to a merging node, which returns most shards
 * and is killed while four are late. These are reassigned to another merging
 * node, which forwards those far from it. The answer must contain each shard
 * once: nodes identify shards by their index in the route, not by their
 * position in the batch that they received.
 */
START_TEST(test_late_shards_reassigned)
{
	struct sim *sim = sim_create(NODES, 7);
	struct sim_call *call;
	int index;

	sim_add_targets(sim, "s", 2);
	sim_configure(sim, 1);
	sim->nodes[5].settings.core = 0.05;
	for (int i = 0; i < NODES; i++)
		sim_start_node(sim, i);
	sim_run_until_ready(sim);
	for (int i = ALL_SHARDS; i < 2 * ALL_SHARDS; i++)
		sim->targets[i].paused_until = sim->now + 60000;
	index = sim_send_call(sim, 5, SIM_STRICT);
	sim_run(sim, 45000);
	sim_kill_node(sim, 2);
	sim_run(sim, SECOND_US);
	call = &sim->calls[index];
	ck_assert_int_eq(call->status, 200);
	ck_assert(!call->duplicate_part);
	ck_assert(!call->foreign_part);
	ck_assert(!call->unsorted);
	ck_assert_int_ge(call->parts, ALL_SHARDS - 1);
	sim_destroy(sim);
}
END_TEST

/*
 * A node is paused as it receives shards, for longer than the caller waits.
 * When it runs again the question has ended, and it must not send its shards to
 * targets any more.
 */
START_TEST(test_stale_batch)
{
	struct sim *sim = setup(NODES);
	int index;
	int sent;

	for (int i = 1; i < NODES; i++)
		sim->nodes[i].paused_until = sim->now + 3 * SECOND_US;
	index = sim_send_call(sim, 0, SIM_MERGED);
	sim_run(sim, 2 * SECOND_US);
	sent = sim->first_sends + sim->extra_sends;
	ck_assert_int_eq(sim->calls[index].status, 200);
	sim_run(sim, 3 * SECOND_US);
	ck_assert_int_eq(sim->first_sends + sim->extra_sends, sent);
	sim_destroy(sim);
}
END_TEST

/*
 * The index is resharded while questions are in flight: each answer must hold
 * parts of one version only, whichever version each node has.
 */
START_TEST(test_reshard)
{
	struct sim *sim = setup(NODES);
	int calls[60];

	sim_add_targets(sim, "r", 2);
	sim_run(sim, SECOND_US);
	for (int i = 0; i < 60; i++) {
		if (i == 30)
			sim_configure(sim, 10);
		calls[i] = sim_send_call(sim, i % NODES, SIM_MERGED);
		sim_run(sim, 10000);
	}
	sim_run(sim, SECOND_US);
	for (int i = 0; i < 60; i++)
		check_merged(&sim->calls[calls[i]], ALL_SHARDS);
	sim_destroy(sim);
}
END_TEST

static void send_load(struct sim *sim, int64_t us)
{
	for (int64_t passed = 0; passed < us; passed += 20000) {
		sim_send_call(sim, (int)(passed / 20000) % sim->nnodes,
			      SIM_MERGED);
		sim_run(sim, 20000);
	}
}

/*
 * A failure domain is taken out of service: after five seconds no node sends
 * requests to its targets, and the other targets serve all callers.
 */
START_TEST(test_domain_out)
{
	struct sim *sim = setup(NODES);
	int index;

	send_load(sim, SECOND_US);
	sim_set_domain_out(sim, 1, true);
	send_load(sim, 7 * SECOND_US);
	ck_assert_int_eq(sim->late_arrivals_out_domain, 0);
	index = sim_send_call(sim, 1, SIM_MERGED);
	sim_run(sim, SECOND_US);
	check_merged(&sim->calls[index], ALL_SHARDS);
	sim_destroy(sim);
}
END_TEST

/*
 * A target is marked as leaving, or its entry is deleted: after three seconds
 * it gets no requests, even though half of the nodes cannot reach the store.
 */
START_TEST(test_leaving)
{
	struct sim *sim = setup(NODES);

	for (int i = 0; i < NODES; i += 2)
		sim->nodes[i].store_cut = true;
	send_load(sim, SECOND_US);
	sim->targets[0].leaving = true;
	sim->targets[0].leaving_since = sim->now;
	sim_publish_target(sim, 0);
	sim->targets[3].leaving_since = sim->now;
	sim_unpublish_target(sim, 3);
	send_load(sim, 5 * SECOND_US);
	ck_assert_int_eq(sim->late_arrivals_leaving, 0);
	sim_destroy(sim);
}
END_TEST

/*
 * A node is cut off from the store while a new version is published. It
 * receives the version from its peers and applies it within three seconds.
 */
START_TEST(test_configuration_from_peers)
{
	struct sim *sim = setup(NODES);
	int index;

	sim_add_targets(sim, "r", 2);
	sim_run(sim, SECOND_US);
	sim->nodes[4].store_cut = true;
	sim_run(sim, SECOND_US / 2);
	sim_configure(sim, 11);
	sim_run(sim, 3 * SECOND_US);
	for (int i = 0; i < 2 * ALL_SHARDS; i++)
		sim->targets[i].up = false;
	index = sim_send_call(sim, 4, SIM_MERGED);
	sim_run(sim, SECOND_US);
	check_merged(&sim->calls[index], ALL_SHARDS);
	sim_destroy(sim);
}
END_TEST

/*
 * A node starts without access to the store or to another node. It has no
 * routes, and must answer 503 with a retry time rather than 404.
 */
START_TEST(test_start_isolated)
{
	struct sim *sim = sim_create(1, 3);
	int index;

	sim->nodes[0].store_cut = true;
	sim_configure(sim, 1);
	sim_start_node(sim, 0);
	sim_run(sim, 2 * SECOND_US);
	index = sim_send_call(sim, 0, SIM_ONCE);
	ck_assert(!sim->nodes[0].ready);
	ck_assert_int_eq(sim->calls[index].status, 503);
	ck_assert_int_gt(sim->calls[index].retry_after_us, 0);
	sim->nodes[0].store_cut = false;
	sim_run(sim, SECOND_US);
	ck_assert(sim->nodes[0].ready);
	sim_destroy(sim);
}
END_TEST

/*
 * All nodes lose power just after a new version was published, which only the
 * store has kept. Within two seconds of the restart they apply that version.
 */
START_TEST(test_all_restart)
{
	struct sim *sim = setup(NODES);
	int index;

	sim_add_targets(sim, "r", 2);
	sim_run(sim, SECOND_US);
	sim_configure(sim, 12);
	lose_power(sim, NODES);
	for (int i = 0; i < NODES; i++)
		sim_start_node(sim, i);
	sim_run(sim, 2 * SECOND_US);
	index = sim_send_call(sim, 5, SIM_MERGED);
	sim_run(sim, SECOND_US);
	check_merged(&sim->calls[index], ALL_SHARDS);
	ck_assert_int_eq(sim->calls[index].targets_of_shard[0], 0);
	sim_destroy(sim);
}
END_TEST

/*
 * All nodes lose power and restart one after the other, seeds last. Callers are
 * refused until a node has a configuration, so each must be ready within a
 * tenth of a second of its start: a node must not wait for a seed that starts
 * later.
 */
START_TEST(test_ready_soon_after_power_loss)
{
	struct sim *sim = setup(NODES);
	bool ready;

	lose_power(sim, NODES);
	for (int i = NODES - 1; i >= 0; i--) {
		sim_start_node(sim, i);
		sim_run(sim, GOAL_US);
		ready = sim->nodes[i].ready;
		ck_assert_msg(ready, "node %d is not ready", i);
	}
	sim_destroy(sim);
}
END_TEST

/** struct start_case - a node that is starting, and its range of retry times */
struct start_case {
	bool store_down;
	int64_t after_us;
	int64_t min_us;
	int64_t max_us;
};

static const struct start_case start_cases[] = {
	{ false, 0, 200000, 300000 },
	{ true, 0, 200000, 300000 },
	{ true, 2 * SECOND_US, 700000, SECOND_US },
};

/*
 * A request to a node without a configuration is refused at once with a retry
 * time: a short one during a normal start, a longer one once the store is known
 * to be unreachable, so that the retry is not refused again.
 */
START_TEST(test_refused_at_start)
{
	const struct start_case *start_case = &start_cases[_i];
	struct sim *sim = sim_create(1, 7);
	struct sim_call *call;

	sim->store_down = start_case->store_down;
	sim_start_node(sim, 0);
	sim_run(sim, start_case->after_us);
	call = &sim->calls[sim_send_call(sim, 0, SIM_MERGED)];
	ck_assert_int_eq(call->status, 503);
	ck_assert_int_ge(call->retry_after_us, start_case->min_us);
	ck_assert_int_le(call->retry_after_us, start_case->max_us);
	sim_destroy(sim);
}
END_TEST

/* Return: the value of the gauge @name of a node, -1 if it has none. */
static int read_gauge(const struct sim *sim, int node, const char *name)
{
	struct buf text = { 0 };
	char key[64];
	const char *line;
	int value = -1;

	snprintf(key, sizeof(key), "\nwasabimoor_%s ", name);
	tier_metrics(sim->nodes[node].tier, &text);
	buf_add(&text, "", 1);
	line = strstr(text.ptr, key);
	if (line)
		value = atoi(line + strlen(key));
	buf_free(&text);
	return value;
}

/*
 * The targets of two shards are down while their entries are still published,
 * and the route tolerates one missing shard. The question cannot be answered:
 * it must fail early, with a retry time, instead of waiting for its deadline.
 */
START_TEST(test_unanswerable_question_fails_early)
{
	struct sim *sim = setup(NODES);
	const struct sim_call *call;

	for (int i = 0; i < 4; i++)
		sim->targets[i].up = false;
	call = &sim->calls[sim_send_call(sim, 0, SIM_STRICT)];
	sim_run(sim, 2 * SECOND_US);
	ck_assert_int_ne(call->status, 200);
	ck_assert_int_le(elapsed_us(call), GOAL_US);
	ck_assert_int_gt(call->retry_after_us, 0);
	sim_destroy(sim);
}
END_TEST

/*
 * Both targets of a shard are unpublished. Each question queues for a target of
 * that shard until it ends, and no reply ever wakes the queue. Its entries must
 * be removed with their questions, or they would exhaust the node's memory.
 */
START_TEST(test_wait_queue_is_bounded)
{
	struct sim *sim = setup(NODES);

	sim_unpublish_target(sim, 0);
	sim_unpublish_target(sim, 1);
	for (int i = 0; i < 1200; i++) {
		sim_send_call(sim, i % NODES, SIM_MERGED);
		sim_run(sim, SECOND_US / 40);
	}
	for (int i = 0; i < NODES; i++) {
		int waiting = read_gauge(sim, i, "waiting");

		ck_assert_int_ge(waiting, 0);
		ck_assert_int_le(waiting, 2 * ALL_SHARDS);
	}
	sim_destroy(sim);
}
END_TEST

/*
 * All nodes restart, seeds last. Until a node has discovered its peers it takes
 * too large a share of the limits for the whole fleet: hedges and retries, and
 * requests to cold targets. So membership must be complete well within a second
 * of the last start.
 */
START_TEST(test_membership_converges_quickly)
{
	struct sim *sim = setup(SMALL_FLEET);

	lose_power(sim, SMALL_FLEET);
	for (int i = SMALL_FLEET - 1; i >= 0; i--) {
		sim_start_node(sim, i);
		sim_run(sim, SECOND_US / 20);
	}
	sim_run(sim, SECOND_US * 8 / 10);
	for (int i = 0; i < SMALL_FLEET; i++)
		ck_assert_int_eq(read_gauge(sim, i, "nodes"), SMALL_FLEET);
	sim_destroy(sim);
}
END_TEST

/*
 * Planned stop: the node reports not ready at once, serves its remaining
 * callers, gets no more shards from peers, and exits only when it holds no
 * requests.
 */
START_TEST(test_planned_stop)
{
	struct sim *sim = setup(NODES);
	int index;

	sim_stop_node(sim, 3);
	ck_assert(!sim->nodes[3].ready);
	sim_run(sim, 100000);
	index = sim_send_call(sim, 3, SIM_MERGED);
	sim_run(sim, 2 * SECOND_US);
	check_merged(&sim->calls[index], ALL_SHARDS);
	ck_assert(!sim->nodes[3].exited);
	sim_run(sim, 2 * SECOND_US);
	ck_assert(sim->nodes[3].exited);
	sim_destroy(sim);
}
END_TEST

/*
 * Most targets reject two of three requests: the retries of all nodes together
 * must stay within the shared retry budget.
 */
START_TEST(test_shared_retry_budget)
{
	struct sim *sim = setup(NODES);

	for (int i = 0; i < 2 * ALL_SHARDS; i++)
		sim->targets[i].reject_rate = i % 5 ? 0.66 : 0;
	for (int i = 0; i < 500; i++) {
		sim_send_call(sim, i % NODES, SIM_MERGED);
		sim_run(sim, 20000);
	}
	ck_assert_int_gt(sim->first_sends, 0);
	ck_assert_int_le(sim->extra_sends,
			 sim->first_sends / 5 + 60 * ALL_SHARDS);
	sim_destroy(sim);
}
END_TEST

/*
 * Many nodes restart within a third of a second. If each read the whole table
 * at once, the store's link would be saturated for seconds, and all callers
 * refused meanwhile. Only the first nodes read it, the others get it from them.
 */
START_TEST(test_large_fleet_restart)
{
	struct sim *sim = setup(LARGE_FLEET);
	uint64_t before;

	lose_power(sim, LARGE_FLEET);
	before = sim->store_calls;
	for (int i = 0; i < LARGE_FLEET; i++) {
		sim_start_node(sim, i);
		sim_run(sim, SECOND_US / 3 / LARGE_FLEET);
	}
	ck_assert_uint_le(sim->store_calls - before, 4 * SIM_DOMAINS);
	sim_run(sim, SECOND_US);
	for (int i = 0; i < LARGE_FLEET; i++)
		ck_assert_msg(sim->nodes[i].ready, "node %d is not ready", i);
	sim_destroy(sim);
}
END_TEST

/*
 * All nodes restart one after the other while all targets reject half of their
 * requests. There are few questions, so most of the retry budget is its fixed
 * part. The first nodes see few peers, or peers that do not serve yet, and must
 * not take their shares of it.
 */
START_TEST(test_retry_budget_after_restart)
{
	struct sim *sim = setup(SMALL_FLEET);

	for (int i = 0; i < 2 * ALL_SHARDS; i++)
		sim->targets[i].reject_rate = 0.5;
	for (int i = 0; i < SMALL_FLEET; i++) {
		sim_kill_node(sim, i);
		sim->nodes[i].settings.core = i < 3 ? 0.25 : 0.05;
	}
	sim_run(sim, SECOND_US);
	for (int i = SMALL_FLEET - 1; i >= 0; i--) {
		sim_start_node(sim, i);
		sim_run(sim, GOAL_US);
	}
	sim->first_sends = sim->extra_sends = 0;
	for (int i = 0; i < 300; i++) {
		sim_send_call(sim, i % SMALL_FLEET, SIM_MERGED);
		sim_run(sim, 30000);
	}
	ck_assert_int_gt(sim->first_sends, 0);
	ck_assert_int_le(sim->extra_sends,
			 sim->first_sends / 5 + 60 * ALL_SHARDS);
	sim_destroy(sim);
}
END_TEST

/*
 * Nine nodes run for a minute without changes: one node per failure domain
 * watches the store, and the others get its data from that node.
 */
START_TEST(test_store_calls)
{
	struct sim *sim = setup(9);
	uint64_t before = sim->store_calls;

	sim_run(sim, 60 * SECOND_US);
	ck_assert_uint_le(sim->store_calls - before,
			  SIM_DOMAINS * 60 + SIM_DOMAINS * 10);
	sim_destroy(sim);
}
END_TEST

/*
 * The store is unreachable for ten seconds, and entries of live targets expire
 * meanwhile. Callers are served during the outage and after it.
 */
START_TEST(test_store_outage)
{
	struct sim *sim = setup(NODES);

	sim->store_down = true;
	for (int i = 0; i < 10; i++) {
		int index = sim_send_call(sim, i % NODES, SIM_MERGED);

		sim_run(sim, SECOND_US);
		check_merged(&sim->calls[index], ALL_SHARDS);
	}
	for (int i = 0; i < 2 * ALL_SHARDS; i += 2)
		sim_unpublish_target(sim, i);
	sim->store_down = false;
	sim_run(sim, SECOND_US);
	for (int i = 0; i < 2 * ALL_SHARDS; i += 2)
		sim_publish_target(sim, i);
	sim_run(sim, SECOND_US / 2);
	int index = sim_send_call(sim, 1, SIM_MERGED);

	sim_run(sim, SECOND_US);
	check_merged(&sim->calls[index], ALL_SHARDS);
	sim_destroy(sim);
}
END_TEST

#define COUNT(table) ((int)(sizeof(table) / sizeof(*(table))))

static void add_tests(TCase *tcase)
{
	tcase_add_loop_test(tcase, test_no_faults, 0, NODES);
	tcase_add_test(tcase, test_paused_targets);
	tcase_add_loop_test(tcase, test_missing_shards, 0, COUNT(outages));
	tcase_add_loop_test(tcase, test_once, 0, COUNT(once_cases));
	tcase_add_test(tcase, test_once_rerouted);
	tcase_add_loop_test(tcase, test_merging_node_lost, 0,
			    COUNT(node_faults));
	tcase_add_test(tcase, test_late_shards_reassigned);
	tcase_add_test(tcase, test_stale_batch);
	tcase_add_test(tcase, test_reshard);
	tcase_add_test(tcase, test_domain_out);
	tcase_add_test(tcase, test_leaving);
	tcase_add_test(tcase, test_configuration_from_peers);
	tcase_add_test(tcase, test_start_isolated);
	tcase_add_test(tcase, test_all_restart);
	tcase_add_test(tcase, test_ready_soon_after_power_loss);
	tcase_add_test(tcase, test_membership_converges_quickly);
	tcase_add_loop_test(tcase, test_refused_at_start, 0,
			    sizeof(start_cases) / sizeof(*start_cases));
	tcase_add_test(tcase, test_planned_stop);
	tcase_add_test(tcase, test_shared_retry_budget);
	tcase_add_test(tcase, test_large_fleet_restart);
	tcase_add_test(tcase, test_retry_budget_after_restart);
	tcase_add_test(tcase, test_store_calls);
	tcase_add_test(tcase, test_unanswerable_question_fails_early);
	tcase_add_test(tcase, test_wait_queue_is_bounded);
	tcase_add_test(tcase, test_store_outage);
}

int main(void)
{
	return suite_run("tier", add_tests);
}
