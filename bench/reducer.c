/*
 * Speed and memory of the decisions alone: one node's reducer, no sockets.
 * One JSON line a measurement; bench/slopes.py fits them.
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
	US = 1000000,
	WARM = 20,
	OPEN = 200
};

static double cpu_now(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &ts);
	return (double)ts.tv_sec + (double)ts.tv_nsec / 1e9;
}

/* Resident bytes: APR's pools are not seen by the heap's own books. */
static double heap_now(void)
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

/* @targets leafs, of which the index "asked" has @asked shards. */
static char *make_fleet(int targets, int asked, int vms)
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
			   i ? "," : "", i + 1, i < asked ? "asked" : "rest", i,
			   i + 1, i, (i + 1) % targets);
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

/** struct rig - a node whose targets answer at once */
struct rig {
	struct node *node;
	struct effects fx;
	int64_t now;
	uint64_t caller;
	uint64_t leafs;
	uint64_t events;
	bool hold; /* targets do not answer */
};

static void feed(struct rig *rig, struct event event)
{
	event.now = rig->now;
	rig->events++;
	node_reduce(rig->node, &event, &rig->fx);
}

static void answer_leaf(struct rig *rig, const struct effect *fx)
{
	struct parsed_reply got = { .result = FETCH_OK,
				    .status = 200,
				    .boot = 1,
				    .job = fx->job,
				    .shard = fx->shard,
				    .version = fx->version,
				    .load = -1,
				    .body = STR("[{\"a\":1}]") };

	rig->leafs++;
	feed(rig, (struct event){ .type = EV_FETCH_DONE,
				  .id = fx->id,
				  .parsed_reply = &got });
}

static void settle(struct rig *rig)
{
	for (size_t i = 0; i < rig->fx.count; i++) {
		struct effect fx = rig->fx.list[i];

		if (fx.type == FX_FETCH && fx.fetch == FETCH_LEAF && !rig->hold)
			answer_leaf(rig, &fx);
	}
	effects_clear(&rig->fx);
}

static void pass(struct rig *rig, int64_t us)
{
	for (int64_t end = rig->now + us; rig->now < end;) {
		rig->now += 50000;
		feed(rig, (struct event){ .type = EV_TICK });
		settle(rig);
	}
}

static void start(struct rig *rig, int targets, int asked, int vms,
		  int customers)
{
	struct node_options opt = { .addr = STR("10.0.0.0:7"),
				    .domain = STR("d0"),
				    .incarnation = 1,
				    .seed = 1,
				    .max_open = 100000 };
	char *fleet = make_fleet(targets, asked, vms);
	char *lists = make_lists(customers);

	*rig = (struct rig){ .now = US };
	effects_init(&rig->fx, NULL);
	rig->node = node_create(&opt, rig->now, &rig->fx);
	settle(rig);
	feed(rig, (struct event){ .type = EV_DOC,
				  .doc = DOC_LISTS,
				  .body = str_of(lists) });
	feed(rig, (struct event){ .type = EV_DOC,
				  .doc = DOC_FLEET,
				  .body = str_of(fleet) });
	settle(rig);
	pass(rig, 4 * US);
	free(fleet);
	free(lists);
}

static void stop(struct rig *rig)
{
	effects_clear(&rig->fx);
	node_destroy(rig->node);
	effects_free(&rig->fx);
}

static void ask(struct rig *rig)
{
	feed(rig,
	     (struct event){ .type = EV_QUESTION,
			     .id = ++rig->caller,
			     .body = STR("{\"customer\":\"c0\",\"request_id\":"
					 "\"r\",\"indexes\":[\"asked\"]}") });
	settle(rig);
}

/* Fan-out: processor time a leaf request, events a second, bytes a question
 * that is open, allocations of effects aside. */
static void bench_leafs(int asked, int targets)
{
	struct rig rig;
	int rounds = 200000 / asked + 10;
	double begin;
	double spent;
	double heap;

	start(&rig, targets, asked, 1, 1);
	for (int i = 0; i < WARM; i++)
		ask(&rig);
	rig.leafs = rig.events = 0;
	begin = cpu_now();
	for (int i = 0; i < rounds; i++) {
		rig.now += 1000;
		ask(&rig);
	}
	spent = cpu_now() - begin;
	rig.hold = true;
	heap = heap_now();
	for (int i = 0; i < OPEN; i++)
		ask(&rig);
	heap = (heap_now() - heap) / OPEN;
	printf("{\"bench\":\"leafs\",\"x\":%d,\"targets\":%d,"
	       "\"ns_per_leaf\":%.0f,\"us_per_question\":%.1f,"
	       "\"events_per_s\":%.0f,\"bytes_per_question\":%.0f}\n",
	       asked, targets, spent * 1e9 / (double)rig.leafs,
	       spent * 1e6 / rounds, (double)rig.events / spent, heap);
	stop(&rig);
}

/* Targets that the node knows of: bytes and time of a changed view. */
static void bench_targets(int targets, int vms)
{
	struct rig rig;
	double heap = heap_now();
	double begin;
	double spent;

	start(&rig, targets, 10, vms, 1);
	heap = heap_now() - heap;
	begin = cpu_now();
	for (int i = 0; i < 20; i++) {
		rig.node->fx = &rig.fx;
		node_view_changed(rig.node);
		rig.node->fx = NULL;
		settle(&rig);
	}
	spent = (cpu_now() - begin) / 20;
	printf("{\"bench\":\"targets\",\"x\":%d,\"vms\":%d,\"bytes\":%.0f,"
	       "\"view_change_ms\":%.3f}\n",
	       targets, vms, heap, spent * 1e3);
	stop(&rig);
}

/* VMs: a heartbeat period of all-to-all, time and bytes on the wire. */
static void bench_members(int vms)
{
	struct rig rig;
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

	start(&rig, 10, 10, vms, 1);
	frame_encode(&(struct frame){ .from = STR("10.0.0.0:7"),
				      .from_incarnation = 1ULL << 60,
				      .msgs = &msg,
				      .count = 1 },
		     &bytes);
	msg.version = rig.node->lists->version;
	msg.hash = rig.node->lists->hash;
	msg.version2 = rig.node->fleet->version;
	msg.hash2 = rig.node->fleet->hash;
	spent = cpu_now();
	/* The first period is all joins; it is not counted. */
	for (int r = -1; r < rounds; r++) {
		if (!r)
			spent = cpu_now();
		rig.now += HEARTBEAT_PERIOD_US;
		for (int i = 1; i < vms; i++) {
			char addr[32];
			struct frame frame;
			struct error err;

			snprintf(addr, sizeof(addr), "10.0.%d.%d:7", i / 250,
				 i % 250);
			/* Receiving costs a decode, sending an encode. */
			if (frame_decode(buf_str(&bytes), &frame, &err) > 0)
				frame_free(&frame);
			feed(&rig, (struct event){ .type = EV_MSG,
						   .from = str_of(addr),
						   .incarnation = 1ULL << 60,
						   .msg = &msg });
		}
		feed(&rig, (struct event){ .type = EV_TICK });
		for (size_t i = 0; i < rig.fx.count; i++) {
			struct buf out = { 0 };
			struct frame frame = {
				.from = STR("10.0.0.0:7"),
				.from_incarnation = 1ULL << 60,
				.msgs = &rig.fx.list[i].msg,
				.count = 1,
			};

			if (rig.fx.list[i].type == FX_SEND)
				frame_encode(&frame, &out);
			buf_free(&out);
		}
		effects_clear(&rig.fx);
	}
	spent = (cpu_now() - spent) / rounds;
	printf("{\"bench\":\"members\",\"x\":%d,\"us_per_period\":%.1f,"
	       "\"core_percent\":%.3f,\"frame_bytes\":%zu,"
	       "\"bytes_per_s_each_way\":%.0f}\n",
	       vms, spent * 1e6, spent * 1e6 * 100 / HEARTBEAT_PERIOD_US,
	       bytes.len,
	       (double)bytes.len * (vms - 1) * US / HEARTBEAT_PERIOD_US);
	buf_free(&bytes);
	stop(&rig);
}

/* A node starts in the largest fleet: all others are heard within a second. */
static void bench_joins(int vms)
{
	struct rig rig;
	struct msg msg = { .kind = MSG_HEARTBEAT,
			   .state = VM_LIVE,
			   .name = STR("d3") };
	double spent;

	start(&rig, 5600, 10, vms, 1);
	spent = cpu_now();
	for (int i = 1; i < vms; i++) {
		char addr[32];

		rig.now += US / vms;
		snprintf(addr, sizeof(addr), "10.0.%d.%d:7", i / 250, i % 250);
		feed(&rig, (struct event){ .type = EV_MSG,
					   .from = str_of(addr),
					   .incarnation = 1,
					   .msg = &msg });
		effects_clear(&rig.fx);
	}
	printf("{\"bench\":\"joins\",\"x\":%d,\"targets\":5600,"
	       "\"cpu_ms\":%.1f}\n",
	       vms, (cpu_now() - spent) * 1e3);
	stop(&rig);
}

/* Documents: bytes and time to take one. */
static void bench_docs(int targets, int vms)
{
	char *body = make_fleet(targets, 10, vms);
	struct error err;
	double begin = cpu_now();
	double heap = heap_now();
	struct fleet *fleet = fleet_parse(str_of(body), &err);

	heap = heap_now() - heap;
	printf("{\"bench\":\"docs\",\"x\":%d,\"vms\":%d,\"body_bytes\":%zu,"
	       "\"parse_ms\":%.2f,\"bytes\":%.0f,\"accepted\":%d}\n",
	       targets, vms, strlen(body), (cpu_now() - begin) * 1e3, heap,
	       fleet != NULL);
	fleet_unref(fleet);
	free(body);
}

/* Customers: bytes of an account, and of a line of the lists. */
static void bench_customers(int customers)
{
	struct rig rig;
	double heap;

	start(&rig, 10, 10, 1, customers);
	heap = heap_now();
	for (int i = 0; i < customers; i++) {
		char body[120];

		snprintf(body, sizeof(body),
			 "{\"customer\":\"c%d\",\"request_id\":\"r\","
			 "\"indexes\":[\"asked\"]}",
			 i);
		feed(&rig, (struct event){ .type = EV_QUESTION,
					   .id = ++rig.caller,
					   .body = str_of(body) });
		settle(&rig);
	}
	heap = heap_now() - heap;
	printf("{\"bench\":\"customers\",\"x\":%d,\"bytes\":%.0f}\n", customers,
	       heap);
	stop(&rig);
}

/* Resident bytes over a long run; under valgrind, allocations a leaf. */
static void bench_growth(int questions)
{
	struct rig rig;

	start(&rig, 260, 260, 1, 1);
	for (int step = 0; step < 6; step++) {
		for (int i = 0; i < questions; i++) {
			rig.now += 2000;
			ask(&rig);
		}
		printf("{\"bench\":\"growth\",\"leafs\":%llu,"
		       "\"resident_kb\":%.0f}\n",
		       (unsigned long long)rig.leafs, heap_now() / 1024);
	}
	stop(&rig);
}

/* Records of entries that were concluded: bytes each. */
static void bench_records(int records)
{
	struct rig rig;
	double heap;

	start(&rig, 10, 10, 1, 1);
	heap = heap_now();
	for (int i = 0; i < records; i++) {
		char body[400];
		char ticket[160] = "";

		feed(&rig,
		     (struct event){ .type = EV_TICKET,
				     .id = ++rig.caller,
				     .body = STR("{\"customer\":\"c0\","
						 "\"request_id\":\"r\"}") });
		for (size_t n = 0; n < rig.fx.count; n++) {
			struct str answer = rig.fx.list[n].body;
			const char *at =
				memmem(answer.ptr ? answer.ptr : "", answer.len,
				       "\"ticket\":\"", 10);

			if (at)
				sscanf(at + 10, "%150[^\"]", ticket);
		}
		settle(&rig);
		snprintf(body, sizeof(body),
			 "{\"customer\":\"c0\",\"request_id\":\"r\","
			 "\"ticket\":\"%s\",\"index\":\"rest\","
			 "\"key\":1,\"entry\":{\"tubes\":40}}",
			 ticket);
		feed(&rig, (struct event){ .type = EV_ENTRY,
					   .id = ++rig.caller,
					   .body = str_of(body) });
		settle(&rig);
	}
	heap = heap_now() - heap;
	printf("{\"bench\":\"records\",\"x\":%d,\"bytes\":%.0f,"
	       "\"not_run\":%llu}\n",
	       records, heap,
	       (unsigned long long)rig.node->counters[CNT_ENTRIES_NOT_RUN]);
	stop(&rig);
}

int main(int argc, char **argv)
{
	static const int sizes[] = { 10, 100, 260, 1000, 5600 };
	static const int vms[] = { 9, 100, 300, 910 };
	const char *what = argc > 1 ? argv[1] : "";

	apr_initialize();
	if (!strcmp(what, "growth"))
		bench_growth(argc > 2 ? atoi(argv[2]) : 8000);
	for (size_t i = 0; i < 5; i++) {
		if (!strcmp(what, "leafs"))
			bench_leafs(sizes[i], sizes[i]);
		if (!strcmp(what, "targets"))
			bench_targets(sizes[i], 9);
		if (!strcmp(what, "docs"))
			bench_docs(sizes[i], 9);
		if (!strcmp(what, "customers"))
			bench_customers(sizes[i]);
		if (!strcmp(what, "records"))
			bench_records(sizes[i]);
	}
	/* Flat in the number of targets: the same fan-out, more of them. */
	for (size_t i = 2; i < 5 && !strcmp(what, "leafs"); i++)
		bench_leafs(260, sizes[i]);
	for (size_t i = 0; i < 4; i++) {
		if (!strcmp(what, "members"))
			bench_members(vms[i]);
		if (!strcmp(what, "joins"))
			bench_joins(vms[i]);
		if (!strcmp(what, "targets"))
			bench_targets(5600, vms[i]);
	}
	if (!strcmp(what, "docs"))
		bench_docs(5600, 910);
	return 0;
}
