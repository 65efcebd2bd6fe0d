/*
 * Requests that crash the targets that run them: how they are told from others,
 * and what is done about them.
 */
#include <stdio.h>
#include <stdlib.h>

#include <check.h>

#include "suite.h"

#include "../payload.h"
#include "../poison.h"
#include "../balancer.h"

#define COUNT(table) (int)(sizeof(table) / sizeof(*(table)))

/** struct print_case - a request beside the one that it is compared with */
struct print_case {
	const char *name;
	struct flow_request request;
	bool same_content;
	bool same_caller;
};

static const struct flow_request compared = {
	.method = { "GET", 3 },
	.host = { "a.example", 9 },
	.uri = { "/x/1?n=2", 8 },
	.request_id = { "1", 1 },
	.body = { "terms", 5 },
	.caller = { "10.0.0.1", 8 },
};

static const struct print_case print_cases[] = {
	{ "a retry of it",
	  { .method = { "GET", 3 },
	    .host = { "a.example", 9 },
	    .uri = { "/x/1?n=2", 8 },
	    .request_id = { "2", 1 },
	    .body = { "terms", 5 },
	    .caller = { "10.0.0.1", 8 },
	    .time_left_us = 5 },
	  true,
	  true },
	{ "of another caller",
	  { .method = { "GET", 3 },
	    .host = { "a.example", 9 },
	    .uri = { "/x/1?n=2", 8 },
	    .body = { "terms", 5 },
	    .caller = { "10.0.0.2", 8 } },
	  true,
	  false },
	{ "another query",
	  { .method = { "GET", 3 },
	    .host = { "a.example", 9 },
	    .uri = { "/x/1?n=3", 8 },
	    .body = { "terms", 5 },
	    .caller = { "10.0.0.1", 8 } },
	  false,
	  true },
	{ "another body",
	  { .method = { "GET", 3 },
	    .host = { "a.example", 9 },
	    .uri = { "/x/1?n=2", 8 },
	    .body = { "term", 4 },
	    .caller = { "10.0.0.1", 8 } },
	  false,
	  true },
	{ "the same bytes, divided elsewhere",
	  { .method = { "GET", 3 },
	    .host = { "a.example", 9 },
	    .uri = { "/x/1?n=2t", 9 },
	    .body = { "erms", 4 },
	    .caller = { "10.0.0.1", 8 } },
	  false,
	  true },
	{ "another host",
	  { .method = { "GET", 3 },
	    .host = { "b.example", 9 },
	    .uri = { "/x/1?n=2", 8 },
	    .body = { "terms", 5 },
	    .caller = { "10.0.0.1", 8 } },
	  false,
	  true },
};

/* A request is known again under another id, and no other is taken for it. */
START_TEST(test_fingerprint)
{
	const struct print_case *c = &print_cases[_i];
	struct fingerprint a = flow_fingerprint(&compared);
	struct fingerprint b = flow_fingerprint(&c->request);

	ck_assert_msg(!memcmp(a.content, b.content, sizeof(a.content)) ==
			      c->same_content,
		      "%s", c->name);
	ck_assert_msg((a.caller == b.caller) == c->same_caller, "%s", c->name);
}
END_TEST

enum {
	SECOND_US = 1000000,
	STEPS_MAX = 12,
};

/** enum step_kind - what happens to a request */
enum step_kind {
	STEP_END,
	STEP_BROKE, /* at a target, in the round that follows from what is known
		     */
	STEP_BESIDE, /* the same, but sent in the first round */
	STEP_SERVED,
	STEP_PASS, /* @target seconds pass */
	STEP_GONE, /* the target's entry goes */
	STEP_SETTLE, /* the table is compared with the store */
};

/** struct step - @caller: 0 or 1; @target: index */
struct step {
	enum step_kind kind;
	int caller;
	int target;
};

/**
 * struct verdict_case - what comes of evidence
 * @verdicts: of the request of either caller, at the end
 */
struct verdict_case {
	const char *name;
	struct step steps[STEPS_MAX];
	enum poison_verdict verdicts[2];
};

static const struct verdict_case verdict_cases[] = {
	{ "one break", { { STEP_BROKE, 0, 0 } }, { POISON_NONE, POISON_NONE } },
	{ "twice at the same target",
	  { { STEP_BROKE, 0, 0 }, { STEP_BROKE, 0, 0 } },
	  { POISON_NONE, POISON_NONE } },
	{ "two targets",
	  { { STEP_BROKE, 0, 0 }, { STEP_BROKE, 0, 1 } },
	  { POISON_SUSPECT, POISON_SUSPECT } },
	{ "many at once: others under way there look the same",
	  { { STEP_BESIDE, 0, 0 },
	    { STEP_BESIDE, 0, 1 },
	    { STEP_BESIDE, 0, 2 },
	    { STEP_BESIDE, 0, 3 },
	    { STEP_BESIDE, 0, 4 } },
	  { POISON_SUSPECT, POISON_SUSPECT } },
	{ "many at once, and at the next target",
	  { { STEP_BESIDE, 0, 0 },
	    { STEP_BESIDE, 0, 1 },
	    { STEP_BESIDE, 0, 2 },
	    { STEP_BROKE, 0, 3 } },
	  { POISON_SUSPECT, POISON_SUSPECT } },
	{ "one after the other",
	  { { STEP_BROKE, 0, 0 }, { STEP_BROKE, 0, 1 }, { STEP_BROKE, 0, 2 } },
	  { POISON_BLOCKED, POISON_SUSPECT } },
	{ "answered in between",
	  { { STEP_BROKE, 0, 0 },
	    { STEP_BROKE, 0, 1 },
	    { STEP_SERVED, 0, 0 },
	    { STEP_PASS, 0, 11 },
	    { STEP_BROKE, 0, 2 } },
	  { POISON_NONE, POISON_NONE } },
	{ "answered just before",
	  { { STEP_SERVED, 0, 0 },
	    { STEP_BROKE, 0, 0 },
	    { STEP_BROKE, 0, 1 },
	    { STEP_BROKE, 0, 2 } },
	  { POISON_NONE, POISON_NONE } },
	{ "answered long before",
	  { { STEP_SERVED, 0, 0 },
	    { STEP_PASS, 0, 11 },
	    { STEP_BROKE, 0, 0 },
	    { STEP_BROKE, 0, 1 },
	    { STEP_BROKE, 0, 2 } },
	  { POISON_BLOCKED, POISON_SUSPECT } },
	{ "harmless from another caller",
	  { { STEP_BROKE, 0, 0 },
	    { STEP_BROKE, 0, 1 },
	    { STEP_BROKE, 0, 2 },
	    { STEP_SERVED, 1, 3 } },
	  { POISON_BLOCKED, POISON_NONE } },
	{ "from two callers",
	  { { STEP_BROKE, 0, 0 },
	    { STEP_BROKE, 0, 1 },
	    { STEP_BROKE, 0, 2 },
	    { STEP_BROKE, 1, 3 },
	    { STEP_BROKE, 1, 4 } },
	  { POISON_BLOCKED, POISON_BLOCKED } },
	{ "the targets never ended",
	  { { STEP_BROKE, 0, 0 },
	    { STEP_BROKE, 0, 1 },
	    { STEP_BROKE, 0, 2 },
	    { STEP_PASS, 0, 11 },
	    { STEP_SETTLE, 0, 0 } },
	  { POISON_NONE, POISON_NONE } },
	{ "one of them ended",
	  { { STEP_BROKE, 0, 0 },
	    { STEP_BROKE, 0, 1 },
	    { STEP_BROKE, 0, 2 },
	    { STEP_GONE, 0, 1 },
	    { STEP_PASS, 0, 11 },
	    { STEP_SETTLE, 0, 0 } },
	  { POISON_NONE, POISON_NONE } },
	{ "all of them ended",
	  { { STEP_BROKE, 0, 0 },
	    { STEP_BROKE, 0, 1 },
	    { STEP_BROKE, 0, 2 },
	    { STEP_GONE, 0, 0 },
	    { STEP_GONE, 0, 1 },
	    { STEP_GONE, 0, 2 },
	    { STEP_PASS, 0, 4000 },
	    { STEP_SETTLE, 0, 0 } },
	  { POISON_BLOCKED, POISON_SUSPECT } },
	{ "two broke long ago",
	  { { STEP_BROKE, 0, 0 },
	    { STEP_BROKE, 0, 1 },
	    { STEP_GONE, 0, 0 },
	    { STEP_GONE, 0, 1 },
	    { STEP_PASS, 0, 4000 },
	    { STEP_SETTLE, 0, 0 } },
	  { POISON_NONE, POISON_NONE } },
};

/** struct scene - a book of evidence, and the table of targets beside it */
struct scene {
	apr_pool_t *pool;
	struct balancer *balancer;
	struct poison poison;
	int64_t now;
};

static struct str target_id(struct scene *scene, int target)
{
	char id[16];
	int len = snprintf(id, sizeof(id), "t%d", target);

	return str_dup(scene->pool, (struct str){ id, (size_t)len });
}

static bool is_live(const void *ctx, const struct poison_crash *crash)
{
	return balancer_is_published(ctx, crash->key, crash->born_ms);
}

static void scene_init(struct scene *scene)
{
	apr_pool_create(&scene->pool, NULL);
	scene->now = 100 * (int64_t)SECOND_US;
	scene->balancer = balancer_create(scene->pool, STR("here"), 0);
	poison_init(&scene->poison, scene->pool,
		    (struct poison_targets){ is_live, scene->balancer });
	for (int i = 0; i < POISON_TARGETS_MAX; i++) {
		struct target_entry entry = { .id = target_id(scene, i),
					      .service = 1,
					      .addr = STR("10.0.0.1:80"),
					      .domain = STR("here") };

		balancer_publish(scene->balancer, &entry, scene->now);
	}
}

static void scene_destroy(struct scene *scene)
{
	poison_destroy(&scene->poison);
	balancer_destroy(scene->balancer);
	apr_pool_destroy(scene->pool);
}

static struct fingerprint print_of(int content, int caller)
{
	return (struct fingerprint){ { 7, (uint64_t)content },
				     (uint64_t)caller + 1 };
}

static void broke(struct scene *scene, const struct fingerprint *fingerprint,
		  int round, int target)
{
	struct poison_crash crash = { .key = str_hash(target_id(scene, target)),
				      .at = scene->now };

	poison_on_crash(&scene->poison, fingerprint, round, &crash);
}

static void take_step(struct scene *scene, const struct step *step)
{
	struct fingerprint fingerprint = print_of(0, step->caller);

	switch (step->kind) {
	case STEP_END:
		break;
	case STEP_BROKE:
		broke(scene, &fingerprint,
		      poison_next_round(&scene->poison, &fingerprint),
		      step->target);
		break;
	case STEP_BESIDE:
		broke(scene, &fingerprint, 1, step->target);
		break;
	case STEP_SERVED:
		poison_on_answer(&scene->poison, &fingerprint, scene->now);
		break;
	case STEP_PASS:
		scene->now += step->target * (int64_t)SECOND_US;
		break;
	case STEP_GONE:
		balancer_unpublish(scene->balancer,
				   target_id(scene, step->target), scene->now);
		break;
	case STEP_SETTLE:
		poison_sweep(&scene->poison, true, scene->now);
		break;
	}
}

/* Only a request that no target answers, time after time, is blocked. */
START_TEST(test_verdict)
{
	const struct verdict_case *c = &verdict_cases[_i];
	struct scene scene;

	scene_init(&scene);
	for (int i = 0; i < STEPS_MAX && c->steps[i].kind; i++)
		take_step(&scene, &c->steps[i]);
	for (int caller = 0; caller < 2; caller++) {
		struct fingerprint fingerprint = print_of(0, caller);

		ck_assert_msg(poison_verdict(&scene.poison, &fingerprint) ==
				      c->verdicts[caller],
			      "%s: caller %d: verdict %d", c->name, caller,
			      poison_verdict(&scene.poison, &fingerprint));
	}
	scene_destroy(&scene);
}
END_TEST

/* Another node comes to the same verdict from what it is sent. */
START_TEST(test_verdict_of_another_node)
{
	const struct verdict_case *c = &verdict_cases[_i];
	struct poison_entry *list[POISON_TARGETS_MAX];
	struct poison_entry *got;
	struct buf body = { 0 };
	struct scene scene;
	struct scene other;
	size_t count = 0;

	scene_init(&scene);
	scene_init(&other);
	for (int i = 0; i < STEPS_MAX && c->steps[i].kind; i++) {
		take_step(&scene, &c->steps[i]);
		if (c->steps[i].kind == STEP_GONE)
			take_step(&other, &c->steps[i]);
	}
	for (apr_hash_index_t *it = apr_hash_first(NULL, scene.poison.entries);
	     it; it = apr_hash_next(it))
		for (list[count] = hash_value(it); list[count];
		     list[count] = list[count - 1]->next)
			count++;
	payload_encode_suspects(list, count, scene.now, &body);
	ck_assert(!payload_decode_suspects(buf_str(&body), other.now,
					   other.pool, &got, &count));
	for (size_t i = 0; i < count; i++)
		poison_merge(&other.poison, &got[i], false, true, other.now);
	for (int caller = 0; caller < 2; caller++) {
		struct fingerprint fingerprint = print_of(0, caller);

		ck_assert_msg(poison_verdict(&other.poison, &fingerprint) ==
				      c->verdicts[caller],
			      "%s: caller %d", c->name, caller);
	}
	ck_assert_uint_eq(
		poison_digest(&scene.poison, scene.now + 4 * SECOND_US),
		poison_digest(&other.poison, scene.now + 4 * SECOND_US));
	buf_free(&body);
	scene_destroy(&scene);
	scene_destroy(&other);
}
END_TEST

/* A caller who varies what it asks neither fills memory nor frees the guilty.
 */
START_TEST(test_many_suspects)
{
	struct fingerprint guilty = print_of(0, 0);
	struct scene scene;

	scene_init(&scene);
	for (int i = 0; i < 3; i++)
		broke(&scene, &guilty, i + 1, i);
	for (int i = 1; i < 3 * POISON_ENTRIES_MAX; i++) {
		struct fingerprint fingerprint = print_of(i, 0);

		scene.now += SECOND_US / 1000;
		broke(&scene, &fingerprint, 1, 0);
		broke(&scene, &fingerprint, 1, 1);
	}
	ck_assert_uint_le(scene.poison.count, POISON_ENTRIES_MAX);
	ck_assert_int_eq(poison_verdict(&scene.poison, &guilty),
			 POISON_BLOCKED);
	scene_destroy(&scene);
}
END_TEST

/* Repeats that come to several nodes at once crash one target, not one each. */
START_TEST(test_one_trial_at_a_time)
{
	struct fingerprint fingerprint = print_of(0, 0);
	struct fingerprint other = print_of(0, 1);
	struct scene scene;

	scene_init(&scene);
	ck_assert(poison_take_lease(&scene.poison, &fingerprint, scene.now));
	ck_assert(!poison_take_lease(&scene.poison, &fingerprint, scene.now));
	ck_assert(!poison_take_lease(&scene.poison, &other, scene.now));
	scene.now += 2 * SECOND_US;
	ck_assert(poison_take_lease(&scene.poison, &other, scene.now));
	scene_destroy(&scene);
}
END_TEST

static void add(TCase *tcase)
{
	tcase_add_loop_test(tcase, test_fingerprint, 0, COUNT(print_cases));
	tcase_add_loop_test(tcase, test_verdict, 0, COUNT(verdict_cases));
	tcase_add_loop_test(tcase, test_verdict_of_another_node, 0,
			    COUNT(verdict_cases));
	tcase_add_test(tcase, test_many_suspects);
	tcase_add_test(tcase, test_one_trial_at_a_time);
}

int main(void)
{
	return suite_run("poison", add);
}
