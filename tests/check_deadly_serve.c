/*
 * The product's own interface under a question that crashes each target that
 * runs it: how often it still reaches targets, and what becomes of others.
 */
#include <stdio.h>
#include <string.h>

#include <check.h>

#include "mesh.h"
#include "suite.h"

enum {
	MS = 1000,
	SECOND = 1000000,
	NODES = 3,
	DOMAINS = 3,
	TARGETS = 6,
	ROUNDS = 12,
	/* Tries that may reach targets later than this after the third crash.
	 */
	LATE_MOST = 3,
	STABLE_US = 4 * SECOND,
	/* From this round on others must be answered whole. */
	CALM_ROUND = 5,
};

static struct mesh *begin(void)
{
	struct mesh_layout layout = mesh_layout(NODES, DOMAINS, TARGETS);
	struct mesh *mesh =
		mesh_create(7, &layout, mesh_lists(1, 5000, 5000, 400, 400, 1));

	mesh_start_all(mesh);
	return mesh;
}

static size_t ask(struct mesh *mesh, int node, const char *terms)
{
	char body[200];

	snprintf(body, sizeof(body),
		 "{\"customer\":\"mill\",\"request_id\":\"r\","
		 "\"terms\":\"%s\",\"indexes\":[\"orders\"]}",
		 terms);
	return mesh_call(mesh, node, EV_QUESTION, body);
}

static bool is_whole(const struct mesh *mesh, size_t id)
{
	const struct mesh_answer *answer = &mesh->answers[id];

	return answer->count == 1 && answer->status == 200 &&
	       memmem(answer->body.ptr, answer->body.len, "\"complete\":true",
		      sizeof("\"complete\":true") - 1);
}

/** struct deadly_case - @kill: a node is replaced each round, all in turn */
struct deadly_case {
	const char *name;
	bool kill;
};

static const struct deadly_case deadly_cases[] = {
	{ "calm", false },
	{ "nodes restart in turn", true },
};

/*
 * The question crashes the targets of all shards, is retried at their other
 * replicas, and comes again at another node; all others lose their answers.
 */
START_TEST(test_deadly_question_is_stopped)
{
	const struct deadly_case *c = &deadly_cases[_i];
	struct mesh *mesh = begin();
	int64_t third_at = 0;
	int late = 0;

	for (int round = 0; round < ROUNDS; round++) {
		int before = mesh->crashes;
		size_t other;

		if (c->kill) {
			mesh_kill(mesh, round % NODES);
			mesh_run(mesh, SECOND / 2);
			mesh_start(mesh, round % NODES);
			mesh_run(mesh, 4 * SECOND);
		}
		ask(mesh, round % NODES, MESH_DEADLY);
		mesh_run(mesh, 2 * SECOND);
		late += third_at && mesh->now - third_at > STABLE_US &&
			mesh->crashes > before;
		if (!third_at && mesh->crashes >= 3)
			third_at = mesh->now;
		other = ask(mesh, (round + 1) % NODES, "other");
		mesh_run(mesh, SECOND);
		if (round >= CALM_ROUND)
			ck_assert_msg(is_whole(mesh, other), "%s: round %d",
				      c->name, round);
	}
	ck_assert_int_ge(mesh->crashes, 3);
	ck_assert_msg(late <= LATE_MOST, "%s: %d late tries, %d targets ended",
		      c->name, late, mesh->crashes);
	mesh_destroy(mesh);
}
END_TEST

/*
 * A harmless question is under way at the same targets each time that the
 * deadly one comes. It is not taken for it.
 */
START_TEST(test_other_question_is_served)
{
	struct mesh *mesh = begin();
	size_t other;

	for (int round = 0; round < ROUNDS; round++) {
		ask(mesh, round % NODES, "other");
		ask(mesh, round % NODES, MESH_DEADLY);
		ask(mesh, (round + 1) % NODES, "other");
		mesh_run(mesh, 2 * SECOND);
		other = ask(mesh, (round + 2) % NODES, "other");
		mesh_run(mesh, SECOND);
		ck_assert_msg(is_whole(mesh, other), "round %d", round);
	}
	mesh_destroy(mesh);
}
END_TEST

static void add(TCase *tcase)
{
	tcase_add_loop_test(tcase, test_deadly_question_is_stopped, 0,
			    sizeof(deadly_cases) / sizeof(*deadly_cases));
	tcase_add_test(tcase, test_other_question_is_served);
}

int main(void)
{
	return suite_run("deadly-serve", add);
}
