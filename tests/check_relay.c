/*
 * What is removed from the store while a node that reads it for others is away
 * must not stay in use anywhere: whole nodes in the simulation, and the replica
 * of one node.
 */
#include <stdio.h>

#include <check.h>

#include "../directory.h"
#include "sim.h"
#include "sim_beliefs.h"
#include "sim_dialect.h"
#include "suite.h"

#define COUNT(table) (int)(sizeof(table) / sizeof(*(table)))

enum {
	NODES = 9,
	ROUNDS = 3,
	STEP_US = 400000,
	REST_STEPS = 8,
	STOP_US = 7000000,
};

/** enum absence - how the nodes are away */
enum absence {
	ABSENCE_KILLED,
	ABSENCE_PAUSED,
	ABSENCE_STOPPED,
	ABSENCE_STORE_CUT,
	ABSENCE_LINKS_CUT, /* links to all nodes, and the store */
};

/**
 * struct removal_case - nodes that are away while something is removed
 * @away: bit set of nodes; 0, 1 and 2 read for their domains
 * @away_us: for how long
 * @removed_at_us: time of the removal, from the begin of the absence
 * @loses_history: the store then forgets its history
 */
struct removal_case {
	const char *name;
	unsigned int away;
	enum absence absence;
	int64_t away_us;
	int64_t removed_at_us;
	bool loses_history;
};

static const struct removal_case removal_cases[] = {
	{ "a reader restarts", 0x1, ABSENCE_KILLED, 500000, 200000, false },
	{ "removed right after its end", 0x1, ABSENCE_KILLED, 500000, 20000,
	  false },
	{ "a reader is away for long", 0x1, ABSENCE_KILLED, 3000000, 200000,
	  false },
	{ "a reader and its successor", 0x9, ABSENCE_KILLED, 500000, 200000,
	  false },
	{ "readers of two domains", 0x3, ABSENCE_KILLED, 500000, 200000,
	  false },
	{ "all readers", 0x7, ABSENCE_KILLED, 500000, 200000, false },
	{ "all but one node", 0x1fe, ABSENCE_KILLED, 500000, 200000, false },
	{ "a reader is paused", 0x1, ABSENCE_PAUSED, 2500000, 200000, false },
	{ "a reader is stopped", 0x1, ABSENCE_STOPPED, 500000, 200000, false },
	{ "a reader loses the store", 0x1, ABSENCE_STORE_CUT, 2500000, 200000,
	  false },
	{ "all readers lose the store", 0x7, ABSENCE_STORE_CUT, 1500000, 200000,
	  false },
	{ "a reader is cut off", 0x1, ABSENCE_LINKS_CUT, 4000000, 200000,
	  false },
	{ "a follower is cut off", 0x8, ABSENCE_LINKS_CUT, 4000000, 200000,
	  false },
	{ "a reader restarts, history lost", 0x1, ABSENCE_KILLED, 500000,
	  200000, true },
	{ "a reader is paused, history lost", 0x1, ABSENCE_PAUSED, 2500000,
	  200000, true },
	{ "readers lose the store, history lost", 0x7, ABSENCE_STORE_CUT,
	  2500000, 200000, true },
	{ "all lose the store, history lost", 0x1ff, ABSENCE_STORE_CUT, 2500000,
	  200000, true },
	{ "a follower is cut off, history lost", 0x8, ABSENCE_LINKS_CUT,
	  4000000, 200000, true },
};

static bool is_away(const struct removal_case *c, int node)
{
	return c->away >> node & 1;
}

static void cut_links(struct sim *sim, int node, bool cut)
{
	sim->nodes[node].store_cut = cut;
	for (int i = 0; i < NODES; i++)
		sim->links_cut[node][i] = sim->links_cut[i][node] = cut;
}

static void leave(struct sim *sim, const struct removal_case *c, int node)
{
	switch (c->absence) {
	case ABSENCE_KILLED:
		sim_kill_node(sim, node);
		break;
	case ABSENCE_PAUSED:
		sim->nodes[node].paused_until = sim->now + c->away_us;
		break;
	case ABSENCE_STOPPED:
		sim_stop_node(sim, node);
		break;
	case ABSENCE_STORE_CUT:
		sim->nodes[node].store_cut = true;
		break;
	case ABSENCE_LINKS_CUT:
		cut_links(sim, node, true);
		break;
	}
}

static void return_node(struct sim *sim, const struct removal_case *c, int node)
{
	if (c->absence == ABSENCE_STOPPED) {
		for (int64_t us = 0; us < STOP_US && !sim->nodes[node].exited;
		     us += 10000)
			sim_run(sim, 10000);
		sim_kill_node(sim, node);
		sim_run(sim, c->away_us);
	}
	cut_links(sim, node, false);
	if (!sim->nodes[node].up)
		sim_start_node(sim, node);
}

/* A target of each shard's pair, and a domain that was taken out, are gone. */
static void remove_keys(struct sim *sim, int round)
{
	sim_unpublish_target(sim, 2 * round);
	sim_set_domain_out(sim, round, false);
}

/* Other entries change as before, so that there is something to pass on. */
static void rest(struct sim *sim)
{
	for (int i = 0; i < REST_STEPS; i++) {
		sim_publish_target(sim, sim->ntargets - 1);
		sim_run(sim, STEP_US);
	}
}

static void run_round(struct sim *sim, const struct removal_case *c, int round)
{
	sim_set_domain_out(sim, round, true);
	rest(sim);
	ck_assert_msg(!sim_wrong_belief(sim), "%s, round %d, before: %s",
		      c->name, round, sim_wrong_belief(sim));
	for (int i = 0; i < NODES; i++)
		if (is_away(c, i))
			leave(sim, c, i);
	sim_run(sim, c->removed_at_us);
	remove_keys(sim, round);
	if (c->loses_history)
		sim_lose_history(sim);
	sim_run(sim, c->away_us - c->removed_at_us);
	for (int i = 0; i < NODES; i++)
		if (is_away(c, i))
			return_node(sim, c, i);
	rest(sim);
	ck_assert_msg(!sim_wrong_belief(sim), "%s, round %d: %s", c->name,
		      round, sim_wrong_belief(sim));
}

/* A removal that a new reader did not see stayed unknown to its domain. */
START_TEST(test_removed_while_away)
{
	const struct removal_case *c = &removal_cases[_i];
	struct sim *sim = sim_create(NODES, (uint64_t)_i + 1);

	sim_add_targets(sim, "s", 2);
	sim_add_target(sim, "single", 0);
	sim_configure(sim, 1);
	for (int i = 0; i < NODES; i++)
		sim_start_node(sim, i);
	sim_run_until_ready(sim);
	for (int round = 0; round < ROUNDS; round++)
		run_round(sim, c, round);
	sim_destroy(sim);
}
END_TEST

/** enum input_kind - where keys come from; IN_NONE ends a case's inputs */
enum input_kind {
	IN_NONE,
	IN_LIST, /* another node */
	IN_CHANGES, /* a watch of the store */
	IN_SCAN, /* a scan of the store begins */
	IN_PAGE, /* a part of it */
	IN_SCAN_END,
};

enum {
	INPUTS_MAX = 5,
	DELETED = -1, /* factor of the revision of a deletion */
};

/**
 * struct input - keys as of a revision
 * @since, @history_start: of a list
 * @x: revision of key x; negative: of its deletion, 0: it is not among them
 */
struct input {
	enum input_kind kind;
	uint64_t since;
	uint64_t revision;
	uint64_t history_start;
	int x;
};

/** struct list_case - inputs, and what the replica then holds */
struct list_case {
	const char *name;
	struct input inputs[INPUTS_MAX];
	bool has_x;
	uint64_t revision;
	uint64_t history_start;
};

static const struct list_case list_cases[] = {
	{ "deleted before the sender's scan",
	  { { IN_LIST, 0, 20, 5, 10 }, { IN_LIST, 0, 30, 25, 0 } },
	  false,
	  30,
	  25 },
	{ "the sender holds the deletion",
	  { { IN_LIST, 0, 20, 5, 10 }, { IN_LIST, 15, 30, 5, 22 * DELETED } },
	  false,
	  30,
	  5 },
	{ "all keys from a sender that holds as much",
	  { { IN_LIST, 0, 20, 5, 10 }, { IN_LIST, 0, 30, 15, 0 } },
	  false,
	  30,
	  5 },
	{ "changes are missing",
	  { { IN_LIST, 0, 20, 5, 10 }, { IN_LIST, 25, 30, 5, 0 } },
	  true,
	  20,
	  5 },
	{ "published behind missing changes",
	  { { IN_LIST, 0, 20, 5, 0 }, { IN_LIST, 25, 30, 5, 27 } },
	  true,
	  20,
	  5 },
	{ "an older node holds it still",
	  { { IN_LIST, 0, 40, 35, 0 }, { IN_LIST, 0, 30, 5, 10 } },
	  false,
	  40,
	  35 },
	{ "an older node holds what came after a known deletion",
	  { { IN_LIST, 0, 20, 5, 12 * DELETED },
	    { IN_LIST, 0, 40, 35, 0 },
	    { IN_LIST, 0, 30, 5, 25 } },
	  false,
	  40,
	  35 },
	{ "all keys and an old deletion",
	  { { IN_LIST, 0, 20, 5, 18 }, { IN_LIST, 0, 30, 25, 12 * DELETED } },
	  false,
	  30,
	  25 },
	{ "a reply of the store was under way",
	  { { IN_LIST, 0, 20, 5, 0 },
	    { IN_LIST, 0, 40, 35, 0 },
	    { IN_CHANGES, 0, 30, 0, 25 } },
	  false,
	  40,
	  35 },
	{ "a page of the store was under way",
	  { { IN_SCAN, 0, 0, 0, 0 },
	    { IN_LIST, 0, 40, 35, 0 },
	    { IN_PAGE, 0, 30, 0, 25 },
	    { IN_SCAN_END, 0, 30, 0, 0 } },
	  false,
	  40,
	  35 },
	{ "an older node sends it during a scan",
	  { { IN_SCAN, 0, 0, 0, 0 },
	    { IN_PAGE, 0, 30, 0, 0 },
	    { IN_LIST, 0, 20, 5, 10 },
	    { IN_SCAN_END, 0, 30, 0, 0 } },
	  false,
	  30,
	  30 },
	{ "a scan finds it gone",
	  { { IN_LIST, 0, 20, 5, 10 },
	    { IN_SCAN, 0, 0, 0, 0 },
	    { IN_PAGE, 0, 30, 0, 0 },
	    { IN_SCAN_END, 0, 30, 0, 0 } },
	  false,
	  30,
	  30 },
	{ "a scan finds it, read before the newest list",
	  { { IN_SCAN, 0, 0, 0, 0 },
	    { IN_LIST, 0, 40, 35, 10 },
	    { IN_PAGE, 0, 30, 0, 10 },
	    { IN_SCAN_END, 0, 30, 0, 0 } },
	  true,
	  40,
	  35 },
	{ "written during a scan",
	  { { IN_SCAN, 0, 0, 0, 0 },
	    { IN_PAGE, 0, 30, 0, 0 },
	    { IN_LIST, 0, 35, 25, 33 },
	    { IN_SCAN_END, 0, 30, 0, 0 } },
	  true,
	  35,
	  25 },
};

static void feed(struct directory *dir, const struct input *in)
{
	struct store_item item = {
		.key = STR("all/t/x"),
		.value = STR("s0 10.0.0.1:80 0 0 1"),
		.revision = (uint64_t)(in->x < 0 ? -in->x : in->x),
		.deleted = in->x < 0,
	};
	struct key_list list = { in->since, in->revision, in->history_start,
				 &item, in->x != 0 };
	struct store_reply reply = { &item, in->x != 0, in->revision, false };

	if (in->kind == IN_LIST)
		directory_merge(dir, &list, 1);
	else if (in->kind == IN_CHANGES)
		directory_apply(dir, &reply, 1);
	else if (in->kind == IN_SCAN)
		directory_begin_scan(dir);
	else if (in->kind == IN_PAGE)
		directory_apply_page(dir, &reply, 1);
	else if (in->kind == IN_SCAN_END)
		directory_end_scan(dir, in->revision, 1);
}

/* A replica holds what its newest source holds, and claims no more. */
START_TEST(test_key_lists)
{
	const struct list_case *c = &list_cases[_i];
	apr_pool_t *pool;
	struct flow_effects fx;
	struct decision_log decision_log = { .fx = &fx };
	struct balancer *balancer;
	struct live_target *target;
	struct directory dir;
	struct buf packed = { 0 };

	apr_pool_create(&pool, NULL);
	flow_effects_init(&fx, pool);
	balancer = balancer_create(pool, STR("d0"), 0);
	directory_init(&dir, pool, &sim_dialect, balancer, &decision_log);
	for (int i = 0; i < INPUTS_MAX; i++)
		feed(&dir, &c->inputs[i]);
	target = balancer_first_target(balancer, str_hash(STR("s0")));
	ck_assert_msg((target && target->published) == c->has_x, "%s", c->name);
	ck_assert_msg(dir.revision == c->revision, "%s: revision", c->name);
	ck_assert_msg(dir.history_start == c->history_start, "%s: history",
		      c->name);
	ck_assert_uint_eq(directory_encode(&dir, c->history_start, &packed),
			  c->history_start);
	ck_assert_uint_eq(directory_encode(&dir, c->history_start - 1, &packed),
			  0);
	buf_free(&packed);
	directory_destroy(&dir);
	balancer_destroy(balancer);
	flow_effects_free(&fx);
	apr_pool_destroy(pool);
}
END_TEST

static void add_tests(TCase *tcase)
{
	tcase_add_loop_test(tcase, test_key_lists, 0, COUNT(list_cases));
	tcase_add_loop_test(tcase, test_removed_while_away, 0,
			    COUNT(removal_cases));
}

int main(void)
{
	return suite_run("relay", add_tests);
}
