/*
 * Whole nodes, in virtual time, under requests that crash each target that runs
 * them: how many such requests still reach targets, and what becomes of others.
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
	/* Between a failed answer and the caller's next try. */
	RETRY_US = 80000,
	/* From one coming of the request to the next; targets are back by then.
	 */
	ROUND_US = 4400000,
	/* Late tries that may reach targets, for all nodes together. */
	LATE_MOST = 3,
	/* Targets that such tries may end: two each, one after the other. */
	LATER_MOST = 2 * LATE_MOST,
	STEP_US = 1000,
	/* Three hops between failure domains. */
	TOLD_US = 4000,
	/* Targets crash 8 ms after the request has come. */
	BEFORE_CRASH_US = 7000,
	/* From this round on others must be served all the time. */
	CALM_ROUND = 3,
};

/**
 * struct deadly_case - how a deadly request comes
 * @at_once: nodes that it comes to at the same moment
 * @callers: it comes from this many addresses by turns
 * @requests: so many of them, by turns
 * @kill: a node is killed each round, and starts again, all in turn; the next
 *        round comes to that one first
 * @power: before this round all nodes lose power; 0: never
 * @cut: before this round a third of the nodes is cut off from the others, for
 *       a round; 0: never
 * @keeps_id: targets come back under the id that they had
 * @runs_us: time from its start to the crash
 * @nodes: 0 for NODES
 *
 * Numbers that are 0 stand for 1.
 */
struct deadly_case {
	const char *name;
	enum stage_kind kind;
	int at_once;
	int callers;
	int requests;
	bool kill;
	int power;
	int cut;
	bool keeps_id;
	int64_t runs_us;
	int nodes;
};

static const struct deadly_case deadly_cases[] = {
	{ .name = "over all shards", .kind = STAGE_MERGED },
	{ .name = "nearly all shards needed", .kind = STAGE_STRICT },
	{ .name = "one target", .kind = STAGE_SINGLE },
	{ .name = "once only", .kind = STAGE_ONCE },
	{ .name = "at four nodes at once", .kind = STAGE_MERGED, .at_once = 4 },
	{ .name = "one target, four at once",
	  .kind = STAGE_SINGLE,
	  .at_once = 4 },
	{ .name = "from many addresses", .kind = STAGE_MERGED, .callers = 5 },
	{ .name = "three by turns", .kind = STAGE_MERGED, .requests = 3 },
	{ .name = "nodes restart in turn", .kind = STAGE_MERGED, .kill = true },
	{ .name = "all nodes restart", .kind = STAGE_MERGED, .power = 5 },
	{ .name = "a domain is cut off", .kind = STAGE_MERGED, .cut = 1 },
	{ .name = "targets keep their ids",
	  .kind = STAGE_MERGED,
	  .keeps_id = true },
	/* Its hedges are out before the first target has crashed. */
	{ .name = "slow to crash", .kind = STAGE_MERGED, .runs_us = 40000 },
	{ .name = "slow, all nodes restart",
	  .kind = STAGE_MERGED,
	  .runs_us = 40000,
	  .power = 5 },
	{ .name = "slow, four at once",
	  .kind = STAGE_MERGED,
	  .at_once = 4,
	  .runs_us = 40000 },
	{ .name = "many nodes", .kind = STAGE_MERGED, .nodes = 40 },
};

static int or_one(int number)
{
	return number ? number : 1;
}

static struct stage *begin(int nodes, uint64_t seed)
{
	struct stage *stage = stage_create(nodes, seed);

	stage_add_targets(stage, "s", 2);
	for (int i = 0; i < 2 * STAGE_DOMAINS; i++)
		stage_add_target(stage, "single", i % STAGE_DOMAINS);
	stage_configure(stage, 1);
	for (int i = 0; i < stage->nnodes; i++)
		stage_start_node(stage, i);
	stage_settle(stage);
	return stage;
}

static int ask(struct stage *stage, int node, enum stage_kind kind,
	       const struct stage_asked *asked)
{
	return stage_ask(stage, node % stage->nnodes, kind, asked);
}

static int ask_deadly(struct stage *stage, const struct deadly_case *c,
		      int round, int node)
{
	int number = round % or_one(c->requests) + 1;
	char caller[24];
	char query[24];
	struct stage_asked asked = { query, caller, number };

	snprintf(caller, sizeof(caller), "10.1.0.%d",
		 round % or_one(c->callers));
	snprintf(query, sizeof(query), "deadly%d", number);
	return ask(stage, node, c->kind, &asked);
}

/* A request that nobody asked before. */
static int ask_other(struct stage *stage, int node, enum stage_kind kind)
{
	char query[24];
	struct stage_asked asked = { query, "10.2.0.1", 0 };

	snprintf(query, sizeof(query), "other%d", stage->ncalls);
	return ask(stage, node, kind, &asked);
}

/* It comes, and its caller tries once more where that failed. */
static void come(struct stage *stage, const struct deadly_case *c, int round)
{
	int first = stage->ncalls;

	for (int i = 0; i < or_one(c->at_once); i++)
		ask_deadly(stage, c, round, round + i);
	stage_run(stage, 2 * RETRY_US);
	for (int i = 0; i < or_one(c->at_once); i++)
		if (stage->calls[first + i].status != 200)
			ask_deadly(stage, c, round, round + i + 1);
	stage_run(stage, RETRY_US);
}

static void lose_power(struct stage *stage)
{
	for (int i = 0; i < stage->nnodes; i++)
		stage_kill_node(stage, i);
	stage_run(stage, SECOND_US);
	for (int i = 0; i < stage->nnodes; i++)
		stage_start_node(stage, i);
	stage_settle(stage);
}

/* Nodes of one failure domain reach no others, but targets and store. */
static void cut_domain(struct stage *stage, bool cut)
{
	for (int i = 0; i < stage->nnodes; i++)
		for (int j = 0; j < stage->nnodes; j++)
			if (stage->nodes[i].domain != stage->nodes[j].domain &&
			    (!stage->nodes[i].domain ||
			     !stage->nodes[j].domain))
				stage->links_cut[i][j] = cut;
}

static void restart_one(struct stage *stage, int node)
{
	stage_kill_node(stage, node);
	stage_run(stage, SECOND_US / 2);
	stage_start_node(stage, node);
}

/* Others ask all the while. Return: how many were not served. */
static int ask_others(struct stage *stage, int64_t us)
{
	int first = stage->ncalls;
	int failed = 0;

	for (int64_t t = 0; t < us; t += SECOND_US / 10) {
		ask_other(stage, stage->ncalls, STAGE_MERGED);
		ask_other(stage, stage->ncalls, STAGE_SINGLE);
		stage_run(stage, SECOND_US / 10);
	}
	for (int i = first; i < stage->ncalls - 2; i++)
		failed += stage->calls[i].status != 200;
	return failed;
}

/* No node has forgotten it, or has not heard of it. */
static bool is_calm(const struct deadly_case *c)
{
	return !c->kill && !c->power && !c->cut;
}

/*
 * The request crashes all targets that run it, comes back every few seconds at
 * another node under another id, and takes the service away from all others.
 */
START_TEST(test_deadly_request_is_stopped)
{
	const struct deadly_case *c = &deadly_cases[_i];
	struct stage *stage = begin(c->nodes ? c->nodes : NODES, 11);
	int failed = 0;
	int first = 0;

	stage->deadly_us = c->runs_us;
	for (int i = 0; i < stage->ntargets; i++)
		stage->targets[i].keeps_id = c->keeps_id;
	for (int round = 0; round < ROUNDS; round++) {
		if (c->power && round == c->power)
			lose_power(stage);
		if (c->cut)
			cut_domain(stage, round == c->cut);
		come(stage, c, round);
		if (c->kill)
			restart_one(stage, (round + 1) % NODES);
		if (!round)
			first = stage->deadly[1].crashes;
		failed = ask_others(stage, ROUND_US);
		if (round >= or_one(c->requests) * CALM_ROUND &&
		    round != c->power && !c->kill)
			ck_assert_msg(!failed, "%s: round %d: %d others failed",
				      c->name, round, failed);
	}
	if (getenv("TELL"))
		printf("%-28s late %d, ended %d, %d after the first round\n",
		       c->name, stage->deadly[1].late, stage->deadly[1].crashes,
		       stage->deadly[1].crashes - first);
	if (is_calm(c))
		ck_assert_msg(stage->deadly[1].crashes - first <= LATER_MOST,
			      "%s: %d targets ended after the first round",
			      c->name, stage->deadly[1].crashes - first);
	for (int i = 1; i <= or_one(c->requests); i++)
		ck_assert_msg(stage->deadly[i].crashes >= 3 &&
				      stage->deadly[i].late <= LATE_MOST,
			      "%s: %d late tries, %d targets ended", c->name,
			      stage->deadly[i].late, stage->deadly[i].crashes);
	stage_destroy(stage);
}
END_TEST

/**
 * struct other_case - a harmless request beside a deadly one
 * @asked: what it asks, and who asks it
 * @gap_us: it is asked all the while, so often; 0: only as below
 * @since: it is asked from this round on
 *
 * In each round it is under way when the deadly request crashes its targets,
 * and is asked again when they are back.
 */
struct other_case {
	const char *name;
	enum stage_kind kind;
	struct stage_asked asked;
	int64_t gap_us;
	int since;
};

static const struct other_case other_cases[] = {
	{ "asked seldom", STAGE_MERGED, { "other", "10.2.0.1", 0 }, 0, 0 },
	{ "asked often", STAGE_MERGED, { "other", "10.2.0.1", 0 }, 50000, 0 },
	{ "asked seldom, one target",
	  STAGE_SINGLE,
	  { "other", "10.2.0.1", 0 },
	  0,
	  0 },
	{ "the same of another caller",
	  STAGE_MERGED,
	  { "deadly1", "10.2.0.1", 0 },
	  0,
	  0 },
	{ "the same, later", STAGE_MERGED, { "deadly1", "10.2.0.1", 0 }, 0, 5 },
	{ "another of its caller",
	  STAGE_MERGED,
	  { "other", "10.1.0.0", 0 },
	  0,
	  0 },
};

static void check_whole(struct stage *stage, const struct other_case *o,
			int round)
{
	int index = ask(stage, round, o->kind, &o->asked);
	const struct stage_call *call = &stage->calls[index];

	stage_run(stage, SECOND_US / 2);
	ck_assert_msg(call->status == 200 && !call->missing,
		      "%s: round %d: status %d", o->name, round, call->status);
}

/*
 * A harmless request loses its connections each time that the deadly one comes,
 * as it is under way at the same targets. It must not be taken for the deadly
 * one: once the targets are back it is answered whole.
 */
START_TEST(test_other_request_is_served)
{
	const struct other_case *o = &other_cases[_i];
	const struct deadly_case c = { .name = "beside", .kind = o->kind };
	struct stage *stage = begin(NODES, 11);

	for (int round = 0; round < ROUNDS; round++) {
		ask_deadly(stage, &c, round, round);
		stage_run(stage, BEFORE_CRASH_US);
		for (int i = 0; i < NODES && round >= o->since; i++)
			ask(stage, i, o->kind, &o->asked);
		for (int64_t t = 0; o->gap_us && t < ROUND_US / 2;
		     t += o->gap_us) {
			ask(stage, stage->ncalls, o->kind, &o->asked);
			stage_run(stage, o->gap_us);
		}
		stage_run(stage, ROUND_US / 2);
		if (round >= o->since)
			check_whole(stage, o, round);
		stage_run(stage, ROUND_US / 2);
	}
	ck_assert_int_le(stage->deadly[1].late, LATE_MOST);
	stage_destroy(stage);
}
END_TEST

/**
 * struct crash_case - targets that end for reasons of their own
 * @domains: all of a failure domain at once, one domain after the other
 * @gap_us: between two such crashes
 * @kind, @often_us: a harmless request is asked so often meanwhile
 */
struct crash_case {
	const char *name;
	bool domains;
	int64_t gap_us;
	enum stage_kind kind;
	int64_t often_us;
};

static const struct crash_case crash_cases[] = {
	{ "three domains in a row", true, 500000, STAGE_MERGED, 20000 },
	{ "three domains in a row, seldom", true, 500000, STAGE_MERGED,
	  400000 },
	{ "domains all the time", true, 2000000, STAGE_STRICT, 100000 },
	{ "domains, one target", true, 2000000, STAGE_SINGLE, 20000 },
	{ "targets restart in turn", false, 100000, STAGE_MERGED, 20000 },
	{ "in turn, one target", false, 100000, STAGE_SINGLE, 20000 },
};

static void crash_some(struct stage *stage, const struct crash_case *c, int n)
{
	if (!c->domains) {
		stage_crash(stage, n % stage->ntargets);
		return;
	}
	for (int i = 0; i < stage->ntargets; i++)
		if (stage->targets[i].domain == n % STAGE_DOMAINS)
			stage_crash(stage, i);
}

/*
 * Targets crash again and again under a request that is harmless: whole failure
 * domains, or one after the other. It is never blocked for that.
 */
START_TEST(test_crashes_of_other_causes)
{
	const struct crash_case *c = &crash_cases[_i];
	struct stage_asked asked = { "popular", "10.2.0.1", 0 };
	struct stage *stage = begin(NODES, 11);
	int64_t next = stage->now;
	int n = 0;
	int index;

	for (int64_t t = 0; t < 12 * (int64_t)SECOND_US; t += c->often_us) {
		ask(stage, stage->ncalls, c->kind, &asked);
		stage_run(stage, c->often_us / 2);
		if (stage->now >= next) {
			crash_some(stage, c, n++);
			next = stage->now + c->gap_us;
		}
		stage_run(stage, c->often_us / 2);
	}
	/* Targets are back, and their entries too. */
	stage_run(stage, ROUND_US);
	for (int i = 0; i < NODES; i++) {
		index = ask(stage, i, c->kind, &asked);
		stage_run(stage, SECOND_US / 2);
		ck_assert_msg(stage->calls[index].status == 200,
			      "%s: status %d", c->name,
			      stage->calls[index].status);
	}
	stage_destroy(stage);
}
END_TEST

/*
 * All replies are lost for seconds, though no target ends. What was blocked for
 * that is served again once it is known that the targets never ended.
 */
START_TEST(test_broken_connections_are_no_crashes)
{
	static const enum stage_kind kinds[] = { STAGE_MERGED, STAGE_SINGLE,
						 STAGE_ONCE };
	struct stage_asked asked = { "seldom", "10.2.0.1", 0 };
	struct stage *stage = begin(NODES, 11);
	int index;

	for (int i = 0; i < stage->ntargets; i++)
		stage->targets[i].lose = 1;
	for (int i = 0; i < NODES; i++) {
		ask(stage, i, kinds[_i], &asked);
		stage_run(stage, SECOND_US);
	}
	for (int i = 0; i < stage->ntargets; i++)
		stage->targets[i].lose = 0;
	stage_run(stage, 16 * SECOND_US);
	index = ask(stage, 0, kinds[_i], &asked);
	stage_run(stage, SECOND_US);
	ck_assert_int_eq(stage->calls[index].status, 200);
	stage_destroy(stage);
}
END_TEST

static bool knows_suspect(struct stage *stage, int node)
{
	static const char suspect[] = "\nwasabimoor_suspect_requests 1\n";
	static const char blocked[] = "\nwasabimoor_blocked_requests 1\n";
	struct buf text = { 0 };
	bool knows;

	tier_metrics(stage->nodes[node].tier, &text);
	knows = memmem(text.ptr, text.len, suspect, sizeof(suspect) - 1) ||
		memmem(text.ptr, text.len, blocked, sizeof(blocked) - 1);
	buf_free(&text);
	return knows;
}

/** struct spread_case - @runs_us: as in struct deadly_case */
struct spread_case {
	int nodes;
	int64_t runs_us;
};

static const struct spread_case spread_cases[] = {
	{ NODES, 0 },
	{ 40, 0 },
	{ NODES, 40000 },
	{ 40, 40000 },
};

/*
 * Its caller tries again at another node as soon as it has failed: all must
 * know of it by then, also where one node cannot tell them all.
 */
START_TEST(test_evidence_reaches_all_nodes)
{
	const struct spread_case *c = &spread_cases[_i];
	static const struct deadly_case once = { .kind = STAGE_MERGED };
	struct stage *stage = begin(c->nodes, 11);
	int call;

	stage->deadly_us = c->runs_us;
	call = ask_deadly(stage, &once, 0, 0);
	while (!stage->calls[call].answered_at)
		stage_run(stage, STEP_US);
	stage_run(stage, TOLD_US);
	for (int i = 0; i < stage->nnodes; i++)
		ck_assert_msg(knows_suspect(stage, i), "node %d of %d", i,
			      stage->nnodes);
	stage_destroy(stage);
}
END_TEST

static void add(TCase *tcase)
{
	tcase_add_loop_test(tcase, test_deadly_request_is_stopped, 0,
			    COUNT(deadly_cases));
	tcase_add_loop_test(tcase, test_evidence_reaches_all_nodes, 0,
			    COUNT(spread_cases));
	tcase_add_loop_test(tcase, test_other_request_is_served, 0,
			    COUNT(other_cases));
	tcase_add_loop_test(tcase, test_crashes_of_other_causes, 0,
			    COUNT(crash_cases));
	tcase_add_loop_test(tcase, test_broken_connections_are_no_crashes, 0,
			    3);
}

int main(void)
{
	return suite_run("deadly", add);
}
