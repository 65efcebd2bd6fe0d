/*
 * Stateful fuzzing: several node reducers get random commands and faults, and
 * an oracle checks their answers against the counters of simulated targets.
 * Prints the shortest failing prefix of a seed's steps.
 *
 *   fuzz [FIRST_SEED COUNT [STEPS [SAFEGUARD]]]
 *
 * With a SAFEGUARD, a field of struct safeguards, that one is turned off and
 * the run must detect it: exit code 0 if a seed fails.
 */
#include <stdio.h>
#include <stdlib.h>

#include <apr_general.h>
#include <jansson.h>

#include "cluster.h"
#include "rows.h"

#include "../xmalloc.h"

enum {
	TARGETS = 8,
	DOMAINS = 3,
	CALLERS_MAX = 2000,
	DEADLINE_MS = 400,
	ANSWER_GRACE_US = 100000,
	RECOVERY_US = 12000000,
	TAKE_EFFECT_US = 4000000,
	LOAD_INTERVAL_US = 10000,
	STOP_QUESTIONS = 30,
};

/** struct caller - caller with one entry and one ticket */
struct caller {
	size_t ticket_call;
	char ticket[160];
	char entry[48];
	size_t calls[4];
	size_t ncalls;
};

/**
 * struct scenario - the run of one seed: simulated cluster and its callers
 * @violation: first violated invariant, empty if none
 * @disturbed: node was paused, killed or stopped: may not answer in time
 */
struct scenario {
	struct cluster *cluster;
	struct rng rng;
	struct cluster_layout layout;
	uint64_t lists_version;
	struct caller callers[CALLERS_MAX];
	size_t ncallers;
	size_t questions;
	char violation[160];
	bool disturbed[CLUSTER_NODES_MAX];
};

static uint64_t random_below(struct scenario *scenario, uint64_t bound)
{
	return rng_below(&scenario->rng, bound);
}

static void record_violation(struct scenario *scenario, const char *what,
			     size_t id)
{
	if (!*scenario->violation)
		snprintf(scenario->violation, sizeof(scenario->violation),
			 "%s (%zu)", what, id);
}

static int random_node(struct scenario *scenario)
{
	return (int)random_below(scenario, (uint64_t)scenario->cluster->nnodes);
}

static struct cluster_target *random_target(struct scenario *scenario)
{
	return &scenario->cluster->targets[random_below(scenario, TARGETS)];
}

/* Commands. */

static void send_question(struct scenario *scenario)
{
	char body[200];

	snprintf(body, sizeof(body),
		 "{\"customer\":\"mill\",\"request_id\":\"r\","
		 "\"terms\":\"q%zu\",\"indexes\":[\"orders\"]}",
		 scenario->cluster->ncalls);
	cluster_send_call(scenario->cluster, random_node(scenario), EV_QUESTION,
			  body);
	scenario->questions++;
}

static void request_ticket(struct scenario *scenario)
{
	char body[160];
	struct caller *caller = &scenario->callers[scenario->ncallers];

	if (scenario->ncallers == CALLERS_MAX)
		return;
	snprintf(caller->entry, sizeof(caller->entry), "{\"order\":%zu}",
		 scenario->ncallers++);
	snprintf(body, sizeof(body),
		 "{\"customer\":\"mill\",\"request_id\":\"e%zu\"}",
		 scenario->ncallers);
	caller->ticket_call = cluster_send_call(
		scenario->cluster, random_node(scenario), EV_TICKET, body);
}

static bool read_ticket(struct scenario *scenario, struct caller *caller)
{
	struct cluster_call *call =
		&scenario->cluster->calls[caller->ticket_call];
	json_t *doc = json_loadb(call->body.ptr ? call->body.ptr : "",
				 call->body.len, 0, NULL);
	const char *text = json_string_value(json_object_get(doc, "ticket"));

	if (text)
		snprintf(caller->ticket, sizeof(caller->ticket), "%s", text);
	json_decref(doc);
	return *caller->ticket;
}

static void send_entry(struct scenario *scenario, size_t id, int node)
{
	struct caller *caller = &scenario->callers[id];
	char body[400];

	if (caller->ncalls == 4)
		return;
	snprintf(body, sizeof(body),
		 "{\"customer\":\"mill\",\"request_id\":\"e%zu\","
		 "\"ticket\":\"%s\",\"index\":\"orders\",\"key\":%zu,"
		 "\"entry\":%s}",
		 id + 1, caller->ticket, id * 37 % (TARGETS * 100),
		 caller->entry);
	caller->calls[caller->ncalls++] =
		cluster_send_call(scenario->cluster, node, EV_ENTRY, body);
}

static void send_random_entry(struct scenario *scenario)
{
	size_t id;

	if (!scenario->ncallers)
		return;
	id = scenario->ncallers - 1 -
	     random_below(scenario,
			  scenario->ncallers < 6 ? scenario->ncallers : 6);
	if (!*scenario->callers[id].ticket &&
	    !read_ticket(scenario, &scenario->callers[id]))
		return;
	send_entry(scenario, id, random_node(scenario));
	if (random_below(scenario, 3) == 0)
		send_entry(scenario, id, random_node(scenario));
}

/* An entry without a ticket, sent twice at once, must not run twice. */
static void send_entry_without_ticket(struct scenario *scenario)
{
	struct caller *caller = &scenario->callers[scenario->ncallers];
	char body[240];

	if (scenario->ncallers == CALLERS_MAX)
		return;
	snprintf(caller->entry, sizeof(caller->entry), "{\"order\":%zu}",
		 scenario->ncallers++);
	snprintf(body, sizeof(body),
		 "{\"customer\":\"mill\",\"request_id\":\"b%zu\","
		 "\"index\":\"orders\",\"key\":5,\"entry\":%s}",
		 scenario->ncallers, caller->entry);
	caller->ticket_call = cluster_send_call(
		scenario->cluster, random_node(scenario), EV_ENTRY, body);
	cluster_send_call(scenario->cluster, random_node(scenario), EV_ENTRY,
			  body);
}

static void set_random_link_cut(struct scenario *scenario)
{
	int a = random_node(scenario);
	int b = random_node(scenario);

	if (a != b)
		cluster_set_link_cut(scenario->cluster, a, b,
				     random_below(scenario, 2));
}

static void pause_node(struct scenario *scenario)
{
	int i = random_node(scenario);

	scenario->disturbed[i] = true;
	cluster_pause_node(scenario->cluster, i,
			   (int64_t)random_below(scenario, 3000000));
}

static void kill_or_start_node(struct scenario *scenario)
{
	int i = random_node(scenario);

	scenario->disturbed[i] = true;
	if (scenario->cluster->nodes[i].up)
		cluster_kill_node(scenario->cluster, i);
	else
		cluster_start_node(scenario->cluster, i);
}

static void stop_node(struct scenario *scenario)
{
	int i = random_node(scenario);

	scenario->disturbed[i] = true;
	cluster_deliver(scenario->cluster, i,
			(struct event){ .type = EV_DRAIN });
}

static void publish_fleet(struct scenario *scenario)
{
	scenario->layout.version++;
	cluster_publish_fleet(scenario->cluster, &scenario->layout);
}

static void publish_random_fleet(struct scenario *scenario)
{
	switch (random_below(scenario, 5)) {
	case 0:
		scenario->layout.out_domain =
			(int)random_below(scenario, DOMAINS + 1) - 1;
		break;
	case 1:
		scenario->layout.leaving_target =
			(int)random_below(scenario, TARGETS * 2) - 1;
		if (scenario->layout.leaving_target >= TARGETS)
			scenario->layout.leaving_target = -1;
		break;
	case 2:
		scenario->layout.snapshot++;
		scenario->layout.split = random_below(scenario, 2);
		break;
	default:
		break;
	}
	publish_fleet(scenario);
}

static void publish_random_lists(struct scenario *scenario)
{
	char *lists = cluster_lists_doc(++scenario->lists_version, 5000, 5000,
					DEADLINE_MS, DEADLINE_MS,
					random_below(scenario, 2) ? 1 : 0.5);

	if (random_below(scenario, 6) == 0)
		lists[strlen(lists) / 2] = '#'; /* makes it invalid */
	cluster_publish_doc(scenario->cluster, DOC_LISTS, lists);
	free(lists);
}

static void toggle_platform_fault(struct scenario *scenario)
{
	if (random_below(scenario, 2))
		scenario->cluster->platform_down =
			!scenario->cluster->platform_down;
	else
		scenario->cluster->nodes[random_node(scenario)]
			.reads_stale_docs ^= 1;
}

static void toggle_target_fault(struct scenario *scenario)
{
	struct cluster_target *target = random_target(scenario);

	switch (random_below(scenario, 7)) {
	case 0:
		cluster_restart_target(scenario->cluster, target);
		break;
	case 1:
		target->dead = !target->dead;
		break;
	case 2:
		target->draining = !target->draining;
		break;
	case 3:
		target->missing_snapshot = random_below(scenario, 2)
						   ? scenario->layout.snapshot
						   : UINT64_MAX;
		break;
	case 4:
		target->closes_after_run = !target->closes_after_run;
		break;
	case 5:
		target->reply_version = random_below(scenario, 2)
						? scenario->layout.snapshot
						: 0;
		break;
	default:
		target->drops_entry_replies = !target->drops_entry_replies;
		break;
	}
}

static void set_network_faults(struct scenario *scenario)
{
	scenario->cluster->drop_pm =
		random_below(scenario, 2) ? (int)random_below(scenario, 60) : 0;
	scenario->cluster->dup_pm = random_below(scenario, 2)
					    ? (int)random_below(scenario, 200)
					    : 0;
	scenario->cluster->jitter_us =
		random_below(scenario, 2)
			? (int)random_below(scenario, 30000) + 1
			: 0;
}

static void step(struct scenario *scenario)
{
	static const struct {
		int weight;
		void (*fn)(struct scenario *scenario);
	} commands[] = {
		{ 40, send_question },
		{ 12, request_ticket },
		{ 24, send_random_entry },
		{ 3, set_random_link_cut },
		{ 2, pause_node },
		{ 2, kill_or_start_node },
		{ 1, stop_node },
		{ 3, publish_random_fleet },
		{ 2, publish_random_lists },
		{ 2, send_entry_without_ticket },
		{ 2, toggle_platform_fault },
		{ 5, toggle_target_fault },
		{ 2, set_network_faults },
	};
	int roll = (int)random_below(scenario, 100);

	cluster_run(scenario->cluster, (int64_t)random_below(scenario, 20000));
	for (size_t i = 0; i < sizeof(commands) / sizeof(*commands); i++) {
		roll -= commands[i].weight;
		if (roll >= 0)
			continue;
		commands[i].fn(scenario);
		return;
	}
}

/* Oracle. */

static void remove_faults(struct scenario *scenario)
{
	struct cluster *cluster = scenario->cluster;

	cluster->drop_pm = cluster->dup_pm = cluster->jitter_us = 0;
	cluster->platform_down = false;
	memset(cluster->links_cut, 0, sizeof(cluster->links_cut));
	for (int i = 0; i < cluster->nnodes; i++) {
		cluster->nodes[i].reads_stale_docs = 0;
		if (!cluster->nodes[i].up)
			cluster_start_node(cluster, i);
	}
	for (size_t i = 0; i < cluster->ntargets; i++) {
		struct cluster_target *target = &cluster->targets[i];

		target->dead = target->draining = target->closes_after_run =
			false;
		target->drops_entry_replies = false;
		target->missing_snapshot = UINT64_MAX;
		target->reply_version = 0;
	}
	cluster_run(cluster, RECOVERY_US);
}

static void check_answer(struct scenario *scenario, size_t id)
{
	struct cluster_call *call = &scenario->cluster->calls[id];
	json_t *doc = json_loadb(call->body.ptr ? call->body.ptr : "",
				 call->body.len, 0, NULL);
	size_t missing = json_array_size(json_object_get(doc, "missing"));
	size_t rows = json_array_size(json_object_get(doc, "rows"));
	const char *violation;
	char terms[32];

	snprintf(terms, sizeof(terms), "q%zu", id);
	if (json_object_get(doc, "rows")) {
		violation = rows_find_error(doc, terms);
		if (violation)
			record_violation(scenario, violation, id);
		if (rows + missing != TARGETS && rows + missing != 2 * TARGETS)
			record_violation(
				scenario,
				"rows and missing shards do not add up to the shard map",
				id);
	}
	json_decref(doc);
}

static void check_answers(struct scenario *scenario)
{
	for (size_t id = 0; id < scenario->cluster->ncalls; id++) {
		struct cluster_call *call = &scenario->cluster->calls[id];

		if (call->answers > 1)
			record_violation(scenario, "answered twice", id);
		if (call->answers)
			check_answer(scenario, id);
		if (scenario->disturbed[call->node] || !call->node_up)
			continue;
		if (!call->answers)
			record_violation(scenario, "never answered", id);
		else if (memmem(call->body.ptr, call->body.len, "\"rows\"",
				6) &&
			 call->answered_at - call->sent_at >
				 DEADLINE_MS * 1000 + ANSWER_GRACE_US)
			record_violation(scenario, "answered late", id);
	}
}

static bool answer_contains(struct scenario *scenario, size_t call,
			    const char *outcome)
{
	const struct buf *body = &scenario->cluster->calls[call].body;

	/* A ticket error does not report the outcome of the entry. */
	if (!body->len || memmem(body->ptr, body->len, "ticket_m", 8))
		return false;
	return memmem(body->ptr, body->len, outcome, strlen(outcome));
}

static void check_entries(struct scenario *scenario)
{
	for (size_t i = 0; i < scenario->ncallers; i++) {
		const struct caller *caller = &scenario->callers[i];
		uint64_t runs =
			cluster_entry_runs(scenario->cluster, caller->entry);

		if (runs > 1)
			record_violation(scenario, "an entry ran twice", i);
		for (size_t j = 0; j < caller->ncalls; j++) {
			if (answer_contains(scenario, caller->calls[j],
					    "\"not_run\"") &&
			    runs)
				record_violation(
					scenario,
					"an entry answered \"not run\" ran", i);
			if (answer_contains(scenario, caller->calls[j],
					    "\"done\"") &&
			    !runs)
				record_violation(
					scenario,
					"an entry answered \"done\" did not run",
					i);
		}
	}
}

static void send_load(struct scenario *scenario, int64_t us)
{
	for (int64_t t = 0; t < us; t += LOAD_INTERVAL_US) {
		send_question(scenario);
		cluster_run(scenario->cluster, LOAD_INTERVAL_US);
	}
}

static void check_no_work(struct scenario *scenario, size_t target,
			  int64_t since, const char *what)
{
	if (scenario->cluster->targets[target].last_start > since)
		record_violation(scenario, what, target);
}

/* A fleet document published under load comes into force at all nodes, and
 * excluded targets get no new requests after TAKE_EFFECT_US. */
static void check_domain_out(struct scenario *scenario)
{
	int out = (int)random_below(scenario, DOMAINS);
	int leaving_target = (int)random_below(scenario, TARGETS);
	struct cluster *cluster = scenario->cluster;
	int64_t since;

	scenario->layout.out_domain = out;
	scenario->layout.leaving_target = leaving_target;
	publish_fleet(scenario);
	since = cluster->now + TAKE_EFFECT_US;
	send_load(scenario, TAKE_EFFECT_US * 5 / 4);
	for (size_t i = 0; i < cluster->ntargets; i++)
		if ((int)(i % DOMAINS) == out)
			check_no_work(scenario, i, since,
				      "new work in a domain taken out");
	check_no_work(scenario, (size_t)leaving_target, since,
		      "new work at a leaving target");
	for (int i = 0; i < cluster->nnodes; i++)
		if (cluster->nodes[i].up &&
		    cluster->nodes[i].doc_versions[DOC_FLEET] !=
			    scenario->layout.version)
			record_violation(
				scenario,
				"the published document is not in force",
				(size_t)i);
	scenario->layout.out_domain = scenario->layout.leaving_target = -1;
	publish_fleet(scenario);
	send_load(scenario, TAKE_EFFECT_US);
}

/* A node is paused while a domain is taken out, and resumes with requests in
 * its sockets. */
static void check_pause(struct scenario *scenario)
{
	int out = (int)random_below(scenario, DOMAINS);
	int64_t since;

	cluster_pause_node(scenario->cluster, 0, 2 * TAKE_EFFECT_US);
	scenario->disturbed[0] = true;
	send_load(scenario, LOAD_INTERVAL_US * 10);
	scenario->layout.out_domain = out;
	publish_fleet(scenario);
	since = scenario->cluster->now + TAKE_EFFECT_US;
	send_load(scenario, 2 * TAKE_EFFECT_US);
	for (size_t i = 0; i < scenario->cluster->ntargets; i++)
		if ((int)(i % DOMAINS) == out)
			check_no_work(scenario, i, since,
				      "new work by a node that was paused");
	scenario->layout.out_domain = -1;
	publish_fleet(scenario);
	send_load(scenario, TAKE_EFFECT_US);
}

/* With one gate per target, a cold target is never overloaded. */
static void check_cold_start(struct scenario *scenario)
{
	for (size_t i = 0; i < scenario->cluster->ntargets; i++) {
		scenario->cluster->targets[i].overruns = 0;
		cluster_restart_target(scenario->cluster,
				       &scenario->cluster->targets[i]);
	}
	send_load(scenario, TAKE_EFFECT_US);
	for (size_t i = 0; i < scenario->cluster->ntargets; i++)
		if (scenario->cluster->targets[i].overruns)
			record_violation(scenario,
					 "a cold target was overloaded", i);
}

/* A planned stop under load answers every request sent before its end. */
static void check_stop(struct scenario *scenario)
{
	size_t from = scenario->cluster->ncalls;
	size_t to;

	for (int i = 0; i < STOP_QUESTIONS; i++)
		send_question(scenario);
	cluster_deliver(scenario->cluster, 0,
			(struct event){ .type = EV_DRAIN });
	send_load(scenario, TAKE_EFFECT_US);
	to = scenario->cluster->ncalls;
	cluster_run(scenario->cluster, 2000000);
	for (size_t id = from; id < to; id++) {
		const struct cluster_call *call = &scenario->cluster->calls[id];

		if (!call->answers && call->node_up)
			record_violation(scenario,
					 "a planned stop lost a request", id);
	}
}

/** struct safeguard - safeguard that can be turned off by name */
struct safeguard {
	const char *name;
	size_t offset;
};

#define SAFEGUARD(name) \
	{ \
#name, offsetof(struct safeguards, name) \
	}
static const struct safeguard safeguards[] = {
	SAFEGUARD(no_ramp),	      SAFEGUARD(no_version_check),
	SAFEGUARD(no_coverage_merge), SAFEGUARD(no_attempt_match),
	SAFEGUARD(no_grant),	      SAFEGUARD(no_ticket),
	SAFEGUARD(no_domain_check),   SAFEGUARD(no_leaving_check),
	SAFEGUARD(no_version_order),  SAFEGUARD(no_drain),
	SAFEGUARD(no_pause_check),
};

static const char *disabled_safeguard;

static void disable_safeguard(struct scenario *scenario)
{
	for (size_t i = 0; i < sizeof(safeguards) / sizeof(*safeguards); i++) {
		if (strcmp(safeguards[i].name, disabled_safeguard))
			continue;
		for (int n = 0; n < scenario->cluster->nnodes; n++)
			*((bool *)&scenario->cluster->nodes[n].opt.off +
			  safeguards[i].offset) = true;
		return;
	}
	fprintf(stderr, "fuzz: unknown safeguard \"%s\"\n", disabled_safeguard);
	exit(2);
}

/* Return: true if all checks passed, otherwise @violation holds the reason. */
static bool run_seed(uint64_t seed, int steps, char *violation, size_t size)
{
	struct scenario *scenario = xcalloc(1, sizeof(*scenario));
	bool passed;

	scenario->rng.seed = seed;
	scenario->layout =
		cluster_default_layout(3 + (int)(seed % 4), DOMAINS, TARGETS);
	scenario->lists_version = 1;
	scenario->cluster = cluster_create(
		seed, &scenario->layout,
		cluster_lists_doc(1, 5000, 5000, DEADLINE_MS, DEADLINE_MS, 1));
	if (disabled_safeguard)
		disable_safeguard(scenario);
	cluster_start_all(scenario->cluster);
	for (int i = 0; i < steps && !scenario->cluster->violation; i++)
		step(scenario);
	remove_faults(scenario);
	check_domain_out(scenario);
	check_pause(scenario);
	check_cold_start(scenario);
	check_stop(scenario);
	check_answers(scenario);
	check_entries(scenario);
	if (scenario->cluster->violation)
		record_violation(scenario, scenario->cluster->violation, 0);
	passed = !*scenario->violation;
	snprintf(violation, size, "%s", scenario->violation);
	cluster_destroy(scenario->cluster);
	free(scenario);
	return passed;
}

static int shortest_failing_prefix(uint64_t seed, int steps)
{
	char violation[160];
	int low = 0;

	while (low + 1 < steps) {
		int mid = (low + steps) / 2;

		if (run_seed(seed, mid, violation, sizeof(violation)))
			low = mid;
		else
			steps = mid;
	}
	return steps;
}

int main(int argc, char **argv)
{
	uint64_t first = argc > 2 ? strtoull(argv[1], NULL, 10) : 1;
	uint64_t count = argc > 2 ? strtoull(argv[2], NULL, 10) : 40;
	int steps = argc > 3 ? atoi(argv[3]) : 400;
	int failed = 0;

	disabled_safeguard = argc > 4 ? argv[4] : NULL;
	apr_initialize();
	for (uint64_t seed = first; seed < first + count; seed++) {
		char violation[160];

		if (run_seed(seed, steps, violation, sizeof(violation)))
			continue;
		failed++;
		if (disabled_safeguard) {
			printf("turned off, seed %llu fails: %s\n",
			       (unsigned long long)seed, violation);
			break;
		}
		printf("seed %llu: %s; shortest failing prefix: %d steps\n",
		       (unsigned long long)seed, violation,
		       shortest_failing_prefix(seed, steps));
	}
	printf("fuzz: %llu seeds of %d steps, %d failed\n",
	       (unsigned long long)count, steps, failed);
	return disabled_safeguard ? !failed : failed != 0;
}
