/*
 * What must hold at all times, a case a failure, over whole reducers with true
 * books at the targets. tests/fuzz.c finds what is not thought of here.
 */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>

#include <check.h>
#include <jansson.h>

#include "mesh.h"
#include "suite.h"

#include "../front.h"
#include "../gate.h"
#include "../member.h"

enum {
	MS = 1000,
	SECOND = 1000000,
	TARGETS = 6,
	DOMAINS = 3
};

static struct mesh *world(int nodes)
{
	struct mesh_layout layout = mesh_layout(nodes, DOMAINS, TARGETS);

	return mesh_create(7, &layout, mesh_lists(1, 5000, 5000, 400, 400, 1));
}

static struct mesh *started(int nodes)
{
	struct mesh *mesh = world(nodes);

	mesh_start_all(mesh);
	return mesh;
}

static struct mesh_layout layout_of(const struct mesh *mesh, uint64_t version)
{
	struct mesh_layout layout = mesh_layout(mesh->nnodes, DOMAINS, TARGETS);

	layout.version = version;
	return layout;
}

/* Version 2 of the fleet, with one failure domain out. */
static void take_out(struct mesh *mesh, int domain)
{
	struct mesh_layout layout = layout_of(mesh, 2);

	layout.out = domain;
	mesh_publish_fleet(mesh, &layout);
}

static void publish_version(struct mesh *mesh, uint64_t version)
{
	struct mesh_layout layout = layout_of(mesh, version);

	mesh_publish_fleet(mesh, &layout);
}

static size_t ask(struct mesh *mesh, int i)
{
	return mesh_call(mesh, i, EV_QUESTION,
			 "{\"customer\":\"mill\",\"request_id\":\"same\","
			 "\"terms\":\"t\",\"indexes\":[\"orders\"]}");
}

static void load_but(struct mesh *mesh, int64_t us, int skipped)
{
	for (int64_t t = 0; t < us; t += 10 * MS) {
		int i = (int)(t / (10 * MS)) % mesh->nnodes;

		if (i != skipped)
			ask(mesh, i);
		mesh_run(mesh, 10 * MS);
	}
}

static void load(struct mesh *mesh, int64_t us)
{
	load_but(mesh, us, -1);
}

static json_t *body_of(struct mesh *mesh, size_t id)
{
	const struct mesh_answer *answer = &mesh->answers[id];

	ck_assert_msg(answer->count == 1, "answer %zu: %d", id, answer->count);
	return json_loadb(answer->body.ptr, answer->body.len, 0, NULL);
}

static double number(struct mesh *mesh, size_t id, const char *key)
{
	json_t *doc = body_of(mesh, id);
	double value = json_number_value(json_object_get(doc, key));

	json_decref(doc);
	return value;
}

static bool says(struct mesh *mesh, size_t id, const char *text)
{
	const struct mesh_answer *answer = &mesh->answers[id];

	ck_assert_msg(answer->count == 1, "answer %zu: %d", id, answer->count);
	return memmem(answer->body.ptr, answer->body.len, text, strlen(text));
}

static void take_ticket(struct mesh *mesh, int i, char *ticket, size_t size)
{
	size_t id = mesh_call(mesh, i, EV_TICKET,
			      "{\"customer\":\"mill\",\"request_id\":\"e\"}");
	json_t *doc;

	mesh_run(mesh, 20 * MS);
	doc = body_of(mesh, id);
	snprintf(ticket, size, "%s",
		 json_string_value(json_object_get(doc, "ticket")));
	json_decref(doc);
}

#define ENTRY "{\"order\":1}"

static size_t enter(struct mesh *mesh, int i, const char *ticket)
{
	char body[400];

	snprintf(body, sizeof(body),
		 "{\"customer\":\"mill\",\"request_id\":\"e\"%s%s%s,"
		 "\"index\":\"orders\",\"key\":5,\"entry\":" ENTRY "}",
		 *ticket ? ",\"ticket\":\"" : "", ticket, *ticket ? "\"" : "");
	return mesh_call(mesh, i, EV_ENTRY, body);
}

/* The node that is the gate of @target. */
static int gate_of(struct mesh *mesh, const char *target)
{
	uint64_t key = str_hash(str_of(target));

	for (int i = 0; i < mesh->nnodes; i++) {
		if (!mesh->nodes[i].up)
			continue;

		const struct target *t =
			gate_target_in_service(mesh->nodes[i].node, key);

		if (t && t->owned)
			return i;
	}
	ck_abort_msg("no gate for %s", target);
}

/* Until the gate has granted a slot; the go is on its way or to be sent. */
static void run_to_grant(struct mesh *mesh, int gate)
{
	for (int i = 0; i < 200 && !gate_open_count(mesh->nodes[gate].node);
	     i++)
		mesh_run(mesh, 50);
	ck_assert(gate_open_count(mesh->nodes[gate].node));
}

static bool work_since(struct mesh *mesh, int domain, int64_t since)
{
	for (size_t i = 0; i < mesh->ntargets; i++)
		if ((int)(i % DOMAINS) == domain &&
		    mesh->targets[i].last_start > since)
			return true;
	return false;
}

/* 1. One snapshot.
 * A caller asks while snapshot 3 takes the place of 2, and one replica of each
 * shard answers from 3 already. The rows of 3 are dropped, the other replica
 * is asked, and the answer is whole and all of 2. */
static void snapshot_changes(struct mesh *mesh)
{
	size_t id;

	for (int i = 0; i < TARGETS; i += 2)
		mesh->targets[i].answers_version = 3;
	id = ask(mesh, 0);
	mesh_run(mesh, SECOND);
	ck_assert(fabs(number(mesh, id, "coverage") - 1) < 1e-9);
	ck_assert(number(mesh, id, "snapshot") == 2);
	ck_assert(!says(mesh, id, "\"version\":3"));
}

/* 1. Repartition.
 * The map of snapshot 3 has twice as many shards. A question that began on 2
 * ends on the map of 2; the next one is on 3. No range counts twice. */
static void repartition(struct mesh *mesh)
{
	struct mesh_layout layout = layout_of(mesh, 2);
	size_t before;
	size_t after;

	for (size_t i = 0; i < mesh->ntargets; i++)
		mesh->targets[i].service_us = 100 * MS;
	before = ask(mesh, 0);
	layout.snapshot = 3;
	layout.split = true;
	mesh_publish_fleet(mesh, &layout);
	mesh_run(mesh, 3 * SECOND);
	after = ask(mesh, 0);
	mesh_run(mesh, SECOND);
	ck_assert(number(mesh, before, "snapshot") == 2);
	ck_assert(number(mesh, after, "snapshot") == 3);
	ck_assert(number(mesh, before, "coverage") <= 1);
	ck_assert(says(mesh, after, "\"shard\":1012"));
}

/* 1. No target has the newest snapshot.
 * All of them say that they lack 2. The question starts once more, as a whole,
 * on 1, and says so. */
static void snapshot_lost(struct mesh *mesh)
{
	size_t id;

	for (size_t i = 0; i < mesh->ntargets; i++)
		mesh->targets[i].lacks = 2;
	id = ask(mesh, 0);
	mesh_run(mesh, SECOND);
	ck_assert(number(mesh, id, "snapshot") == 1);
	ck_assert(fabs(number(mesh, id, "coverage") - 1) < 1e-9);
}

/* 2. A shard with no replica.
 * Both replicas of shard 1 are dead. The answer has the other five shards,
 * says 5/6, rounded down, and names the shard and the cause. */
static void shard_lost(struct mesh *mesh)
{
	size_t id;

	mesh->targets[0].dead = mesh->targets[1].dead = true;
	id = ask(mesh, 0);
	mesh_run(mesh, SECOND);
	ck_assert(fabs(number(mesh, id, "coverage") - 0.833333) < 1e-9);
	ck_assert(says(mesh, id,
		       "\"shard\":1,\"index\":\"orders\",\"kind\":"
		       "\"target_down\""));
}

/* 2. Loss of one failure domain.
 * Each shard has a replica in another domain: coverage stays whole. */
static void domain_lost(struct mesh *mesh)
{
	size_t id;

	for (size_t i = 0; i < mesh->ntargets; i += DOMAINS)
		mesh->targets[i].dead = true;
	id = ask(mesh, 0);
	mesh_run(mesh, SECOND);
	ck_assert(fabs(number(mesh, id, "coverage") - 1) < 1e-9);
}

/* 2. Both replicas of a shard restart at once.
 * They take no connections for 50 ms. A plan that wants all coverage has time
 * until its deadline, so the shard is asked again until it answers. */
static void both_replicas_restart(struct mesh *mesh)
{
	size_t id;

	load(mesh, 3 * SECOND);
	mesh_cold(mesh, mesh_target(mesh, "t0"));
	mesh_cold(mesh, mesh_target(mesh, "t1"));
	id = ask(mesh, 0);
	mesh_run(mesh, SECOND);
	ck_assert(fabs(number(mesh, id, "coverage") - 1) < 1e-9);
}

/* 3. Cold start without a report, under load.
 * Targets restart one after another; their reports say idle. By their own
 * books none ever has two requests at a time while it bears one. */
static void cold_start(struct mesh *mesh)
{
	for (size_t i = 0; i < mesh->ntargets; i++) {
		load(mesh, 300 * MS);
		mesh_cold(mesh, &mesh->targets[i]);
	}
	load(mesh, 3 * SECOND);
	for (size_t i = 0; i < mesh->ntargets; i++) {
		ck_assert_int_eq((int)mesh->targets[i].overruns, 0);
		ck_assert_int_le(mesh->targets[i].peak_cold, 1);
	}
}

/* 3. The worst overlap: a cut between the nodes, and cold targets.
 * Each side takes itself for the gate of all targets. Every new gate starts
 * at one request, so two sides give two at the most. */
static void cold_start_two_gates(struct mesh *mesh)
{
	mesh->cold_bears = 8;
	mesh->cold_us = 6 * SECOND;
	mesh_cut(mesh, 0, 1, true);
	mesh_cut(mesh, 0, 2, true);
	for (size_t i = 0; i < mesh->ntargets; i++)
		mesh_cold(mesh, &mesh->targets[i]);
	load(mesh, 4 * SECOND);
	for (size_t i = 0; i < mesh->ntargets; i++)
		ck_assert_int_le(mesh->targets[i].peak_cold, 2);
}

/* 3. Cold start and the gate is killed (a pair).
 * The next gate knows nothing of the target and starts it as cold too. */
static void cold_start_gate_killed(struct mesh *mesh)
{
	load(mesh, 3 * SECOND);
	mesh_cold(mesh, mesh_target(mesh, "t0"));
	load(mesh, 200 * MS);
	mesh_kill(mesh, gate_of(mesh, "t0"));
	load(mesh, SECOND);
	ck_assert_int_le(mesh_target(mesh, "t0")->peak_cold, 2);
	ck_assert_int_eq((int)mesh_target(mesh, "t0")->overruns, 0);
}

/* 3. Cold start and the gate is stopped as planned (a pair).
 * The gate has a request at the target when it hands it over. The next gate
 * waits for its word, so the target never has two; what was warm stays warm. */
static void cold_start_gate_leaves(struct mesh *mesh)
{
	int gate = gate_of(mesh, "t0");
	uint64_t key = str_hash(STR("t3"));

	mesh->cold_us = 3 * SECOND;
	load(mesh, 4 * SECOND);
	mesh_cold(mesh, mesh_target(mesh, "t0"));
	load(mesh, 500 * MS);
	mesh_target(mesh, "t0")->service_us = 40 * MS;
	mesh_target(mesh, "t1")->dead = true; /* so t0 is the only replica */
	for (int i = 0; i < 60; i++) {
		if (i == 20)
			mesh_feed(mesh, gate,
				  (struct event){ .type = EV_DRAIN });
		mesh_call(mesh, (gate + 1) % 3, EV_QUESTION,
			  "{\"customer\":\"mill\",\"request_id\":\"r\","
			  "\"indexes\":[\"orders\"],\"shards\":[1]}");
		mesh_run(mesh, 5 * MS);
	}
	ck_assert_int_le(mesh_target(mesh, "t0")->peak_cold, 1);
	ck_assert_int_eq(gate_target_in_service(
				 mesh->nodes[gate_of(mesh, "t3")].node, key)
				 ->limit,
			 2);
}

/* 4. Domain out, and the platform goes down right after (a pair).
 * Whoever read the list passes it on; nobody needs the platform again. */
static void domain_out_platform_down(struct mesh *mesh)
{
	int64_t since;

	take_out(mesh, 1);
	load(mesh, 1500 * MS);
	mesh->platform_down = true;
	since = mesh->now + SECOND;
	load(mesh, 4 * SECOND);
	ck_assert(!work_since(mesh, 1, since));
}

/* 4. Domain out while one node cannot reach the platform.
 * It learns from its peers. */
static void domain_out_node_cut(struct mesh *mesh)
{
	int64_t since;

	mesh->nodes[0].no_platform = true;
	take_out(mesh, 1);
	since = mesh->now + 3 * SECOND;
	load(mesh, 5 * SECOND);
	ck_assert(!work_since(mesh, 1, since));
}

/* 4. Domain out while both watchers cannot reach the platform (a pair).
 * Nobody has read it for a while, by the heartbeats, so the third node looks.
 */
static void domain_out_watchers_cut(struct mesh *mesh)
{
	int64_t since;

	for (int i = 0; i < 3; i++)
		mesh->nodes[i].no_platform =
			member_rank(mesh->nodes[i].node, DOC_FLEET + 1) < 2;
	load(mesh, 2500 * MS);
	take_out(mesh, 1);
	since = mesh->now + 3 * SECOND;
	load(mesh, 6 * SECOND);
	ck_assert(!work_since(mesh, 1, since));
}

/* 4. Domain out while one node reaches neither platform nor peers.
 * It cannot know. It refuses as "isolated" instead of going on. */
static void domain_out_node_isolated(struct mesh *mesh)
{
	int64_t since;
	size_t id;

	mesh->nodes[0].no_platform = true;
	mesh_cut(mesh, 0, 1, true);
	mesh_cut(mesh, 0, 2, true);
	take_out(mesh, 1);
	since = mesh->now + 4500 * MS;
	load(mesh, 7 * SECOND);
	ck_assert(!work_since(mesh, 1, since));
	id = ask(mesh, 0);
	ck_assert(says(mesh, id, "\"isolated\""));
}

/* 4. Domain out while the gate is paused (a pair).
 * It wakes with requests in its sockets and confirms its view first. */
static void domain_out_gate_paused(struct mesh *mesh)
{
	int64_t since;

	load(mesh, SECOND);
	mesh_pause(mesh, gate_of(mesh, "t1"), 5 * SECOND);
	load(mesh, 100 * MS);
	take_out(mesh, 1);
	since = mesh->now + 4 * SECOND;
	load(mesh, 8 * SECOND);
	ck_assert(!work_since(mesh, 1, since));
}

/* 4. Domain out while the gate is paused, and a reading that says "nothing
 * newer" has lain in its socket since before. Taken for fresh it would confirm
 * the old view; it counts for nothing. */
static void domain_out_reading_aged(struct mesh *mesh)
{
	int64_t since;

	int watcher = 0;

	while (member_rank(mesh->nodes[watcher].node, DOC_FLEET + 1) > 1)
		watcher++;
	load(mesh, SECOND);
	mesh_pause(mesh, watcher, 6 * SECOND);
	load(mesh, 1200 * MS);
	take_out(mesh, watcher); /* node i is in domain i */
	since = mesh->now + 4 * SECOND;
	load(mesh, 8 * SECOND);
	ck_assert(!work_since(mesh, watcher, since));
}

/* 4. A domain returns under load.
 * Its targets come back cold, one request at a time, and coverage holds. */
static void domain_returns(struct mesh *mesh)
{
	take_out(mesh, 1);
	load(mesh, 3 * SECOND);
	for (size_t i = 1; i < mesh->ntargets; i += DOMAINS)
		mesh_cold(mesh, &mesh->targets[i]);
	mesh_run(mesh, 100 * MS);
	publish_version(mesh, 3);
	load(mesh, 4 * SECOND);
	for (size_t i = 1; i < mesh->ntargets; i += DOMAINS) {
		ck_assert(mesh->targets[i].started > 0);
		ck_assert_int_eq((int)mesh->targets[i].overruns, 0);
	}
}

/* 5. Late and reordered replies, one request id for all callers.
 * Replies take up to 80 ms longer and some come twice. Each caller gets one
 * answer, whole, with its own terms. */
static void replies_reordered(struct mesh *mesh)
{
	size_t ids[60];

	mesh->jitter_us = 80 * MS;
	mesh->dup_pm = 300;
	for (int i = 0; i < 60; i++) {
		char body[160];

		snprintf(body, sizeof(body),
			 "{\"customer\":\"mill\",\"request_id\":\"same\","
			 "\"terms\":\"own-%d-\",\"indexes\":[\"orders\"]}",
			 i);
		ids[i] = mesh_call(mesh, i % 3, EV_QUESTION, body);
		mesh_run(mesh, 4 * MS);
	}
	mesh_run(mesh, 2 * SECOND);
	for (int i = 0; i < 60; i++) {
		char own[24];
		json_t *doc = body_of(mesh, ids[i]);
		json_t *row;
		size_t at;

		snprintf(own, sizeof(own), "own-%d-", i);
		json_array_foreach(json_object_get(doc, "rows"), at, row)
			ck_assert_str_eq(json_string_value(
						 json_object_get(row, "terms")),
					 own);
		json_decref(doc);
	}
}

/* 6. The gate is paused between grant and go.
 * It wakes after the deadline with the go in its socket. The caller was told
 * "unknown", in time; the entry does not run after that. */
static void go_ages(struct mesh *mesh)
{
	int gate = gate_of(mesh, "t0");
	int issuer = (gate + 1) % 3;
	char ticket[160];
	size_t id;

	take_ticket(mesh, issuer, ticket, sizeof(ticket));
	id = enter(mesh, issuer, ticket);
	run_to_grant(mesh, gate);
	mesh_pause(mesh, gate, 5 * SECOND);
	mesh_run(mesh, 3 * SECOND);
	ck_assert(says(mesh, id, "\"unknown\"") ||
		  says(mesh, id, "\"not_run\""));
	mesh_run(mesh, 6 * SECOND);
	ck_assert_int_eq((int)mesh_runs(mesh, ENTRY), 0);
}

/* 6. The issuer is killed between grant and go.
 * No go is ever sent; the grant ends; nothing runs. */
static void issuer_killed_before_go(struct mesh *mesh)
{
	int gate = gate_of(mesh, "t0");
	int issuer = (gate + 1) % 3;
	char ticket[160];

	take_ticket(mesh, issuer, ticket, sizeof(ticket));
	enter(mesh, issuer, ticket);
	run_to_grant(mesh, gate);
	mesh_kill(mesh, issuer);
	mesh_run(mesh, 3 * SECOND);
	ck_assert_int_eq((int)mesh_runs(mesh, ENTRY), 0);
	ck_assert_int_eq((int)gate_open_count(mesh->nodes[gate].node), 0);
}

/* 6. A target that sheds says that it did not run it: "not run" is true. */
static void entry_shed(struct mesh *mesh)
{
	char ticket[160];
	size_t id;

	for (size_t i = 0; i < mesh->ntargets; i++)
		mesh->targets[i].draining = true;
	take_ticket(mesh, 0, ticket, sizeof(ticket));
	id = enter(mesh, 0, ticket);
	mesh_run(mesh, 4 * SECOND);
	ck_assert(says(mesh, id, "\"not_run\""));
	ck_assert(says(mesh, id, "retry_after_ms"));
	ck_assert_int_eq((int)mesh_runs(mesh, ENTRY), 0);
}

/* 6. The reply of a target that shed the entry is lost.
 * Nobody can tell that it did not run: "unknown", and no later run. */
static void shed_reply_lost(struct mesh *mesh)
{
	char ticket[160];
	size_t id;

	for (size_t i = 0; i < mesh->ntargets; i++)
		mesh->targets[i].drops = true;
	take_ticket(mesh, 0, ticket, sizeof(ticket));
	id = enter(mesh, 0, ticket);
	mesh_run(mesh, 4 * SECOND);
	ck_assert(says(mesh, id, "\"unknown\""));
	ck_assert_int_eq((int)mesh_runs(mesh, ENTRY), 0);
}

/* 6. The entry is given up while its grant is on the way.
 * The caller is told "not run" at its deadline of 1 ms; the grant comes at
 * about 2 ms and is not used; the gate gets its slot back. */
static void given_up_before_grant(struct mesh *mesh)
{
	int gate = gate_of(mesh, "t0");
	int issuer = (gate + 1) % 3;
	char ticket[160];
	char body[400];
	size_t id;

	mesh->latency_us = MS;
	take_ticket(mesh, issuer, ticket, sizeof(ticket));
	snprintf(body, sizeof(body),
		 "{\"customer\":\"mill\",\"request_id\":\"e\",\"ticket\":"
		 "\"%s\",\"index\":\"orders\",\"key\":5,\"deadline_ms\":1,"
		 "\"entry\":" ENTRY "}",
		 ticket);
	id = mesh_call(mesh, issuer, EV_ENTRY, body);
	mesh_run(mesh, 1500);
	ck_assert(says(mesh, id, "\"not_run\""));
	mesh_run(mesh, 4 * SECOND);
	ck_assert_int_eq((int)mesh_runs(mesh, ENTRY), 0);
	ck_assert_int_eq((int)gate_open_count(mesh->nodes[gate].node), 0);
}

/* 7. One ticket, two nodes at once, and again later: one run, one outcome. */
static void entry_two_nodes(struct mesh *mesh)
{
	char ticket[160];
	size_t ids[3];

	take_ticket(mesh, 0, ticket, sizeof(ticket));
	ids[0] = enter(mesh, 1, ticket);
	ids[1] = enter(mesh, 2, ticket);
	mesh_run(mesh, SECOND);
	ids[2] = enter(mesh, 0, ticket);
	mesh_run(mesh, SECOND);
	for (int i = 0; i < 3; i++)
		ck_assert(says(mesh, ids[i], "\"done\""));
	ck_assert_int_eq((int)mesh_runs(mesh, ENTRY), 1);
}

/* 7. A caller's own id without a ticket, at two nodes at once.
 * Both answer "not run" with a ticket; nothing runs. */
static void entry_no_ticket(struct mesh *mesh)
{
	size_t a = enter(mesh, 0, "");
	size_t b = enter(mesh, 1, "");

	mesh_run(mesh, SECOND);
	ck_assert(says(mesh, a, "ticket_required"));
	ck_assert(says(mesh, b, "ticket_required"));
	ck_assert_int_eq((int)mesh_runs(mesh, ENTRY), 0);
}

/* 7. The issuer ran it and was killed; a new VM has its address (a pair).
 * The repeat is answered "unknown": the new process knows nothing of it. */
static void issuer_replaced(struct mesh *mesh)
{
	char ticket[160];
	size_t id;

	take_ticket(mesh, 0, ticket, sizeof(ticket));
	enter(mesh, 0, ticket);
	mesh_run(mesh, SECOND);
	mesh_kill(mesh, 0);
	mesh_start(mesh, 0);
	mesh_run(mesh, 4 * SECOND);
	id = enter(mesh, 0, ticket);
	mesh_run(mesh, SECOND);
	ck_assert(says(mesh, id, "\"unknown\""));
	ck_assert_int_eq((int)mesh_runs(mesh, ENTRY), 1);
}

/* 7. A cut with both sides live.
 * The issuer's side runs the entry; the other side answers "unknown" and
 * never runs it, though it owns the same targets by its own view. */
static void entry_under_cut(struct mesh *mesh)
{
	char ticket[160];
	size_t a;
	size_t b;

	take_ticket(mesh, 0, ticket, sizeof(ticket));
	mesh_cut(mesh, 0, 1, true);
	mesh_cut(mesh, 0, 2, true);
	mesh_run(mesh, 2 * SECOND);
	a = enter(mesh, 0, ticket);
	b = enter(mesh, 1, ticket);
	mesh_run(mesh, 10 * SECOND);
	ck_assert(says(mesh, a, "\"done\""));
	ck_assert(says(mesh, b, "\"unknown\""));
	ck_assert_int_eq((int)mesh_runs(mesh, ENTRY), 1);
}

/* 7. The target runs the entry and closes without a reply, and the issuer is
 * paused meanwhile (a pair). "Unknown", once, and one run. */
static void entry_reply_lost(struct mesh *mesh)
{
	char ticket[160];
	size_t id;

	for (size_t i = 0; i < mesh->ntargets; i++)
		mesh->targets[i].closes = true;
	take_ticket(mesh, 0, ticket, sizeof(ticket));
	id = enter(mesh, 0, ticket);
	mesh_run(mesh, 2 * MS);
	mesh_pause(mesh, 0, 3 * SECOND);
	mesh_run(mesh, 6 * SECOND);
	ck_assert(says(mesh, id, "\"unknown\""));
	ck_assert_int_eq((int)mesh_runs(mesh, ENTRY), 1);
}

/* 8. The VM list is late: the target says itself that it drains.
 * Its first such reply ends new work; the other replica takes over. */
static void target_drains(struct mesh *mesh)
{
	int64_t since;
	uint64_t started;

	load(mesh, SECOND);
	mesh_target(mesh, "t2")->draining = true;
	since = mesh->now;
	load(mesh, SECOND);
	started = mesh_target(mesh, "t2")->started;
	ck_assert(mesh_target(mesh, "t2")->last_start <= since + 100 * MS);
	load(mesh, SECOND);
	ck_assert(mesh_target(mesh, "t2")->started == started);
	ck_assert(fabs(number(mesh, mesh->nanswers - 20, "coverage") - 1) <
		  1e-9);
}

/* 8. The list calls a target leaving that does not know it yet. */
static void target_listed_leaving(struct mesh *mesh)
{
	struct mesh_layout layout = layout_of(mesh, 2);
	int64_t since;

	layout.leaving = 2;
	mesh_publish_fleet(mesh, &layout);
	since = mesh->now + 2500 * MS;
	load(mesh, 4 * SECOND);
	ck_assert(mesh_target(mesh, "t2")->last_start <= since);
}

/* 9. All nodes are stopped one after another, each replaced, under load.
 * The balancer goes on sending for a second after the stop began, and there
 * is a second signal. All that was sent is answered, and none refused. */
static void rolling_stop(struct mesh *mesh)
{
	for (int i = 0; i < 3; i++) {
		load(mesh, 500 * MS);
		mesh_feed(mesh, i, (struct event){ .type = EV_DRAIN });
		mesh_feed(mesh, i, (struct event){ .type = EV_DRAIN });
		load(mesh, SECOND);
		load_but(mesh, 3 * SECOND, i);
		ck_assert(!mesh->nodes[i].up);
		mesh_start(mesh, i);
		load_but(mesh, 4 * SECOND, i);
	}
	mesh_run(mesh, SECOND);
	for (size_t id = 0; id < mesh->nanswers; id++) {
		if (!mesh->answers[id].node_up)
			continue;
		ck_assert_int_eq(mesh->answers[id].status, 200);
	}
}

/* 9. Two of three nodes are stopped at the same moment, with questions open and
 * an entry under way. All of it is answered, whole and done. */
static void two_stop_at_once(struct mesh *mesh)
{
	char ticket[160];
	size_t from;
	size_t entry;

	load(mesh, 3 * SECOND);
	take_ticket(mesh, 0, ticket, sizeof(ticket));
	from = mesh->nanswers;
	for (int i = 0; i < 12; i++)
		ask(mesh, i % 2);
	entry = enter(mesh, 1, ticket);
	mesh_feed(mesh, 0, (struct event){ .type = EV_DRAIN });
	mesh_feed(mesh, 1, (struct event){ .type = EV_DRAIN });
	for (int i = 0; i < 300; i++) {
		ask(mesh, 2);
		mesh_run(mesh, 10 * MS);
	}
	mesh_run(mesh, SECOND);
	ck_assert(!mesh->nodes[0].up && !mesh->nodes[1].up);
	ck_assert(says(mesh, entry, "\"done\""));
	for (size_t id = from; id < mesh->nanswers; id++)
		ck_assert_int_eq(mesh->answers[id].status, 200);
}

/* 9. A node that leaves issues no tickets that would outlive it: it asks a
 * peer for one, and the caller does not notice. */
static void ticket_while_leaving(struct mesh *mesh)
{
	char ticket[160];
	size_t id;

	mesh_feed(mesh, 0, (struct event){ .type = EV_DRAIN });
	take_ticket(mesh, 0, ticket, sizeof(ticket));
	ck_assert(strncmp(ticket, "127.0.0.1:7000/", 15));
	mesh_run(mesh, 4 * SECOND);
	id = enter(mesh, 1, ticket);
	mesh_run(mesh, SECOND);
	ck_assert(says(mesh, id, "\"done\""));
}

/* 10. A replaced node reads a stale platform (a pair).
 * It asks its peers first and never puts the old document in force. */
static void stale_platform_new_node(struct mesh *mesh)
{
	publish_version(mesh, 2);
	mesh_run(mesh, 2 * SECOND);
	mesh_kill(mesh, 0);
	mesh->nodes[0].stale_reader = 1;
	mesh_start(mesh, 0);
	for (int i = 0; i < 500; i++) {
		mesh_run(mesh, 10 * MS);
		ck_assert(mesh->nodes[0].seen[DOC_FLEET] != 1);
	}
	ck_assert_int_eq((int)mesh->nodes[0].seen[DOC_FLEET], 2);
}

/* 10. A document that is refused leaves the last accepted in force, and the
 * next good one is taken. */
static void document_refused(struct mesh *mesh)
{
	char *lists = mesh_lists(3, 10, 10, 400, 400, 1);

	mesh_publish(mesh, DOC_LISTS, "{\"version\":2,\"plans\":[]}");
	mesh_run(mesh, 3 * SECOND);
	for (int i = 0; i < 3; i++) {
		ck_assert_int_eq((int)mesh->nodes[i].seen[DOC_LISTS], 1);
		ck_assert(mesh->nodes[i].node->counters[CNT_DOCS_REFUSED] > 0);
	}
	mesh_publish(mesh, DOC_LISTS, lists);
	mesh_run(mesh, 3 * SECOND);
	for (int i = 0; i < 3; i++)
		ck_assert_int_eq((int)mesh->nodes[i].seen[DOC_LISTS], 3);
	free(lists);
}

/* 10. Two publications at once, and one reader is stale (operators' race).
 * All end on the later one. */
static void two_publications(struct mesh *mesh)
{
	mesh->nodes[1].stale_reader = 1;
	publish_version(mesh, 2);
	mesh_run(mesh, 5 * MS);
	publish_version(mesh, 3);
	mesh_run(mesh, 4 * SECOND);
	for (int i = 0; i < 3; i++)
		ck_assert_int_eq((int)mesh->nodes[i].seen[DOC_FLEET], 3);
}

/* 10. The platform is down for an hour: service and documents stay. */
static void platform_down_long(struct mesh *mesh)
{
	size_t id;

	mesh->platform_down = true;
	mesh_run(mesh, 3600LL * SECOND);
	id = ask(mesh, 1);
	mesh_run(mesh, SECOND);
	ck_assert(fabs(number(mesh, id, "coverage") - 1) < 1e-9);
}

/* Plans: the fleet together lets in the plan's rate and no more. */
static void plan_limit(struct mesh *mesh)
{
	char *lists = mesh_lists(2, 50, 10, 400, 400, 1);
	size_t from;
	int taken = 0;

	mesh_publish(mesh, DOC_LISTS, lists);
	free(lists);
	mesh_run(mesh, 3 * SECOND);
	from = mesh->nanswers;
	for (int i = 0; i < 2000; i++) {
		ask(mesh, i % 3);
		mesh_run(mesh, 2 * MS);
	}
	mesh_run(mesh, SECOND);
	for (size_t id = from; id < mesh->nanswers; id++)
		taken += mesh->answers[id].status == 200;
	/* 4 s at 50 a second, and the burst. */
	ck_assert_int_le(taken, 4 * 50 + 10 + 5);
	ck_assert_int_ge(taken, 4 * 50 * 9 / 10);
}

/* A target that takes connections and never answers (frozen).
 * Each of its slots is lost for the deadline and 2 s more. After two such
 * requests it counts as down and is only probed; coverage holds, and it gets
 * work again when it answers. */
static void target_hangs(struct mesh *mesh)
{
	uint64_t started;

	load(mesh, 3 * SECOND);
	mesh_target(mesh, "t0")->hangs = true;
	load(mesh, 6 * SECOND);
	started = mesh_target(mesh, "t0")->started;
	load(mesh, 2 * SECOND);
	ck_assert(mesh_target(mesh, "t0")->started == started);
	for (size_t id = mesh->nanswers - 200; id < mesh->nanswers - 50; id++)
		ck_assert(fabs(number(mesh, id, "coverage") - 1) < 1e-9);
	mesh_target(mesh, "t0")->hangs = false;
	load(mesh, 3 * SECOND);
	ck_assert(mesh_target(mesh, "t0")->started > started);
}

/* A killed gate: its leaf requests go to the next owner at once. */
static void gate_killed(struct mesh *mesh)
{
	size_t id;
	int gate = gate_of(mesh, "t0");

	load(mesh, SECOND);
	id = ask(mesh, (gate + 1) % 3);
	mesh_run(mesh, mesh->latency_us * 2);
	mesh_kill(mesh, gate);
	mesh_run(mesh, SECOND);
	ck_assert(fabs(number(mesh, id, "coverage") - 1) < 1e-9);
}

static const struct {
	const char *name;
	void (*fn)(struct mesh *mesh);
} cases[] = {
	{ "snapshot changes", snapshot_changes },
	{ "repartition", repartition },
	{ "snapshot lost", snapshot_lost },
	{ "shard lost", shard_lost },
	{ "domain lost", domain_lost },
	{ "both replicas restart", both_replicas_restart },
	{ "cold start", cold_start },
	{ "cold start, two gates", cold_start_two_gates },
	{ "cold start, gate killed", cold_start_gate_killed },
	{ "cold start, gate leaves", cold_start_gate_leaves },
	{ "domain out, platform down", domain_out_platform_down },
	{ "domain out, node cut", domain_out_node_cut },
	{ "domain out, watchers cut", domain_out_watchers_cut },
	{ "domain out, node isolated", domain_out_node_isolated },
	{ "domain out, gate paused", domain_out_gate_paused },
	{ "domain out, reading aged", domain_out_reading_aged },
	{ "domain returns", domain_returns },
	{ "replies reordered", replies_reordered },
	{ "go ages", go_ages },
	{ "issuer killed before go", issuer_killed_before_go },
	{ "entry shed", entry_shed },
	{ "shed reply lost", shed_reply_lost },
	{ "given up before grant", given_up_before_grant },
	{ "entry at two nodes", entry_two_nodes },
	{ "entry without a ticket", entry_no_ticket },
	{ "issuer replaced", issuer_replaced },
	{ "entry under a cut", entry_under_cut },
	{ "entry's reply lost", entry_reply_lost },
	{ "target drains", target_drains },
	{ "target listed as leaving", target_listed_leaving },
	{ "rolling stop", rolling_stop },
	{ "two stop at once", two_stop_at_once },
	{ "ticket while leaving", ticket_while_leaving },
	{ "stale platform, new node", stale_platform_new_node },
	{ "document refused", document_refused },
	{ "two publications", two_publications },
	{ "platform down long", platform_down_long },
	{ "plan limit", plan_limit },
	{ "target hangs", target_hangs },
	{ "gate killed", gate_killed },
};
enum {
	CASES = sizeof(cases) / sizeof(*cases)
};

START_TEST(test_case)
{
	struct mesh *mesh = started(3);

	cases[_i].fn(mesh);
	ck_assert_msg(!mesh->fault, "%s: %s", cases[_i].name, mesh->fault);
	mesh_destroy(mesh);
}
END_TEST

/* The end of a grant turned off: the aged go runs the entry after all. This
 * shows that "go ages" sees what it is there for. */
START_TEST(test_grant_off)
{
	struct mesh *mesh = world(3);
	char ticket[160];
	int gate;

	for (int i = 0; i < 3; i++)
		mesh->nodes[i].opt.off.no_grant = true;
	mesh_start_all(mesh);
	gate = gate_of(mesh, "t0");
	take_ticket(mesh, (gate + 1) % 3, ticket, sizeof(ticket));
	enter(mesh, (gate + 1) % 3, ticket);
	run_to_grant(mesh, gate);
	mesh_pause(mesh, gate, 5 * SECOND);
	mesh_run(mesh, 9 * SECOND);
	ck_assert_int_eq((int)mesh_runs(mesh, ENTRY), 1);
	mesh_destroy(mesh);
}
END_TEST

/* The same events give the same effects, byte for byte. */
START_TEST(test_replay)
{
	struct buf traces[2] = { { 0 }, { 0 } };

	for (int n = 0; n < 2; n++) {
		struct mesh *mesh = world(3);

		mesh->trace = &traces[n];
		mesh_start_all(mesh);
		load(mesh, 2 * SECOND);
		mesh_kill(mesh, 1);
		load(mesh, 2 * SECOND);
		mesh_destroy(mesh);
	}
	ck_assert(traces[0].len > 1000);
	ck_assert(str_eq(buf_str(&traces[0]), buf_str(&traces[1])));
	buf_free(&traces[0]);
	buf_free(&traces[1]);
}
END_TEST

static void add_tests(TCase *tcase)
{
	tcase_add_loop_test(tcase, test_case, 0, CASES);
	tcase_add_test(tcase, test_grant_off);
	tcase_add_test(tcase, test_replay);
}

int main(void)
{
	return suite_run("points", add_tests);
}
