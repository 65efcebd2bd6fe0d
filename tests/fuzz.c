/*
 * Stateful fuzzing: several whole reducers against an oracle that keeps the
 * targets' true books. Prints the shortest failing prefix.
 *
 *   fuzz [FIRST_SEED COUNT [STEPS [SAFEGUARD]]]
 *
 * With a SAFEGUARD, a field of struct safeguards, that one is turned off and
 * the run has to find it out: exit code 0 when some seed fails.
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
	SLACK_US = 100000,
	HEAL_US = 12000000,
	OUT_US = 4000000,
	LOAD_STEP_US = 10000,
	STOP_BURST = 30,
};

/** struct client - a caller with one entry and one ticket */
struct client {
	size_t ticket_call;
	char ticket[160];
	char entry[48];
	size_t calls[4];
	size_t ncalls;
};

struct fuzz {
	struct mesh *mesh;
	struct rng rng;
	struct mesh_layout layout;
	uint64_t lists_version;
	struct client clients[ENTRIES_MAX];
	size_t nclients;
	size_t asks;
	char fault[160];
	bool disturbed[MESH_NODES]; /* paused or killed: no timeliness */
};

static uint64_t pick(struct fuzz *f, uint64_t bound)
{
	return rng_below(&f->rng, bound);
}

static void fail(struct fuzz *f, const char *what, size_t which)
{
	if (!*f->fault)
		snprintf(f->fault, sizeof(f->fault), "%s (%zu)", what, which);
}

static int some_node(struct fuzz *f)
{
	return (int)pick(f, (uint64_t)f->mesh->nnodes);
}

static struct mesh_target *some_target(struct fuzz *f)
{
	return &f->mesh->targets[pick(f, TARGETS)];
}

/* Commands. */

static void do_ask(struct fuzz *f)
{
	char body[200];

	snprintf(body, sizeof(body),
		 "{\"customer\":\"mill\",\"request_id\":\"r\","
		 "\"terms\":\"q%zu\",\"indexes\":[\"orders\"]}",
		 f->mesh->nanswers);
	mesh_call(f->mesh, some_node(f), EV_QUESTION, body);
	f->asks++;
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
	client->ticket_call = mesh_call(f->mesh, some_node(f), EV_TICKET, body);
}

static bool read_ticket(struct fuzz *f, struct client *client)
{
	struct mesh_answer *answer = &f->mesh->answers[client->ticket_call];
	json_t *doc = json_loadb(answer->body.ptr ? answer->body.ptr : "",
				 answer->body.len, 0, NULL);
	const char *text = json_string_value(json_object_get(doc, "ticket"));

	if (text)
		snprintf(client->ticket, sizeof(client->ticket), "%s", text);
	json_decref(doc);
	return *client->ticket;
}

static void send_entry(struct fuzz *f, size_t which, int node)
{
	struct client *client = &f->clients[which];
	char body[400];

	if (client->ncalls == 4)
		return;
	snprintf(body, sizeof(body),
		 "{\"customer\":\"mill\",\"request_id\":\"e%zu\","
		 "\"ticket\":\"%s\",\"index\":\"orders\",\"key\":%zu,"
		 "\"entry\":%s}",
		 which + 1, client->ticket, which * 37 % (TARGETS * 100),
		 client->entry);
	client->calls[client->ncalls++] =
		mesh_call(f->mesh, node, EV_ENTRY, body);
}

static void do_entry(struct fuzz *f)
{
	size_t which;

	if (!f->nclients)
		return;
	which = f->nclients - 1 - pick(f, f->nclients < 6 ? f->nclients : 6);
	if (!*f->clients[which].ticket && !read_ticket(f, &f->clients[which]))
		return;
	send_entry(f, which, some_node(f));
	if (pick(f, 3) == 0)
		send_entry(f, which, some_node(f));
}

/* A caller's own id, no ticket, two nodes at once: never two runs. */
static void do_bare_entry(struct fuzz *f)
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
	client->ticket_call = mesh_call(f->mesh, some_node(f), EV_ENTRY, body);
	mesh_call(f->mesh, some_node(f), EV_ENTRY, body);
}

static void do_cut(struct fuzz *f)
{
	int a = some_node(f);
	int b = some_node(f);

	if (a != b)
		mesh_cut(f->mesh, a, b, pick(f, 2));
}

static void do_pause(struct fuzz *f)
{
	int i = some_node(f);

	f->disturbed[i] = true;
	mesh_pause(f->mesh, i, (int64_t)pick(f, 3000000));
}

static void do_kill(struct fuzz *f)
{
	int i = some_node(f);

	f->disturbed[i] = true;
	if (f->mesh->nodes[i].up)
		mesh_kill(f->mesh, i);
	else
		mesh_start(f->mesh, i);
}

static void do_leave(struct fuzz *f)
{
	int i = some_node(f);

	f->disturbed[i] = true;
	mesh_feed(f->mesh, i, (struct event){ .type = EV_DRAIN });
}

static void publish_fleet(struct fuzz *f)
{
	f->layout.version++;
	mesh_publish_fleet(f->mesh, &f->layout);
}

static void do_publish(struct fuzz *f)
{
	switch (pick(f, 5)) {
	case 0:
		f->layout.out = (int)pick(f, DOMAINS + 1) - 1;
		break;
	case 1:
		f->layout.leaving = (int)pick(f, TARGETS * 2) - 1;
		if (f->layout.leaving >= TARGETS)
			f->layout.leaving = -1;
		break;
	case 2:
		f->layout.snapshot++;
		f->layout.split = pick(f, 2);
		break;
	default:
		break;
	}
	publish_fleet(f);
}

static void do_lists(struct fuzz *f)
{
	char *lists = mesh_lists(++f->lists_version, 5000, 5000, DEADLINE_MS,
				 DEADLINE_MS, pick(f, 2) ? 1 : 0.5);

	if (pick(f, 6) == 0)
		lists[strlen(lists) / 2] = '#'; /* to be refused */
	mesh_publish(f->mesh, DOC_LISTS, lists);
	free(lists);
}

static void do_platform(struct fuzz *f)
{
	if (pick(f, 2))
		f->mesh->platform_down = !f->mesh->platform_down;
	else
		f->mesh->nodes[some_node(f)].stale_reader ^= 1;
}

static void do_target(struct fuzz *f)
{
	struct mesh_target *target = some_target(f);

	switch (pick(f, 7)) {
	case 0:
		mesh_cold(f->mesh, target);
		break;
	case 1:
		target->dead = !target->dead;
		break;
	case 2:
		target->draining = !target->draining;
		break;
	case 3:
		target->lacks = pick(f, 2) ? f->layout.snapshot : UINT64_MAX;
		break;
	case 4:
		target->closes = !target->closes;
		break;
	case 5:
		target->answers_version = pick(f, 2) ? f->layout.snapshot : 0;
		break;
	default:
		target->mute = !target->mute;
		break;
	}
}

static void do_wire(struct fuzz *f)
{
	f->mesh->drop_pm = pick(f, 2) ? (int)pick(f, 60) : 0;
	f->mesh->dup_pm = pick(f, 2) ? (int)pick(f, 200) : 0;
	f->mesh->jitter_us = pick(f, 2) ? (int)pick(f, 30000) + 1 : 0;
}

static void step(struct fuzz *f)
{
	static const struct {
		int weight;
		void (*fn)(struct fuzz *f);
	} commands[] = {
		{ 40, do_ask },	      { 12, do_new_client }, { 24, do_entry },
		{ 3, do_cut },	      { 2, do_pause },	     { 2, do_kill },
		{ 1, do_leave },      { 3, do_publish },     { 2, do_lists },
		{ 2, do_bare_entry }, { 2, do_platform },    { 5, do_target },
		{ 2, do_wire },
	};
	int roll = (int)pick(f, 100);

	mesh_run(f->mesh, (int64_t)pick(f, 20000));
	for (size_t i = 0; i < sizeof(commands) / sizeof(*commands); i++) {
		roll -= commands[i].weight;
		if (roll >= 0)
			continue;
		commands[i].fn(f);
		return;
	}
}

/* Oracle. */

static void heal(struct fuzz *f)
{
	struct mesh *mesh = f->mesh;

	mesh->drop_pm = mesh->dup_pm = mesh->jitter_us = 0;
	mesh->platform_down = false;
	memset(mesh->cut, 0, sizeof(mesh->cut));
	for (int i = 0; i < mesh->nnodes; i++) {
		mesh->nodes[i].stale_reader = 0;
		if (!mesh->nodes[i].up)
			mesh_start(mesh, i);
	}
	for (size_t i = 0; i < mesh->ntargets; i++) {
		struct mesh_target *target = &mesh->targets[i];

		target->dead = target->draining = target->closes = false;
		target->mute = false;
		target->lacks = UINT64_MAX;
		target->answers_version = 0;
	}
	mesh_run(mesh, HEAL_US);
}

static void check_answer(struct fuzz *f, size_t id)
{
	struct mesh_answer *answer = &f->mesh->answers[id];
	json_t *doc = json_loadb(answer->body.ptr ? answer->body.ptr : "",
				 answer->body.len, 0, NULL);
	size_t missing = json_array_size(json_object_get(doc, "missing"));
	size_t rows = json_array_size(json_object_get(doc, "rows"));
	const char *fault;
	char terms[32];

	snprintf(terms, sizeof(terms), "q%zu", id);
	if (json_object_get(doc, "rows")) {
		fault = rows_fault(doc, terms);
		if (fault)
			fail(f, fault, id);
		if (rows + missing != TARGETS && rows + missing != 2 * TARGETS)
			fail(f, "the map of the question is not whole", id);
	}
	json_decref(doc);
}

static void check_answers(struct fuzz *f)
{
	for (size_t id = 0; id < f->mesh->nanswers; id++) {
		struct mesh_answer *answer = &f->mesh->answers[id];

		if (answer->count > 1)
			fail(f, "answered twice", id);
		if (answer->count)
			check_answer(f, id);
		if (f->disturbed[answer->node] || !answer->node_up)
			continue;
		if (!answer->count)
			fail(f, "never answered", id);
		else if (memmem(answer->body.ptr, answer->body.len, "\"rows\"",
				6) &&
			 answer->at - answer->asked_at >
				 DEADLINE_MS * 1000 + SLACK_US)
			fail(f, "answered late", id);
	}
}

static bool says(struct fuzz *f, size_t call, const char *outcome)
{
	const struct buf *body = &f->mesh->answers[call].body;

	/* About the ticket itself, not about what became of the entry. */
	if (!body->len || memmem(body->ptr, body->len, "ticket_m", 8))
		return false;
	return memmem(body->ptr, body->len, outcome, strlen(outcome));
}

static void check_entries(struct fuzz *f)
{
	for (size_t i = 0; i < f->nclients; i++) {
		const struct client *client = &f->clients[i];
		uint64_t runs = mesh_runs(f->mesh, client->entry);

		if (runs > 1)
			fail(f, "an entry ran twice", i);
		for (size_t j = 0; j < client->ncalls; j++) {
			if (says(f, client->calls[j], "\"not_run\"") && runs)
				fail(f, "\"not run\" ran", i);
			if (says(f, client->calls[j], "\"done\"") && !runs)
				fail(f, "\"done\" did not run", i);
		}
	}
}

static void load(struct fuzz *f, int64_t us)
{
	for (int64_t t = 0; t < us; t += LOAD_STEP_US) {
		do_ask(f);
		mesh_run(f->mesh, LOAD_STEP_US);
	}
}

static void check_no_work(struct fuzz *f, size_t target, int64_t since,
			  const char *what)
{
	if (f->mesh->targets[target].last_start > since)
		fail(f, what, target);
}

/* Published under load: in force everywhere, and no new work after a while. */
static void check_out(struct fuzz *f)
{
	int out = (int)pick(f, DOMAINS);
	int leaving = (int)pick(f, TARGETS);
	struct mesh *mesh = f->mesh;
	int64_t since;

	f->layout.out = out;
	f->layout.leaving = leaving;
	publish_fleet(f);
	since = mesh->now + OUT_US;
	load(f, OUT_US * 5 / 4);
	for (size_t i = 0; i < mesh->ntargets; i++)
		if ((int)(i % DOMAINS) == out)
			check_no_work(f, i, since,
				      "new work in a domain taken out");
	check_no_work(f, (size_t)leaving, since,
		      "new work at a leaving target");
	for (int i = 0; i < mesh->nnodes; i++)
		if (mesh->nodes[i].up &&
		    mesh->nodes[i].seen[DOC_FLEET] != f->layout.version)
			fail(f, "a document is not in force", (size_t)i);
	f->layout.out = f->layout.leaving = -1;
	publish_fleet(f);
	load(f, OUT_US);
}

/* Paused while a domain is taken out, woken with requests in its sockets. */
static void check_wake(struct fuzz *f)
{
	int out = (int)pick(f, DOMAINS);
	int64_t since;

	mesh_pause(f->mesh, 0, 2 * OUT_US);
	f->disturbed[0] = true;
	load(f, LOAD_STEP_US * 10);
	f->layout.out = out;
	publish_fleet(f);
	since = f->mesh->now + OUT_US;
	load(f, 2 * OUT_US);
	for (size_t i = 0; i < f->mesh->ntargets; i++)
		if ((int)(i % DOMAINS) == out)
			check_no_work(f, i, since,
				      "new work by a node that woke");
	f->layout.out = -1;
	publish_fleet(f);
	load(f, OUT_US);
}

/* With one gate a target, a cold start never gets more than it bears. */
static void check_cold(struct fuzz *f)
{
	for (size_t i = 0; i < f->mesh->ntargets; i++) {
		f->mesh->targets[i].overruns = 0;
		mesh_cold(f->mesh, &f->mesh->targets[i]);
	}
	load(f, OUT_US);
	for (size_t i = 0; i < f->mesh->ntargets; i++)
		if (f->mesh->targets[i].overruns)
			fail(f, "a cold target fell over", i);
}

/* A planned stop under load: whatever is sent until the end is answered. */
static void check_stop(struct fuzz *f)
{
	size_t from = f->mesh->nanswers;
	size_t to;

	for (int i = 0; i < STOP_BURST; i++)
		do_ask(f);
	mesh_feed(f->mesh, 0, (struct event){ .type = EV_DRAIN });
	load(f, OUT_US);
	to = f->mesh->nanswers;
	mesh_run(f->mesh, 2000000);
	for (size_t id = from; id < to; id++) {
		const struct mesh_answer *answer = &f->mesh->answers[id];

		if (!answer->count && answer->node_up)
			fail(f, "a planned stop lost a request", id);
	}
}

/** struct safeguard - one that can be turned off by name */
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

static const char *turned_off;

static void turn_off(struct fuzz *f)
{
	for (size_t i = 0; i < sizeof(safeguards) / sizeof(*safeguards); i++) {
		if (strcmp(safeguards[i].name, turned_off))
			continue;
		for (int n = 0; n < f->mesh->nnodes; n++)
			*((bool *)&f->mesh->nodes[n].opt.off +
			  safeguards[i].offset) = true;
		return;
	}
	fprintf(stderr, "fuzz: no safeguard \"%s\"\n", turned_off);
	exit(2);
}

/* Return: whether all held; @fault tells else. */
static bool run(uint64_t seed, int steps, char *fault, size_t size)
{
	struct fuzz *f = xcalloc(1, sizeof(*f));
	bool held;

	f->rng.seed = seed;
	f->layout = mesh_layout(3 + (int)(seed % 4), DOMAINS, TARGETS);
	f->lists_version = 1;
	f->mesh = mesh_create(
		seed, &f->layout,
		mesh_lists(1, 5000, 5000, DEADLINE_MS, DEADLINE_MS, 1));
	if (turned_off)
		turn_off(f);
	mesh_start_all(f->mesh);
	for (int i = 0; i < steps && !f->mesh->fault; i++)
		step(f);
	heal(f);
	check_out(f);
	check_wake(f);
	check_cold(f);
	check_stop(f);
	check_answers(f);
	check_entries(f);
	if (f->mesh->fault)
		fail(f, f->mesh->fault, 0);
	held = !*f->fault;
	snprintf(fault, size, "%s", f->fault);
	mesh_destroy(f->mesh);
	free(f);
	return held;
}

static int shortest(uint64_t seed, int steps)
{
	char fault[160];
	int low = 0;

	while (low + 1 < steps) {
		int mid = (low + steps) / 2;

		if (run(seed, mid, fault, sizeof(fault)))
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

	turned_off = argc > 4 ? argv[4] : NULL;
	apr_initialize();
	for (uint64_t seed = first; seed < first + count; seed++) {
		char fault[160];

		if (run(seed, steps, fault, sizeof(fault)))
			continue;
		failed++;
		if (turned_off) {
			printf("without it, seed %llu: %s\n",
			       (unsigned long long)seed, fault);
			break;
		}
		printf("seed %llu: %s; shortest failing prefix: %d steps\n",
		       (unsigned long long)seed, fault, shortest(seed, steps));
	}
	printf("fuzz: %llu seeds of %d steps, %d failed\n",
	       (unsigned long long)count, steps, failed);
	return turned_off ? !failed : failed != 0;
}
