/*
 * Nodes of the tier in virtual time, against fakes of store, targets and
 * callers: what a caller gets, and what targets see, when things fail.
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
	NINE = 9,
	MANY = STAGE_NODES,
	FULL = STAGE_SHARDS,
};

static struct stage *begin(int nodes)
{
	struct stage *stage = stage_create(nodes, 7);

	stage_add_targets(stage, "s", 2);
	for (int i = 0; i < 2 * STAGE_DOMAINS; i++)
		stage_add_target(stage, "single", i % STAGE_DOMAINS);
	stage_configure(stage, 1);
	for (int i = 0; i < nodes; i++)
		stage_start_node(stage, i);
	stage_settle(stage);
	return stage;
}

/* All nodes are without power for a second; the test starts them anew. */
static void lose_power(struct stage *stage, int nodes)
{
	for (int i = 0; i < nodes; i++)
		stage_kill_node(stage, i);
	stage_run(stage, SECOND_US);
}

static int64_t took(const struct stage_call *call)
{
	return call->answered_at - call->start;
}

static int most_targets_of_a_shard(const struct stage_call *call)
{
	int most = 0;

	for (int i = 0; i < 2 * STAGE_SHARDS; i++)
		if (call->targets_of_shard[i] > most)
			most = call->targets_of_shard[i];
	return most;
}

static void check_merged(const struct stage_call *call, size_t parts)
{
	ck_assert_int_eq(call->status, 200);
	ck_assert_uint_eq(call->parts, parts);
	ck_assert_uint_eq(call->missing, FULL - parts);
	ck_assert(!call->duplicate_part);
	ck_assert(!call->foreign_part);
	ck_assert(!call->not_greatest);
	ck_assert_int_le(most_targets_of_a_shard(call), 2);
}

/* Nothing fails: each node answers each kind, whole and in time. */
START_TEST(test_calm)
{
	struct stage *stage = begin(NODES);
	int merged = stage_call(stage, _i, STAGE_MERGED);
	int single = stage_call(stage, _i, STAGE_SINGLE);
	int once = stage_call(stage, _i, STAGE_ONCE);

	stage_run(stage, SECOND_US);
	check_merged(&stage->calls[merged], FULL);
	ck_assert_int_le(took(&stage->calls[merged]), GOAL_US / 2);
	ck_assert_int_eq(stage->calls[single].status, 200);
	ck_assert_int_eq(stage->calls[once].status, 200);
	ck_assert_int_eq(stage->calls[once].runs, 1);
	stage_destroy(stage);
}
END_TEST

/*
 * The caller gets a whole answer in time though a target of each third shard
 * stands still for longer than the goal: the other target of the shard is
 * asked once the reply is late, and the still one gets no more meanwhile.
 */
START_TEST(test_paused_targets)
{
	struct stage *stage = begin(NODES);
	int first;
	int second;

	for (int i = 0; i < 2 * FULL; i += 6)
		stage->targets[i].paused_until = stage->now + 3 * GOAL_US;
	first = stage_call(stage, 0, STAGE_MERGED);
	stage_run(stage, GOAL_US);
	second = stage_call(stage, 0, STAGE_MERGED);
	stage_run(stage, SECOND_US);
	check_merged(&stage->calls[first], FULL);
	check_merged(&stage->calls[second], FULL);
	ck_assert_int_le(took(&stage->calls[first]), GOAL_US);
	ck_assert_int_le(took(&stage->calls[second]), GOAL_US / 2);
	stage_destroy(stage);
}
END_TEST

/** struct gap - shards without a working target, and what comes of it */
struct gap {
	int shards;
	bool silent; /* they take requests, and do not refuse connections */
	int status;
	bool in_time;
};

static const struct gap gaps[] = {
	{ 1, true, 200, true },	  { 3, true, 200, true },
	{ 1, false, 200, true },  { 3, false, 200, true },
	{ 6, true, 504, false },  { 6, false, 503, true },
	{ 12, false, 503, true },
};

/*
 * Both targets of some shards are gone. While enough is left the caller gets
 * an answer that says what is missing, by its goal; else it hears at once that
 * nothing can be had, with the time to come back.
 */
START_TEST(test_missing_shards)
{
	const struct gap *gap = &gaps[_i];
	struct stage *stage = begin(NODES);
	struct stage_call *call;
	int warm;
	int index;

	for (int i = 0; i < 2 * gap->shards; i++) {
		stage->targets[i].silent = gap->silent;
		stage->targets[i].up = gap->silent;
	}
	/* What is refused once is known to be down for the next. */
	warm = stage_call(stage, 2, STAGE_MERGED);
	stage_run(stage, GOAL_US / 4);
	index = stage_call(stage, 2, STAGE_MERGED);
	stage_run(stage, 3 * SECOND_US);
	call = &stage->calls[index];
	ck_assert_int_ne(stage->calls[warm].status, 0);
	ck_assert_int_eq(call->status, gap->status);
	if (gap->status == 200)
		check_merged(call, (size_t)(FULL - gap->shards));
	if (gap->in_time)
		ck_assert_int_le(took(call), GOAL_US);
	if (gap->status == 503) {
		ck_assert_int_gt(call->retry_after_us, 0);
		ck_assert_int_eq(call->runs, 0);
	}
	stage_destroy(stage);
}
END_TEST

/** struct once_case - what the targets do, and what the caller may hear */
struct once_case {
	const char *name;
	double shed;
	double lose;
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
 * A request that may run once only. The reply is lost, or no target takes it:
 * the caller is told "not run" only where nothing ran, and it never runs twice.
 */
START_TEST(test_once)
{
	const struct once_case *c = &once_cases[_i];
	struct stage *stage = begin(NODES);
	int index;

	for (int i = 2 * FULL; i < stage->ntargets; i++) {
		stage->targets[i].shed = c->shed;
		stage->targets[i].lose = c->lose;
		stage->targets[i].up = !c->down;
	}
	index = stage_call(stage, 1, STAGE_ONCE);
	stage_run(stage, 3 * SECOND_US);
	ck_assert_int_eq(stage->calls[index].status, c->status);
	ck_assert_int_eq(stage->calls[index].runs, c->runs);
	if (c->status == 503)
		ck_assert_int_gt(stage->calls[index].retry_after_us, 0);
	stage_destroy(stage);
}
END_TEST

/*
 * One target rejects the request as not run; it goes to another one, and the
 * caller notices nothing.
 */
START_TEST(test_once_goes_on)
{
	struct stage *stage = begin(NODES);
	int served = 0;

	for (int i = 2 * FULL; i < stage->ntargets - 1; i++)
		stage->targets[i].shed = 0.4;
	for (int i = 0; i < 20; i++) {
		int index = stage_call(stage, 1, STAGE_ONCE);

		stage_run(stage, SECOND_US);
		served += stage->calls[index].status == 200;
		ck_assert_int_le(stage->calls[index].runs, 1);
	}
	ck_assert_int_ge(served, 15);
	stage_destroy(stage);
}
END_TEST

/** struct node_fault - what happens to nodes that merge for others */
struct node_fault {
	const char *name;
	bool kill;
	bool freeze;
	bool cut;
};

static const struct node_fault node_faults[] = {
	{ "killed", true, false, false },
	{ "frozen", false, true, false },
	{ "cut off", false, false, true },
};

/* Each shard has a third target, so that three could be asked. */
static struct stage *begin_with_three(void)
{
	struct stage *stage = begin(NODES);

	for (int i = 0; i < STAGE_SHARDS; i++) {
		char service[16];

		snprintf(service, sizeof(service), "s%d", i);
		stage_add_target(stage, service, i % STAGE_DOMAINS);
	}
	stage_run(stage, 2 * SECOND_US);
	return stage;
}

static void strike(struct stage *stage, const struct node_fault *fault,
		   int node)
{
	if (fault->kill)
		stage_kill_node(stage, node);
	if (fault->freeze)
		stage->nodes[node].frozen_until = stage->now + 2 * SECOND_US;
	for (int i = 0; fault->cut && i < stage->nnodes; i++)
		stage->links_cut[i][node] = stage->links_cut[node][i] = true;
}

/*
 * All nodes but the caller's own die, freeze or are cut off just after they
 * were handed shards. The caller gets its answer from the targets directly, by
 * its goal or soon after, and no shard is asked at more targets than allowed.
 */
START_TEST(test_merging_node_lost)
{
	struct stage *stage = begin_with_three();
	int index = stage_call(stage, 0, STAGE_MERGED);
	int next;

	/* Long enough for the first sends of the others to be late. */
	for (int i = 0; i < stage->ntargets; i++)
		stage->targets[i].service_us = 30000;
	stage_run(stage, 1200);
	for (int i = 1; i < NODES; i++)
		strike(stage, &node_faults[_i], i);
	stage_run(stage, SECOND_US / 2);
	for (int i = 0; i < stage->ntargets; i++)
		stage->targets[i].service_us = 8000;
	next = stage_call(stage, 0, STAGE_MERGED);
	stage_run(stage, SECOND_US);
	ck_assert_int_eq(stage->calls[index].status, 200);
	ck_assert_int_le(took(&stage->calls[index]), 3 * GOAL_US / 2);
	ck_assert_int_le(most_targets_of_a_shard(&stage->calls[index]), 2);
	check_merged(&stage->calls[next], FULL);
	ck_assert_int_le(took(&stage->calls[next]), GOAL_US);
	stage_destroy(stage);
}
END_TEST

/*
 * A small VM hands a question to a merging node, which tells most of it and
 * dies while four shards are late. These go to another merging node, which
 * hands on the ones that are far from it. Each shard is in the answer once:
 * nodes name shards as the route does, not as the part of it that they were
 * given.
 */
START_TEST(test_rest_handed_on)
{
	struct stage *stage = stage_create(NODES, 7);
	struct stage_call *call;
	int index;

	stage_add_targets(stage, "s", 2);
	stage_configure(stage, 1);
	stage->nodes[5].settings.core = 0.05;
	for (int i = 0; i < NODES; i++)
		stage_start_node(stage, i);
	stage_settle(stage);
	for (int i = FULL; i < 2 * FULL; i++)
		stage->targets[i].paused_until = stage->now + 60000;
	index = stage_call(stage, 5, STAGE_STRICT);
	stage_run(stage, 45000);
	stage_kill_node(stage, 2);
	stage_run(stage, SECOND_US);
	call = &stage->calls[index];
	ck_assert_int_eq(call->status, 200);
	ck_assert(!call->duplicate_part);
	ck_assert(!call->foreign_part);
	ck_assert(!call->not_greatest);
	ck_assert_int_ge(call->parts, FULL - 1);
	stage_destroy(stage);
}
END_TEST

/*
 * A node freezes just as it is handed shards, for longer than the caller waits.
 * When it wakes the question is over, and no target gets its shards any more.
 */
START_TEST(test_stale_batch)
{
	struct stage *stage = begin(NODES);
	int index;
	int sent;

	for (int i = 1; i < NODES; i++)
		stage->nodes[i].frozen_until = stage->now + 3 * SECOND_US;
	index = stage_call(stage, 0, STAGE_MERGED);
	stage_run(stage, 2 * SECOND_US);
	sent = stage->first_sends + stage->extra_sends;
	ck_assert_int_eq(stage->calls[index].status, 200);
	stage_run(stage, 3 * SECOND_US);
	ck_assert_int_eq(stage->first_sends + stage->extra_sends, sent);
	stage_destroy(stage);
}
END_TEST

/*
 * The index is cut into other shards while questions are under way: each
 * answer holds parts of one version only, whichever nodes have which.
 */
START_TEST(test_reshard)
{
	struct stage *stage = begin(NODES);
	int calls[60];

	stage_add_targets(stage, "r", 2);
	stage_run(stage, SECOND_US);
	for (int i = 0; i < 60; i++) {
		if (i == 30)
			stage_configure(stage, 10);
		calls[i] = stage_call(stage, i % NODES, STAGE_MERGED);
		stage_run(stage, 10000);
	}
	stage_run(stage, SECOND_US);
	for (int i = 0; i < 60; i++)
		check_merged(&stage->calls[calls[i]], FULL);
	stage_destroy(stage);
}
END_TEST

static void keep_asking(struct stage *stage, int64_t us)
{
	for (int64_t passed = 0; passed < us; passed += 20000) {
		stage_call(stage, (int)(passed / 20000) % stage->nnodes,
			   STAGE_MERGED);
		stage_run(stage, 20000);
	}
}

/*
 * A failure domain is taken out: after five seconds no target there gets a
 * request, from no node, and callers are served by the others.
 */
START_TEST(test_domain_out)
{
	struct stage *stage = begin(NODES);
	int index;

	keep_asking(stage, SECOND_US);
	stage_domain(stage, 1, true);
	keep_asking(stage, 7 * SECOND_US);
	ck_assert_int_eq(stage->late_for_out, 0);
	index = stage_call(stage, 1, STAGE_MERGED);
	stage_run(stage, SECOND_US);
	check_merged(&stage->calls[index], FULL);
	stage_destroy(stage);
}
END_TEST

/*
 * A target says that it leaves, or its entry goes: three seconds later it gets
 * nothing more, though the store is cut off from half of the nodes.
 */
START_TEST(test_leaving)
{
	struct stage *stage = begin(NODES);

	for (int i = 0; i < NODES; i += 2)
		stage->nodes[i].store_cut = true;
	keep_asking(stage, SECOND_US);
	stage->targets[0].leaving = true;
	stage->targets[0].left_at = stage->now;
	stage_publish(stage, 0);
	stage->targets[3].left_at = stage->now;
	stage_unpublish(stage, 3);
	keep_asking(stage, 5 * SECOND_US);
	ck_assert_int_eq(stage->late_for_left, 0);
	stage_destroy(stage);
}
END_TEST

/*
 * The store turns a node away; a new version is published. The node learns of
 * it from the others and answers by it within three seconds.
 */
START_TEST(test_configuration_from_peers)
{
	struct stage *stage = begin(NODES);
	int index;

	stage_add_targets(stage, "r", 2);
	stage_run(stage, SECOND_US);
	stage->nodes[4].store_cut = true;
	stage_run(stage, SECOND_US / 2);
	stage_configure(stage, 11);
	stage_run(stage, 3 * SECOND_US);
	for (int i = 0; i < 2 * FULL; i++)
		stage->targets[i].up = false;
	index = stage_call(stage, 4, STAGE_MERGED);
	stage_run(stage, SECOND_US);
	check_merged(&stage->calls[index], FULL);
	stage_destroy(stage);
}
END_TEST

/*
 * A node starts while it reaches neither the store nor another node. It knows
 * no route, and says "not run, come back" rather than "no such path".
 */
START_TEST(test_start_alone)
{
	struct stage *stage = stage_create(1, 3);
	int index;

	stage->nodes[0].store_cut = true;
	stage_configure(stage, 1);
	stage_start_node(stage, 0);
	stage_run(stage, 2 * SECOND_US);
	index = stage_call(stage, 0, STAGE_ONCE);
	ck_assert(!stage->nodes[0].ready);
	ck_assert_int_eq(stage->calls[index].status, 503);
	ck_assert_int_gt(stage->calls[index].retry_after_us, 0);
	stage->nodes[0].store_cut = false;
	stage_run(stage, SECOND_US);
	ck_assert(stage->nodes[0].ready);
	stage_destroy(stage);
}
END_TEST

/*
 * All nodes lose power at once, just after a new version was published. Within
 * two seconds of their return they answer by that version: the store alone
 * remembers it.
 */
START_TEST(test_all_restart)
{
	struct stage *stage = begin(NODES);
	int index;

	stage_add_targets(stage, "r", 2);
	stage_run(stage, SECOND_US);
	stage_configure(stage, 12);
	lose_power(stage, NODES);
	for (int i = 0; i < NODES; i++)
		stage_start_node(stage, i);
	stage_run(stage, 2 * SECOND_US);
	index = stage_call(stage, 5, STAGE_MERGED);
	stage_run(stage, SECOND_US);
	check_merged(&stage->calls[index], FULL);
	ck_assert_int_eq(stage->calls[index].targets_of_shard[0], 0);
	stage_destroy(stage);
}
END_TEST

/*
 * All nodes lose power and come back, each a little later than the one before;
 * callers are there all the while. Until a node has a configuration they are
 * refused, so each is ready within a tenth of a second of its own start, the
 * ones that are no seeds too: they do not wait for a seed that starts later.
 */
START_TEST(test_quick_return)
{
	struct stage *stage = begin(NODES);
	bool ready;

	lose_power(stage, NODES);
	for (int i = NODES - 1; i >= 0; i--) {
		stage_start_node(stage, i);
		stage_run(stage, GOAL_US);
		ready = stage->nodes[i].ready;
		ck_assert_msg(ready, "node %d is not ready", i);
	}
	stage_destroy(stage);
}
END_TEST

/** struct start - a node that has just started, and when callers may return */
struct start {
	bool store_down;
	int64_t after_us;
	int64_t least_us;
	int64_t most_us;
};

static const struct start starts[] = {
	{ false, 0, 200000, 300000 },
	{ true, 0, 200000, 300000 },
	{ true, 2 * SECOND_US, 700000, SECOND_US },
};

/*
 * A caller asks a node that has no configuration yet. It is refused at once,
 * and told to come back: soon while the node is starting as usual, later once
 * the store is known to be away, so that it is not refused a second time.
 */
START_TEST(test_refused_at_start)
{
	const struct start *start = &starts[_i];
	struct stage *stage = stage_create(1, 7);
	struct stage_call *call;

	stage->store_down = start->store_down;
	stage_start_node(stage, 0);
	stage_run(stage, start->after_us);
	call = &stage->calls[stage_call(stage, 0, STAGE_MERGED)];
	ck_assert_int_eq(call->status, 503);
	ck_assert_int_ge(call->retry_after_us, start->least_us);
	ck_assert_int_le(call->retry_after_us, start->most_us);
	stage_destroy(stage);
}
END_TEST

/* Value of the gauge @name of a node. */
static int gauge(const struct stage *stage, int node, const char *name)
{
	struct buf text = { 0 };
	char key[64];
	const char *line;
	int value = -1;

	snprintf(key, sizeof(key), "\nwasabimoor_%s ", name);
	tier_metrics(stage->nodes[node].tier, &text);
	buf_add(&text, "", 1);
	line = strstr(text.ptr, key);
	if (line)
		value = atoi(line + strlen(key));
	buf_free(&text);
	return value;
}

/*
 * Targets of two shards end while their entries still stand, and one shard only
 * may be missing. The question cannot be answered, and its caller learns it at
 * once, with the time to come back, instead of waiting until its deadline.
 */
START_TEST(test_hopeless_question)
{
	struct stage *stage = begin(NODES);
	const struct stage_call *call;

	for (int i = 0; i < 4; i++)
		stage->targets[i].up = false;
	call = &stage->calls[stage_call(stage, 0, STAGE_STRICT)];
	stage_run(stage, 2 * SECOND_US);
	ck_assert_int_ne(call->status, 200);
	ck_assert_int_le(took(call), GOAL_US);
	ck_assert_int_gt(call->retry_after_us, 0);
	stage_destroy(stage);
}
END_TEST

/*
 * Both targets of a shard are gone. Callers get the rest in time. Each question
 * waits for a target of the shard until it ends, and no reply of one wakes
 * those that wait; they must not pile up, which would use up the node's memory.
 */
START_TEST(test_waiters_do_not_pile_up)
{
	struct stage *stage = begin(NODES);

	stage_unpublish(stage, 0);
	stage_unpublish(stage, 1);
	for (int i = 0; i < 1200; i++) {
		stage_call(stage, i % NODES, STAGE_MERGED);
		stage_run(stage, SECOND_US / 40);
	}
	for (int i = 0; i < NODES; i++) {
		int waiting = gauge(stage, i, "waiting");

		ck_assert_int_ge(waiting, 0);
		ck_assert_int_le(waiting, 2 * FULL);
	}
	stage_destroy(stage);
}
END_TEST

/*
 * All nodes start anew, seeds last. Until a node knows of the others it takes
 * too large a part of what all may do together: hedges and retries, and
 * requests to cold targets. So all know of all well within a second of the last
 * start.
 */
START_TEST(test_nodes_meet_quickly)
{
	struct stage *stage = begin(NINE);

	lose_power(stage, NINE);
	for (int i = NINE - 1; i >= 0; i--) {
		stage_start_node(stage, i);
		stage_run(stage, SECOND_US / 20);
	}
	stage_run(stage, SECOND_US * 8 / 10);
	for (int i = 0; i < NINE; i++)
		ck_assert_int_eq(gauge(stage, i, "nodes"), NINE);
	stage_destroy(stage);
}
END_TEST

/*
 * A node is told to stop: it says at once that it is not ready, serves the
 * callers that it still has, gets no more shards from others, and ends only
 * when it holds no request.
 */
START_TEST(test_planned_stop)
{
	struct stage *stage = begin(NODES);
	int index;

	stage_stop_node(stage, 3);
	ck_assert(!stage->nodes[3].ready);
	stage_run(stage, 100000);
	index = stage_call(stage, 3, STAGE_MERGED);
	stage_run(stage, 2 * SECOND_US);
	check_merged(&stage->calls[index], FULL);
	ck_assert(!stage->nodes[3].exited);
	stage_run(stage, 2 * SECOND_US);
	ck_assert(stage->nodes[3].exited);
	stage_destroy(stage);
}
END_TEST

/*
 * Most targets reject two of three requests. Callers are served as far as the
 * retry bound lets, and the bound holds over all nodes together.
 */
START_TEST(test_shared_retry_bound)
{
	struct stage *stage = begin(NODES);

	for (int i = 0; i < 2 * FULL; i++)
		stage->targets[i].shed = i % 5 ? 0.66 : 0;
	for (int i = 0; i < 500; i++) {
		stage_call(stage, i % NODES, STAGE_MERGED);
		stage_run(stage, 20000);
	}
	ck_assert_int_gt(stage->first_sends, 0);
	ck_assert_int_le(stage->extra_sends,
			 stage->first_sends / 5 + 60 * FULL);
	stage_destroy(stage);
}
END_TEST

/*
 * Many nodes lose power and come back within a third of a second. If each read
 * the whole table at once, the store's link would be busy for seconds, and all
 * callers refused as long. The first ones read, the others are told.
 */
START_TEST(test_many_start_anew)
{
	struct stage *stage = begin(MANY);
	uint64_t before;

	lose_power(stage, MANY);
	before = stage->store_calls;
	for (int i = 0; i < MANY; i++) {
		stage_start_node(stage, i);
		stage_run(stage, SECOND_US / 3 / MANY);
	}
	ck_assert_uint_le(stage->store_calls - before, 4 * STAGE_DOMAINS);
	stage_run(stage, SECOND_US);
	for (int i = 0; i < MANY; i++)
		ck_assert_msg(stage->nodes[i].ready, "node %d", i);
	stage_destroy(stage);
}
END_TEST

/*
 * All nodes start anew, one after the other, while all targets reject half of
 * their requests, and few questions come, so that the free part of the bound is
 * most of it. The first nodes that serve know of few others, or of some that do
 * not serve yet: they must not take the others' parts.
 */
START_TEST(test_retry_bound_after_start)
{
	struct stage *stage = begin(NINE);

	for (int i = 0; i < 2 * FULL; i++)
		stage->targets[i].shed = 0.5;
	for (int i = 0; i < NINE; i++) {
		stage_kill_node(stage, i);
		stage->nodes[i].settings.core = i < 3 ? 0.25 : 0.05;
	}
	stage_run(stage, SECOND_US);
	for (int i = NINE - 1; i >= 0; i--) {
		stage_start_node(stage, i);
		stage_run(stage, GOAL_US);
	}
	stage->first_sends = stage->extra_sends = 0;
	for (int i = 0; i < 300; i++) {
		stage_call(stage, i % NINE, STAGE_MERGED);
		stage_run(stage, 30000);
	}
	ck_assert_int_gt(stage->first_sends, 0);
	ck_assert_int_le(stage->extra_sends,
			 stage->first_sends / 5 + 60 * FULL);
	stage_destroy(stage);
}
END_TEST

/*
 * Nine nodes for a minute, nothing changes: one node a failure domain waits at
 * the store, the others hear from it.
 */
START_TEST(test_store_calls)
{
	struct stage *stage = begin(9);
	uint64_t before = stage->store_calls;

	stage_run(stage, 60 * SECOND_US);
	ck_assert_uint_le(stage->store_calls - before,
			  STAGE_DOMAINS * 60 + STAGE_DOMAINS * 10);
	stage_destroy(stage);
}
END_TEST

/*
 * The store is away for ten seconds and entries lapse meanwhile, though their
 * targets live. Callers are served all the while and after.
 */
START_TEST(test_store_away)
{
	struct stage *stage = begin(NODES);

	stage->store_down = true;
	for (int i = 0; i < 10; i++) {
		int index = stage_call(stage, i % NODES, STAGE_MERGED);

		stage_run(stage, SECOND_US);
		check_merged(&stage->calls[index], FULL);
	}
	for (int i = 0; i < 2 * FULL; i += 2)
		stage_unpublish(stage, i);
	stage->store_down = false;
	stage_run(stage, SECOND_US);
	for (int i = 0; i < 2 * FULL; i += 2)
		stage_publish(stage, i);
	stage_run(stage, SECOND_US / 2);
	int index = stage_call(stage, 1, STAGE_MERGED);

	stage_run(stage, SECOND_US);
	check_merged(&stage->calls[index], FULL);
	stage_destroy(stage);
}
END_TEST

#define COUNT(table) ((int)(sizeof(table) / sizeof(*(table))))

static void add(TCase *tcase)
{
	tcase_add_loop_test(tcase, test_calm, 0, NODES);
	tcase_add_test(tcase, test_paused_targets);
	tcase_add_loop_test(tcase, test_missing_shards, 0, COUNT(gaps));
	tcase_add_loop_test(tcase, test_once, 0, COUNT(once_cases));
	tcase_add_test(tcase, test_once_goes_on);
	tcase_add_loop_test(tcase, test_merging_node_lost, 0,
			    COUNT(node_faults));
	tcase_add_test(tcase, test_rest_handed_on);
	tcase_add_test(tcase, test_stale_batch);
	tcase_add_test(tcase, test_reshard);
	tcase_add_test(tcase, test_domain_out);
	tcase_add_test(tcase, test_leaving);
	tcase_add_test(tcase, test_configuration_from_peers);
	tcase_add_test(tcase, test_start_alone);
	tcase_add_test(tcase, test_all_restart);
	tcase_add_test(tcase, test_quick_return);
	tcase_add_test(tcase, test_nodes_meet_quickly);
	tcase_add_loop_test(tcase, test_refused_at_start, 0,
			    sizeof(starts) / sizeof(*starts));
	tcase_add_test(tcase, test_planned_stop);
	tcase_add_test(tcase, test_shared_retry_bound);
	tcase_add_test(tcase, test_many_start_anew);
	tcase_add_test(tcase, test_retry_bound_after_start);
	tcase_add_test(tcase, test_store_calls);
	tcase_add_test(tcase, test_hopeless_question);
	tcase_add_test(tcase, test_waiters_do_not_pile_up);
	tcase_add_test(tcase, test_store_away);
}

int main(void)
{
	return suite_run("tier", add);
}
