/*
 * Serving under a poison question, which crashes every target that runs it: how
 * often it still reaches targets, and whether other questions are answered.
 */
#include <stdio.h>
#include <string.h>

#include <check.h>

#include "cluster.h"
#include "suite.h"

enum {
	MS_US = 1000,
	SECOND_US = 1000000,
	NODES = 3,
	START_NODES = 6,
	BLOCK_ROUNDS = 4,
	DOMAINS = 3,
	TARGETS = 6,
	ROUNDS = 12,
	/* Rounds with a crash later than DETECTION_US after the third crash. */
	LATE_ROUNDS_MAX = 3,
	DETECTION_US = 4 * SECOND_US,
	/* From this round on, other questions must get complete answers. */
	RECOVERED_ROUND = 5,
};

static struct cluster *create_started_cluster(int nodes)
{
	struct cluster_layout layout =
		cluster_default_layout(nodes, DOMAINS, TARGETS);
	struct cluster *cluster = cluster_create(
		7, &layout, cluster_lists_doc(1, 5000, 5000, 400, 400, 1));

	cluster_start_all(cluster);
	return cluster;
}

static size_t send_question(struct cluster *cluster, int node,
			    const char *terms)
{
	char body[200];

	snprintf(body, sizeof(body),
		 "{\"customer\":\"mill\",\"request_id\":\"r\","
		 "\"terms\":\"%s\",\"indexes\":[\"orders\"]}",
		 terms);
	return cluster_send_call(cluster, node, EV_QUESTION, body);
}

static bool is_complete(const struct cluster *cluster, size_t id)
{
	const struct cluster_call *call = &cluster->calls[id];

	return call->answers == 1 && call->status == 200 &&
	       memmem(call->body.ptr, call->body.len, "\"complete\":true",
		      sizeof("\"complete\":true") - 1);
}

/**
 * struct poison_case - a variant of the test
 * @kill: restart one node per round, all in turn
 */
struct poison_case {
	const char *name;
	bool kill;
};

static const struct poison_case poison_cases[] = {
	{ "calm", false },
	{ "nodes restart in turn", true },
};

/*
 * Guards against a question that crashes the targets of all shards, is retried
 * at their other replicas and repeated at another node, so that all other
 * questions lose their answers.
 */
START_TEST(test_poison_question_is_blocked)
{
	const struct poison_case *c = &poison_cases[_i];
	struct cluster *cluster = create_started_cluster(NODES);
	int64_t third_crash_at = 0;
	int late_rounds = 0;

	for (int round = 0; round < ROUNDS; round++) {
		int before = cluster->crashes;
		size_t other;

		if (c->kill) {
			cluster_kill_node(cluster, round % NODES);
			cluster_run(cluster, SECOND_US / 2);
			cluster_start_node(cluster, round % NODES);
			cluster_run(cluster, 4 * SECOND_US);
		}
		send_question(cluster, round % NODES, CLUSTER_POISON_TERMS);
		cluster_run(cluster, 2 * SECOND_US);
		late_rounds += third_crash_at &&
			       cluster->now - third_crash_at > DETECTION_US &&
			       cluster->crashes > before;
		if (!third_crash_at && cluster->crashes >= 3)
			third_crash_at = cluster->now;
		other = send_question(cluster, (round + 1) % NODES, "other");
		cluster_run(cluster, SECOND_US);
		if (round >= RECOVERED_ROUND)
			ck_assert_msg(is_complete(cluster, other),
				      "%s: round %d", c->name, round);
	}
	ck_assert_int_ge(cluster->crashes, 3);
	ck_assert_msg(late_rounds <= LATE_ROUNDS_MAX,
		      "%s: %d rounds with late crashes, %d crashes", c->name,
		      late_rounds, cluster->crashes);
	cluster_destroy(cluster);
}
END_TEST

/**
 * struct start_case - nodes that restart after the question was blocked
 * @first, @count: nodes that restart, out of START_NODES
 * @before: they are down before the question first comes
 * @gap_us: time between the starts of two nodes
 */
struct start_case {
	const char *name;
	int first;
	int count;
	bool before;
	int64_t gap_us;
};

static const struct start_case start_cases[] = {
	{ "one restarts", 5, 1, false, 0 },
	{ "one starts right after", 5, 1, true, 0 },
	{ "all but one restart at once", 1, 5, false, 0 },
	{ "all but one start right after", 1, 5, true, 0 },
	{ "all but one in turn", 1, 5, false, 150 * MS_US },
};

static void kill_nodes(struct cluster *cluster, const struct start_case *c)
{
	for (int i = 0; i < c->count; i++)
		cluster_kill_node(cluster, c->first + i);
}

/* A started node is sent a blocked question before it knows of the block. */
START_TEST(test_started_node_knows_what_is_blocked)
{
	const struct start_case *c = &start_cases[_i];
	struct cluster *cluster = create_started_cluster(START_NODES);
	int crashes;

	if (c->before)
		kill_nodes(cluster, c);
	for (int i = 0; i < BLOCK_ROUNDS; i++) {
		cluster_run(cluster, 3 * SECOND_US);
		send_question(cluster, 0, CLUSTER_POISON_TERMS);
	}
	cluster_run(cluster, SECOND_US / 2);
	kill_nodes(cluster, c);
	crashes = cluster->crashes;
	for (int i = 0; i < c->count; i++) {
		cluster_start_node(cluster, c->first + i);
		cluster_run(cluster, c->gap_us);
	}
	for (int i = 0; i < 400; i++) {
		send_question(cluster, i % START_NODES, CLUSTER_POISON_TERMS);
		cluster_run(cluster, 10 * MS_US);
	}
	ck_assert_int_ge(crashes, 3);
	ck_assert_msg(cluster->crashes == crashes,
		      "%s: %d targets crashed after the block", c->name,
		      cluster->crashes - crashes);
	cluster_destroy(cluster);
}
END_TEST

/*
 * A harmless question is in flight at the same targets each time that the
 * poison question arrives. It must not be mistaken for that one.
 */
START_TEST(test_other_question_is_served)
{
	struct cluster *cluster = create_started_cluster(NODES);
	size_t other;

	for (int round = 0; round < ROUNDS; round++) {
		send_question(cluster, round % NODES, "other");
		send_question(cluster, round % NODES, CLUSTER_POISON_TERMS);
		send_question(cluster, (round + 1) % NODES, "other");
		cluster_run(cluster, 2 * SECOND_US);
		other = send_question(cluster, (round + 2) % NODES, "other");
		cluster_run(cluster, SECOND_US);
		ck_assert_msg(is_complete(cluster, other), "round %d", round);
	}
	cluster_destroy(cluster);
}
END_TEST

static void add_tests(TCase *tcase)
{
	tcase_add_loop_test(tcase, test_poison_question_is_blocked, 0,
			    sizeof(poison_cases) / sizeof(*poison_cases));
	tcase_add_loop_test(tcase, test_started_node_knows_what_is_blocked, 0,
			    sizeof(start_cases) / sizeof(*start_cases));
	tcase_add_test(tcase, test_other_question_is_served);
}

int main(void)
{
	return suite_run("deadly-serve", add_tests);
}
