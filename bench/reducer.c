/*
 * CPU time and memory of one node's reducer, without sockets. Prints one JSON
 * line for each measurement; bench/slopes.py fits lines to them.
 *
 *   reducer leafs|targets|members|joins|docs|customers|records|growth
 */
#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <time.h>
#include <unistd.h>

#include <apr_general.h>

#include "../front.h"
#include "../gate.h"
#include "../member.h"
#include "../wire.h"
#include "../xmalloc.h"

enum {
	SECOND_US = 1000000,
	WARMUP_QUESTIONS = 20,
	OPEN_QUESTIONS = 200
};

static double cpu_seconds(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &ts);
	return (double)ts.tv_sec + (double)ts.tv_nsec / 1e9;
}

/* Resident set size, since malloc statistics do not show APR's pools. */
static double resident_bytes(void)
{
	FILE *statm = fopen("/proc/self/statm", "r");
	long size = 0;
	long resident = 0;

	malloc_trim(0);
	if (!statm || fscanf(statm, "%ld %ld", &size, &resident) != 2)
		abort();
	fclose(statm);
	return (double)resident * (double)sysconf(_SC_PAGESIZE);
}

/* Fleet of @targets targets; index "asked" has @asked_shards of the shards. */
static char *make_fleet(int targets, int asked_shards, int vms)
{
	struct buf out = { 0 };

	buf_str_add(&out, STR("{\"version\":1,\"domains\":["));
	for (int i = 0; i < 7; i++)
		buf_printf(&out, "%s{\"name\":\"d%d\",\"state\":\"in\"}",
			   i ? "," : "", i);
	buf_str_add(&out, STR("],\"vms\":["));
	for (int i = 0; i < vms; i++)
		buf_printf(&out,
			   "%s{\"address\":\"10.0.%d.%d:7\",\"domain\":"
			   "\"d%d\",\"state\":\"live\"}",
			   i ? "," : "", i / 250, i % 250, i % 7);
	buf_str_add(&out, STR("],\"targets\":["));
	for (int i = 0; i < targets; i++)
		buf_printf(&out,
			   "%s{\"name\":\"t%d\",\"address\":\"10.1.%d.%d:8\","
			   "\"domain\":\"d%d\",\"state\":\"live\",\"slots\":"
			   "64,\"connections\":25}",
			   i ? "," : "", i, i / 250, i % 250, i % 7);
	buf_str_add(&out, STR("],\"snapshots\":[{\"version\":1,\"shards\":["));
	for (int i = 0; i < targets; i++)
		buf_printf(&out,
			   "%s{\"id\":%d,\"index\":\"%s\",\"from\":%d,"
			   "\"to\":%d,\"replicas\":[\"t%d\",\"t%d\"]}",
			   i ? "," : "", i + 1,
			   i < asked_shards ? "asked" : "rest", i, i + 1, i,
			   (i + 1) % targets);
	buf_str_add(&out, STR("]}]}"));
	return out.ptr ? (buf_add(&out, "", 1), out.ptr) : NULL;
}

static char *make_lists(int customers)
{
	struct buf out = { 0 };

	buf_str_add(&out, STR("{\"version\":1,\"plans\":["));
	for (int i = 0; i < customers; i++)
		buf_printf(&out, "%s{\"customer\":\"c%d\",\"plan\":\"p\"}",
			   i ? "," : "", i);
	buf_str_add(&out, STR("],\"allowances\":[{\"plan\":\"p\",\"indexes\":"
			      "[\"asked\"],\"entries\":[\"asked\"],"
			      "\"deadline_ms\":1000,\"rate\":1e6,"
			      "\"burst\":1e6}]}"));
	buf_add(&out, "", 1);
	return out.ptr;
}

/** struct fixture - a node whose targets reply immediately */
struct fixture {
	struct node *node;
	struct effects fx;
	int64_t now;
	uint64_t last_call_id;
	uint64_t leaf_requests;
	uint64_t events;
	bool withhold_replies; /* leave requests open */
};

static void deliver(struct fixture *fixture, struct event event)
{
	event.now = fixture->now;
	fixture->events++;
	node_reduce(fixture->node, &event, &fixture->fx);
}

static void reply_to_leaf_request(struct fixture *fixture,
				  const struct effect *fx)
{
	struct parsed_reply response = { .result = FETCH_OK,
					 .status = 200,
					 .boot = 1,
					 .job = fx->job,
					 .shard = fx->shard,
					 .version = fx->version,
					 .load = -1,
					 .body = STR("[{\"a\":1}]") };

	fixture->leaf_requests++;
	deliver(fixture, (struct event){ .type = EV_FETCH_DONE,
					 .id = fx->id,
					 .parsed_reply = &response });
}

static void run_effects(struct fixture *fixture)
{
	for (size_t i = 0; i < fixture->fx.count; i++) {
		struct effect fx = fixture->fx.list[i];

		if (fx.type == FX_FETCH && fx.fetch == FETCH_LEAF &&
		    !fixture->withhold_replies)
			reply_to_leaf_request(fixture, &fx);
	}
	effects_clear(&fixture->fx);
}

static void advance_time(struct fixture *fixture, int64_t us)
{
	for (int64_t end = fixture->now + us; fixture->now < end;) {
		fixture->now += 50000;
		deliver(fixture, (struct event){ .type = EV_TICK });
		run_effects(fixture);
	}
}

static void start_node(struct fixture *fixture, int targets, int asked_shards,
		       int vms, int customers)
{
	struct node_options opt = { .addr = STR("10.0.0.0:7"),
				    .domain = STR("d0"),
				    .incarnation = 1,
				    .seed = 1,
				    .max_open = 100000 };
	char *fleet = make_fleet(targets, asked_shards, vms);
	char *lists = make_lists(customers);

	*fixture = (struct fixture){ .now = SECOND_US };
	effects_init(&fixture->fx, NULL);
	fixture->node = node_create(&opt, fixture->now, &fixture->fx);
	run_effects(fixture);
	deliver(fixture, (struct event){ .type = EV_DOC,
					 .doc = DOC_LISTS,
					 .body = str_of(lists) });
	deliver(fixture, (struct event){ .type = EV_DOC,
					 .doc = DOC_FLEET,
					 .body = str_of(fleet) });
	run_effects(fixture);
	advance_time(fixture, 4 * SECOND_US);
	free(fleet);
	free(lists);
}

static void stop_node(struct fixture *fixture)
{
	effects_clear(&fixture->fx);
	node_destroy(fixture->node);
	effects_free(&fixture->fx);
}

static void send_question(struct fixture *fixture)
{
	deliver(fixture,
		(struct event){
			.type = EV_QUESTION,
			.id = ++fixture->last_call_id,
			.body = STR("{\"customer\":\"c0\",\"request_id\":"
				    "\"r\",\"indexes\":[\"asked\"]}") });
	run_effects(fixture);
}

/* Fan-out: CPU time per leaf request, events per second, and bytes per open
 * question without the allocations for effects. */
static void bench_leafs(int asked_shards, int targets)
{
	struct fixture fixture;
	int rounds = 200000 / asked_shards + 10;
	double begin;
	double spent;
	double memory;

	start_node(&fixture, targets, asked_shards, 1, 1);
	for (int i = 0; i < WARMUP_QUESTIONS; i++)
		send_question(&fixture);
	fixture.leaf_requests = fixture.events = 0;
	begin = cpu_seconds();
	for (int i = 0; i < rounds; i++) {
		fixture.now += 1000;
		send_question(&fixture);
	}
	spent = cpu_seconds() - begin;
	fixture.withhold_replies = true;
	memory = resident_bytes();
	for (int i = 0; i < OPEN_QUESTIONS; i++)
		send_question(&fixture);
	memory = (resident_bytes() - memory) / OPEN_QUESTIONS;
	printf("{\"bench\":\"leafs\",\"x\":%d,\"targets\":%d,"
	       "\"ns_per_leaf\":%.0f,\"us_per_question\":%.1f,"
	       "\"events_per_s\":%.0f,\"bytes_per_question\":%.0f}\n",
	       asked_shards, targets,
	       spent * 1e9 / (double)fixture.leaf_requests,
	       spent * 1e6 / rounds, (double)fixture.events / spent, memory);
	stop_node(&fixture);
}

/* Targets listed in the fleet: bytes, and CPU time of a view change. */
static void bench_targets(int targets, int vms)
{
	struct fixture fixture;
	double memory = resident_bytes();
	double begin;
	double spent;

	start_node(&fixture, targets, 10, vms, 1);
	memory = resident_bytes() - memory;
	begin = cpu_seconds();
	for (int i = 0; i < 20; i++) {
		fixture.node->fx = &fixture.fx;
		node_view_changed(fixture.node);
		fixture.node->fx = NULL;
		run_effects(&fixture);
	}
	spent = (cpu_seconds() - begin) / 20;
	printf("{\"bench\":\"targets\",\"x\":%d,\"vms\":%d,\"bytes\":%.0f,"
	       "\"view_change_ms\":%.3f}\n",
	       targets, vms, memory, spent * 1e3);
	stop_node(&fixture);
}

/* VMs: CPU time and bytes on the wire per period of all-to-all heartbeats. */
static void bench_members(int vms)
{
	struct fixture fixture;
	struct msg msg = { .kind = MSG_HEARTBEAT,
			   .version = 1000,
			   .hash = 1ULL << 60,
			   .version2 = 1000,
			   .hash2 = 1ULL << 60,
			   .state = VM_LIVE,
			   .fresh_us = 500000,
			   .name = STR("d3") };
	struct buf bytes = { 0 };
	int rounds = 2000 / vms + 5;
	double spent;

	start_node(&fixture, 10, 10, vms, 1);
	frame_encode(&(struct frame){ .from = STR("10.0.0.0:7"),
				      .from_incarnation = 1ULL << 60,
				      .msgs = &msg,
				      .count = 1 },
		     &bytes);
	msg.version = fixture.node->lists->version;
	msg.hash = fixture.node->lists->hash;
	msg.version2 = fixture.node->fleet->version;
	msg.hash2 = fixture.node->fleet->hash;
	spent = cpu_seconds();
	/* All VMs join in the first period, which is not counted. */
	for (int r = -1; r < rounds; r++) {
		if (!r)
			spent = cpu_seconds();
		fixture.now += HEARTBEAT_PERIOD_US;
		for (int i = 1; i < vms; i++) {
			char addr[32];
			struct frame frame;
			struct error err;

			snprintf(addr, sizeof(addr), "10.0.%d.%d:7", i / 250,
				 i % 250);
			/* Receiving costs a decode, sending an encode. */
			if (frame_decode(buf_str(&bytes), &frame, &err) > 0)
				frame_free(&frame);
			deliver(&fixture,
				(struct event){ .type = EV_MSG,
						.from = str_of(addr),
						.incarnation = 1ULL << 60,
						.msg = &msg });
		}
		deliver(&fixture, (struct event){ .type = EV_TICK });
		for (size_t i = 0; i < fixture.fx.count; i++) {
			struct buf out = { 0 };
			struct frame frame = {
				.from = STR("10.0.0.0:7"),
				.from_incarnation = 1ULL << 60,
				.msgs = &fixture.fx.list[i].msg,
				.count = 1,
			};

			if (fixture.fx.list[i].type == FX_SEND)
				frame_encode(&frame, &out);
			buf_free(&out);
		}
		effects_clear(&fixture.fx);
	}
	spent = (cpu_seconds() - spent) / rounds;
	printf("{\"bench\":\"members\",\"x\":%d,\"us_per_period\":%.1f,"
	       "\"core_percent\":%.3f,\"frame_bytes\":%zu,"
	       "\"bytes_per_s_each_way\":%.0f}\n",
	       vms, spent * 1e6, spent * 1e6 * 100 / HEARTBEAT_PERIOD_US,
	       bytes.len,
	       (double)bytes.len * (vms - 1) * SECOND_US / HEARTBEAT_PERIOD_US);
	buf_free(&bytes);
	stop_node(&fixture);
}

/* A node starts in the largest fleet: heartbeats of all others arrive within a
 * second. */
static void bench_joins(int vms)
{
	struct fixture fixture;
	struct msg msg = { .kind = MSG_HEARTBEAT,
			   .state = VM_LIVE,
			   .name = STR("d3") };
	double spent;

	start_node(&fixture, 5600, 10, vms, 1);
	spent = cpu_seconds();
	for (int i = 1; i < vms; i++) {
		char addr[32];

		fixture.now += SECOND_US / vms;
		snprintf(addr, sizeof(addr), "10.0.%d.%d:7", i / 250, i % 250);
		deliver(&fixture, (struct event){ .type = EV_MSG,
						  .from = str_of(addr),
						  .incarnation = 1,
						  .msg = &msg });
		effects_clear(&fixture.fx);
	}
	printf("{\"bench\":\"joins\",\"x\":%d,\"targets\":5600,"
	       "\"cpu_ms\":%.1f}\n",
	       vms, (cpu_seconds() - spent) * 1e3);
	stop_node(&fixture);
}

/* Documents: size, CPU time to parse and memory of a fleet document. */
static void bench_docs(int targets, int vms)
{
	char *body = make_fleet(targets, 10, vms);
	struct error err;
	double begin = cpu_seconds();
	double memory = resident_bytes();
	struct fleet *fleet = fleet_parse(str_of(body), &err);

	memory = resident_bytes() - memory;
	printf("{\"bench\":\"docs\",\"x\":%d,\"vms\":%d,\"body_bytes\":%zu,"
	       "\"parse_ms\":%.2f,\"bytes\":%.0f,\"accepted\":%d}\n",
	       targets, vms, strlen(body), (cpu_seconds() - begin) * 1e3,
	       memory, fleet != NULL);
	fleet_unref(fleet);
	free(body);
}

/* Customers: bytes of their accounts after one question each. */
static void bench_customers(int customers)
{
	struct fixture fixture;
	double memory;

	start_node(&fixture, 10, 10, 1, customers);
	memory = resident_bytes();
	for (int i = 0; i < customers; i++) {
		char body[120];

		snprintf(body, sizeof(body),
			 "{\"customer\":\"c%d\",\"request_id\":\"r\","
			 "\"indexes\":[\"asked\"]}",
			 i);
		deliver(&fixture, (struct event){ .type = EV_QUESTION,
						  .id = ++fixture.last_call_id,
						  .body = str_of(body) });
		run_effects(&fixture);
	}
	memory = resident_bytes() - memory;
	printf("{\"bench\":\"customers\",\"x\":%d,\"bytes\":%.0f}\n", customers,
	       memory);
	stop_node(&fixture);
}

/* Memory over a long run; with valgrind, allocations per leaf request. */
static void bench_growth(int questions)
{
	struct fixture fixture;

	start_node(&fixture, 260, 260, 1, 1);
	for (int step = 0; step < 6; step++) {
		for (int i = 0; i < questions; i++) {
			fixture.now += 2000;
			send_question(&fixture);
		}
		printf("{\"bench\":\"growth\",\"leafs\":%llu,"
		       "\"resident_kb\":%.0f}\n",
		       (unsigned long long)fixture.leaf_requests,
		       resident_bytes() / 1024);
	}
	stop_node(&fixture);
}

/* Bytes of the records of concluded entries. */
static void bench_records(int records)
{
	struct fixture fixture;
	double memory;

	start_node(&fixture, 10, 10, 1, 1);
	memory = resident_bytes();
	for (int i = 0; i < records; i++) {
		char body[400];
		char ticket[160] = "";

		deliver(&fixture,
			(struct event){ .type = EV_TICKET,
					.id = ++fixture.last_call_id,
					.body = STR("{\"customer\":\"c0\","
						    "\"request_id\":\"r\"}") });
		for (size_t n = 0; n < fixture.fx.count; n++) {
			struct str answer = fixture.fx.list[n].body;
			const char *at =
				memmem(answer.ptr ? answer.ptr : "", answer.len,
				       "\"ticket\":\"", 10);

			if (at)
				sscanf(at + 10, "%150[^\"]", ticket);
		}
		run_effects(&fixture);
		snprintf(body, sizeof(body),
			 "{\"customer\":\"c0\",\"request_id\":\"r\","
			 "\"ticket\":\"%s\",\"index\":\"rest\","
			 "\"key\":1,\"entry\":{\"tubes\":40}}",
			 ticket);
		deliver(&fixture, (struct event){ .type = EV_ENTRY,
						  .id = ++fixture.last_call_id,
						  .body = str_of(body) });
		run_effects(&fixture);
	}
	memory = resident_bytes() - memory;
	printf("{\"bench\":\"records\",\"x\":%d,\"bytes\":%.0f,"
	       "\"not_run\":%llu}\n",
	       records, memory,
	       (unsigned long long)fixture.node->counters[CNT_ENTRIES_NOT_RUN]);
	stop_node(&fixture);
}

int main(int argc, char **argv)
{
	static const int sizes[] = { 10, 100, 260, 1000, 5600 };
	static const int vms[] = { 9, 100, 300, 910 };
	const char *bench = argc > 1 ? argv[1] : "";

	apr_initialize();
	if (!strcmp(bench, "growth"))
		bench_growth(argc > 2 ? atoi(argv[2]) : 8000);
	for (size_t i = 0; i < 5; i++) {
		if (!strcmp(bench, "leafs"))
			bench_leafs(sizes[i], sizes[i]);
		if (!strcmp(bench, "targets"))
			bench_targets(sizes[i], 9);
		if (!strcmp(bench, "docs"))
			bench_docs(sizes[i], 9);
		if (!strcmp(bench, "customers"))
			bench_customers(sizes[i]);
		if (!strcmp(bench, "records"))
			bench_records(sizes[i]);
	}
	/* Same fan-out, more targets: shows that the cost does not grow. */
	for (size_t i = 2; i < 5 && !strcmp(bench, "leafs"); i++)
		bench_leafs(260, sizes[i]);
	for (size_t i = 0; i < 4; i++) {
		if (!strcmp(bench, "members"))
			bench_members(vms[i]);
		if (!strcmp(bench, "joins"))
			bench_joins(vms[i]);
		if (!strcmp(bench, "targets"))
			bench_targets(5600, vms[i]);
	}
	if (!strcmp(bench, "docs"))
		bench_docs(5600, 910);
	return 0;
}
