/*
 * Parts of the tier that need no network: records, budgets, routes, the choice
 * of targets, heads. A table of cases each.
 */
#include <math.h>
#include <stdio.h>

#include <check.h>

#include "../budget.h"
#include "../call.h"
#include "../directory.h"
#include "../head.h"
#include "../line.h"
#include "../poison_news.h"
#include "../note.h"
#include "../platform/platform.h"
#include "../records.h"
#include "../roster.h"
#include "suite.h"

enum {
	SECOND_US = 1000000,
	/* What a reply of a target in these cases usually takes. */
	USUAL_US = 10000,
};

static apr_pool_t *pool;

static void make_pool(void)
{
	apr_pool_create(&pool, NULL);
}

static void drop_pool(void)
{
	apr_pool_destroy(pool);
}

/* Records: the greatest, equal ones counted, remainders left. */

/** struct merge_case - bodies by letters, a record each; '-': half a record */
struct merge_case {
	size_t cap;
	const char *bodies[3];
	const char *want;
};

#define TEN(letter) \
	letter letter letter letter letter letter letter letter letter letter
/* More than there is room for at first. */
#define MANY(letter) TEN(TEN(letter))

static const struct merge_case merge_cases[] = {
	{ 1000, { MANY("a"), "b", MANY("c") }, MANY("c") "b" MANY("a") },
	{ 101, { MANY("a"), "b", MANY("c") }, MANY("c") "b" },
	{ 3, { "abc", "d", NULL }, "dcb" },
	{ 3, { "cba", "abd", NULL }, "dcb" },
	{ 4, { "aab", "ba", NULL }, "bbaa" },
	{ 4, { "a", NULL }, "a" },
	{ 2, { "ab-", "c", NULL }, "cb" },
	{ 2, { "-", "", NULL }, "" },
	{ 0, { "ab", NULL }, "" },
};

static struct str make_body(const char *letters)
{
	char *bytes = apr_pcalloc(pool, strlen(letters) * RECORD_SIZE + 1);
	size_t len = 0;

	for (const char *at = letters; *at; at++) {
		size_t size = *at == '-' ? RECORD_SIZE / 2 : RECORD_SIZE;

		memset(bytes + len, *at, size);
		len += size;
	}
	return (struct str){ bytes, len };
}

START_TEST(test_records)
{
	const struct merge_case *c = &merge_cases[_i];
	struct records records;
	struct str got;

	records_init(&records, c->cap, pool);
	for (int i = 0; i < 3 && c->bodies[i]; i++)
		records_take(&records, make_body(c->bodies[i]));
	got = records_str(&records);
	ck_assert_uint_eq(got.len, strlen(c->want) * RECORD_SIZE);
	for (size_t i = 0; i < strlen(c->want); i++)
		ck_assert_int_eq(got.ptr[i * RECORD_SIZE], c->want[i]);
}
END_TEST

/* Budgets: ratio and extra, shared by nodes, over a sliding window. */

struct budget_case {
	int nodes;
	int first;
	int64_t later_us;
	double share; /* 0: 1 / nodes */
	int most; /* 0.8 x (0.2 x first + 50 x share) */
};

static const struct budget_case budget_cases[] = {
	{ 1, 0, 0, 0, 40 },
	{ 5, 0, 0, 0, 8 },
	{ 5, 100, 0, 0, 24 },
	{ 5, 100, 5 * SECOND_US, 0, 24 },
	{ 5, 100, 12 * SECOND_US, 0, 8 },
	{ 100, 0, 0, 0, 0 },
	{ 100, 0, 0, 0.1, 4 },
	{ 100, 100, 0, 0.1, 20 },
};

START_TEST(test_budget)
{
	const struct budget_case *c = &budget_cases[_i];
	struct budget_rules rules = { 0.2, 50, 10 * SECOND_US };
	struct budget *budget = budget_create(pool, rules);
	int taken = 0;

	budget_nodes(budget, c->nodes);
	for (int i = 0; i < c->first; i++)
		budget_first(budget, 7, SECOND_US);
	while (taken < 1000 &&
	       budget_take(budget, 7, c->share, SECOND_US + c->later_us))
		taken++;
	ck_assert_int_eq(taken, c->most);
	ck_assert_int_eq(budget_left(budget, 8, 0, SECOND_US),
			 (int)(0.8 * 50 / c->nodes));
	budget_destroy(budget);
}
END_TEST

/* Routes: host without case and port, the longest prefix. */

struct route_case {
	const char *host;
	const char *path;
	const char *name;
};

static const struct route_case route_cases[] = {
	{ "h.example", "/a/x", "a" },
	{ "H.Example:80", "/a/x", "a" },
	{ "h.example", "/a/b/x", "ab" },
	{ "h.example", "/a/bx", "a" },
	{ "other.example", "/a/x", "other" },
	{ "h.example", "/b/", NULL },
	{ "h.example", "/a", NULL },
	{ "h.exampl", "/a/x", NULL },
	{ "", "/a/x", NULL },
};

static const char config_text[] =
	"{\"version\":3,\"routes\":["
	"{\"name\":\"a\",\"host\":\"h.example\",\"prefix\":\"/a/\","
	"\"kind\":\"idempotent\",\"service\":\"s\",\"timeout_ms\":500,"
	"\"goal_ms\":50,\"max_attempts\":2,\"priority\":1},"
	"{\"name\":\"ab\",\"host\":\"h.example\",\"prefix\":\"/a/b/\","
	"\"kind\":\"non_idempotent\",\"split\":["
	"{\"service\":\"s\",\"weight\":3},{\"service\":\"t\",\"weight\":1}]},"
	"{\"name\":\"other\",\"host\":\"other.example\",\"prefix\":\"/a/\","
	"\"kind\":\"idempotent\",\"gather\":[\"s\",\"t\"],\"top_k\":5,"
	"\"min_share\":0.75}],"
	"\"services\":[{\"name\":\"s\",\"health_path\":\"/h\","
	"\"max_conns\":9,\"warmup_s\":3.0,\"cold_per_s\":2.5,"
	"\"protocol\":\"h1\",\"tls\":false},"
	"{\"name\":\"t\",\"health_path\":\"/h\",\"max_conns\":4}],"
	"\"limits\":{\"max_body_bytes\":1000}}";

static struct catalog *read_catalog(void)
{
	struct error err = { 0 };
	struct fact fact;

	ck_assert_int_eq(platform_decode(STR("op/config"), str_of(config_text),
					 &fact, pool, &err),
			 0);
	return fact.catalog;
}

START_TEST(test_routes)
{
	const struct route_case *c = &route_cases[_i];
	struct catalog *catalog = read_catalog();
	const struct route *route =
		catalog_route(catalog, str_of(c->host), str_of(c->path));

	if (c->name) {
		ck_assert_ptr_nonnull(route);
		ck_assert(str_eq(route->name, str_of(c->name)));
	} else {
		ck_assert_ptr_null(route);
	}
	catalog_unref(catalog);
}
END_TEST

START_TEST(test_configuration)
{
	struct catalog *catalog = read_catalog();

	ck_assert_uint_eq(catalog->version, 3);
	ck_assert_uint_eq(catalog->nroutes, 3);
	ck_assert(catalog->routes[0].repeatable);
	ck_assert_int_eq(catalog->routes[0].timeout_us, 500000);
	ck_assert_int_eq(catalog->routes[0].goal_us, 50000);
	ck_assert(!catalog->routes[1].repeatable);
	ck_assert_uint_eq(catalog->routes[1].nshares, 2);
	ck_assert_uint_eq(catalog->routes[2].nshards, 2);
	ck_assert_uint_eq(catalog->routes[2].top, 5);
	ck_assert_int_eq(catalog->services[0].max_conns, 9);
	ck_assert_int_eq(catalog->services[0].warmup_us, 3 * SECOND_US);
	ck_assert_uint_eq(catalog->limits.body_bytes, 1000);
	catalog_unref(catalog);
}
END_TEST

/* Choice of targets: a and b, alike but for what the case says. */

enum choice_fact {
	FAR_B = 1, /* b is in another failure domain */
	BUSY_A = 2, /* a has two requests under way */
	STUCK_A = 4, /* a's reply is overdue */
	SLOW_A = 8, /* a has been slow */
	SHEDS_A = 16, /* a rejects what it gets */
	DOWN_A = 32, /* a takes no connections */
	LEAVING_A = 64, /* a's entry says so */
	GONE_A = 128, /* a's entry is gone */
	LAPSED_A = 256, /* the same, while the store was away */
	OUT_A = 512, /* a's domain is taken out */
	TRIED_A = 1024,
	TRIED_B = 2048,
	SLOW_LONG_AGO_A = 4096,
};

struct choice_case {
	int facts;
	const char *want; /* of "a", "b", "" for none */
};

static const struct choice_case choice_cases[] = {
	{ FAR_B, "a" },
	{ FAR_B | BUSY_A, "a" },
	{ BUSY_A, "b" },
	{ FAR_B | STUCK_A, "b" },
	{ FAR_B | SLOW_A, "b" },
	{ FAR_B | SLOW_LONG_AGO_A, "a" },
	{ FAR_B | SHEDS_A, "b" },
	{ FAR_B | DOWN_A, "b" },
	{ FAR_B | LEAVING_A, "b" },
	{ FAR_B | GONE_A, "b" },
	{ FAR_B | LAPSED_A, "a" },
	{ FAR_B | OUT_A, "b" },
	{ FAR_B | TRIED_A, "b" },
	{ FAR_B | TRIED_A | TRIED_B, "" },
	{ FAR_B | TRIED_B | DOWN_A, "" },
	{ FAR_B | TRIED_B | SHEDS_A, "a" },
	{ FAR_B | TRIED_B | LEAVING_A, "" },
};

static struct target_entry entry(const char *id, const char *domain)
{
	return (struct target_entry){ .id = str_of(id),
				      .service = 5,
				      .addr = STR("10.0.0.1:1"),
				      .domain = str_of(domain),
				      .slots = 2 };
}

static struct live_target *find(struct roster *roster, const char *id)
{
	struct live_target *target = roster_first(roster, 5);

	while (target && !str_eq(target->id, str_of(id)))
		target = target->next;
	return target;
}

static void reply(struct roster *roster, enum target_reply what, int64_t us,
		  int64_t now)
{
	struct live_target *a = find(roster, "a");

	for (int i = 0; i < 5; i++) {
		track_sent(a, USUAL_US, now - us);
		roster_answered(roster, a, what, USUAL_US, now - us, now);
	}
}

static void apply(struct roster *roster, int facts, int64_t now)
{
	struct target_entry leaving = entry("a", "here");

	leaving.leaving = true;
	if (facts & BUSY_A) {
		track_sent(find(roster, "a"), USUAL_US, now);
		track_sent(find(roster, "a"), USUAL_US, now);
	}
	if (facts & STUCK_A)
		track_sent(find(roster, "a"), USUAL_US, now - 50000);
	if (facts & SLOW_A)
		reply(roster, REPLY_GOOD, 200000, now);
	if (facts & SLOW_LONG_AGO_A)
		reply(roster, REPLY_GOOD, 200000, now - 6 * SECOND_US);
	if (facts & SHEDS_A)
		reply(roster, REPLY_FULL, 1000, now - 20000);
	if (facts & DOWN_A)
		reply(roster, REPLY_DOWN, 1000, now);
	if (facts & LEAVING_A)
		roster_put(roster, &leaving, now);
	if (facts & LAPSED_A)
		roster_store_lost(roster, now - SECOND_US);
	if (facts & (GONE_A | LAPSED_A))
		roster_drop(roster, STR("a"), now - SECOND_US / 2);
	if (facts & OUT_A)
		roster_domain(roster, STR("here"), true);
}

START_TEST(test_choice)
{
	const struct choice_case *c = &choice_cases[_i];
	struct roster *roster = roster_create(pool, STR("here"), 0);
	struct target_entry a = entry("a", "here");
	struct target_entry b = entry("b", c->facts & FAR_B ? "there" : "here");
	int64_t now = 100 * (int64_t)SECOND_US;
	uint64_t tried[2];
	struct choice choice = {
		.service = 5, .avoid = tried, .usual_us = USUAL_US, .now = now
	};
	struct live_target *got;

	roster_put(roster, &a, now - 20 * SECOND_US);
	roster_put(roster, &b, now - 20 * SECOND_US);
	apply(roster, c->facts, now);
	if (c->facts & TRIED_A)
		tried[choice.navoid++] = str_hash(STR("a"));
	if (c->facts & TRIED_B)
		tried[choice.navoid++] = str_hash(STR("b"));
	got = roster_choose(roster, &choice);
	if (*c->want) {
		ck_assert_ptr_nonnull(got);
		ck_assert(str_eq(got->id, str_of(c->want)));
	} else {
		ck_assert_ptr_null(got);
	}
	roster_destroy(roster);
}
END_TEST

/*
 * A target starts again under its id: what was known of the process before
 * says nothing of the new one.
 */
START_TEST(test_target_starts_again)
{
	struct roster *roster = roster_create(pool, STR("here"), 0);
	struct target_entry a = entry("a", "here");
	int64_t now = 100 * (int64_t)SECOND_US;

	a.born_ms = 1;
	roster_put(roster, &a, now);
	reply(roster, REPLY_DOWN, 1000, now);
	roster_drop(roster, STR("a"), now);
	ck_assert_int_ne(roster_use(roster, find(roster, "a"), now), USE_OK);
	a.born_ms = 2;
	roster_put(roster, &a, now);
	ck_assert_int_eq(roster_use(roster, find(roster, "a"), now), USE_OK);
	roster_destroy(roster);
}
END_TEST

/*
 * A target takes requests and answers none, while its entry stands. The other
 * one gets the requests meanwhile; it is tried again after some seconds, and
 * first once it has answered. Were it never tried, it would be lost for good.
 */
START_TEST(test_silent_target)
{
	struct roster *roster = roster_create(pool, STR("here"), 0);
	struct target_entry a = entry("a", "here");
	struct target_entry b = entry("b", "there");
	int64_t now = 100 * (int64_t)SECOND_US;
	struct choice choice = { .service = 5, .usual_us = USUAL_US };
	struct live_target *target;

	roster_put(roster, &a, now);
	roster_put(roster, &b, now);
	target = find(roster, "a");
	for (int i = 0; i < 3; i++) {
		track_sent(target, USUAL_US, now);
		now += 150000;
		choice.now = now;
		ck_assert_ptr_eq(roster_choose(roster, &choice),
				 find(roster, "b"));
		roster_answered(roster, target, REPLY_DROPPED, USUAL_US,
				now - 150000, now);
	}
	choice.now = now + 500000;
	ck_assert_ptr_eq(roster_choose(roster, &choice), find(roster, "b"));
	choice.now = now + 10 * (int64_t)SECOND_US;
	ck_assert_ptr_eq(roster_choose(roster, &choice), target);
	for (int i = 0; i < 10; i++) {
		track_sent(target, USUAL_US, now);
		roster_answered(roster, target, REPLY_GOOD, USUAL_US, now,
				now + 9000);
	}
	choice.now = now + 9000;
	ck_assert_ptr_eq(roster_choose(roster, &choice), target);
	roster_destroy(roster);
}
END_TEST

/*
 * Two kinds of requests, one three times the work of the other. A target that
 * is slow is as slow for both: a caller of the short kind must not have its
 * request taken for late, or kept from a target, by times of the long kind.
 */
START_TEST(test_two_kinds)
{
	struct roster *roster = roster_create(pool, STR("here"), 0);
	struct target_entry a = entry("a", "here");
	int64_t now = 100 * (int64_t)SECOND_US;
	struct live_target *target;

	roster_put(roster, &a, now);
	target = find(roster, "a");
	for (int i = 0; i < 30; i++) {
		track_sent(target, 3 * USUAL_US, now);
		now += 6 * USUAL_US;
		roster_answered(roster, target, REPLY_GOOD, 3 * USUAL_US,
				now - 6 * USUAL_US, now);
	}
	ck_assert_double_eq_tol(track_reply_us(target, 3 * USUAL_US),
				6 * USUAL_US, USUAL_US / 10.0);
	ck_assert_double_eq_tol(track_reply_us(target, USUAL_US), 2 * USUAL_US,
				USUAL_US / 10.0);
	roster_destroy(roster);
}
END_TEST

/** struct usual_case - replies by turns, and what is usual after them */
struct usual_case {
	int64_t replies[10];
	double least;
	double most;
};

static const struct usual_case usual_cases[] = {
	{ { 20000 }, 18000, 22000 },
	/* One of ten is stuck in a pause: a mean would be 34,000. */
	{ { 10000, 11000, 9000, 10000, 250000, 10000, 9500, 10500, 11000,
	    9000 },
	  8000,
	  12500 },
};

/* The first reply counts in full; afterwards long ones do not move it much. */
START_TEST(test_usual)
{
	const struct usual_case *c = &usual_cases[_i];
	struct usual usual = { .us = 500 };

	for (int i = 0; i < 100; i++)
		if (c->replies[i % 10])
			usual_add(&usual, c->replies[i % 10]);
	ck_assert_double_ge(usual.us, c->least);
	ck_assert_double_le(usual.us, c->most);
}
END_TEST

static void tell_nobody(void *ctx, const struct msg *msg, bool near)
{
	(void)ctx;
	(void)msg;
	(void)near;
}

static void leave_it(struct calls *calls, struct call *call,
		     const struct attempt *attempt,
		     const struct flow_reply *reply)
{
	(void)calls;
	(void)call;
	(void)attempt;
	(void)reply;
}

/*
 * A shard waits for a target; one comes, is asked when the call is looked at
 * again, and fails. Whether another may be asked is for the call to say, which
 * may need another node's leave for it. Were the place that it had in line
 * still good, a second target would be asked at once, and with those that the
 * other node asks the route's bound on targets be broken.
 */
START_TEST(test_no_place_after_a_send)
{
	static const struct call_kind kind = { .name = "test",
					       .in_line = true,
					       .replied = leave_it };
	static const struct route route = { .attempts = 3, .goal_us = 100000 };
	struct flow_reply failed = { .result = FETCH_BROKEN };
	struct flow_request request = { .request_id = STR("r") };
	struct part part = { .service = 5 };
	struct target_entry a = entry("a", "here");
	struct target_entry b = entry("b", "there");
	struct flow_effects fx;
	struct note_book notes = { .fx = &fx };
	struct poison poison;
	struct poison_news news = { .poison = &poison,
				    .links = { tell_nobody, NULL, NULL },
				    .pool = pool };
	struct calls calls;
	struct call *call;

	flow_effects_init(&fx, pool);
	calls_init(&calls, pool, 1);
	calls.poison = &poison;
	calls.news = &news;
	calls.fx = &fx;
	calls.notes = &notes;
	calls.now = 100 * (int64_t)SECOND_US;
	calls.roster = roster_create(pool, STR("here"), 0);
	poison_init(&poison, pool, (struct poison_targets){ 0 });
	calls.budget = budget_create(
		pool, (struct budget_rules){ 1, 100, 10 * SECOND_US });
	call = call_create(&calls, 1, &request, catalog_create(), &route);
	call->kind = &kind;
	call->parts = &part;
	call->nparts = 1;
	ck_assert_int_eq(call_send(&calls, call, 0), SEND_NO_TARGET);
	roster_put(calls.roster, &a, calls.now);
	roster_put(calls.roster, &b, calls.now);
	ck_assert_int_eq(call_send(&calls, call, 0), SEND_DONE);
	call_replied(&calls, call->attempts->id, &failed);
	ck_assert_uint_eq(part.nsent, 1);
	ck_assert_int_eq(part.open, 0);
	call_finish(&calls, call);
	calls_destroy(&calls);
	poison_destroy(&poison);
	budget_destroy(calls.budget);
	roster_destroy(calls.roster);
	flow_effects_free(&fx);
}
END_TEST

/** struct merged_case - an entry of a peer, to a node that knows revision 50 */
struct merged_case {
	const char *name;
	uint64_t revision;
	bool taken;
};

static const struct merged_case merged_cases[] = {
	{ "it went before this node read the store", 10, false },
	{ "the same, just before", 50, false },
	{ "it came since", 51, true },
};

/*
 * A node reads the whole store after its start; a peer that was cut off from
 * the store then sends the entries of targets that went meanwhile. Callers are
 * refused if the node asks these.
 */
START_TEST(test_old_items_of_a_peer)
{
	const struct merged_case *c = &merged_cases[_i];
	struct store_item item = {
		.key = STR("servers/i-1"),
		.value = STR("{\"service\":\"s\",\"addr\":\"10.0.0.1:80\","
			     "\"zone\":\"here\",\"version\":\"v1\","
			     "\"slots\":2,\"state\":\"ready\","
			     "\"cold_left_ms\":0,\"seq\":1}"),
		.revision = c->revision,
	};
	struct roster *roster = roster_create(pool, STR("here"), 0);
	struct flow_effects fx;
	struct note_book notes = { .fx = &fx };
	struct directory dir;

	flow_effects_init(&fx, pool);
	directory_init(&dir, pool, &platform_dialect, roster, &notes);
	dir.revision = 50;
	directory_merge(&dir, &item, 1, SECOND_US);
	ck_assert_msg(roster_count(roster) == c->taken, "%s", c->name);
	directory_destroy(&dir);
	roster_destroy(roster);
	flow_effects_free(&fx);
}
END_TEST

/** struct turn_case - two that wait for the same place */
struct turn_case {
	struct claim a;
	struct claim b;
	bool a_first;
};

static const struct turn_case turn_cases[] = {
	/* Both in time: less time left goes first. */
	{ { true, 100, 0 }, { true, 90, 10 }, false },
	{ { true, 90, 10 }, { true, 100, 0 }, true },
	/* Too late already: after one that is not, however long it waits. */
	{ { false, 50, 0 }, { true, 200, 100 }, false },
	/* Both too late: the one that came last. */
	{ { false, 50, 0 }, { false, 60, 10 }, false },
	{ { false, 60, 10 }, { false, 50, 0 }, true },
};

/*
 * More questions come than some shards bear. Were the one that waits longest
 * always next, each would be served just too late, and no caller in time.
 */
START_TEST(test_turn)
{
	const struct turn_case *c = &turn_cases[_i];

	ck_assert_int_eq(line_before(&c->a, &c->b), c->a_first);
}
END_TEST

/*
 * Another target answers at its address. Its entry is written once more, by
 * whoever; it gets nothing all the same, until it starts on another address.
 */
START_TEST(test_address_of_another)
{
	struct roster *roster = roster_create(pool, STR("here"), 0);
	struct target_entry a = entry("a", "here");
	int64_t now = 100 * (int64_t)SECOND_US;

	roster_put(roster, &a, now);
	reply(roster, REPLY_OTHER, 1000, now);
	roster_put(roster, &a, now + SECOND_US);
	ck_assert_int_eq(roster_use(roster, find(roster, "a"), now + SECOND_US),
			 USE_LEAVING);
	a.addr = STR("10.0.0.2:1");
	roster_put(roster, &a, now + SECOND_US);
	ck_assert_int_eq(roster_use(roster, find(roster, "a"), now + SECOND_US),
			 USE_OK);
	roster_destroy(roster);
}
END_TEST

/*
 * A target's entry goes. It is forgotten after half a minute, but not while a
 * request to it is under way.
 */
START_TEST(test_gone_target_is_forgotten)
{
	struct roster *roster = roster_create(pool, STR("here"), 0);
	struct target_entry a = entry("a", "here");
	int64_t now = 100 * (int64_t)SECOND_US;
	struct live_target *target;

	roster_put(roster, &a, now);
	target = find(roster, "a");
	track_sent(target, USUAL_US, now);
	roster_drop(roster, STR("a"), now);
	roster_sweep(roster, now + 40 * (int64_t)SECOND_US);
	ck_assert_uint_eq(roster_count(roster), 1);
	roster_answered(roster, target, REPLY_GOOD, USUAL_US, now, now + 1000);
	roster_sweep(roster, now + SECOND_US);
	ck_assert_uint_eq(roster_count(roster), 1);
	roster_sweep(roster, now + 40 * (int64_t)SECOND_US);
	ck_assert_uint_eq(roster_count(roster), 0);
	roster_destroy(roster);
}
END_TEST

/*
 * A cold target bears few requests a second; this node keeps to its part of
 * them, and may use it freely once it is warm.
 */
START_TEST(test_cold_target)
{
	struct roster *roster = roster_create(pool, STR("here"), 0);
	struct target_entry a = entry("a", "here");
	int64_t now = 100 * (int64_t)SECOND_US;
	struct live_target *target;

	a.cold_us = 3 * SECOND_US;
	roster_put(roster, &a, now);
	roster_cold_bound(roster, 5, 2);
	target = find(roster, "a");
	for (int i = 0; i < 2; i++) {
		ck_assert_int_eq(roster_use(roster, target, now), USE_OK);
		track_sent(target, USUAL_US, now);
	}
	ck_assert_int_eq(roster_use(roster, target, now), USE_COLD);
	ck_assert_int_eq(roster_use(roster, target, now + SECOND_US), USE_OK);
	ck_assert_int_eq(roster_use(roster, target, now + 4 * SECOND_US),
			 USE_OK);
	roster_destroy(roster);
}
END_TEST

/** struct fleet_case - nodes, how many beside a target, its connections */
struct fleet_case {
	int nodes;
	int near;
	int max_conns;
};

static const struct fleet_case fleet_cases[] = {
	{ 6, 2, 25 },  { 6, 2, 34 },   { 9, 3, 26 },   { 9, 3, 110 },
	{ 2, 1, 400 }, { 1, 1, 1000 }, { 12, 3, 430 },
};

/*
 * All VMs lose power and come back while targets still hold the connections of
 * before: old and new ones together stay below a target's bound, else it resets
 * the new ones for as long as it keeps idle ones. Nor is most of the bound left
 * unused, while requests wait for room at the target.
 */
START_TEST(test_connections_twice)
{
	const struct fleet_case *c = &fleet_cases[_i];
	int far = c->nodes - c->near;
	struct conn_bound bound = directory_conns(c->max_conns, c->near, far);
	int all = c->near * bound.near + far * bound.far;

	ck_assert_int_gt(all, 0);
	ck_assert_int_le(2 * all, c->max_conns);
	ck_assert_int_ge(4 * all, c->max_conns);
}
END_TEST

/* Heads. */

struct reply_case {
	const char *name;
	const char *value;
	int status;
	bool not_run;
	bool other;
	bool encoded;
	int64_t cold_us;
	int running;
};

static const struct reply_case reply_cases[] = {
	{ "Not-Executed", "1", 503, true, false, false, -1, -1 },
	{ "not-executed", "1", 503, true, false, false, -1, -1 },
	{ "X-Other", "1", 503, false, false, false, -1, -1 },
	{ "X-Other", "1", 421, true, true, false, -1, -1 },
	{ "Content-Encoding", "gzip", 200, false, false, true, -1, -1 },
	{ "Cold-Remaining", "1500", 200, false, false, false, 1500000, -1 },
	{ "Cold-Remaining", "soon", 200, false, false, false, -1, -1 },
	{ "Cold-Remaining", "-4", 200, false, false, false, -1, -1 },
	{ "Server-Load", "3,0,8", 200, false, false, false, -1, 3 },
	{ "Server-Load", "three", 200, false, false, false, -1, -1 },
	{ "Server-Load", "", 200, false, false, false, -1, -1 },
};

START_TEST(test_reply_head)
{
	const struct reply_case *c = &reply_cases[_i];
	struct header header = { str_of(c->name), str_of(c->value) };
	struct upstream_reply raw = { .result = FETCH_OK,
				      .status = c->status,
				      .headers = &header,
				      .nheaders = 1 };
	struct flow_reply got;
	struct buf lines = { 0 };

	head_parse_reply(&platform_dialect, &raw, &got, &lines);
	ck_assert_int_eq(got.not_run, c->not_run);
	ck_assert_int_eq(got.other, c->other);
	ck_assert_int_eq(got.encoded, c->encoded);
	ck_assert_int_eq(got.cold_us, c->cold_us);
	ck_assert_int_eq(got.running, c->running);
	buf_free(&lines);
}
END_TEST

struct keep_case {
	const char *name;
	bool keep;
};

static const struct keep_case keep_cases[] = {
	{ "Accept", true },	      { "X-Own", true },
	{ "Content-Type", true },     { "connection", false },
	{ "Keep-Alive", false },      { "Transfer-Encoding", false },
	{ "Content-Length", false },  { "HOST", false },
	{ "Request-Id", false },      { "request-deadline", false },
	{ "Target-Instance", false }, { "Upgrade", false },
};

/* What concerns one hop, or is written anew, must not go on as it came. */
START_TEST(test_kept_headers)
{
	head_set_dialect(&platform_dialect);
	ck_assert_int_eq(head_is_forwarded(str_of(keep_cases[_i].name)),
			 keep_cases[_i].keep);
}
END_TEST

struct time_case {
	const char *text;
	int64_t us;
};

static const struct time_case time_cases[] = {
	{ "500", 500000 }, { "0.5", 500 },
	{ "", -1 },	   { "x", -1 },
	{ "-1", -1 },	   { "99999999999999", -1 },
	{ "0", 0 },	   { "111111111111111111111111111111", -1 },
};

START_TEST(test_time_left)
{
	ck_assert_int_eq(head_parse_time_left(str_of(time_cases[_i].text)),
			 time_cases[_i].us);
}
END_TEST

#define COUNT(table) ((int)(sizeof(table) / sizeof(*(table))))

static void add(TCase *tcase)
{
	tcase_add_checked_fixture(tcase, make_pool, drop_pool);
	tcase_add_loop_test(tcase, test_records, 0, COUNT(merge_cases));
	tcase_add_loop_test(tcase, test_budget, 0, COUNT(budget_cases));
	tcase_add_loop_test(tcase, test_routes, 0, COUNT(route_cases));
	tcase_add_test(tcase, test_configuration);
	tcase_add_loop_test(tcase, test_choice, 0, COUNT(choice_cases));
	tcase_add_test(tcase, test_target_starts_again);
	tcase_add_test(tcase, test_silent_target);
	tcase_add_test(tcase, test_two_kinds);
	tcase_add_test(tcase, test_no_place_after_a_send);
	tcase_add_loop_test(tcase, test_old_items_of_a_peer, 0,
			    COUNT(merged_cases));
	tcase_add_loop_test(tcase, test_turn, 0,
			    sizeof(turn_cases) / sizeof(*turn_cases));
	tcase_add_loop_test(tcase, test_usual, 0,
			    sizeof(usual_cases) / sizeof(*usual_cases));
	tcase_add_test(tcase, test_address_of_another);
	tcase_add_test(tcase, test_gone_target_is_forgotten);
	tcase_add_test(tcase, test_cold_target);
	tcase_add_loop_test(tcase, test_connections_twice, 0,
			    COUNT(fleet_cases));
	tcase_add_loop_test(tcase, test_reply_head, 0, COUNT(reply_cases));
	tcase_add_loop_test(tcase, test_kept_headers, 0, COUNT(keep_cases));
	tcase_add_loop_test(tcase, test_time_left, 0, COUNT(time_cases));
}

int main(void)
{
	return suite_run("parts", add);
}
