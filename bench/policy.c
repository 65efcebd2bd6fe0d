/*
 * The policy's choices, each against the ways that were weighed, on whole
 * reducers in virtual time: same seed, same arrivals, no noise of the machine.
 * One JSON line a choice.
 *
 *   policy gates|hedging|admission|ramp|quota|snapshots|soft|moves [SEED]
 */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>

#include <apr_general.h>
#include <jansson.h>

#include "../front.h"
#include "../member.h"
#include "../quota.h"
#include "../tests/mesh.h"
#include "../xmalloc.h"

enum {
	MS = 1000,
	SECOND = 1000000,
	TARGETS = 113,
	NODES = 6,
	DOMAINS = 4
};

/** struct choice - one way of doing it, and the load that it is put under */
struct choice {
	const char *name;
	double rate; /* questions a second */
	int seconds;
	int straggle_pm;
	bool direct;
	bool permits;
	bool no_hedge;
	int64_t fixed_us;
	double quantile; /* 0: the default */
	bool no_admission;
	bool no_ramp;
	int64_t service_us;
	int64_t cold_us;
	int soft_ms;
	double floor;
	int restart; /* every n-th target restarts at a third of the time */
	int lacking; /* every n-th target lacks the newest snapshot */
	bool split; /* quota: 1/n instead of leases */
	double plan; /* plan's rate, 0 for no limit */
	int senders; /* nodes that the balancer sends to */
	bool kill; /* the last node is killed at a third of the time */
	bool stop; /* it is stopped as planned */
	bool kill_owner; /* the owner of the customer's bucket is killed */
};

static uint64_t seed = 1;

static int by_value(const void *left, const void *right)
{
	double a = *(const double *)left;
	double b = *(const double *)right;

	return a < b ? -1 : a > b;
}

static void configure(struct mesh *mesh, const struct choice *choice)
{
	for (int i = 0; i < NODES; i++) {
		struct front_config *config =
			&mesh->nodes[i].node->front->config;

		config->hedge = !choice->no_hedge;
		config->hedge_fixed_us = choice->fixed_us;
		if (choice->quantile > 0)
			config->hedge_quantile = choice->quantile;
		config->admission = !choice->no_admission;
		if (choice->split)
			mesh->nodes[i].node->quota->policy = QUOTA_SPLIT;
	}
	mesh->straggle_pm = choice->straggle_pm;
}

static struct mesh *build(const struct choice *choice)
{
	struct mesh_layout layout = mesh_layout(NODES, DOMAINS, TARGETS);
	double plan = choice->plan > 0 ? choice->plan : 1e6;
	int soft_ms = choice->soft_ms ? choice->soft_ms : 400;
	double floor = choice->floor > 0 ? choice->floor : 1;
	struct mesh *mesh = mesh_create(
		seed, &layout,
		mesh_lists(1, plan, plan / 5 + 1, soft_ms, 400, floor));

	mesh->latency_us = 100;
	mesh->far_us = 1000;
	mesh->straggle_factor = 10;
	mesh->permits = choice->permits;
	mesh->service_us = choice->service_us ? choice->service_us : 3 * MS;
	mesh->cold_us = choice->cold_us ? choice->cold_us : SECOND;
	for (int i = 0; i < NODES; i++) {
		mesh->nodes[i].opt.direct = choice->direct;
		mesh->nodes[i].opt.max_open = 4000;
		mesh->nodes[i].opt.off.no_ramp = choice->no_ramp;
	}
	mesh_start_all(mesh);
	return mesh;
}

static void load(struct mesh *mesh, const struct choice *choice, int64_t us)
{
	int64_t end = mesh->now + us;
	int senders = choice->senders ? choice->senders : NODES;
	struct rng rng = { .seed = seed + 99 };

	while (mesh->now < end) {
		double u =
			(double)(rng_next(&rng) >> 11) / (double)(1ULL << 53);

		mesh_call(mesh, (int)rng_below(&rng, (uint64_t)senders),
			  EV_QUESTION,
			  "{\"customer\":\"mill\",\"request_id\":\"r\","
			  "\"indexes\":[\"orders\"]}");
		mesh_run(mesh, (int64_t)(-log(1 - u) / choice->rate * 1e6));
	}
}

static void disturb(struct mesh *mesh, const struct choice *choice)
{
	for (size_t i = 0; choice->restart && i < mesh->ntargets;
	     i += (size_t)choice->restart)
		mesh_cold(mesh, &mesh->targets[i]);
	for (size_t i = 0; choice->lacking && i < mesh->ntargets;
	     i += (size_t)choice->lacking)
		mesh->targets[i].lacks = 2;
}

static int bucket_owner(struct mesh *mesh)
{
	struct vm *owner = member_owner(
		mesh->nodes[0].node, str_hash(STR("mill")), (struct str){ 0 });

	for (int i = 0; i < NODES; i++)
		if (str_eq(owner->addr, str_of(mesh->nodes[i].addr)))
			return i;
	return 0;
}

static void lose_node(struct mesh *mesh, const struct choice *choice)
{
	if (choice->kill)
		mesh_kill(mesh, NODES - 1);
	if (choice->stop)
		mesh_feed(mesh, NODES - 1, (struct event){ .type = EV_DRAIN });
	if (choice->kill_owner)
		mesh_kill(mesh, bucket_owner(mesh));
}

static uint64_t started(const struct mesh *mesh)
{
	uint64_t sum = 0;

	for (size_t i = 0; i < mesh->ntargets; i++)
		sum += mesh->targets[i].started;
	return sum;
}

static int peak_cold(const struct mesh *mesh, uint64_t *overruns)
{
	int peak = 0;

	*overruns = 0;
	for (size_t i = 0; i < mesh->ntargets; i++) {
		*overruns += mesh->targets[i].overruns;
		if (mesh->targets[i].peak_cold > peak)
			peak = mesh->targets[i].peak_cold;
	}
	return peak;
}

static void report(struct mesh *mesh, const struct choice *choice,
		   const char *part, size_t from, uint64_t before)
{
	size_t asked = mesh->nanswers - from;
	double *latency = xcalloc(asked + 1, sizeof(*latency));
	size_t answered = 0;
	size_t whole = 0;
	size_t partial = 0;
	double coverage = 0;
	uint64_t overruns;

	for (size_t id = from; id < mesh->nanswers; id++) {
		const struct mesh_answer *answer = &mesh->answers[id];
		json_t *doc;
		double share;

		if (!answer->count || answer->status != 200)
			continue;
		doc = json_loadb(answer->body.ptr, answer->body.len, 0, NULL);
		share = json_number_value(json_object_get(doc, "coverage"));
		json_decref(doc);
		coverage += share;
		if (share >= 1)
			whole++;
		else
			partial++;
		latency[answered++] =
			(double)(answer->at - answer->asked_at) / MS;
	}
	qsort(latency, answered, sizeof(*latency), by_value);
	printf("{\"part\":\"%s\",\"choice\":\"%s\",\"asked\":%zu,"
	       "\"answered\":%zu,\"whole\":%zu,\"partial\":%zu",
	       part, choice->name, asked, answered, whole, partial);
	if (answered)
		printf(",\"p50_ms\":%.2f,\"p99_ms\":%.2f,"
		       "\"coverage_mean\":%.4f,\"requests_per_leaf\":%.4f",
		       latency[answered / 2],
		       latency[(size_t)(0.99 * (double)answered)],
		       coverage / (double)answered,
		       (double)(started(mesh) - before) /
			       ((double)answered * TARGETS));
	printf(",\"peak_cold\":%d", peak_cold(mesh, &overruns));
	printf(",\"overruns\":%llu,\"goodput\":%.1f}\n",
	       (unsigned long long)overruns, (double)whole / choice->seconds);
	fflush(stdout);
	free(latency);
}

static void run(const char *part, const struct choice *choice)
{
	struct mesh *mesh = build(choice);
	struct choice gentle = *choice;
	uint64_t before;
	size_t from;

	gentle.rate = choice->plan > 0 ? choice->plan / 4 : 20;
	configure(mesh, choice);
	load(mesh, &gentle, 6 * SECOND);
	mesh_run(mesh, SECOND);
	for (size_t i = 0; i < mesh->ntargets; i++)
		mesh->targets[i].overruns = 0;
	from = mesh->nanswers;
	before = started(mesh);
	load(mesh, choice, choice->seconds * SECOND / 3);
	disturb(mesh, choice);
	lose_node(mesh, choice);
	load(mesh, choice, choice->seconds * SECOND * 2LL / 3);
	mesh_run(mesh, SECOND);
	report(mesh, choice, part, from, before);
	mesh_destroy(mesh);
}

static const struct choice gates[] = {
	{ .name = "gate, 30/s", .rate = 30, .seconds = 9 },
	{ .name = "direct 1/n, 30/s",
	  .rate = 30,
	  .seconds = 9,
	  .direct = true },
	{ .name = "gate, 300/s", .rate = 300, .seconds = 3 },
	{ .name = "direct 1/n, 300/s",
	  .rate = 300,
	  .seconds = 3,
	  .direct = true },
	{ .name = "gate, tenth restarts",
	  .rate = 60,
	  .seconds = 9,
	  .restart = 10 },
	{ .name = "direct 1/n, tenth restarts",
	  .rate = 60,
	  .seconds = 9,
	  .restart = 10,
	  .direct = true },
	{ .name = "permits, 30/s", .rate = 30, .seconds = 9, .permits = true },
	{ .name = "permits, 300/s",
	  .rate = 300,
	  .seconds = 3,
	  .permits = true },
	{ .name = "permits, tenth restarts",
	  .rate = 60,
	  .seconds = 9,
	  .restart = 10,
	  .permits = true },
};

static const struct choice hedging[] = {
	{ .name = "no straggler, quantile", .rate = 60, .seconds = 15 },
	{ .name = "no straggler, none",
	  .rate = 60,
	  .seconds = 15,
	  .no_hedge = true },
	{ .name = "none",
	  .rate = 60,
	  .seconds = 15,
	  .straggle_pm = 9,
	  .no_hedge = true },
	{ .name = "fixed 5 ms",
	  .rate = 60,
	  .seconds = 15,
	  .straggle_pm = 9,
	  .fixed_us = 5 * MS },
	{ .name = "fixed 10 ms",
	  .rate = 60,
	  .seconds = 15,
	  .straggle_pm = 9,
	  .fixed_us = 10 * MS },
	{ .name = "fixed 20 ms",
	  .rate = 60,
	  .seconds = 15,
	  .straggle_pm = 9,
	  .fixed_us = 20 * MS },
	{ .name = "quantile 0.90",
	  .rate = 60,
	  .seconds = 15,
	  .straggle_pm = 9,
	  .quantile = 0.90 },
	{ .name = "quantile 0.95",
	  .rate = 60,
	  .seconds = 15,
	  .straggle_pm = 9,
	  .quantile = 0.95 },
	{ .name = "quantile 0.97",
	  .rate = 60,
	  .seconds = 15,
	  .straggle_pm = 9,
	  .quantile = 0.97 },
	{ .name = "quantile 0.99",
	  .rate = 60,
	  .seconds = 15,
	  .straggle_pm = 9,
	  .quantile = 0.99 },
};

/* Slots carry 113 * 2 / 30 ms / 113 = 66 questions a second. */
static const struct choice admission[] = {
	{ .name = "1.0x, steered",
	  .rate = 66,
	  .seconds = 9,
	  .service_us = 30 * MS },
	{ .name = "1.2x, steered",
	  .rate = 80,
	  .seconds = 9,
	  .service_us = 30 * MS },
	{ .name = "1.2x, off",
	  .rate = 80,
	  .seconds = 9,
	  .service_us = 30 * MS,
	  .no_admission = true },
	{ .name = "2.0x, steered",
	  .rate = 133,
	  .seconds = 9,
	  .service_us = 30 * MS },
	{ .name = "2.0x, off",
	  .rate = 133,
	  .seconds = 9,
	  .service_us = 30 * MS,
	  .no_admission = true },
};

static const struct choice ramp[] = {
	{ .name = "ramp, cold 1 s", .rate = 100, .seconds = 9, .restart = 10 },
	{ .name = "no ramp, cold 1 s",
	  .rate = 100,
	  .seconds = 9,
	  .restart = 10,
	  .no_ramp = true },
	{ .name = "ramp, cold 4 s",
	  .rate = 100,
	  .seconds = 12,
	  .restart = 10,
	  .cold_us = 4 * SECOND },
	{ .name = "no ramp, cold 4 s",
	  .rate = 100,
	  .seconds = 12,
	  .restart = 10,
	  .cold_us = 4 * SECOND,
	  .no_ramp = true },
};

static const struct choice quota[] = {
	{ .name = "leases, even", .rate = 90, .seconds = 9, .plan = 30 },
	{ .name = "split, even",
	  .rate = 90,
	  .seconds = 9,
	  .plan = 30,
	  .split = true },
	{ .name = "leases, two nodes",
	  .rate = 90,
	  .seconds = 9,
	  .plan = 30,
	  .senders = 2 },
	{ .name = "split, two nodes",
	  .rate = 90,
	  .seconds = 9,
	  .plan = 30,
	  .split = true,
	  .senders = 2 },
	{ .name = "leases, owner killed",
	  .rate = 90,
	  .seconds = 9,
	  .plan = 30,
	  .kill_owner = true },
};

static const struct choice moves[] = {
	{ .name = "no move", .rate = 120, .seconds = 9, .senders = NODES - 1 },
	{ .name = "gate killed",
	  .rate = 120,
	  .seconds = 9,
	  .senders = NODES - 1,
	  .kill = true },
	{ .name = "gate stopped as planned",
	  .rate = 120,
	  .seconds = 9,
	  .senders = NODES - 1,
	  .stop = true },
};

static const struct choice snapshots[] = {
	{ .name = "all have the newest", .rate = 30, .seconds = 9 },
	{ .name = "a third lacks it, floor 1",
	  .rate = 30,
	  .seconds = 9,
	  .lacking = 3 },
	{ .name = "all lack it, floor 1",
	  .rate = 30,
	  .seconds = 9,
	  .lacking = 1 },
	{ .name = "all lack it, floor 0.5",
	  .rate = 30,
	  .seconds = 9,
	  .lacking = 1,
	  .floor = 0.5 },
};

/* Latency against coverage: the floor is 0.95, a straggler a question. */
static const struct choice soft[] = {
	{ .name = "soft 400 ms",
	  .rate = 60,
	  .seconds = 15,
	  .straggle_pm = 9,
	  .floor = 0.95,
	  .soft_ms = 400 },
	{ .name = "soft 20 ms",
	  .rate = 60,
	  .seconds = 15,
	  .straggle_pm = 9,
	  .floor = 0.95,
	  .soft_ms = 20 },
	{ .name = "soft 15 ms",
	  .rate = 60,
	  .seconds = 15,
	  .straggle_pm = 9,
	  .floor = 0.95,
	  .soft_ms = 15 },
	{ .name = "soft 12 ms",
	  .rate = 60,
	  .seconds = 15,
	  .straggle_pm = 9,
	  .floor = 0.95,
	  .soft_ms = 12 },
	{ .name = "soft 9 ms",
	  .rate = 60,
	  .seconds = 15,
	  .straggle_pm = 9,
	  .floor = 0.95,
	  .soft_ms = 9 },
	{ .name = "soft 12 ms, no hedges",
	  .rate = 60,
	  .seconds = 15,
	  .straggle_pm = 9,
	  .floor = 0.95,
	  .soft_ms = 12,
	  .no_hedge = true },
};

#define PART(name) \
	{ \
#name, name, sizeof(name) / sizeof(*(name)) \
	}
static const struct {
	const char *name;
	const struct choice *choices;
	size_t count;
} parts[] = {
	PART(gates), PART(hedging),   PART(admission), PART(ramp),
	PART(quota), PART(snapshots), PART(soft),      PART(moves),
};

int main(int argc, char **argv)
{
	apr_initialize();
	if (argc > 2)
		seed = strtoull(argv[2], NULL, 10);
	for (size_t i = 0; i < sizeof(parts) / sizeof(*parts); i++) {
		if (argc > 1 && strcmp(argv[1], parts[i].name))
			continue;
		for (size_t j = 0; j < parts[i].count; j++)
			run(parts[i].name, &parts[i].choices[j]);
	}
	return 0;
}
