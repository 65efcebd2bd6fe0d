/*
 * Whole nodes, in virtual time, under requests that crash each target that runs
 * them: how many such requests still reach targets, and what becomes of others.
 */
#include <stdio.h>

#include <check.h>

#include "stage.h"
#include "suite.h"

#define COUNT(table) (int)(sizeof(table) / sizeof(*(table)))

enum {
	SECOND_US = 1000000,
	NODES = 6,
	ROUNDS = 10,
	/* Between a failed answer and the caller's next try. */
	RETRY_US = 40000,
	/* From one coming of the request to the next; targets are back by then.
	 */
	ROUND_US = 4400000,
	/* Late tries that may reach targets, for all nodes together. */
	LATE_MOST = 3,
	/* From this round on others must be served all the time. */
	CALM_ROUND = 3,
};

/**
 * struct deadly_case - how a deadly request comes
 * @at_once: nodes that it comes to at the same moment
 * @callers: it comes from this many addresses by turns
 * @kill: a node is killed each round, and starts again, all in turn
 * @power: before this round all nodes lose power; 0: never
 * @keeps_id: targets come back under the id that they had
 */
struct deadly_case {
	const char *name;
	enum stage_kind kind;
	int at_once;
	int callers;
	bool kill;
	int power;
	bool keeps_id;
};

static const struct deadly_case deadly_cases[] = {
	{ "over all shards", STAGE_MERGED, 1, 1, false, 0, false },
	{ "nearly all shards needed", STAGE_STRICT, 1, 1, false, 0, false },
	{ "one target", STAGE_SINGLE, 1, 1, false, 0, false },
	{ "once only", STAGE_ONCE, 1, 1, false, 0, false },
	{ "at four nodes at once", STAGE_MERGED, 4, 1, false, 0, false },
	{ "one target, four at once", STAGE_SINGLE, 4, 1, false, 0, false },
	{ "from many addresses", STAGE_MERGED, 1, 5, false, 0, false },
	{ "nodes restart in turn", STAGE_MERGED, 1, 1, true, 0, false },
	{ "all nodes restart", STAGE_MERGED, 1, 1, false, 5, false },
	{ "targets keep their ids", STAGE_MERGED, 1, 1, false, 0, true },
};

static struct stage *begin(uint64_t seed)
{
	struct stage *stage = stage_create(NODES, seed);

	stage_add_targets(stage, "s", 2);
	for (int i = 0; i < 2 * STAGE_DOMAINS; i++)
		stage_add_target(stage, "single", i % STAGE_DOMAINS);
	stage_configure(stage, 1);
	for (int i = 0; i < NODES; i++)
		stage_start_node(stage, i);
	stage_settle(stage);
	return stage;
}

static int ask_deadly(struct stage *stage, const struct deadly_case *c,
		      int round, int node)
{
	char caller[24];
	struct stage_asked asked = { "deadly", caller, 1 };

	snprintf(caller, sizeof(caller), "10.1.0.%d", round % c->callers);
	return stage_ask(stage, node % NODES, c->kind, &asked);
}

/* A request that nobody asked before. */
static int ask_other(struct stage *stage, int node, enum stage_kind kind)
{
	char query[24];
	struct stage_asked asked = { query, "10.2.0.1", 0 };

	snprintf(query, sizeof(query), "other%d", stage->ncalls);
	return stage_ask(stage, node % NODES, kind, &asked);
}

/* It comes, and its caller tries once more where that failed. */
static void come(struct stage *stage, const struct deadly_case *c, int round)
{
	int first = stage->ncalls;

	for (int i = 0; i < c->at_once; i++)
		ask_deadly(stage, c, round, round + i);
	stage_run(stage, 2 * RETRY_US);
	for (int i = 0; i < c->at_once; i++)
		if (stage->calls[first + i].status != 200)
			ask_deadly(stage, c, round, round + i + 1);
	stage_run(stage, RETRY_US);
}

static void lose_power(struct stage *stage)
{
	for (int i = 0; i < NODES; i++)
		stage_kill_node(stage, i);
	stage_run(stage, SECOND_US);
	for (int i = 0; i < NODES; i++)
		stage_start_node(stage, i);
	stage_settle(stage);
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

/*
 * The request crashes all targets that run it, comes back every few seconds at
 * another node under another id, and takes the service away from all others.
 */
START_TEST(test_deadly_request_is_stopped)
{
	const struct deadly_case *c = &deadly_cases[_i];
	struct stage *stage = begin(11);
	int failed = 0;

	for (int i = 0; i < stage->ntargets; i++)
		stage->targets[i].keeps_id = c->keeps_id;
	for (int round = 0; round < ROUNDS; round++) {
		if (c->power && round == c->power)
			lose_power(stage);
		come(stage, c, round);
		if (c->kill)
			restart_one(stage, round % NODES);
		failed = ask_others(stage, ROUND_US);
		if (round >= CALM_ROUND && round != c->power && !c->kill)
			ck_assert_msg(!failed, "%s: round %d: %d others failed",
				      c->name, round, failed);
	}
	ck_assert_msg(stage->deadly[1].crashes >= 3, "%s: %d crashes", c->name,
		      stage->deadly[1].crashes);
	ck_assert_msg(stage->deadly[1].late <= LATE_MOST,
		      "%s: %d late tries, %d targets ended", c->name,
		      stage->deadly[1].late, stage->deadly[1].crashes);
	stage_destroy(stage);
}
END_TEST

static void add(TCase *tcase)
{
	tcase_add_loop_test(tcase, test_deadly_request_is_stopped, 0,
			    COUNT(deadly_cases));
}

int main(void)
{
	return suite_run("deadly", add);
}
