/*
 * Requests that crash the targets that run them: how they are told from others,
 * and what is done about them.
 */
#include <check.h>

#include "suite.h"

#include "../fingerprint.h"

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
	struct fingerprint a = fingerprint_of(&compared);
	struct fingerprint b = fingerprint_of(&c->request);

	ck_assert_msg(!memcmp(a.content, b.content, sizeof(a.content)) ==
			      c->same_content,
		      "%s", c->name);
	ck_assert_msg((a.caller == b.caller) == c->same_caller, "%s", c->name);
}
END_TEST

static void add(TCase *tcase)
{
	tcase_add_loop_test(tcase, test_fingerprint, 0, COUNT(print_cases));
}

int main(void)
{
	return suite_run("poison", add);
}
