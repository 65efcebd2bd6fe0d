/* Tests of HTTP heads: what is read from them, and what is sent on. */
#include <check.h>

#include "../head.h"
#include "../platform/platform.h"
#include "suite.h"

#define COUNT(table) (int)(sizeof(table) / sizeof(*(table)))

struct reply_case {
	const char *name;
	const char *value;
	int status;
	bool not_run;
	bool wrong_target;
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
	struct headers headers = { 0 };
	struct upstream_reply raw = { .result = FETCH_OK,
				      .status = c->status,
				      .headers = &headers };
	struct flow_reply got;
	struct buf lines = { 0 };

	headers_add_name(&headers, c->name, strlen(c->name));
	headers_add_value(&headers, c->value, strlen(c->value));

	head_parse_reply(&platform_dialect, &raw, &got, &lines);
	ck_assert_int_eq(got.not_run, c->not_run);
	ck_assert_int_eq(got.wrong_target, c->wrong_target);
	ck_assert_int_eq(got.encoded, c->encoded);
	ck_assert_int_eq(got.cold_us, c->cold_us);
	ck_assert_int_eq(got.running, c->running);
	headers_free(&headers);
	buf_free(&lines);
}
END_TEST

/** struct number_case - text, of which @len bytes count, and its number */
struct number_case {
	const char *text;
	size_t len;
	int64_t number;
};

static const struct number_case number_cases[] = {
	{ "5", 1, 5 },	       { "5, max=9", 8, 5 },
	{ "123", 1, 1 },       { "0", 1, 0 },
	{ "", 0, -1 },	       { "x5", 2, -1 },
	{ "-5", 2, -1 },       { "86400", 5, 86400 },
	{ "86401", 5, 86400 }, { "99999999999999999999", 20, 86400 },
};

/* Text is not terminated: digits behind it, such as a body's, don't count. */
START_TEST(test_parse_int)
{
	const struct number_case *c = &number_cases[_i];
	struct str text = { c->text, c->len };

	ck_assert_int_eq(str_parse_int(text, 86400), c->number);
}
END_TEST

/* Bytes of callers must not make a line of the log unreadable. */
START_TEST(test_printable)
{
	struct buf out = { 0 };

	buf_printable_add(&out, STR("/a b~\"\x01\n\x7f\xc3\xa4\xff/"));
	ck_assert(str_eq(buf_str(&out), STR("/a b~\"?????"
					    "?/")));
	buf_free(&out);
}
END_TEST

struct header_case {
	const char *name;
	bool forwarded;
};

static const struct header_case header_cases[] = {
	{ "Accept", true },	      { "X-Own", true },
	{ "Content-Type", true },     { "connection", false },
	{ "Keep-Alive", false },      { "Transfer-Encoding", false },
	{ "Content-Length", false },  { "HOST", false },
	{ "Request-Id", false },      { "request-deadline", false },
	{ "Target-Instance", false }, { "Upgrade", false },
};

/* Hop-by-hop headers, and those that are rewritten, must not be forwarded. */
START_TEST(test_forwarded_headers)
{
	head_set_dialect(&platform_dialect);
	ck_assert_int_eq(head_is_forwarded(str_of(header_cases[_i].name)),
			 header_cases[_i].forwarded);
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

static void add_tests(TCase *tcase)
{
	tcase_add_loop_test(tcase, test_parse_int, 0, COUNT(number_cases));
	tcase_add_test(tcase, test_printable);
	tcase_add_loop_test(tcase, test_reply_head, 0, COUNT(reply_cases));
	tcase_add_loop_test(tcase, test_forwarded_headers, 0,
			    COUNT(header_cases));
	tcase_add_loop_test(tcase, test_time_left, 0, COUNT(time_cases));
}

int main(void)
{
	return suite_run("head", add_tests);
}
