/*
 * Parsers of external input: settings, lists, callers' bodies, frames and
 * targets' replies. Invalid input must give a typed error that names the
 * place, and must have no other effect however damaged it is.
 */
#include <stdio.h>
#include <stdlib.h>

#include <check.h>

#include "../config.h"
#include "../doc.h"
#include "../latency.h"
#include "../request.h"
#include "../rng.h"
#include "../target.h"
#include "../timer.h"
#include "../wire.h"
#include "cluster.h"
#include "suite.h"

/**
 * struct input - a text to parse
 * @expected_error: must occur in the error text, NULL if @text is valid
 */
struct input {
	const char *text;
	const char *expected_error;
};

#define ADDRS \
	"\"peer\":\"127.0.0.1:1\",\"callers\":\"127.0.0.1:2\"," \
	"\"operators\":\"127.0.0.1:3\",\"domain\":\"a\","

static const struct input settings[] = {
	{ "{" ADDRS "\"platforms\":[\"127.0.0.1:4\"]}", NULL },
	{ "{" ADDRS "\"platforms\":[\"127.0.0.1:4\"],\"drain_ms\":5}", NULL },
	{ "{" ADDRS "\"platforms\":[]}", "platforms" },
	{ "{" ADDRS "\"platforms\":[\"here:4\"]}", "platforms" },
	{ "{" ADDRS "\"platforms\":[\"127.0.0.1:0\"]}", "platforms" },
	{ "{" ADDRS "\"platforms\":[\"127.0.0.1:70000\"]}", "platforms" },
	{ "{" ADDRS "\"platforms\":[\"127.0.0.1:4\"],\"x\":1}", "\"x\"" },
	{ "{" ADDRS "\"platforms\":[\"127.0.0.1:4\"],\"max_open\":0}",
	  "max_open" },
	{ "{" ADDRS "\"platforms\":[\"127.0.0.1:4\"],\"max_open\":\"1\"}",
	  "max_open" },
	{ "{" ADDRS "\"platforms\":[\"127.0.0.1:4\"],\"log_level\":\"loud\"}",
	  "log_level" },
	{ "{" ADDRS "\"platforms\":[\"127.0.0.1:4\",\"127.0.0.1:4\"]}",
	  "twice" },
	{ "{" ADDRS "\"domain\":\"b\",\"platforms\":[]}", "line 1" },
	{ "{\"peer\":\"127.0.0.1:1\"}", "callers" },
	{ "[]", "object" },
	{ "{", "line" },
	{ "", "line" },
};

START_TEST(test_settings)
{
	const struct input *in = &settings[_i];
	struct error err = { 0 };
	struct config *config = config_parse("vm.json", str_of(in->text), &err);

	ck_assert_msg(!config == !!in->expected_error, "%s: %s", in->text,
		      err.text);
	if (in->expected_error) {
		ck_assert_int_eq(err.code, ERR_SETTINGS);
		ck_assert_msg(strstr(err.text, in->expected_error), "%s",
			      err.text);
		ck_assert(strstr(err.text, "vm.json"));
	}
	config_free(config);
}
END_TEST

#define PLAN "{\"plan\":\"p\",\"indexes\":[\"i\"],\"entries\":[],"
#define LISTS(allowance, customer) \
	"{\"version\":1,\"allowances\":[" allowance "],\"plans\":[" customer \
	"]}"
#define CUSTOMER "{\"customer\":\"c\",\"plan\":\"p\"}"

static const struct input lists[] = {
	{ LISTS(PLAN "\"deadline_ms\":9}", CUSTOMER), NULL },
	{ LISTS(PLAN "\"deadline_ms\":9}", CUSTOMER "," CUSTOMER), "twice" },
	{ LISTS(PLAN "\"deadline_ms\":9}," PLAN "\"deadline_ms\":9}", CUSTOMER),
	  "twice" },
	{ LISTS("", CUSTOMER), "plans[0]" },
	{ LISTS(PLAN "\"deadline_ms\":0}", CUSTOMER), "deadline_ms" },
	{ LISTS(PLAN "\"soft_ms\":1}", CUSTOMER), "deadline_ms" },
	{ LISTS(PLAN "\"deadline_ms\":9,\"soft_ms\":10}", CUSTOMER),
	  "soft_ms" },
	{ LISTS(PLAN "\"deadline_ms\":9,\"coverage_floor\":1.1}", CUSTOMER),
	  "coverage_floor" },
	{ LISTS(PLAN "\"deadline_ms\":9,\"rate\":0}", CUSTOMER), "rate" },
	{ LISTS(PLAN "\"deadline_ms\":9,\"colour\":0}", CUSTOMER), "colour" },
	{ LISTS(PLAN "\"deadline_ms\":9}", "{\"customer\":\"c\"}"), "plan" },
	{ "{\"version\":0,\"allowances\":[],\"plans\":[]}", "version" },
	{ "{\"version\":1,\"allowances\":[]}", "plans" },
	{ "{\"version\":1,\"version\":2,\"allowances\":[],\"plans\":[]}",
	  "line 1" },
};

START_TEST(test_lists)
{
	const struct input *in = &lists[_i];
	struct error err = { 0 };
	struct lists *parsed = lists_parse(str_of(in->text), &err);

	ck_assert_msg(!parsed == !!in->expected_error, "%s: %s", in->text,
		      err.text);
	if (in->expected_error) {
		ck_assert_int_eq(err.code, ERR_LIST);
		ck_assert_msg(strstr(err.text, in->expected_error), "%s",
			      err.text);
	}
	lists_free(parsed);
}
END_TEST

#define FLEET_HEAD \
	"{\"version\":1,\"domains\":[{\"name\":\"a\",\"state\":" \
	"\"in\"}],\"vms\":[],\"targets\":["
#define TARGET(name, port) \
	"{\"name\":\"" name "\",\"address\":\"127.0.0.1:" port "\"," \
	"\"domain\":\"a\",\"state\":\"live\",\"slots\":2," \
	"\"connections\":25}"
#define SHARD(id, from, to, target) \
	"{\"id\":" id ",\"index\":\"i\",\"from\":" from ",\"to\":" to \
	",\"replicas\":[\"" target "\"]}"
#define FLEET(targets, shards) \
	FLEET_HEAD targets \
		"],\"snapshots\":[{\"version\":1,\"shards\":[" shards "]}]}"

static const struct input fleets[] = {
	{ FLEET(TARGET("t", "1"), SHARD("1", "0", "9", "t")), NULL },
	{ FLEET(TARGET("t", "1"), SHARD("1", "0", "9", "u")), "replica" },
	{ FLEET(TARGET("t", "1"), SHARD("1", "9", "9", "t")), "above" },
	{ FLEET(TARGET("t", "1"),
		SHARD("1", "0", "9", "t") "," SHARD("1", "9", "18", "t")),
	  "twice" },
	{ FLEET(TARGET("t", "1"),
		SHARD("1", "0", "9", "t") "," SHARD("2", "8", "18", "t")),
	  "overlap" },
	{ FLEET(TARGET("t", "1") "," TARGET("t", "2"), ""), "twice" },
	{ FLEET(TARGET("t", "1") "," TARGET("u", "1"), ""), "twice" },
	{ FLEET(TARGET("t", "x"), ""), "ip:port" },
	{ FLEET_HEAD "],\"snapshots\":[{\"version\":1,\"shards\":[]},"
		     "{\"version\":2,\"shards\":[]}]}",
	  "go down" },
	{ FLEET_HEAD "]}", "snapshots" },
};

START_TEST(test_fleet)
{
	const struct input *in = &fleets[_i];
	struct error err = { 0 };
	struct fleet *fleet = fleet_parse(str_of(in->text), &err);

	ck_assert_msg(!fleet == !!in->expected_error, "%s: %s", in->text,
		      err.text);
	if (in->expected_error)
		ck_assert_msg(strstr(err.text, in->expected_error), "%s",
			      err.text);
	fleet_unref(fleet);
}
END_TEST

/** struct large_document - a document within 1 MiB with one long list */
struct large_document {
	const char *head;
	const char *item; /* format; gets its number twice */
	int count;
	const char *tail;
	bool fleet;
};

#define LARGE_FLEET "{\"version\":1,\"domains\":["
#define LARGE_VMS LARGE_FLEET "{\"name\":\"a\",\"state\":\"in\"}],\"vms\":["

static const struct large_document large_documents[] = {
	{ "{\"version\":1,\"plans\":[],\"allowances\":[",
	  "{\"plan\":\"p%d\",\"indexes\":[],\"entries\":[],"
	  "\"deadline_ms\":9}",
	  12000, "]}", false },
	{ "{\"version\":1,\"allowances\":[" PLAN "\"deadline_ms\":9}],"
	  "\"plans\":[",
	  "{\"customer\":\"c%d\",\"plan\":\"p\"}", 25000, "]}", false },
	{ "{\"version\":1,\"plans\":[],\"allowances\":[{\"plan\":\"p\","
	  "\"entries\":[],\"deadline_ms\":9,\"indexes\":[",
	  "\"i%d\"", 100000, "]}]}", false },
	{ LARGE_FLEET, "{\"name\":\"d%d\",\"state\":\"in\"}", 25000,
	  "],\"vms\":[],\"targets\":[],\"snapshots\":[]}", true },
	{ LARGE_VMS,
	  "{\"address\":\"10.0.0.1:%d\",\"domain\":\"a\","
	  "\"state\":\"live\"}",
	  15000, "],\"targets\":[],\"snapshots\":[]}", true },
	{ LARGE_VMS "],\"targets\":[",
	  "{\"name\":\"t%d\",\"address\":\"10.0.0.1:%d\",\"domain\":\"a\","
	  "\"state\":\"live\",\"slots\":2,\"connections\":25}",
	  8000, "],\"snapshots\":[]}", true },
	{ LARGE_VMS "],\"targets\":[],\"snapshots\":[",
	  "{\"version\":1%07d,\"shards\":[]}", 20000, "]}", true },
};

static void build_large_document(const struct large_document *doc,
				 struct buf *text)
{
	buf_str_add(text, str_of(doc->head));
	for (int i = 0; i < doc->count; i++) {
		int number = doc->count - i;

		buf_str_add(text, i ? STR(",") : STR(""));
#pragma GCC diagnostic push
#pragma GCC diagnostic ignored "-Wformat-nonliteral"
		buf_printf(text, doc->item, number, number);
#pragma GCC diagnostic pop
	}
	buf_str_add(text, str_of(doc->tail));
	ck_assert_uint_le(text->len, DOC_MAX_BYTES);
}

/*
 * Guards against a document that the platform accepts, but that no node puts
 * in force because one of its lists is long.
 */
START_TEST(test_large_document)
{
	struct error err = { 0 };
	struct buf text = { 0 };
	struct fleet *fleet = NULL;
	struct lists *parsed = NULL;

	build_large_document(&large_documents[_i], &text);
	if (large_documents[_i].fleet)
		fleet = fleet_parse(buf_str(&text), &err);
	else
		parsed = lists_parse(buf_str(&text), &err);
	ck_assert_msg(fleet || parsed, "%s", err.text);
	buf_free(&text);
	fleet_unref(fleet);
	lists_free(parsed);
}
END_TEST

#define CALLER "\"customer\":\"c\",\"request_id\":\"r\""

static const struct input questions[] = {
	{ "{" CALLER ",\"indexes\":[\"i\"]}", NULL },
	{ "{" CALLER ",\"indexes\":[\"i\"],\"shards\":[3,1],\"terms\":\"t\"}",
	  NULL },
	{ "{" CALLER ",\"indexes\":[]}", "indexes" },
	{ "{" CALLER ",\"indexes\":[\"i\",\"i\"]}", "twice" },
	{ "{" CALLER ",\"indexes\":[\"i\"],\"shards\":[1,1]}", "twice" },
	{ "{" CALLER ",\"indexes\":[\"i\"],\"shards\":[0]}", "shards" },
	{ "{" CALLER ",\"indexes\":[\"i\"],\"deadline_ms\":-1}",
	  "deadline_ms" },
	{ "{" CALLER ",\"indexes\":[\"i\"],\"terms\":7}", "terms" },
	{ "{" CALLER ",\"indexes\":[\"i\"],\"page\":7}", "page" },
	{ "{\"request_id\":\"r\",\"indexes\":[\"i\"]}", "customer" },
	{ "[]", "object" },
	{ "", "line" },
};

START_TEST(test_question)
{
	const struct input *in = &questions[_i];
	struct error err = { 0 };
	apr_pool_t *pool;
	struct question_request query;
	int code;

	apr_pool_create(&pool, NULL);
	code = request_parse_question(str_of(in->text), pool, &query, &err);
	ck_assert_int_eq(code, in->expected_error ? ERR_BAD_REQUEST : 0);
	if (in->expected_error)
		ck_assert_msg(strstr(err.text, in->expected_error), "%s",
			      err.text);
	apr_pool_destroy(pool);
}
END_TEST

static const struct input entries[] = {
	{ "{" CALLER ",\"index\":\"i\",\"key\":1,\"entry\":{}}", NULL },
	{ "{" CALLER ",\"index\":\"i\",\"key\":1,\"entry\":[]}", "entry" },
	{ "{" CALLER ",\"index\":\"i\",\"entry\":{}}", "key" },
	{ "{" CALLER ",\"key\":1,\"entry\":{}}", "index" },
	{ "{" CALLER ",\"index\":\"i\",\"key\":1,\"entry\":{},\"ticket\":\"\"}",
	  "ticket" },
};

START_TEST(test_entry)
{
	const struct input *in = &entries[_i];
	struct error err = { 0 };
	struct entry_request entry;
	apr_pool_t *pool;
	int code;

	apr_pool_create(&pool, NULL);
	code = request_parse_entry(str_of(in->text), false, pool, &entry, &err);
	ck_assert_int_eq(code, in->expected_error ? ERR_BAD_REQUEST : 0);
	if (in->expected_error)
		ck_assert_msg(strstr(err.text, in->expected_error), "%s",
			      err.text);
	apr_pool_destroy(pool);
}
END_TEST

/** struct reply_case - a target's reply and the expected result */
struct reply_case {
	const char *body;
	int status;
	enum fetch_result result;
};

static const struct reply_case replies[] = {
	{ "{\"boot\":\"b\",\"rows\":[]}", 200, FETCH_OK },
	{ "{\"boot\":\"b\",\"rows\":[{\"a\":1}", 200, FETCH_MALFORMED },
	{ "{\"boot\":\"b\"}", 200, FETCH_MALFORMED },
	{ "{\"boot\":\"b\",\"rows\":{}}", 200, FETCH_MALFORMED },
	{ "", 200, FETCH_MALFORMED },
	{ "[]", 200, FETCH_MALFORMED },
	{ "{\"error\":\"shed\"}", 503, FETCH_OK },
	{ "<html>", 503, FETCH_MALFORMED },
};

START_TEST(test_target_reply)
{
	const struct reply_case *in = &replies[_i];
	struct parsed_reply fetched = { .result = FETCH_OK };
	struct buf rows = { 0 };

	target_parse_reply(str_of(in->body), in->status, &fetched, &rows);
	ck_assert_int_eq(fetched.result, in->result);
	ck_assert_int_eq(fetched.status, in->status);
	buf_free(&rows);
}
END_TEST

static void random_msg(struct rng *rng, struct msg *msg, char *text)
{
	size_t len = rng_below(rng, 40);

	for (size_t i = 0; i < len; i++)
		text[i] = (char)rng_next(rng);
	*msg = (struct msg){
		.kind = 1 + (uint32_t)rng_below(rng, MSG_KINDS - 1),
		.id = rng_next(rng),
		.attempt = (uint32_t)rng_next(rng),
		.remaining_us = (int64_t)rng_next(rng),
		.status = -(int32_t)rng_below(rng, 40),
		.ran = rng_next(rng) & 1,
		.amount = (double)rng_below(rng, 1000) / 7,
		.body = { text, len },
	};
}

/* Property: a frame decodes to what was encoded, and a truncated one needs more
 * bytes. */
START_TEST(test_frame_round_trip)
{
	struct rng rng = { .seed = (uint64_t)_i + 1 };
	struct msg msgs[3];
	char texts[3][40];
	struct buf out = { 0 };
	struct frame decoded;
	struct error err;

	for (int i = 0; i < 3; i++)
		random_msg(&rng, &msgs[i], texts[i]);
	frame_encode(&(struct frame){ .from = STR("127.0.0.1:9"),
				      .from_incarnation = 5,
				      .to_incarnation = 6,
				      .msgs = msgs,
				      .count = 3 },
		     &out);
	for (size_t prefix = 0; prefix < out.len; prefix++)
		ck_assert_int_eq(frame_decode((struct str){ out.ptr, prefix },
					      &decoded, &err),
				 0);
	ck_assert_int_eq(frame_decode(buf_str(&out), &decoded, &err),
			 (int)out.len);
	ck_assert_uint_eq(decoded.count, 3);
	for (int i = 0; i < 3; i++) {
		ck_assert_uint_eq(decoded.msgs[i].id, msgs[i].id);
		ck_assert_int_eq(decoded.msgs[i].status, msgs[i].status);
		ck_assert(decoded.msgs[i].remaining_us == msgs[i].remaining_us);
		ck_assert(str_eq(decoded.msgs[i].body, msgs[i].body));
	}
	frame_free(&decoded);
	buf_free(&out);
}
END_TEST

/* Property: damaged bytes give an error, need more bytes, or decode to a frame;
 * and a running node survives whatever decodes. */
START_TEST(test_frame_damaged)
{
	struct rng rng = { .seed = (uint64_t)_i + 100 };
	struct cluster_layout layout = cluster_default_layout(2, 2, 4);
	struct cluster *cluster = cluster_create(
		1, &layout, cluster_lists_doc(1, 100, 100, 100, 100, 1));

	cluster_start_all(cluster);
	for (int n = 0; n < 300; n++) {
		struct msg msg;
		char text[40];
		struct buf out = { 0 };
		struct frame decoded;
		struct error err;

		random_msg(&rng, &msg, text);
		msg.target = cluster->fleet->targets[0].key;
		frame_encode(&(struct frame){ .from = STR("127.0.0.1:9"),
					      .from_incarnation = 5,
					      .msgs = &msg,
					      .count = 1 },
			     &out);
		for (uint64_t flips = rng_below(&rng, 6); flips; flips--)
			out.ptr[rng_below(&rng, out.len)] ^=
				(char)(1 << rng_below(&rng, 8));
		if (frame_decode(buf_str(&out), &decoded, &err) > 0) {
			for (size_t i = 0; i < decoded.count; i++)
				cluster_deliver(
					cluster, 0,
					(struct event){
						.type = EV_MSG,
						.from = decoded.from,
						.incarnation = 5,
						.msg = &decoded.msgs[i] });
			frame_free(&decoded);
		}
		buf_free(&out);
	}
	cluster_run(cluster, 1000000);
	cluster_destroy(cluster);
}
END_TEST

/* Property: timers expire in order of time. */
START_TEST(test_timers)
{
	struct rng rng = { .seed = (uint64_t)_i + 1 };
	struct timers timers = { 0 };
	struct timer timer;
	int64_t last = 0;
	int count = 0;

	for (int i = 0; i < 500; i++)
		timer_add(&timers, (int64_t)rng_below(&rng, 100), TIMER_JOB,
			  (uint64_t)i);
	while (timer_pop(&timers, 1000, &timer)) {
		ck_assert(timer.when >= last);
		last = timer.when;
		count++;
	}
	ck_assert_int_eq(count, 500);
	timers_free(&timers);
}
END_TEST

/* Property: a quantile is at most one bucket below the true one. */
START_TEST(test_latency)
{
	struct rng rng = { .seed = (uint64_t)_i + 1 };
	struct latency latency = { 0 };

	for (int i = 0; i < 4000; i++)
		latency_add(&latency, 1000 + (int64_t)rng_below(&rng, 9000));

	int64_t p95 = latency_quantile(&latency, 0.95);

	ck_assert(p95 >= 9000 && p95 <= 10000 * 5 / 4);
}
END_TEST

START_TEST(test_rng)
{
	struct rng a = { .seed = 3 };
	struct rng b = { .seed = 3 };
	struct rng c = { .seed = 4 };

	ck_assert(rng_next(&a) == rng_next(&b));
	ck_assert(rng_next(&a) != rng_next(&c));
}
END_TEST

#define ADD_LOOP_TEST(test, table) \
	tcase_add_loop_test(tcase, test, 0, sizeof(table) / sizeof(*(table)))

static void add_tests(TCase *tcase)
{
	ADD_LOOP_TEST(test_settings, settings);
	ADD_LOOP_TEST(test_lists, lists);
	ADD_LOOP_TEST(test_fleet, fleets);
	ADD_LOOP_TEST(test_large_document, large_documents);
	ADD_LOOP_TEST(test_question, questions);
	ADD_LOOP_TEST(test_entry, entries);
	ADD_LOOP_TEST(test_target_reply, replies);
	tcase_add_loop_test(tcase, test_frame_round_trip, 0, 20);
	tcase_add_loop_test(tcase, test_frame_damaged, 0, 10);
	tcase_add_loop_test(tcase, test_timers, 0, 10);
	tcase_add_loop_test(tcase, test_latency, 0, 5);
	tcase_add_test(tcase, test_rng);
}

int main(void)
{
	return suite_run("input", add_tests);
}
