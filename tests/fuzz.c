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

#include "mesh.h"
#include "rows.h"

#include "../xmalloc.h"

enum {
	TARGETS = 8,
	DOMAINS = 3,
	ENTRIES_MAX = 2000,
	DEADLINE_MS = 400,
	ANSWER_SLACK_US = 100000,
	RECOVERY_US = 12000000,
	TAKE_EFFECT_US = 4000000,
	LOAD_INTERVAL_US = 10000,
	STOP_QUESTIONS = 30,
};

/** struct client - caller with one entry and one ticket */
struct client {
	size_t ticket_call;
	char ticket[160];
	char entry[48];
	size_t calls[4];
	size_t ncalls;
};

struct fuzz {
	struct cluster *cluster;
	struct rng rng;
	struct cluster_layout layout;
	uint64_t lists_version;
	struct client clients[ENTRIES_MAX];
	size_t nclients;
	size_t questions;
	char fault[160];
	bool disturbed[CLUSTER_NODES_MAX]; /* paused, killed or stopped: may not
					   answer in time */
};

static uint64_t random_below(struct fuzz *f, uint64_t bound)
{
	return rng_below(&f->rng, bound);
}

static void record_fault(struct fuzz *f, const char *what, size_t id)
{
	if (!*f->fault)
		snprintf(f->fault, sizeof(f->fault), "%s (%zu)", what, id);
}

static int random_node(struct fuzz *f)
{
	return (int)random_below(f, (uint64_t)f->cluster->nnodes);
}

static struct cluster_target *random_target(struct fuzz *f)
{
	return &f->cluster->targets[random_below(f, TARGETS)];
}

/* Commands. */

static void do_question(struct fuzz *f)
{
	char body[200];

	snprintf(body, sizeof(body),
		 "{\"customer\":\"mill\",\"request_id\":\"r\","
		 "\"terms\":\"q%zu\",\"indexes\":[\"orders\"]}",
		 f->cluster->ncalls);
	cluster_send_call(f->cluster, random_node(f), EV_ASK, body);
	f->questions++;
}

static void do_new_client(struct fuzz *f)
{
	char body[160];
	struct client *client = &f->clients[f->nclients];

	if (f->nclients == ENTRIES_MAX)
		return;
	snprintf(client->entry, sizeof(client->entry), "{\"order\":%zu}",
		 f->nclients++);
	snprintf(body, sizeof(body),
		 "{\"customer\":\"mill\",\"request_id\":\"e%zu\"}",
		 f->nclients);
	client->ticket_call =
		cluster_send_call(f->cluster, random_node(f), EV_TICKET, body);
}

static bool read_ticket(struct fuzz *f, struct client *client)
{
	struct cluster_call *call = &f->cluster->calls[client->ticket_call];
	json_t *doc = json_loadb(call->body.ptr ? call->body.ptr : "",
				 call->body.len, 0, NULL);
	const char *text = json_string_value(json_object_get(doc, "ticket"));

	if (text)
		snprintf(client->ticket, sizeof(client->ticket), "%s", text);
	json_decref(doc);
	return *client->ticket;
}

static void send_entry(struct fuzz *f, size_t id, int node)
{
	struct client *client = &f->clients[id];
	char body[400];

	if (client->ncalls == 4)
		return;
	snprintf(body, sizeof(body),
		 "{\"customer\":\"mill\",\"request_id\":\"e%zu\","
		 "\"ticket\":\"%s\",\"index\":\"orders\",\"key\":%zu,"
		 "\"entry\":%s}",
		 id + 1, client->ticket, id * 37 % (TARGETS * 100),
		 client->entry);
	client->calls[client->ncalls++] =
		cluster_send_call(f->cluster, node, EV_ENTRY, body);
}

static void do_entry(struct fuzz *f)
{
	size_t id;

	if (!f->nclients)
		return;
	id = f->nclients - 1 -
	     random_below(f, f->nclients < 6 ? f->nclients : 6);
	if (!*f->clients[id].ticket && !read_ticket(f, &f->clients[id]))
		return;
	send_entry(f, id, random_node(f));
	if (random_below(f, 3) == 0)
		send_entry(f, id, random_node(f));
}

/* An entry without a ticket, sent twice at once, must not run twice. */
static void do_entry_without_ticket(struct fuzz *f)
{
	struct client *client = &f->clients[f->nclients];
	char body[240];

	if (f->nclients == ENTRIES_MAX)
		return;
	snprintf(client->entry, sizeof(client->entry), "{\"order\":%zu}",
		 f->nclients++);
	snprintf(body, sizeof(body),
		 "{\"customer\":\"mill\",\"request_id\":\"b%zu\","
		 "\"index\":\"orders\",\"key\":5,\"entry\":%s}",
		 f->nclients, client->entry);
	client->ticket_call =
		cluster_send_call(f->cluster, random_node(f), EV_ENTRY, body);
	cluster_send_call(f->cluster, random_node(f), EV_ENTRY, body);
}

static void do_cut(struct fuzz *f)
{
	int a = random_node(f);
	int b = random_node(f);

	if (a != b)
		cluster_set_link_cut(f->cluster, a, b, random_below(f, 2));
}

static void do_pause(struct fuzz *f)
{
	int i = random_node(f);

	f->disturbed[i] = true;
	cluster_pause_node(f->cluster, i, (int64_t)random_below(f, 3000000));
}

static void do_kill(struct fuzz *f)
{
	int i = random_node(f);

	f->disturbed[i] = true;
	if (f->cluster->nodes[i].up)
		cluster_kill_node(f->cluster, i);
	else
		cluster_start_node(f->cluster, i);
}

static void do_leave(struct fuzz *f)
{
	int i = random_node(f);

	f->disturbed[i] = true;
	cluster_deliver(f->cluster, i, (struct event){ .type = EV_LEAVE });
}

static void publish_fleet(struct fuzz *f)
{
	f->layout.version++;
	cluster_publish_fleet(f->cluster, &f->layout);
}

static void do_publish_fleet(struct fuzz *f)
{
	switch (random_below(f, 5)) {
	case 0:
		f->layout.out_domain = (int)random_below(f, DOMAINS + 1) - 1;
		break;
	case 1:
		f->layout.leaving_target =
			(int)random_below(f, TARGETS * 2) - 1;
		if (f->layout.leaving_target >= TARGETS)
			f->layout.leaving_target = -1;
		break;
	case 2:
		f->layout.snapshot++;
		f->layout.split = random_below(f, 2);
		break;
	default:
		break;
	}
	publish_fleet(f);
}

static void do_publish_lists(struct fuzz *f)
{
	char *lists =
		cluster_lists_doc(++f->lists_version, 5000, 5000, DEADLINE_MS,
				  DEADLINE_MS, random_below(f, 2) ? 1 : 0.5);

	if (random_below(f, 6) == 0)
		lists[strlen(lists) / 2] = '#'; /* makes it invalid */
	cluster_publish_doc(f->cluster, DOC_LISTS, lists);
	free(lists);
}

static void do_platform_fault(struct fuzz *f)
{
	if (random_below(f, 2))
		f->cluster->platform_down = !f->cluster->platform_down;
	else
		f->cluster->nodes[random_node(f)].reads_stale_docs ^= 1;
}

static void do_target_fault(struct fuzz *f)
{
	struct cluster_target *target = random_target(f);

	switch (random_below(f, 7)) {
	case 0:
		cluster_restart_target(f->cluster, target);
		break;
	case 1:
		target->dead = !target->dead;
		break;
	case 2:
		target->draining = !target->draining;
		break;
	case 3:
		target->missing_snapshot =
			random_below(f, 2) ? f->layout.snapshot : UINT64_MAX;
		break;
	case 4:
		target->closes_after_run = !target->closes_after_run;
		break;
	case 5:
		target->reply_version =
			random_below(f, 2) ? f->layout.snapshot : 0;
		break;
	default:
		target->drops_entry_replies = !target->drops_entry_replies;
		break;
	}
}

static void do_network_faults(struct fuzz *f)
{
	f->cluster->drop_pm = random_below(f, 2) ? (int)random_below(f, 60) : 0;
	f->cluster->dup_pm = random_below(f, 2) ? (int)random_below(f, 200) : 0;
	f->cluster->jitter_us =
		random_below(f, 2) ? (int)random_below(f, 30000) + 1 : 0;
}

static void step(struct fuzz *f)
{
	static const struct {
		int weight;
		void (*fn)(struct fuzz *f);
	} commands[] = {
		{ 40, do_question },	  { 12, do_new_client },
		{ 24, do_entry },	  { 3, do_cut },
		{ 2, do_pause },	  { 2, do_kill },
		{ 1, do_leave },	  { 3, do_publish_fleet },
		{ 2, do_publish_lists },  { 2, do_entry_without_ticket },
		{ 2, do_platform_fault }, { 5, do_target_fault },
		{ 2, do_network_faults },
	};
	int roll = (int)random_below(f, 100);

	cluster_run(f->cluster, (int64_t)random_below(f, 20000));
	for (size_t i = 0; i < sizeof(commands) / sizeof(*commands); i++) {
		roll -= commands[i].weight;
		if (roll >= 0)
			continue;
		commands[i].fn(f);
		return;
	}
}

/* Oracle. */

static void remove_faults(struct fuzz *f)
{
	struct cluster *cluster = f->cluster;

	cluster->drop_pm = cluster->dup_pm = cluster->jitter_us = 0;
	cluster->platform_down = false;
	memset(cluster->cut, 0, sizeof(cluster->cut));
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

static void check_answer(struct fuzz *f, size_t id)
{
	struct cluster_call *call = &f->cluster->calls[id];
	json_t *doc = json_loadb(call->body.ptr ? call->body.ptr : "",
				 call->body.len, 0, NULL);
	size_t missing = json_array_size(json_object_get(doc, "missing"));
	size_t rows = json_array_size(json_object_get(doc, "rows"));
	const char *fault;
	char terms[32];

	snprintf(terms, sizeof(terms), "q%zu", id);
	if (json_object_get(doc, "rows")) {
		fault = rows_fault(doc, terms);
		if (fault)
			record_fault(f, fault, id);
		if (rows + missing != TARGETS && rows + missing != 2 * TARGETS)
			record_fault(
				f,
				"rows and missing shards do not add up to the shard map",
				id);
	}
	json_decref(doc);
}

static void check_answers(struct fuzz *f)
{
	for (size_t id = 0; id < f->cluster->ncalls; id++) {
		struct cluster_call *call = &f->cluster->calls[id];

		if (call->answers > 1)
			record_fault(f, "answered twice", id);
		if (call->answers)
			check_answer(f, id);
		if (f->disturbed[call->node] || !call->node_up)
			continue;
		if (!call->answers)
			record_fault(f, "never answered", id);
		else if (memmem(call->body.ptr, call->body.len, "\"rows\"",
				6) &&
			 call->answered_at - call->sent_at >
				 DEADLINE_MS * 1000 + ANSWER_SLACK_US)
			record_fault(f, "answered late", id);
	}
}

static bool answer_contains(struct fuzz *f, size_t call, const char *outcome)
{
	const struct buf *body = &f->cluster->calls[call].body;

	/* A ticket error does not report the outcome of the entry. */
	if (!body->len || memmem(body->ptr, body->len, "ticket_m", 8))
		return false;
	return memmem(body->ptr, body->len, outcome, strlen(outcome));
}

static void check_entries(struct fuzz *f)
{
	for (size_t i = 0; i < f->nclients; i++) {
		const struct client *client = &f->clients[i];
		uint64_t runs = cluster_entry_runs(f->cluster, client->entry);

		if (runs > 1)
			record_fault(f, "an entry ran twice", i);
		for (size_t j = 0; j < client->ncalls; j++) {
			if (answer_contains(f, client->calls[j],
					    "\"not_run\"") &&
			    runs)
				record_fault(
					f, "an entry answered \"not run\" ran",
					i);
			if (answer_contains(f, client->calls[j], "\"done\"") &&
			    !runs)
				record_fault(
					f,
					"an entry answered \"done\" did not run",
					i);
		}
	}
}

static void send_load(struct fuzz *f, int64_t us)
{
	for (int64_t t = 0; t < us; t += LOAD_INTERVAL_US) {
		do_question(f);
		cluster_run(f->cluster, LOAD_INTERVAL_US);
	}
}

static void check_no_work(struct fuzz *f, size_t target, int64_t since,
			  const char *what)
{
	if (f->cluster->targets[target].last_start > since)
		record_fault(f, what, target);
}

/* A fleet document published under load comes into force at all nodes, and
 * excluded targets get no new requests after TAKE_EFFECT_US. */
static void check_domain_out(struct fuzz *f)
{
	int out = (int)random_below(f, DOMAINS);
	int leaving_target = (int)random_below(f, TARGETS);
	struct cluster *cluster = f->cluster;
	int64_t since;

	f->layout.out_domain = out;
	f->layout.leaving_target = leaving_target;
	publish_fleet(f);
	since = cluster->now + TAKE_EFFECT_US;
	send_load(f, TAKE_EFFECT_US * 5 / 4);
	for (size_t i = 0; i < cluster->ntargets; i++)
		if ((int)(i % DOMAINS) == out)
			check_no_work(f, i, since,
				      "new work in a domain taken out");
	check_no_work(f, (size_t)leaving_target, since,
		      "new work at a leaving target");
	for (int i = 0; i < cluster->nnodes; i++)
		if (cluster->nodes[i].up &&
		    cluster->nodes[i].doc_versions[DOC_FLEET] !=
			    f->layout.version)
			record_fault(f,
				     "the published document is not in force",
				     (size_t)i);
	f->layout.out_domain = f->layout.leaving_target = -1;
	publish_fleet(f);
	send_load(f, TAKE_EFFECT_US);
}

/* A node is paused while a domain is taken out, and resumes with requests in
 * its sockets. */
static void check_pause(struct fuzz *f)
{
	int out = (int)random_below(f, DOMAINS);
	int64_t since;

	cluster_pause_node(f->cluster, 0, 2 * TAKE_EFFECT_US);
	f->disturbed[0] = true;
	send_load(f, LOAD_INTERVAL_US * 10);
	f->layout.out_domain = out;
	publish_fleet(f);
	since = f->cluster->now + TAKE_EFFECT_US;
	send_load(f, 2 * TAKE_EFFECT_US);
	for (size_t i = 0; i < f->cluster->ntargets; i++)
		if ((int)(i % DOMAINS) == out)
			check_no_work(f, i, since,
				      "new work by a node that was paused");
	f->layout.out_domain = -1;
	publish_fleet(f);
	send_load(f, TAKE_EFFECT_US);
}

/* With one gate per target, a cold target is never overloaded. */
static void check_cold_start(struct fuzz *f)
{
	for (size_t i = 0; i < f->cluster->ntargets; i++) {
		f->cluster->targets[i].overruns = 0;
		cluster_restart_target(f->cluster, &f->cluster->targets[i]);
	}
	send_load(f, TAKE_EFFECT_US);
	for (size_t i = 0; i < f->cluster->ntargets; i++)
		if (f->cluster->targets[i].overruns)
			record_fault(f, "a cold target was overloaded", i);
}

/* A planned stop under load answers every request sent before its end. */
static void check_stop(struct fuzz *f)
{
	size_t from = f->cluster->ncalls;
	size_t to;

	for (int i = 0; i < STOP_QUESTIONS; i++)
		do_question(f);
	cluster_deliver(f->cluster, 0, (struct event){ .type = EV_LEAVE });
	send_load(f, TAKE_EFFECT_US);
	to = f->cluster->ncalls;
	cluster_run(f->cluster, 2000000);
	for (size_t id = from; id < to; id++) {
		const struct cluster_call *call = &f->cluster->calls[id];

		if (!call->answers && call->node_up)
			record_fault(f, "a planned stop lost a request", id);
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

static void disable_safeguard(struct fuzz *f)
{
	for (size_t i = 0; i < sizeof(safeguards) / sizeof(*safeguards); i++) {
		if (strcmp(safeguards[i].name, disabled_safeguard))
			continue;
		for (int n = 0; n < f->cluster->nnodes; n++)
			*((bool *)&f->cluster->nodes[n].opt.off +
			  safeguards[i].offset) = true;
		return;
	}
	fprintf(stderr, "fuzz: unknown safeguard \"%s\"\n", disabled_safeguard);
	exit(2);
}

/* Return: true if all checks passed, otherwise @fault holds the reason. */
static bool run_seed(uint64_t seed, int steps, char *fault, size_t size)
{
	struct fuzz *f = xcalloc(1, sizeof(*f));
	bool passed;

	f->rng.seed = seed;
	f->layout =
		cluster_default_layout(3 + (int)(seed % 4), DOMAINS, TARGETS);
	f->lists_version = 1;
	f->cluster = cluster_create(
		seed, &f->layout,
		cluster_lists_doc(1, 5000, 5000, DEADLINE_MS, DEADLINE_MS, 1));
	if (disabled_safeguard)
		disable_safeguard(f);
	cluster_start_all(f->cluster);
	for (int i = 0; i < steps && !f->cluster->fault; i++)
		step(f);
	remove_faults(f);
	check_domain_out(f);
	check_pause(f);
	check_cold_start(f);
	check_stop(f);
	check_answers(f);
	check_entries(f);
	if (f->cluster->fault)
		record_fault(f, f->cluster->fault, 0);
	passed = !*f->fault;
	snprintf(fault, size, "%s", f->fault);
	cluster_destroy(f->cluster);
	free(f);
	return passed;
}

static int shortest_failing_prefix(uint64_t seed, int steps)
{
	char fault[160];
	int low = 0;

	while (low + 1 < steps) {
		int mid = (low + steps) / 2;

		if (run_seed(seed, mid, fault, sizeof(fault)))
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
		char fault[160];

		if (run_seed(seed, steps, fault, sizeof(fault)))
			continue;
		failed++;
		if (disabled_safeguard) {
			printf("turned off, seed %llu fails: %s\n",
			       (unsigned long long)seed, fault);
			break;
		}
		printf("seed %llu: %s; shortest failing prefix: %d steps\n",
		       (unsigned long long)seed, fault,
		       shortest_failing_prefix(seed, steps));
	}
	printf("fuzz: %llu seeds of %d steps, %d failed\n",
	       (unsigned long long)count, steps, failed);
	return disabled_safeguard ? !failed : failed != 0;
}
