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
#include "../tests/cluster.h"
#include "../xmalloc.h"

enum {
	MS_US = 1000,
	SECOND_US = 1000000,
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
	bool leased_permits;
	bool no_hedge;
	int64_t fixed_hedge_us;
	double hedge_quantile; /* of the hedge delay, 0 for the default */
	bool no_admission;
	bool no_ramp;
	int64_t service_us;
	int64_t cold_us;
	int soft_ms;
	double coverage_floor;
	/* Faults happen after a third of the time. */
	int restart_every; /* every n-th target restarts */
	/* Every n-th target lacks the newest snapshot. */
	int missing_snapshot_every;
	bool split_quota; /* 1/n of the rate per node instead of leases */
	double plan_rate; /* questions per second, 0 for no limit */
	int receiving_nodes; /* nodes that receive questions, 0 for all */
	bool kill_node; /* the last node is killed */
	bool stop_node; /* the last node is stopped as planned */
	bool kill_bucket_owner; /* node that owns the customer's bucket */
};

static uint64_t seed = 1;

static int compare_doubles(const void *left, const void *right)
{
	double a = *(const double *)left;
	double b = *(const double *)right;

	return a < b ? -1 : a > b;
}

static void configure(struct cluster *cluster, const struct scenario *scenario)
{
	for (int i = 0; i < NODES; i++) {
		struct front_config *config =
			&cluster->nodes[i].node->front->config;

		config->hedge = !scenario->no_hedge;
		config->hedge_fixed_us = scenario->fixed_hedge_us;
		if (scenario->hedge_quantile > 0)
			config->hedge_quantile = scenario->hedge_quantile;
		config->admission = !scenario->no_admission;
		if (scenario->split_quota)
			cluster->nodes[i].node->quota->policy = QUOTA_SPLIT;
	}
	cluster->straggle_pm = scenario->straggle_pm;
}

static struct cluster *create_cluster(const struct scenario *scenario)
{
	struct cluster_layout layout =
		cluster_default_layout(NODES, DOMAINS, TARGETS);
	double plan_rate = scenario->plan_rate > 0 ? scenario->plan_rate : 1e6;
	int soft_ms = scenario->soft_ms ? scenario->soft_ms : 400;
	double coverage_floor =
		scenario->coverage_floor > 0 ? scenario->coverage_floor : 1;
	struct cluster *cluster = cluster_create(
		seed, &layout,
		cluster_lists_doc(1, plan_rate, plan_rate / 5 + 1, soft_ms, 400,
				  coverage_floor));

	cluster->latency_us = 100;
	cluster->far_us = 1000;
	cluster->straggle_factor = 10;
	cluster->leased_permits = scenario->leased_permits;
	cluster->service_us =
		scenario->service_us ? scenario->service_us : 3 * MS_US;
	cluster->cold_us = scenario->cold_us ? scenario->cold_us : SECOND_US;
	for (int i = 0; i < NODES; i++) {
		cluster->nodes[i].opt.direct = scenario->direct;
		cluster->nodes[i].opt.max_open = 4000;
		cluster->nodes[i].opt.off.no_ramp = scenario->no_ramp;
	}
	cluster_start_all(cluster);
	return cluster;
}

static void send_load(struct cluster *cluster, const struct scenario *scenario,
		      int64_t us)
{
	int64_t end = cluster->now + us;
	int receiving_nodes =
		scenario->receiving_nodes ? scenario->receiving_nodes : NODES;
	struct rng rng = { .seed = seed + 99 };

	while (cluster->now < end) {
		double u =
			(double)(rng_next(&rng) >> 11) / (double)(1ULL << 53);

		cluster_send_call(
			cluster,
			(int)rng_below(&rng, (uint64_t)receiving_nodes),
			EV_QUESTION,
			"{\"customer\":\"mill\",\"request_id\":\"r\","
			"\"indexes\":[\"orders\"]}");
		cluster_run(cluster,
			    (int64_t)(-log(1 - u) / scenario->rate * 1e6));
	}
}

static void apply_target_faults(struct cluster *cluster,
				const struct scenario *scenario)
{
	for (size_t i = 0; scenario->restart_every && i < cluster->ntargets;
	     i += (size_t)scenario->restart_every)
		cluster_restart_target(cluster, &cluster->targets[i]);
	for (size_t i = 0;
	     scenario->missing_snapshot_every && i < cluster->ntargets;
	     i += (size_t)scenario->missing_snapshot_every)
		cluster->targets[i].missing_snapshot = 2;
}

static int bucket_owner(struct cluster *cluster)
{
	struct vm *owner =
		member_owner(cluster->nodes[0].node, str_hash(STR("mill")),
			     (struct str){ 0 });

	for (int i = 0; i < NODES; i++)
		if (str_eq(owner->addr, str_of(cluster->nodes[i].addr)))
			return i;
	return 0;
}

static void apply_node_faults(struct cluster *cluster,
			      const struct scenario *scenario)
{
	if (scenario->kill_node)
		cluster_kill_node(cluster, NODES - 1);
	if (scenario->stop_node)
		cluster_deliver(cluster, NODES - 1,
				(struct event){ .type = EV_DRAIN });
	if (scenario->kill_bucket_owner)
		cluster_kill_node(cluster, bucket_owner(cluster));
}

static uint64_t requests_started(const struct cluster *cluster)
{
	uint64_t sum = 0;

	for (size_t i = 0; i < cluster->ntargets; i++)
		sum += cluster->targets[i].started;
	return sum;
}

static int peak_cold(const struct cluster *cluster, uint64_t *overruns)
{
	int peak = 0;

	*overruns = 0;
	for (size_t i = 0; i < cluster->ntargets; i++) {
		*overruns += cluster->targets[i].overruns;
		if (cluster->targets[i].peak_cold > peak)
			peak = cluster->targets[i].peak_cold;
	}
	return peak;
}

static void report(struct cluster *cluster, const struct scenario *scenario,
		   const char *part, size_t first_call, uint64_t started_before)
{
	size_t sent = cluster->ncalls - first_call;
	double *latency = xcalloc(sent + 1, sizeof(*latency));
	size_t answered = 0;
	size_t complete = 0;
	size_t partial = 0;
	double coverage = 0;
	uint64_t overruns;

	for (size_t id = first_call; id < cluster->ncalls; id++) {
		const struct cluster_call *call = &cluster->calls[id];
		json_t *doc;
		double share;

		if (!call->answers || call->status != 200)
			continue;
		doc = json_loadb(call->body.ptr, call->body.len, 0, NULL);
		share = json_number_value(json_object_get(doc, "coverage"));
		json_decref(doc);
		coverage += share;
		if (share >= 1)
			complete++;
		else
			partial++;
		latency[answered++] =
			(double)(call->answered_at - call->sent_at) / MS_US;
	}
	qsort(latency, answered, sizeof(*latency), compare_doubles);
	printf("{\"part\":\"%s\",\"choice\":\"%s\",\"asked\":%zu,"
	       "\"answered\":%zu,\"whole\":%zu,\"partial\":%zu",
	       part, scenario->name, sent, answered, complete, partial);
	if (answered)
		printf(",\"p50_ms\":%.2f,\"p99_ms\":%.2f,"
		       "\"coverage_mean\":%.4f,\"requests_per_leaf\":%.4f",
		       latency[answered / 2],
		       latency[(size_t)(0.99 * (double)answered)],
		       coverage / (double)answered,
		       (double)(requests_started(cluster) - started_before) /
			       ((double)answered * TARGETS));
	printf(",\"peak_cold\":%d", peak_cold(cluster, &overruns));
	printf(",\"overruns\":%llu,\"goodput\":%.1f}\n",
	       (unsigned long long)overruns,
	       (double)complete / scenario->seconds);
	fflush(stdout);
	free(latency);
}

static void run_scenario(const char *part, const struct scenario *scenario)
{
	struct cluster *cluster = create_cluster(scenario);
	struct scenario warmup = *scenario;
	uint64_t started_before;
	size_t first_call;

	warmup.rate = scenario->plan_rate > 0 ? scenario->plan_rate / 4 : 20;
	configure(cluster, scenario);
	send_load(cluster, &warmup, 6 * SECOND_US);
	cluster_run(cluster, SECOND_US);
	for (size_t i = 0; i < cluster->ntargets; i++)
		cluster->targets[i].overruns = 0;
	first_call = cluster->ncalls;
	started_before = requests_started(cluster);
	send_load(cluster, scenario, scenario->seconds * SECOND_US / 3);
	apply_target_faults(cluster, scenario);
	apply_node_faults(cluster, scenario);
	send_load(cluster, scenario, scenario->seconds * SECOND_US * 2LL / 3);
	cluster_run(cluster, SECOND_US);
	report(cluster, scenario, part, first_call, started_before);
	cluster_destroy(cluster);
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
	{ .name = "permits, 30/s",
	  .rate = 30,
	  .seconds = 9,
	  .leased_permits = true },
	{ .name = "permits, 300/s",
	  .rate = 300,
	  .seconds = 3,
	  .leased_permits = true },
	{ .name = "permits, tenth restarts",
	  .rate = 60,
	  .seconds = 9,
	  .restart_every = 10,
	  .leased_permits = true },
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
	  .fixed_hedge_us = 5 * MS_US },
	{ .name = "fixed 10 ms",
	  .rate = 60,
	  .seconds = 15,
	  .straggle_pm = 9,
	  .fixed_hedge_us = 10 * MS_US },
	{ .name = "fixed 20 ms",
	  .rate = 60,
	  .seconds = 15,
	  .straggle_pm = 9,
	  .fixed_hedge_us = 20 * MS_US },
	{ .name = "quantile 0.90",
	  .rate = 60,
	  .seconds = 15,
	  .straggle_pm = 9,
	  .hedge_quantile = 0.90 },
	{ .name = "quantile 0.95",
	  .rate = 60,
	  .seconds = 15,
	  .straggle_pm = 9,
	  .hedge_quantile = 0.95 },
	{ .name = "quantile 0.97",
	  .rate = 60,
	  .seconds = 15,
	  .straggle_pm = 9,
	  .hedge_quantile = 0.97 },
	{ .name = "quantile 0.99",
	  .rate = 60,
	  .seconds = 15,
	  .straggle_pm = 9,
	  .hedge_quantile = 0.99 },
};

/* Capacity of the slots: 113 * 2 / 30 ms / 113 = 66 questions per second. */
static const struct scenario admission[] = {
	{ .name = "1.0x, steered",
	  .rate = 66,
	  .seconds = 9,
	  .service_us = 30 * MS_US },
	{ .name = "1.2x, steered",
	  .rate = 80,
	  .seconds = 9,
	  .service_us = 30 * MS_US },
	{ .name = "1.2x, off",
	  .rate = 80,
	  .seconds = 9,
	  .service_us = 30 * MS_US,
	  .no_admission = true },
	{ .name = "2.0x, steered",
	  .rate = 133,
	  .seconds = 9,
	  .service_us = 30 * MS_US },
	{ .name = "2.0x, off",
	  .rate = 133,
	  .seconds = 9,
	  .service_us = 30 * MS_US,
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
	  .cold_us = 4 * SECOND_US },
	{ .name = "no ramp, cold 4 s",
	  .rate = 100,
	  .seconds = 12,
	  .restart_every = 10,
	  .cold_us = 4 * SECOND_US,
	  .no_ramp = true },
};

static const struct scenario quota[] = {
	{ .name = "leases, even", .rate = 90, .seconds = 9, .plan_rate = 30 },
	{ .name = "split, even",
	  .rate = 90,
	  .seconds = 9,
	  .plan_rate = 30,
	  .split_quota = true },
	{ .name = "leases, two nodes",
	  .rate = 90,
	  .seconds = 9,
	  .plan_rate = 30,
	  .receiving_nodes = 2 },
	{ .name = "split, two nodes",
	  .rate = 90,
	  .seconds = 9,
	  .plan_rate = 30,
	  .split_quota = true,
	  .receiving_nodes = 2 },
	{ .name = "leases, owner killed",
	  .rate = 90,
	  .seconds = 9,
	  .plan_rate = 30,
	  .kill_bucket_owner = true },
};

static const struct scenario moves[] = {
	{ .name = "no move",
	  .rate = 120,
	  .seconds = 9,
	  .receiving_nodes = NODES - 1 },
	{ .name = "gate killed",
	  .rate = 120,
	  .seconds = 9,
	  .receiving_nodes = NODES - 1,
	  .kill_node = true },
	{ .name = "gate stopped as planned",
	  .rate = 120,
	  .seconds = 9,
	  .receiving_nodes = NODES - 1,
	  .stop_node = true },
};

static const struct scenario snapshots[] = {
	{ .name = "all have the newest", .rate = 30, .seconds = 9 },
	{ .name = "a third lacks it, floor 1",
	  .rate = 30,
	  .seconds = 9,
	  .missing_snapshot_every = 3 },
	{ .name = "all lack it, floor 1",
	  .rate = 30,
	  .seconds = 9,
	  .missing_snapshot_every = 1 },
	{ .name = "all lack it, floor 0.5",
	  .rate = 30,
	  .seconds = 9,
	  .missing_snapshot_every = 1,
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
