/*
 * Serving while one question crashes every target that runs it: how often it
 * still reaches targets, and whether other questions are answered.
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
	/* Rounds with a crash later than DETECTION_US after the third crash. */
	LATE_ROUNDS_MAX = 3,
	DETECTION_US = 4 * SECOND,
	/* From this round on, other questions must get complete answers. */
	RECOVERED_ROUND = 5,
};

static struct mesh *create_started_mesh(void)
{
	struct mesh_layout layout = mesh_layout(NODES, DOMAINS, TARGETS);
	struct mesh *mesh =
		mesh_create(7, &layout, mesh_lists(1, 5000, 5000, 400, 400, 1));

	mesh_start_all(mesh);
	return mesh;
}

static size_t send_question(struct mesh *mesh, int node, const char *terms)
{
	char body[200];

	snprintf(body, sizeof(body),
		 "{\"customer\":\"mill\",\"request_id\":\"r\","
		 "\"terms\":\"%s\",\"indexes\":[\"orders\"]}",
		 terms);
	return mesh_call(mesh, node, EV_QUESTION, body);
}

static bool is_complete(const struct mesh *mesh, size_t id)
{
	const struct mesh_answer *answer = &mesh->answers[id];

	return answer->count == 1 && answer->status == 200 &&
	       memmem(answer->body.ptr, answer->body.len, "\"complete\":true",
		      sizeof("\"complete\":true") - 1);
}

/**
 * struct deadly_case - a variant of the test
 * @kill: restart one node per round, all in turn
 */
struct deadly_case {
	const char *name;
	bool kill;
};

static const struct deadly_case deadly_cases[] = {
	{ "calm", false },
	{ "nodes restart in turn", true },
};

/*
 * Guards against a question that crashes the targets of all shards, is retried
 * at their other replicas and repeated at another node, so that all other
 * questions lose their answers.
 */
START_TEST(test_deadly_question_is_stopped)
{
	const struct deadly_case *c = &deadly_cases[_i];
	struct mesh *mesh = create_started_mesh();
	int64_t third_crash_at = 0;
	int late_rounds = 0;

	for (int round = 0; round < ROUNDS; round++) {
		int before = mesh->crashes;
		size_t other;

		if (c->kill) {
			mesh_kill(mesh, round % NODES);
			mesh_run(mesh, SECOND / 2);
			mesh_start(mesh, round % NODES);
			mesh_run(mesh, 4 * SECOND);
		}
		send_question(mesh, round % NODES, MESH_DEADLY);
		mesh_run(mesh, 2 * SECOND);
		late_rounds += third_crash_at &&
			       mesh->now - third_crash_at > DETECTION_US &&
			       mesh->crashes > before;
		if (!third_crash_at && mesh->crashes >= 3)
			third_crash_at = mesh->now;
		other = send_question(mesh, (round + 1) % NODES, "other");
		mesh_run(mesh, SECOND);
		if (round >= RECOVERED_ROUND)
			ck_assert_msg(is_complete(mesh, other), "%s: round %d",
				      c->name, round);
	}
	ck_assert_int_ge(mesh->crashes, 3);
	ck_assert_msg(late_rounds <= LATE_ROUNDS_MAX,
		      "%s: %d rounds with late crashes, %d crashes", c->name,
		      late_rounds, mesh->crashes);
	mesh_destroy(mesh);
}
END_TEST

/*
 * A harmless question is in flight at the same targets each time that the
 * deadly one arrives. It must not be mistaken for the deadly one.
 */
START_TEST(test_other_question_is_served)
{
	struct mesh *mesh = create_started_mesh();
	size_t other;

	for (int round = 0; round < ROUNDS; round++) {
		send_question(mesh, round % NODES, "other");
		send_question(mesh, round % NODES, MESH_DEADLY);
		send_question(mesh, (round + 1) % NODES, "other");
		mesh_run(mesh, 2 * SECOND);
		other = send_question(mesh, (round + 2) % NODES, "other");
		mesh_run(mesh, SECOND);
		ck_assert_msg(is_complete(mesh, other), "round %d", round);
	}
	mesh_destroy(mesh);
}
END_TEST

static void add_tests(TCase *tcase)
{
	tcase_add_loop_test(tcase, test_deadly_question_is_stopped, 0,
			    sizeof(deadly_cases) / sizeof(*deadly_cases));
	tcase_add_test(tcase, test_other_question_is_served);
}

int main(void)
{
	return suite_run("deadly-serve", add_tests);
}
