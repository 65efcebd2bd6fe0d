/*
 * Every configuration that the store accepts must come into force on all nodes.
 * If the decoder has a limit that the store does not have, such as 4,096
 * routes, each node refuses the new version and serves callers by the replaced
 * one.
 */
#include <stdio.h>

#include <check.h>

#include "../directory.h"
#include "../payload.h"
#include "../platform/platform.h"
#include "../reader.h"
#include "../wire.h"
#include "suite.h"

enum {
	/* Largest value that the store accepts, in bytes. */
	VALUE_MAX = 1024 * 1024,
	/*
	 * A node relays to four others. If that takes at most half a second on
	 * a link of 20 Mbit/s, two levels of the tree take one second.
	 */
	FRAME_MAX = 20 * 1000 * 1000 / 8 / 2 / 4,
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

/** struct node_copy - a node's copy of the published data */
struct node_copy {
	struct flow_effects fx;
	struct decision_log decision_log;
	struct directory dir;
};

static struct node_copy *node_copy_create(void)
{
	struct node_copy *node_copy = apr_pcalloc(pool, sizeof(*node_copy));

	flow_effects_init(&node_copy->fx, pool);
	node_copy->decision_log.fx = &node_copy->fx;
	directory_init(&node_copy->dir, pool, &platform_dialect,
		       balancer_create(pool, STR("z"), 0),
		       &node_copy->decision_log);
	return node_copy;
}

static void node_copy_destroy(struct node_copy *node_copy)
{
	directory_destroy(&node_copy->dir);
	balancer_destroy(node_copy->dir.balancer);
	flow_effects_free(&node_copy->fx);
}

/* A configuration with @routes routes; @extra_fields is added to each. */
static struct str config_text(int version, int routes, const char *extra_fields)
{
	struct buf text = { 0 };
	struct str out;

	buf_printf(&text, "{\"version\":%d,\"routes\":[", version);
	for (int i = 0; i < routes; i++)
		buf_printf(&text,
			   "%s{\"name\":\"r%d\",\"host\":\"h.example\","
			   "\"prefix\":\"/r%d/\",\"kind\":\"idempotent\","
			   "\"timeout_ms\":1200,\"service\":\"s\"%s}",
			   i ? "," : "", i, i, extra_fields);
	buf_printf(&text, "],\"services\":[{\"name\":\"s\","
			  "\"health_path\":\"/health\",\"max_conns\":9}]}");
	out = str_dup(pool, buf_str(&text));
	buf_free(&text);
	ck_assert_uint_le(out.len, VALUE_MAX);
	return out;
}

static void apply_config(struct node_copy *node_copy, struct str text,
			 uint64_t revision)
{
	struct store_item item = { .key = STR("op/config"),
				   .value = text,
				   .revision = revision };
	struct store_reply reply = { .items = &item,
				     .count = 1,
				     .revision = revision };

	directory_apply(&node_copy->dir, &reply, 1000);
}

/* Sends one node's copy to another, in a frame. */
static void send_copy(struct node_copy *from, struct node_copy *to)
{
	struct buf body = { 0 };
	struct buf bytes = { 0 };
	struct msg msg = { .kind = MSG_ITEMS };
	struct frame frame = { .from = STR("10.0.0.1:7"),
			       .msgs = &msg,
			       .count = 1 };
	struct frame got = { 0 };
	struct error err = { 0 };
	struct store_reply reply = { 0 };

	directory_encode(&from->dir, 0, &body);
	msg.body = buf_str(&body);
	frame_encode(&frame, &bytes);
	ck_assert_uint_le(bytes.len, FRAME_MAX);
	ck_assert_int_eq(frame_decode(buf_str(&bytes), &got, &err),
			 (int)bytes.len);
	ck_assert_int_eq(payload_decode_items(got.msgs[0].body, pool,
					      &reply.items, &reply.count),
			 0);
	reply.revision = from->dir.revision;
	directory_apply(&to->dir, &reply, 1000);
	frame_free(&got);
	buf_free(&body);
	buf_free(&bytes);
}

/* Numbers of routes; the last one nearly fills a value of the store. */
static const int route_counts[] = { 1, 1400, 2800, 4200, 8900 };

START_TEST(test_published_configuration_is_in_force)
{
	int routes = route_counts[_i];
	struct node_copy *reader = node_copy_create();
	struct node_copy *other = node_copy_create();
	char last[16];

	apply_config(reader, config_text(1, 1, ""), 1);
	apply_config(reader, config_text(2, routes, ""), 2);
	send_copy(reader, other);
	ck_assert_uint_eq(reader->dir.catalog->version, 2);
	ck_assert_uint_eq(other->dir.catalog->version, 2);
	snprintf(last, sizeof(last), "/r%d/x", routes - 1);
	ck_assert_ptr_nonnull(catalog_find_route(
		other->dir.catalog, STR("h.example"), str_of(last)));
	node_copy_destroy(other);
	node_copy_destroy(reader);
}
END_TEST

/* Further fields of a route, all accepted by the store. */
static const char *const extra_route_fields[] = {
	",\"max_attempts\":1000",
	",\"max_attempts\":0",
	",\"priority\":100000",
	",\"priority\":-1",
	",\"goal_ms\":86400001",
	",\"goal_ms\":0.5",
	",\"goal_ms\":1e300",
	",\"min_share\":1.01",
	",\"min_share\":-0.5",
	",\"gather\":[\"s\"],\"top_k\":20000",
	",\"split\":[{\"service\":\"s\",\"weight\":1e12}]",
	",\"idle\":{\"unknown\":[1]}",
};

/* A value that this node cannot use must not prevent the rest from applying. */
START_TEST(test_out_of_range_route_is_in_force)
{
	struct node_copy *node_copy = node_copy_create();

	apply_config(node_copy, config_text(1, 1, ""), 1);
	apply_config(node_copy, config_text(2, 3, extra_route_fields[_i]), 2);
	ck_assert_uint_eq(node_copy->dir.catalog->version, 2);
	ck_assert_uint_eq(node_copy->dir.catalog->nroutes, 3);
	node_copy_destroy(node_copy);
}
END_TEST

/* Only the size of the store's value limits the length of names. */
START_TEST(test_long_names)
{
	struct node_copy *node_copy = node_copy_create();
	struct buf text = { 0 };
	struct str path;

	buf_printf(&text,
		   "{\"version\":2,\"services\":[],\"routes\":["
		   "{\"name\":\"r\",\"host\":\"h\",\"service\":\"s\","
		   "\"kind\":\"idempotent\",\"prefix\":\"/%0*d/\"}]}",
		   4000, 7);
	apply_config(node_copy, config_text(1, 1, ""), 1);
	apply_config(node_copy, buf_str(&text), 2);
	ck_assert_uint_eq(node_copy->dir.catalog->version, 2);
	path = node_copy->dir.catalog->routes[0].prefix;
	ck_assert_uint_eq(path.len, 4002);
	ck_assert_ptr_nonnull(
		catalog_find_route(node_copy->dir.catalog, STR("h"), path));
	buf_free(&text);
	node_copy_destroy(node_copy);
}
END_TEST

/* Return: the next call of the reader, a second later. */
static struct flow_effect next_call(struct reader *reader, int64_t *now)
{
	reader->fx->count = 0;
	*now += 1000000;
	reader_tick(reader, *now);
	for (size_t i = 0; i < reader->fx->count; i++)
		if (reader->fx->list[i].type == FLOW_STORE_CALL)
			return reader->fx->list[i];
	ck_abort_msg("no call to the store");
}

static void reply_page(struct reader *reader, struct str text,
		       uint64_t revision, int64_t now)
{
	struct store_item item = { .key = STR("op/config"),
				   .value = text,
				   .revision = revision };
	struct store_reply reply = { .items = &item,
				     .count = text.len > 0,
				     .revision = revision };
	struct flow_store_reply store = { .call = STORE_RANGE,
					  .ok = true,
					  .reply = &reply };

	reader_on_reply(reader, &store, now);
}

static void answer_range(struct reader *reader, int version, int64_t *now)
{
	struct flow_effect call = next_call(reader, now);

	ck_assert_int_eq(call.call, STORE_RANGE);
	reply_page(reader, config_text(version, 1, ""), (uint64_t)version,
		   *now);
	reply_page(reader, (struct str){ 0 }, (uint64_t)version, *now);
}

/*
 * While a reader was cut off, a large configuration was published several
 * times. The reply to the watch contains all versions and exceeds the limit of
 * a reply; a retry would give the same reply, and the node would keep the old
 * version. The reader must read the keys instead, which hold only the newest.
 */
START_TEST(test_changes_too_large)
{
	struct node_copy *node_copy = node_copy_create();
	struct flow_store_reply refused = {
		.call = STORE_WATCH,
		.unusable = true,
		.why = "reply is no HTTP, or too large"
	};
	struct reader reader;
	int64_t now = 1000000;

	reader_init(&reader, &node_copy->dir, &node_copy->fx, now);
	reader_set_active(&reader, true, now);
	answer_range(&reader, 1, &now);
	ck_assert_int_eq(next_call(&reader, &now).call, STORE_WATCH);
	reader_on_reply(&reader, &refused, now);
	answer_range(&reader, 2, &now);
	ck_assert_uint_eq(node_copy->dir.catalog->version, 2);
	ck_assert_int_eq(next_call(&reader, &now).call, STORE_WATCH);
	reader_destroy(&reader);
	node_copy_destroy(node_copy);
}
END_TEST

/* An older version is ignored and logged; no operator has to act. */
START_TEST(test_older_version_is_ignored)
{
	struct node_copy *node_copy = node_copy_create();

	apply_config(node_copy, config_text(3, 1, ""), 1);
	apply_config(node_copy, config_text(2, 1, ""), 2);
	ck_assert_uint_eq(node_copy->dir.catalog->version, 3);
	ck_assert_uint_eq(node_copy->fx.count, 2);
	ck_assert_ptr_nonnull(
		strstr(node_copy->fx.list[1].text.ptr, "passed over"));
	ck_assert(!node_copy->fx.list[1].severe);
	node_copy_destroy(node_copy);
}
END_TEST

/* A malformed configuration is refused, logged as severe and counted. */
START_TEST(test_refused_configuration_is_reported)
{
	struct node_copy *node_copy = node_copy_create();
	bool logged = false;

	apply_config(node_copy, config_text(1, 1, ""), 1);
	apply_config(node_copy, STR("{\"version\":2"), 2);
	for (size_t i = 0; i < node_copy->fx.count; i++)
		logged = logged || node_copy->fx.list[i].severe;
	ck_assert(logged);
	ck_assert_uint_eq(node_copy->dir.catalog->version, 1);
	ck_assert_uint_eq(node_copy->dir.catalog_revision, 1);
	ck_assert_uint_eq(node_copy->dir.seen_revision, 2);
	ck_assert_uint_eq(node_copy->decision_log.metrics
				  .counters[METRIC_CONFIGURATIONS_REFUSED],
			  1);
	node_copy_destroy(node_copy);
}
END_TEST

/** struct corruption - corruption of a packed list */
struct corruption {
	int offset; /* changed byte, from the end if negative; 0: none */
	int truncated_bytes; /* bytes cut off at the end */
};

static const struct corruption corruptions[] = {
	{ 3, 0 },  { 9, 0 }, { 200, 0 }, { -8, 0 },
	{ -3, 0 }, { 0, 1 }, { 0, 900 },
};

/* A corrupt list is refused as a whole: a part of it would look complete. */
START_TEST(test_corrupt_list_is_refused)
{
	const struct corruption *corruption = &corruptions[_i];
	struct node_copy *node_copy = node_copy_create();
	struct buf body = { 0 };
	struct store_item *items;
	size_t count;

	apply_config(node_copy, config_text(1, 1400, ""), 1);
	directory_encode(&node_copy->dir, 0, &body);
	ck_assert_int_eq(
		payload_decode_items(buf_str(&body), pool, &items, &count), 0);
	ck_assert_uint_eq(count, 1);
	if (corruption->offset)
		body.ptr[corruption->offset > 0
				 ? (size_t)corruption->offset
				 : body.len - (size_t)-corruption->offset] ^=
			85;
	body.len -= (size_t)corruption->truncated_bytes;
	ck_assert_int_eq(
		payload_decode_items(buf_str(&body), pool, &items, &count),
		ERR_FRAME);
	ck_assert_uint_eq(count, 0);
	buf_free(&body);
	node_copy_destroy(node_copy);
}
END_TEST

#define COUNT(table) ((int)(sizeof(table) / sizeof(*(table))))

static void add_tests(TCase *tcase)
{
	tcase_add_checked_fixture(tcase, create_pool, destroy_pool);
	tcase_add_loop_test(tcase, test_published_configuration_is_in_force, 0,
			    COUNT(route_counts));
	tcase_add_loop_test(tcase, test_out_of_range_route_is_in_force, 0,
			    COUNT(extra_route_fields));
	tcase_add_test(tcase, test_long_names);
	tcase_add_test(tcase, test_changes_too_large);
	tcase_add_test(tcase, test_older_version_is_ignored);
	tcase_add_test(tcase, test_refused_configuration_is_reported);
	tcase_add_loop_test(tcase, test_corrupt_list_is_refused, 0,
			    COUNT(corruptions));
}

int main(void)
{
	return suite_run("configuration", add_tests);
}
