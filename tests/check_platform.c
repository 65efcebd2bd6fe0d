/*
 * Tests of the decoding of platform data: settings, replies of the store, and
 * values of its keys. Malformed input must give an error that names the
 * place, and one bad entry must not affect others.
 */
#include <stdio.h>

#include <check.h>

#include "../platform/platform.h"
#include "suite.h"

/** struct input - a text, and a part of its error (NULL: valid) */
struct input {
	const char *text;
	const char *expected_error;
};

static apr_pool_t *pool;

static void create_pool(void)
{
	apr_pool_create(&pool, NULL);
}

static void destroy_pool(void)
{
	apr_pool_destroy(pool);
}

static void check_error(const struct input *in, int code, int expected_code,
			const struct error *err)
{
	if (!in->expected_error) {
		ck_assert_msg(!code, "%s", err->text);
		return;
	}
	ck_assert_int_eq(code, expected_code);
	ck_assert_msg(strstr(err->text, in->expected_error) != NULL,
		      "\"%s\" does not name \"%s\"", err->text,
		      in->expected_error);
}

#define HEAD \
	"\"node_name\":\"n\",\"ip\":\"10.1.0.9\",\"zone\":\"z\"," \
	"\"internal_ports\":[7380,7395],"
#define LISTEN "\"listen\":{\"front\":\"10.1.0.9:1\",\"ready\":\"10.1.0.9:2\"},"
#define STORE "\"platform\":{\"addr\":\"10.2.0.1:3\"}"

static const struct input settings[] = {
	{ "{" HEAD LISTEN STORE "}", NULL },
	{ "{" HEAD LISTEN STORE ",\"new\":{\"field\":1}}", NULL },
	{ "{" HEAD LISTEN STORE ",\"seeds\":[\"10.1.0.9:6\",7,\"x\"]}", NULL },
	{ "{" HEAD LISTEN STORE ",\"bounds\":{\"grace_s\":6.5}}", NULL },
	{ "{" HEAD LISTEN STORE ",\"bootstrap\":true}", NULL },
	{ "{" HEAD LISTEN STORE ",\"bootstrap\":1}", NULL },
	{ "{" HEAD LISTEN
	  "\"platform\":{\"addr\":\"1.1.1.1:3\",\"max_value_bytes\":5}}",
	  NULL },
	{ "{" HEAD LISTEN "\"platform\":{}}", "addr" },
	{ "{" HEAD STORE "}", "front" },
	{ "{" LISTEN STORE "}", "node_name" },
	{ "{\"node_name\":\"n\",\"ip\":\"1.1.1.1\",\"zone\":\"z\"," LISTEN STORE
	  "}",
	  "internal_ports" },
	{ "{" HEAD LISTEN STORE, "line" },
	{ "[]", "node_name" },
	{ "", "line" },
};

START_TEST(test_settings)
{
	struct error err = { 0 };
	struct vm_settings got;
	int code =
		platform_settings(str_of(settings[_i].text), &got, pool, &err);

	check_error(&settings[_i], code, ERR_SETTINGS, &err);
	if (code)
		return;
	ck_assert_uint_eq(got.peer_port, 7380);
	ck_assert_uint_eq(got.store_value_max,
			  strstr(settings[_i].text, "max_value") ? 5 : 1048576);
	ck_assert_int_eq(got.first_start, strstr(settings[_i].text,
						 "\"bootstrap\":true") != NULL);
}
END_TEST

static const struct input pages[] = {
	{ "{\"items\":[],\"has_more\":false,\"as_of\":5}", NULL },
	{ "{\"items\":[{\"key\":\"a\",\"value\":\"Yg==\",\"revision\":3}],"
	  "\"as_of\":5}",
	  NULL },
	{ "{\"items\":[{\"key\":\"a\",\"revision\":3}],\"as_of\":5}",
	  "item 0" },
	{ "{\"items\":[{\"value\":\"Yg==\",\"revision\":3}],\"as_of\":5}",
	  "item 0" },
	{ "{\"items\":[7],\"as_of\":5}", "item 0" },
	{ "{\"items\":{},\"as_of\":5}", "items" },
	{ "{\"items\":[]}", "items" },
	{ "{\"items\":[],\"as_of\":\"5\"}", "items" },
	{ "not json", "line" },
	{ "", "line" },
};

START_TEST(test_pages)
{
	struct error err = { 0 };
	struct store_reply got;
	int code =
		platform_range_reply(str_of(pages[_i].text), &got, pool, &err);

	check_error(&pages[_i], code, ERR_MALFORMED, &err);
}
END_TEST

START_TEST(test_changes)
{
	static const char text[] =
		"{\"events\":[{\"key\":\"a\",\"value\":\"bm9kZS0x\","
		"\"revision\":7},{\"key\":\"b\",\"revision\":8,"
		"\"tombstone\":true}],\"as_of\":9}";
	struct error err = { 0 };
	struct store_reply got;

	ck_assert_int_eq(platform_watch_reply(STR(text), &got, pool, &err), 0);
	ck_assert_uint_eq(got.count, 2);
	ck_assert_uint_eq(got.revision, 9);
	ck_assert(str_eq(got.items[0].value, STR("node-1")));
	ck_assert(!got.items[0].deleted);
	ck_assert(got.items[1].deleted);
}
END_TEST

/* A key with a NUL stopped the reading of all keys. */
START_TEST(test_key_with_nul)
{
	static const char text[] =
		"{\"items\":[{\"key\":\"servers/i\\u0000x\",\"value\":\"\","
		"\"revision\":7}],\"as_of\":9}";
	struct error err = { 0 };
	struct store_reply got;

	ck_assert_int_eq(platform_range_reply(STR(text), &got, pool, &err), 0);
	ck_assert_uint_eq(got.count, 1);
	ck_assert(str_eq(got.items[0].key, STR("servers/i\0x")));
}
END_TEST

#define ENTRY(more) \
	"{\"service\":\"s\",\"addr\":\"10.0.0.1:80\",\"zone\":\"z\"," \
	"\"version\":\"v1\",\"slots\":2,\"cold_left_ms\":0" more "}"

static const struct input entries[] = {
	{ ENTRY(",\"state\":\"ready\",\"seq\":4"), NULL },
	{ ENTRY(",\"state\":\"draining\",\"seq\":4,\"born\":1700000000000"),
	  NULL },
	{ ENTRY(",\"state\":\"ready\",\"seq\":4,\"other\":[1]"), NULL },
	{ ENTRY(",\"state\":\"asleep\",\"seq\":4"), "state" },
	{ ENTRY(",\"state\":7,\"seq\":4"), "state" },
	{ ENTRY(",\"state\":\"ready\""), "seq" },
	{ ENTRY(",\"state\":\"ready\",\"seq\":\"4\""), "seq" },
	{ ENTRY(",\"state\":\"ready\",\"seq\":4,\"born\":1.5"), "born" },
	{ "{\"service\":\"s\",\"addr\":\"here\",\"zone\":\"z\","
	  "\"version\":\"v1\",\"slots\":2,\"state\":\"ready\",\"seq\":1}",
	  "addr" },
	{ "{\"service\":\"s\",\"addr\":\"10.0.0.1:80\",\"zone\":\"z\","
	  "\"version\":\"v1\",\"slots\":0,\"state\":\"ready\",\"seq\":1}",
	  "slots" },
	{ "{\"service\":\"s\"}", "state" },
	{ "\xff\xfe", "line" },
	{ "", "line" },
	{ "7", "line" },
};

START_TEST(test_entries)
{
	struct error err = { 0 };
	struct store_record record;
	int code = platform_decode(STR("servers/i-1"), str_of(entries[_i].text),
				   &record, pool, &err);

	check_error(&entries[_i], code, ERR_LIST, &err);
	ck_assert_int_eq(record.kind, STORE_RECORD_TARGET);
	if (!code)
		ck_assert(str_eq(record.target.id, STR("i-1")));
}
END_TEST

static const struct str bad_ids[] = {
	{ "servers/a\r\nX: 1", 15 },
	{ "servers/a\nX: 1", 14 },
	{ "servers/a\0b", 11 },
	{ "servers/a\177", 10 },
};

/* A key with a line end put another header into requests to its target. */
START_TEST(test_bad_id)
{
	struct error err = { 0 };
	struct store_record record;
	int code = platform_decode(bad_ids[_i],
				   STR(ENTRY(",\"state\":\"ready\",\"seq\":4")),
				   &record, pool, &err);

	ck_assert_int_eq(code, ERR_LIST);
	ck_assert_int_eq(record.kind, STORE_RECORD_TARGET);
}
END_TEST

static const struct input configs[] = {
	{ "{\"version\":1,\"routes\":[],\"services\":[],\"limits\":{}}", NULL },
	{ "{\"version\":1,\"routes\":[],\"services\":[]}", NULL },
	{ "{\"routes\":[],\"services\":[]}", "version" },
	{ "{\"version\":1,\"services\":[]}", "routes" },
	{ "{\"version\":1,\"routes\":[{\"name\":\"r\",\"host\":\"h\","
	  "\"prefix\":\"/\",\"kind\":\"idempotent\"}],\"services\":[]}",
	  "r has neither a service nor shards" },
	{ "{\"version\":1,\"routes\":[{}],\"services\":[]}", "kind" },
	{ "{\"version\":1,\"routes\":[],\"services\":[{\"name\":\"s\"}]}",
	  "health_path" },
	{ "{\"version\":1,\"version\":2,\"routes\":[],\"services\":[]}",
	  "line" },
	{ "{", "line" },
};

START_TEST(test_configs)
{
	struct error err = { 0 };
	struct store_record record;
	int code = platform_decode(STR("op/config"), str_of(configs[_i].text),
				   &record, pool, &err);

	check_error(&configs[_i], code, ERR_LIST, &err);
	ck_assert_int_eq(record.catalog == NULL, code != 0);
	catalog_unref(record.catalog);
}
END_TEST

struct key_case {
	const char *key;
	enum store_record_kind kind;
};

static const struct key_case keys[] = {
	{ "op/config", STORE_RECORD_CATALOG },
	{ "op/configs", STORE_RECORD_NONE },
	{ "op/evacuate/z", STORE_RECORD_DOMAIN_OUT },
	{ "op/evacuate/", STORE_RECORD_NONE },
	{ "servers/i-1", STORE_RECORD_TARGET },
	{ "servers/", STORE_RECORD_NONE },
	{ "my/leader", STORE_RECORD_NONE },
	{ "", STORE_RECORD_NONE },
};

START_TEST(test_keys)
{
	ck_assert_int_eq(platform_record_kind(str_of(keys[_i].key)),
			 keys[_i].kind);
}
END_TEST

START_TEST(test_uris)
{
	struct buf uri = { 0 };

	platform_range_uri(STR("op/"), STR("op/config"), &uri);
	ck_assert(str_eq(buf_str(&uri),
			 STR("/kv-range?prefix=op/&after=op/config")));
	uri.len = 0;
	platform_range_uri(STR("servers/"), STR("servers/i 1&after=%~\xc3"),
			   &uri);
	ck_assert(str_eq(buf_str(&uri),
			 STR("/kv-range?prefix=servers/"
			     "&after=servers/i%201%26after%3D%25~%C3")));
	uri.len = 0;
	platform_watch_uri(12, 1200000, &uri);
	ck_assert(str_eq(buf_str(&uri),
			 STR("/kv-watch?prefix=&after=12&wait_ms=1200")));
	buf_free(&uri);
}
END_TEST

#define COUNT(table) ((int)(sizeof(table) / sizeof(*(table))))

static void add_tests(TCase *tcase)
{
	tcase_add_checked_fixture(tcase, create_pool, destroy_pool);
	tcase_add_loop_test(tcase, test_settings, 0, COUNT(settings));
	tcase_add_loop_test(tcase, test_pages, 0, COUNT(pages));
	tcase_add_test(tcase, test_changes);
	tcase_add_test(tcase, test_key_with_nul);
	tcase_add_loop_test(tcase, test_entries, 0, COUNT(entries));
	tcase_add_loop_test(tcase, test_bad_id, 0, COUNT(bad_ids));
	tcase_add_loop_test(tcase, test_configs, 0, COUNT(configs));
	tcase_add_loop_test(tcase, test_keys, 0, COUNT(keys));
	tcase_add_test(tcase, test_uris);
}

int main(void)
{
	return suite_run("platform", add_tests);
}
