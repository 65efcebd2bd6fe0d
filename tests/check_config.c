/*
 * Callers were served by a version that had been replaced over five seconds
 * before, on every node. An operator had added routes three times in a day; the
 * third version came to all nodes, through the store and from node to node, and
 * each threw it away: the decoder took 4,096 routes at most, a bound that the
 * store does not have. Every node logged that reason at the same revision;
 * versions below it were in force within two seconds; without the bound the
 * third one is as well.
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
	/* What the store takes as one value, in bytes. */
	VALUE_MAX = 1024 * 1024,
	/*
	 * A node tells four others. On a link of 20 Mbit/s that has half a
	 * second for it, two steps down the tree are taken within one.
	 */
	FRAME_MAX = 20 * 1000 * 1000 / 8 / 2 / 4,
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

/** struct reading - a node's copy of what is published */
struct reading {
	struct flow_effects fx;
	struct decision_log decision_log;
	struct directory dir;
};

static struct reading *reading_create(void)
{
	struct reading *reading = apr_pcalloc(pool, sizeof(*reading));

	flow_effects_init(&reading->fx, pool);
	reading->decision_log.fx = &reading->fx;
	directory_init(&reading->dir, pool, &platform_dialect,
		       balancer_create(pool, STR("z"), 0),
		       &reading->decision_log);
	return reading;
}

static void reading_destroy(struct reading *reading)
{
	directory_destroy(&reading->dir);
	balancer_destroy(reading->dir.balancer);
	flow_effects_free(&reading->fx);
}

/* A configuration with @routes routes, each beginning with "r". */
static struct str config_text(int version, int routes, const char *more)
{
	struct buf text = { 0 };
	struct str out;

	buf_printf(&text, "{\"version\":%d,\"routes\":[", version);
	for (int i = 0; i < routes; i++)
		buf_printf(&text,
			   "%s{\"name\":\"r%d\",\"host\":\"h.example\","
			   "\"prefix\":\"/r%d/\",\"kind\":\"idempotent\","
			   "\"timeout_ms\":1200,\"service\":\"s\"%s}",
			   i ? "," : "", i, i, more);
	buf_printf(&text, "],\"services\":[{\"name\":\"s\","
			  "\"health_path\":\"/health\",\"max_conns\":9}]}");
	out = str_dup(pool, buf_str(&text));
	buf_free(&text);
	ck_assert_uint_le(out.len, VALUE_MAX);
	return out;
}

static void publish(struct reading *reading, struct str text, uint64_t revision)
{
	struct store_item item = { .key = STR("op/config"),
				   .value = text,
				   .revision = revision };

	directory_apply(&reading->dir, &item, 1, 1000);
}

/* One node's copy goes to another, in a frame. */
static void pass_on(struct reading *from, struct reading *to)
{
	struct buf body = { 0 };
	struct buf bytes = { 0 };
	struct msg msg = { .kind = MSG_ITEMS };
	struct frame frame = { .from = STR("10.0.0.1:7"),
			       .msgs = &msg,
			       .count = 1 };
	struct frame got = { 0 };
	struct error err = { 0 };
	struct store_item *items;
	size_t count;

	directory_encode(&from->dir, 0, &body);
	msg.body = buf_str(&body);
	frame_encode(&frame, &bytes);
	ck_assert_uint_le(bytes.len, FRAME_MAX);
	ck_assert_int_eq(frame_decode(buf_str(&bytes), &got, &err),
			 (int)bytes.len);
	ck_assert_int_eq(
		payload_decode_items(got.msgs[0].body, pool, &items, &count),
		0);
	directory_apply(&to->dir, items, count, 1000);
	frame_free(&got);
	buf_free(&body);
	buf_free(&bytes);
}

/* Routes of a version that the store has taken; the last fill its value. */
static const int route_counts[] = { 1, 1400, 2800, 4200, 8900 };

START_TEST(test_published_configuration_is_in_force)
{
	int routes = route_counts[_i];
	struct reading *reader = reading_create();
	struct reading *other = reading_create();
	char last[16];

	publish(reader, config_text(1, 1, ""), 1);
	publish(reader, config_text(2, routes, ""), 2);
	pass_on(reader, other);
	ck_assert_uint_eq(reader->dir.catalog->version, 2);
	ck_assert_uint_eq(other->dir.catalog->version, 2);
	snprintf(last, sizeof(last), "/r%d/x", routes - 1);
	ck_assert_ptr_nonnull(catalog_find_route(
		other->dir.catalog, STR("h.example"), str_of(last)));
	reading_destroy(other);
	reading_destroy(reader);
}
END_TEST

/* What a route may say besides, all taken by the store. */
static const char *const route_texts[] = {
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

/* A number of one route is beyond what this node can use: the rest counts. */
START_TEST(test_odd_route_is_in_force)
{
	struct reading *reading = reading_create();

	publish(reading, config_text(1, 1, ""), 1);
	publish(reading, config_text(2, 3, route_texts[_i]), 2);
	ck_assert_uint_eq(reading->dir.catalog->version, 2);
	ck_assert_uint_eq(reading->dir.catalog->nroutes, 3);
	reading_destroy(reading);
}
END_TEST

/* Names are as long as operators like; the value bounds them. */
START_TEST(test_long_names)
{
	struct reading *reading = reading_create();
	struct buf text = { 0 };
	struct str path;

	buf_printf(&text,
		   "{\"version\":2,\"services\":[],\"routes\":["
		   "{\"name\":\"r\",\"host\":\"h\",\"service\":\"s\","
		   "\"kind\":\"idempotent\",\"prefix\":\"/%0*d/\"}]}",
		   4000, 7);
	publish(reading, config_text(1, 1, ""), 1);
	publish(reading, buf_str(&text), 2);
	ck_assert_uint_eq(reading->dir.catalog->version, 2);
	path = reading->dir.catalog->routes[0].prefix;
	ck_assert_uint_eq(path.len, 4002);
	ck_assert_ptr_nonnull(
		catalog_find_route(reading->dir.catalog, STR("h"), path));
	buf_free(&text);
	reading_destroy(reading);
}
END_TEST

/* The call that the reader makes next, a second later. */
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

static void page(struct reader *reader, struct str text, uint64_t revision,
		 int64_t now)
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

static void read_all(struct reader *reader, int version, int64_t *now)
{
	struct flow_effect call = next_call(reader, now);

	ck_assert_int_eq(call.call, STORE_RANGE);
	page(reader, config_text(version, 1, ""), (uint64_t)version, *now);
	page(reader, (struct str){ 0 }, (uint64_t)version, *now);
}

/*
 * While a reader was cut off, a large configuration was published several
 * times. All versions come in one reply, which is over what a node takes: asked
 * again it is the same one, and the node stays at the old version. It reads the
 * keys instead, which hold the newest only.
 */
START_TEST(test_changes_too_large)
{
	struct reading *reading = reading_create();
	struct flow_store_reply refused = {
		.call = STORE_WATCH,
		.unusable = true,
		.why = "reply is no HTTP, or too large"
	};
	struct reader reader;
	int64_t now = 1000000;

	reader_init(&reader, &reading->dir, &reading->fx, now);
	reader_set_active(&reader, true, now);
	read_all(&reader, 1, &now);
	ck_assert_int_eq(next_call(&reader, &now).call, STORE_WATCH);
	reader_on_reply(&reader, &refused, now);
	read_all(&reader, 2, &now);
	ck_assert_uint_eq(reading->dir.catalog->version, 2);
	ck_assert_int_eq(next_call(&reader, &now).call, STORE_WATCH);
	reader_destroy(&reader);
	reading_destroy(reading);
}
END_TEST

/* An older version stays away, and that is told; no operator has to act. */
START_TEST(test_older_version_is_passed_over)
{
	struct reading *reading = reading_create();

	publish(reading, config_text(3, 1, ""), 1);
	publish(reading, config_text(2, 1, ""), 2);
	ck_assert_uint_eq(reading->dir.catalog->version, 3);
	ck_assert_uint_eq(reading->fx.count, 2);
	ck_assert_ptr_nonnull(
		strstr(reading->fx.list[1].text.ptr, "passed over"));
	ck_assert(!reading->fx.list[1].severe);
	reading_destroy(reading);
}
END_TEST

/* What cannot be read is refused in sight of the operator. */
START_TEST(test_refused_configuration_is_seen)
{
	struct reading *reading = reading_create();
	bool told = false;

	publish(reading, config_text(1, 1, ""), 1);
	publish(reading, STR("{\"version\":2"), 2);
	for (size_t i = 0; i < reading->fx.count; i++)
		told = told || reading->fx.list[i].severe;
	ck_assert(told);
	ck_assert_uint_eq(reading->dir.catalog->version, 1);
	ck_assert_uint_eq(reading->dir.catalog_revision, 1);
	ck_assert_uint_eq(reading->dir.seen_revision, 2);
	ck_assert_uint_eq(reading->decision_log.metrics
				  .counters[METRIC_CONFIGURATIONS_REFUSED],
			  1);
	reading_destroy(reading);
}
END_TEST

/** struct damage - what becomes of one byte of a packed list */
struct damage {
	int at; /* from the front, or from the end if below 0 */
	int cut; /* bytes left out at the end */
};

static const struct damage damages[] = {
	{ 3, 0 },  { 9, 0 }, { 200, 0 }, { -8, 0 },
	{ -3, 0 }, { 0, 1 }, { 0, 900 },
};

/* A list that came damaged is refused whole: half of it looks like all. */
START_TEST(test_damaged_list_is_refused)
{
	const struct damage *damage = &damages[_i];
	struct reading *reading = reading_create();
	struct buf body = { 0 };
	struct store_item *items;
	size_t count;

	publish(reading, config_text(1, 1400, ""), 1);
	directory_encode(&reading->dir, 0, &body);
	ck_assert_int_eq(
		payload_decode_items(buf_str(&body), pool, &items, &count), 0);
	ck_assert_uint_eq(count, 1);
	if (damage->at)
		body.ptr[damage->at > 0 ? (size_t)damage->at
					: body.len - (size_t)-damage->at] ^= 85;
	body.len -= (size_t)damage->cut;
	ck_assert_int_eq(
		payload_decode_items(buf_str(&body), pool, &items, &count),
		ERR_FRAME);
	ck_assert_uint_eq(count, 0);
	buf_free(&body);
	reading_destroy(reading);
}
END_TEST

#define COUNT(table) ((int)(sizeof(table) / sizeof(*(table))))

static void add(TCase *tcase)
{
	tcase_add_checked_fixture(tcase, make_pool, drop_pool);
	tcase_add_loop_test(tcase, test_published_configuration_is_in_force, 0,
			    COUNT(route_counts));
	tcase_add_loop_test(tcase, test_odd_route_is_in_force, 0,
			    COUNT(route_texts));
	tcase_add_test(tcase, test_long_names);
	tcase_add_test(tcase, test_changes_too_large);
	tcase_add_test(tcase, test_older_version_is_passed_over);
	tcase_add_test(tcase, test_refused_configuration_is_seen);
	tcase_add_loop_test(tcase, test_damaged_list_is_refused, 0,
			    COUNT(damages));
}

int main(void)
{
	return suite_run("configuration", add);
}
