/*
 * Compares each policy with its alternatives on complete nodes (reducers) in
 * virtual time: same seed and arrivals, no noise from the machine. Prints one
 * JSON line for each scenario.
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

/** struct scenario - a policy or one of its alternatives, and its load */
struct scenario {
	const char *name;
	double rate; /* questions per second */
	int seconds;
	int straggle_pm;
	bool direct;
	bool permits;
	bool no_hedge;
	int64_t fixed_us;
	double quantile; /* of the hedge delay, 0 for the default */
	bool no_admission;
	bool no_ramp;
	int64_t service_us;
	int64_t cold_us;
	int soft_ms;
	double coverage_floor;
	/* Faults happen after a third of the time. */
	int restart_every; /* every n-th target restarts */
	int lacks_every; /* every n-th target lacks the newest snapshot */
	bool split; /* quota: 1/n of the rate per node instead of leases */
	double plan_rate; /* questions per second, 0 for no limit */
	int senders; /* nodes that receive questions, 0 for all */
	bool kill; /* the last node is killed */
	bool stop; /* the last node is stopped as planned */
	bool kill_owner; /* the owner of the customer's bucket is killed */
};

static uint64_t seed = 1;

static int compare_doubles(const void *left, const void *right)
{
	double a = *(const double *)left;
	double b = *(const double *)right;

	return a < b ? -1 : a > b;
}

static void configure(struct mesh *mesh, const struct scenario *scenario)
{
	for (int i = 0; i < NODES; i++) {
		struct front_config *config =
			&mesh->nodes[i].node->front->config;

		config->hedge = !scenario->no_hedge;
		config->hedge_fixed_us = scenario->fixed_us;
		if (scenario->quantile > 0)
			config->hedge_quantile = scenario->quantile;
		config->admission = !scenario->no_admission;
		if (scenario->split)
			mesh->nodes[i].node->quota->policy = QUOTA_SPLIT;
	}
	mesh->straggle_pm = scenario->straggle_pm;
}

static struct mesh *create_mesh(const struct scenario *scenario)
{
	struct mesh_layout layout = mesh_layout(NODES, DOMAINS, TARGETS);
	double plan_rate = scenario->plan_rate > 0 ? scenario->plan_rate : 1e6;
	int soft_ms = scenario->soft_ms ? scenario->soft_ms : 400;
	double coverage_floor =
		scenario->coverage_floor > 0 ? scenario->coverage_floor : 1;
	struct mesh *mesh =
		mesh_create(seed, &layout,
			    mesh_lists(1, plan_rate, plan_rate / 5 + 1, soft_ms,
				       400, coverage_floor));

	mesh->latency_us = 100;
	mesh->far_us = 1000;
	mesh->straggle_factor = 10;
	mesh->permits = scenario->permits;
	mesh->service_us = scenario->service_us ? scenario->service_us : 3 * MS;
	mesh->cold_us = scenario->cold_us ? scenario->cold_us : SECOND;
	for (int i = 0; i < NODES; i++) {
		mesh->nodes[i].opt.direct = scenario->direct;
		mesh->nodes[i].opt.max_open = 4000;
		mesh->nodes[i].opt.off.no_ramp = scenario->no_ramp;
	}
	mesh_start_all(mesh);
	return mesh;
}

static void drive_load(struct mesh *mesh, const struct scenario *scenario,
		       int64_t us)
{
	int64_t end = mesh->now + us;
	int senders = scenario->senders ? scenario->senders : NODES;
	struct rng rng = { .seed = seed + 99 };

	while (mesh->now < end) {
		double u =
			(double)(rng_next(&rng) >> 11) / (double)(1ULL << 53);

		mesh_call(mesh, (int)rng_below(&rng, (uint64_t)senders),
			  EV_QUESTION,
			  "{\"customer\":\"mill\",\"request_id\":\"r\","
			  "\"indexes\":[\"orders\"]}");
		mesh_run(mesh, (int64_t)(-log(1 - u) / scenario->rate * 1e6));
	}
}

static void apply_target_faults(struct mesh *mesh,
				const struct scenario *scenario)
{
	for (size_t i = 0; scenario->restart_every && i < mesh->ntargets;
	     i += (size_t)scenario->restart_every)
		mesh_cold(mesh, &mesh->targets[i]);
	for (size_t i = 0; scenario->lacks_every && i < mesh->ntargets;
	     i += (size_t)scenario->lacks_every)
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

static void apply_node_faults(struct mesh *mesh,
			      const struct scenario *scenario)
{
	if (scenario->kill)
		mesh_kill(mesh, NODES - 1);
	if (scenario->stop)
		mesh_feed(mesh, NODES - 1, (struct event){ .type = EV_DRAIN });
	if (scenario->kill_owner)
		mesh_kill(mesh, bucket_owner(mesh));
}

static uint64_t requests_started(const struct mesh *mesh)
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

static void report(struct mesh *mesh, const struct scenario *scenario,
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
	qsort(latency, answered, sizeof(*latency), compare_doubles);
	printf("{\"part\":\"%s\",\"choice\":\"%s\",\"asked\":%zu,"
	       "\"answered\":%zu,\"whole\":%zu,\"partial\":%zu",
	       part, scenario->name, asked, answered, whole, partial);
	if (answered)
		printf(",\"p50_ms\":%.2f,\"p99_ms\":%.2f,"
		       "\"coverage_mean\":%.4f,\"requests_per_leaf\":%.4f",
		       latency[answered / 2],
		       latency[(size_t)(0.99 * (double)answered)],
		       coverage / (double)answered,
		       (double)(requests_started(mesh) - before) /
			       ((double)answered * TARGETS));
	printf(",\"peak_cold\":%d", peak_cold(mesh, &overruns));
	printf(",\"overruns\":%llu,\"goodput\":%.1f}\n",
	       (unsigned long long)overruns, (double)whole / scenario->seconds);
	fflush(stdout);
	free(latency);
}

static void run_scenario(const char *part, const struct scenario *scenario)
{
	struct mesh *mesh = create_mesh(scenario);
	struct scenario warmup = *scenario;
	uint64_t before;
	size_t from;

	warmup.rate = scenario->plan_rate > 0 ? scenario->plan_rate / 4 : 20;
	configure(mesh, scenario);
	drive_load(mesh, &warmup, 6 * SECOND);
	mesh_run(mesh, SECOND);
	for (size_t i = 0; i < mesh->ntargets; i++)
		mesh->targets[i].overruns = 0;
	from = mesh->nanswers;
	before = requests_started(mesh);
	drive_load(mesh, scenario, scenario->seconds * SECOND / 3);
	apply_target_faults(mesh, scenario);
	apply_node_faults(mesh, scenario);
	drive_load(mesh, scenario, scenario->seconds * SECOND * 2LL / 3);
	mesh_run(mesh, SECOND);
	report(mesh, scenario, part, from, before);
	mesh_destroy(mesh);
}

static const struct scenario gates[] = {
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
	  .restart_every = 10 },
	{ .name = "direct 1/n, tenth restarts",
	  .rate = 60,
	  .seconds = 9,
	  .restart_every = 10,
	  .direct = true },
	{ .name = "permits, 30/s", .rate = 30, .seconds = 9, .permits = true },
	{ .name = "permits, 300/s",
	  .rate = 300,
	  .seconds = 3,
	  .permits = true },
	{ .name = "permits, tenth restarts",
	  .rate = 60,
	  .seconds = 9,
	  .restart_every = 10,
	  .permits = true },
};

static const struct scenario hedging[] = {
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

/* Capacity of the slots: 113 * 2 / 30 ms / 113 = 66 questions per second. */
static const struct scenario admission[] = {
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

static const struct scenario ramp[] = {
	{ .name = "ramp, cold 1 s",
	  .rate = 100,
	  .seconds = 9,
	  .restart_every = 10 },
	{ .name = "no ramp, cold 1 s",
	  .rate = 100,
	  .seconds = 9,
	  .restart_every = 10,
	  .no_ramp = true },
	{ .name = "ramp, cold 4 s",
	  .rate = 100,
	  .seconds = 12,
	  .restart_every = 10,
	  .cold_us = 4 * SECOND },
	{ .name = "no ramp, cold 4 s",
	  .rate = 100,
	  .seconds = 12,
	  .restart_every = 10,
	  .cold_us = 4 * SECOND,
	  .no_ramp = true },
};

static const struct scenario quota[] = {
	{ .name = "leases, even", .rate = 90, .seconds = 9, .plan_rate = 30 },
	{ .name = "split, even",
	  .rate = 90,
	  .seconds = 9,
	  .plan_rate = 30,
	  .split = true },
	{ .name = "leases, two nodes",
	  .rate = 90,
	  .seconds = 9,
	  .plan_rate = 30,
	  .senders = 2 },
	{ .name = "split, two nodes",
	  .rate = 90,
	  .seconds = 9,
	  .plan_rate = 30,
	  .split = true,
	  .senders = 2 },
	{ .name = "leases, owner killed",
	  .rate = 90,
	  .seconds = 9,
	  .plan_rate = 30,
	  .kill_owner = true },
};

static const struct scenario moves[] = {
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

static const struct scenario snapshots[] = {
	{ .name = "all have the newest", .rate = 30, .seconds = 9 },
	{ .name = "a third lacks it, floor 1",
	  .rate = 30,
	  .seconds = 9,
	  .lacks_every = 3 },
	{ .name = "all lack it, floor 1",
	  .rate = 30,
	  .seconds = 9,
	  .lacks_every = 1 },
	{ .name = "all lack it, floor 0.5",
	  .rate = 30,
	  .seconds = 9,
	  .lacks_every = 1,
	  .coverage_floor = 0.5 },
};

/* Latency and coverage: floor 0.95, one straggler in each question. */
static const struct scenario soft[] = {
	{ .name = "soft 400 ms",
	  .rate = 60,
	  .seconds = 15,
	  .straggle_pm = 9,
	  .coverage_floor = 0.95,
	  .soft_ms = 400 },
	{ .name = "soft 20 ms",
	  .rate = 60,
	  .seconds = 15,
	  .straggle_pm = 9,
	  .coverage_floor = 0.95,
	  .soft_ms = 20 },
	{ .name = "soft 15 ms",
	  .rate = 60,
	  .seconds = 15,
	  .straggle_pm = 9,
	  .coverage_floor = 0.95,
	  .soft_ms = 15 },
	{ .name = "soft 12 ms",
	  .rate = 60,
	  .seconds = 15,
	  .straggle_pm = 9,
	  .coverage_floor = 0.95,
	  .soft_ms = 12 },
	{ .name = "soft 9 ms",
	  .rate = 60,
	  .seconds = 15,
	  .straggle_pm = 9,
	  .coverage_floor = 0.95,
	  .soft_ms = 9 },
	{ .name = "soft 12 ms, no hedges",
	  .rate = 60,
	  .seconds = 15,
	  .straggle_pm = 9,
	  .coverage_floor = 0.95,
	  .soft_ms = 12,
	  .no_hedge = true },
};

#define PART(name) \
	{ \
#name, name, sizeof(name) / sizeof(*(name)) \
	}
static const struct {
	const char *name;
	const struct scenario *scenarios;
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
			run_scenario(parts[i].name, &parts[i].scenarios[j]);
	}
	return 0;
}
