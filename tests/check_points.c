/*
 * Invariants under known failures, one failure or pair of failures per case,
 * checked against the counters of simulated targets. tests/fuzz.c covers
 * combinations that no case lists.
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

static struct mesh *create_mesh(int nodes)
{
	struct mesh_layout layout = mesh_layout(nodes, DOMAINS, TARGETS);

	return mesh_create(7, &layout, mesh_lists(1, 5000, 5000, 400, 400, 1));
}

static struct mesh *create_started_mesh(int nodes)
{
	struct mesh *mesh = create_mesh(nodes);

	mesh_start_all(mesh);
	return mesh;
}

static struct mesh_layout layout_of(const struct mesh *mesh, uint64_t version)
{
	struct mesh_layout layout = mesh_layout(mesh->nnodes, DOMAINS, TARGETS);

	layout.version = version;
	return layout;
}

/* Publishes version 2 of the fleet document with @domain out. */
static void publish_domain_out(struct mesh *mesh, int domain)
{
	struct mesh_layout layout = layout_of(mesh, 2);

	layout.out_domain = domain;
	mesh_publish_fleet(mesh, &layout);
}

static void publish_version(struct mesh *mesh, uint64_t version)
{
	struct mesh_layout layout = layout_of(mesh, version);

	mesh_publish_fleet(mesh, &layout);
}

static size_t send_question(struct mesh *mesh, int i)
{
	return mesh_call(mesh, i, EV_QUESTION,
			 "{\"customer\":\"mill\",\"request_id\":\"same\","
			 "\"terms\":\"t\",\"indexes\":[\"orders\"]}");
}

static void send_load_except(struct mesh *mesh, int64_t us, int skipped)
{
	for (int64_t t = 0; t < us; t += 10 * MS) {
		int i = (int)(t / (10 * MS)) % mesh->nnodes;

		if (i != skipped)
			send_question(mesh, i);
		mesh_run(mesh, 10 * MS);
	}
}

static void send_load(struct mesh *mesh, int64_t us)
{
	send_load_except(mesh, us, -1);
}

static json_t *answer_json(struct mesh *mesh, size_t id)
{
	const struct mesh_answer *answer = &mesh->answers[id];

	ck_assert_msg(answer->count == 1, "answer %zu: %d", id, answer->count);
	return json_loadb(answer->body.ptr, answer->body.len, 0, NULL);
}

static double answer_number(struct mesh *mesh, size_t id, const char *key)
{
	json_t *doc = answer_json(mesh, id);
	double value = json_number_value(json_object_get(doc, key));

	json_decref(doc);
	return value;
}

static bool answer_contains(struct mesh *mesh, size_t id, const char *text)
{
	const struct mesh_answer *answer = &mesh->answers[id];

	ck_assert_msg(answer->count == 1, "answer %zu: %d", id, answer->count);
	return memmem(answer->body.ptr, answer->body.len, text, strlen(text));
}

static void request_ticket(struct mesh *mesh, int i, char *ticket, size_t size)
{
	size_t id = mesh_call(mesh, i, EV_TICKET,
			      "{\"customer\":\"mill\",\"request_id\":\"e\"}");
	json_t *doc;

	mesh_run(mesh, 20 * MS);
	doc = answer_json(mesh, id);
	snprintf(ticket, size, "%s",
		 json_string_value(json_object_get(doc, "ticket")));
	json_decref(doc);
}

#define ENTRY "{\"order\":1}"

static size_t send_entry(struct mesh *mesh, int i, const char *ticket)
{
	char body[400];

	snprintf(body, sizeof(body),
		 "{\"customer\":\"mill\",\"request_id\":\"e\"%s%s%s,"
		 "\"index\":\"orders\",\"key\":5,\"entry\":" ENTRY "}",
		 *ticket ? ",\"ticket\":\"" : "", ticket, *ticket ? "\"" : "");
	return mesh_call(mesh, i, EV_ENTRY, body);
}

/* Index of the node that owns the gate of @target. */
static int find_gate(struct mesh *mesh, const char *target)
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

/* Runs until the gate has granted a slot; the go may be in flight by then. */
static void run_until_grant(struct mesh *mesh, int gate)
{
	for (int i = 0; i < 200 && !gate_open_count(mesh->nodes[gate].node);
	     i++)
		mesh_run(mesh, 50);
	ck_assert(gate_open_count(mesh->nodes[gate].node));
}

static bool domain_started_since(struct mesh *mesh, int domain, int64_t since)
{
	for (size_t i = 0; i < mesh->ntargets; i++)
		if ((int)(i % DOMAINS) == domain &&
		    mesh->targets[i].last_start > since)
			return true;
	return false;
}

/* 1. One snapshot.
 * Snapshot 3 replaces 2 during a question, and one replica of each shard
 * already answers from 3. The rows of 3 are dropped, the other replica gets a
 * request, and the answer is complete and entirely from 2. */
static void snapshot_changes(struct mesh *mesh)
{
	size_t id;

	for (int i = 0; i < TARGETS; i += 2)
		mesh->targets[i].reply_version = 3;
	id = send_question(mesh, 0);
	mesh_run(mesh, SECOND);
	ck_assert(fabs(answer_number(mesh, id, "coverage") - 1) < 1e-9);
	ck_assert(answer_number(mesh, id, "snapshot") == 2);
	ck_assert(!answer_contains(mesh, id, "\"version\":3"));
}

/* 1. Repartition.
 * Snapshot 3 has twice as many shards. A question that began on 2 ends with the
 * shard map of 2; the next one uses 3. No key range is counted twice. */
static void repartition(struct mesh *mesh)
{
	struct mesh_layout layout = layout_of(mesh, 2);
	size_t before;
	size_t after;

	for (size_t i = 0; i < mesh->ntargets; i++)
		mesh->targets[i].service_us = 100 * MS;
	before = send_question(mesh, 0);
	layout.snapshot = 3;
	layout.split = true;
	mesh_publish_fleet(mesh, &layout);
	mesh_run(mesh, 3 * SECOND);
	after = send_question(mesh, 0);
	mesh_run(mesh, SECOND);
	ck_assert(answer_number(mesh, before, "snapshot") == 2);
	ck_assert(answer_number(mesh, after, "snapshot") == 3);
	ck_assert(answer_number(mesh, before, "coverage") <= 1);
	ck_assert(answer_contains(mesh, after, "\"shard\":1012"));
}

/* 1. No target has the newest snapshot.
 * All targets reply that they lack 2. The whole question restarts on 1, and the
 * answer reports snapshot 1. */
static void snapshot_lost(struct mesh *mesh)
{
	size_t id;

	for (size_t i = 0; i < mesh->ntargets; i++)
		mesh->targets[i].lacks = 2;
	id = send_question(mesh, 0);
	mesh_run(mesh, SECOND);
	ck_assert(answer_number(mesh, id, "snapshot") == 1);
	ck_assert(fabs(answer_number(mesh, id, "coverage") - 1) < 1e-9);
}

/* 2. A shard with no replica.
 * Both replicas of shard 1 are dead. The answer has the other five shards, a
 * coverage of 5/6, rounded down, and names the missing shard and the cause. */
static void shard_lost(struct mesh *mesh)
{
	size_t id;

	mesh->targets[0].dead = mesh->targets[1].dead = true;
	id = send_question(mesh, 0);
	mesh_run(mesh, SECOND);
	ck_assert(fabs(answer_number(mesh, id, "coverage") - 0.833333) < 1e-9);
	ck_assert(answer_contains(mesh, id,
				  "\"shard\":1,\"index\":\"orders\",\"kind\":"
				  "\"target_down\""));
}

/* 2. Loss of one failure domain.
 * Each shard has a replica in another domain, so coverage stays 1. */
static void domain_lost(struct mesh *mesh)
{
	size_t id;

	for (size_t i = 0; i < mesh->ntargets; i += DOMAINS)
		mesh->targets[i].dead = true;
	id = send_question(mesh, 0);
	mesh_run(mesh, SECOND);
	ck_assert(fabs(answer_number(mesh, id, "coverage") - 1) < 1e-9);
}

/* 2. Both replicas of a shard restart at once.
 * They accept no connections for 50 ms. A plan with a coverage floor of 1 has
 * time until its deadline, so the shard is retried until it replies. */
static void both_replicas_restart(struct mesh *mesh)
{
	size_t id;

	send_load(mesh, 3 * SECOND);
	mesh_cold(mesh, mesh_target(mesh, "t0"));
	mesh_cold(mesh, mesh_target(mesh, "t1"));
	id = send_question(mesh, 0);
	mesh_run(mesh, SECOND);
	ck_assert(fabs(answer_number(mesh, id, "coverage") - 1) < 1e-9);
}

/* 3. Cold start without a report, under load.
 * Targets restart one after another and report no load. By their own counters,
 * none ever has two concurrent requests while its limit is one. */
static void cold_start(struct mesh *mesh)
{
	for (size_t i = 0; i < mesh->ntargets; i++) {
		send_load(mesh, 300 * MS);
		mesh_cold(mesh, &mesh->targets[i]);
	}
	send_load(mesh, 3 * SECOND);
	for (size_t i = 0; i < mesh->ntargets; i++) {
		ck_assert_int_eq((int)mesh->targets[i].overruns, 0);
		ck_assert_int_le(mesh->targets[i].peak_cold, 1);
	}
}

/* 3. The worst overlap: a network partition and cold targets.
 * Each side owns the gates of all targets in its own view. Every new gate
 * starts with one request, so two sides send two at most. */
static void cold_start_two_gates(struct mesh *mesh)
{
	mesh->cold_max_inflight = 8;
	mesh->cold_us = 6 * SECOND;
	mesh_cut(mesh, 0, 1, true);
	mesh_cut(mesh, 0, 2, true);
	for (size_t i = 0; i < mesh->ntargets; i++)
		mesh_cold(mesh, &mesh->targets[i]);
	send_load(mesh, 4 * SECOND);
	for (size_t i = 0; i < mesh->ntargets; i++)
		ck_assert_int_le(mesh->targets[i].peak_cold, 2);
}

/* 3. Cold start and the gate is killed (a pair).
 * The next gate has no state of the target and treats it as cold too. */
static void cold_start_gate_killed(struct mesh *mesh)
{
	send_load(mesh, 3 * SECOND);
	mesh_cold(mesh, mesh_target(mesh, "t0"));
	send_load(mesh, 200 * MS);
	mesh_kill(mesh, find_gate(mesh, "t0"));
	send_load(mesh, SECOND);
	ck_assert_int_le(mesh_target(mesh, "t0")->peak_cold, 2);
	ck_assert_int_eq((int)mesh_target(mesh, "t0")->overruns, 0);
}

/* 3. Cold start and a planned stop of the gate (a pair).
 * The gate has a request in flight at the target when it hands it over. The
 * next gate waits for the handover, so the target never has two requests; a
 * warm target stays warm. */
static void cold_start_gate_leaves(struct mesh *mesh)
{
	int gate = find_gate(mesh, "t0");
	uint64_t key = str_hash(STR("t3"));

	mesh->cold_us = 3 * SECOND;
	send_load(mesh, 4 * SECOND);
	mesh_cold(mesh, mesh_target(mesh, "t0"));
	send_load(mesh, 500 * MS);
	mesh_target(mesh, "t0")->service_us = 40 * MS;
	mesh_target(mesh, "t1")->dead =
		true; /* leaves t0 as the only replica */
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
				 mesh->nodes[find_gate(mesh, "t3")].node, key)
				 ->limit,
			 2);
}

/* 4. Domain out, and the platform goes down right after (a pair).
 * Nodes that have read the list pass it on; no node has to read the platform
 * again. */
static void domain_out_platform_down(struct mesh *mesh)
{
	int64_t since;

	publish_domain_out(mesh, 1);
	send_load(mesh, 1500 * MS);
	mesh->platform_down = true;
	since = mesh->now + SECOND;
	send_load(mesh, 4 * SECOND);
	ck_assert(!domain_started_since(mesh, 1, since));
}

/* 4. Domain out while one node cannot reach the platform.
 * It receives the list from its peers. */
static void domain_out_node_cut(struct mesh *mesh)
{
	int64_t since;

	mesh->nodes[0].platform_cut = true;
	publish_domain_out(mesh, 1);
	since = mesh->now + 3 * SECOND;
	send_load(mesh, 5 * SECOND);
	ck_assert(!domain_started_since(mesh, 1, since));
}

/* 4. Domain out while both watchers cannot reach the platform (a pair).
 * The heartbeats show that no node has read it for a while, so the third node
 * reads it. */
static void domain_out_watchers_cut(struct mesh *mesh)
{
	int64_t since;

	for (int i = 0; i < 3; i++)
		mesh->nodes[i].platform_cut =
			member_rank(mesh->nodes[i].node, DOC_FLEET + 1) < 2;
	send_load(mesh, 2500 * MS);
	publish_domain_out(mesh, 1);
	since = mesh->now + 3 * SECOND;
	send_load(mesh, 6 * SECOND);
	ck_assert(!domain_started_since(mesh, 1, since));
}

/* 4. Domain out while one node reaches neither platform nor peers.
 * It cannot receive the list, so it refuses as "isolated" instead of going on.
 */
static void domain_out_node_isolated(struct mesh *mesh)
{
	int64_t since;
	size_t id;

	mesh->nodes[0].platform_cut = true;
	mesh_cut(mesh, 0, 1, true);
	mesh_cut(mesh, 0, 2, true);
	publish_domain_out(mesh, 1);
	since = mesh->now + 4500 * MS;
	send_load(mesh, 7 * SECOND);
	ck_assert(!domain_started_since(mesh, 1, since));
	id = send_question(mesh, 0);
	ck_assert(answer_contains(mesh, id, "\"isolated\""));
}

/* 4. Domain out while the gate is paused (a pair).
 * It resumes with requests in its sockets and confirms its view first. */
static void domain_out_gate_paused(struct mesh *mesh)
{
	int64_t since;

	send_load(mesh, SECOND);
	mesh_pause(mesh, find_gate(mesh, "t1"), 5 * SECOND);
	send_load(mesh, 100 * MS);
	publish_domain_out(mesh, 1);
	since = mesh->now + 4 * SECOND;
	send_load(mesh, 8 * SECOND);
	ck_assert(!domain_started_since(mesh, 1, since));
}

/* 4. Domain out while the gate is paused, with a platform reply "nothing newer"
 * in its socket that was sent before. Taken as current, it would confirm the
 * old view; it is ignored. */
static void domain_out_stale_read(struct mesh *mesh)
{
	int64_t since;

	int watcher = 0;

	while (member_rank(mesh->nodes[watcher].node, DOC_FLEET + 1) > 1)
		watcher++;
	send_load(mesh, SECOND);
	mesh_pause(mesh, watcher, 6 * SECOND);
	send_load(mesh, 1200 * MS);
	publish_domain_out(mesh, watcher); /* node i is in domain i */
	since = mesh->now + 4 * SECOND;
	send_load(mesh, 8 * SECOND);
	ck_assert(!domain_started_since(mesh, watcher, since));
}

/* 4. A domain returns under load.
 * Its targets restart cold, with one request at a time, and none is overrun. */
static void domain_returns(struct mesh *mesh)
{
	publish_domain_out(mesh, 1);
	send_load(mesh, 3 * SECOND);
	for (size_t i = 1; i < mesh->ntargets; i += DOMAINS)
		mesh_cold(mesh, &mesh->targets[i]);
	mesh_run(mesh, 100 * MS);
	publish_version(mesh, 3);
	send_load(mesh, 4 * SECOND);
	for (size_t i = 1; i < mesh->ntargets; i += DOMAINS) {
		ck_assert(mesh->targets[i].started > 0);
		ck_assert_int_eq((int)mesh->targets[i].overruns, 0);
	}
}

/* 5. Late and reordered replies, one request id for all callers.
 * Replies take up to 80 ms longer and some are duplicated. Each caller gets one
 * answer, with rows for its own terms only. */
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
		json_t *doc = answer_json(mesh, ids[i]);
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
 * It resumes after the deadline with the go in its socket. The caller has got
 * "unknown" or "not run" by then; the entry does not run after that. */
static void go_expires(struct mesh *mesh)
{
	int gate = find_gate(mesh, "t0");
	int issuer = (gate + 1) % 3;
	char ticket[160];
	size_t id;

	request_ticket(mesh, issuer, ticket, sizeof(ticket));
	id = send_entry(mesh, issuer, ticket);
	run_until_grant(mesh, gate);
	mesh_pause(mesh, gate, 5 * SECOND);
	mesh_run(mesh, 3 * SECOND);
	ck_assert(answer_contains(mesh, id, "\"unknown\"") ||
		  answer_contains(mesh, id, "\"not_run\""));
	mesh_run(mesh, 6 * SECOND);
	ck_assert_int_eq((int)mesh_entry_runs(mesh, ENTRY), 0);
}

/* 6. The issuer is killed between grant and go.
 * No go is ever sent; the grant expires; nothing runs. */
static void issuer_killed_before_go(struct mesh *mesh)
{
	int gate = find_gate(mesh, "t0");
	int issuer = (gate + 1) % 3;
	char ticket[160];

	request_ticket(mesh, issuer, ticket, sizeof(ticket));
	send_entry(mesh, issuer, ticket);
	run_until_grant(mesh, gate);
	mesh_kill(mesh, issuer);
	mesh_run(mesh, 3 * SECOND);
	ck_assert_int_eq((int)mesh_entry_runs(mesh, ENTRY), 0);
	ck_assert_int_eq((int)gate_open_count(mesh->nodes[gate].node), 0);
}

/* 6. All targets shed the entry and reply that they did not run it, so the
 * outcome is "not run". */
static void entry_shed(struct mesh *mesh)
{
	char ticket[160];
	size_t id;

	for (size_t i = 0; i < mesh->ntargets; i++)
		mesh->targets[i].draining = true;
	request_ticket(mesh, 0, ticket, sizeof(ticket));
	id = send_entry(mesh, 0, ticket);
	mesh_run(mesh, 4 * SECOND);
	ck_assert(answer_contains(mesh, id, "\"not_run\""));
	ck_assert(answer_contains(mesh, id, "retry_after_ms"));
	ck_assert_int_eq((int)mesh_entry_runs(mesh, ENTRY), 0);
}

/* 6. The reply of a target that shed the entry is lost.
 * Whether it ran cannot be determined: "unknown", and no later run. */
static void shed_reply_lost(struct mesh *mesh)
{
	char ticket[160];
	size_t id;

	for (size_t i = 0; i < mesh->ntargets; i++)
		mesh->targets[i].closes_without_run = true;
	request_ticket(mesh, 0, ticket, sizeof(ticket));
	id = send_entry(mesh, 0, ticket);
	mesh_run(mesh, 4 * SECOND);
	ck_assert(answer_contains(mesh, id, "\"unknown\""));
	ck_assert_int_eq((int)mesh_entry_runs(mesh, ENTRY), 0);
}

/* 6. The entry reaches its deadline while its grant is in flight.
 * The caller gets "not run" at its deadline of 1 ms; the grant arrives at
 * about 2 ms and is not used; the gate gets its slot back. */
static void given_up_before_grant(struct mesh *mesh)
{
	int gate = find_gate(mesh, "t0");
	int issuer = (gate + 1) % 3;
	char ticket[160];
	char body[400];
	size_t id;

	mesh->latency_us = MS;
	request_ticket(mesh, issuer, ticket, sizeof(ticket));
	snprintf(body, sizeof(body),
		 "{\"customer\":\"mill\",\"request_id\":\"e\",\"ticket\":"
		 "\"%s\",\"index\":\"orders\",\"key\":5,\"deadline_ms\":1,"
		 "\"entry\":" ENTRY "}",
		 ticket);
	id = mesh_call(mesh, issuer, EV_ENTRY, body);
	mesh_run(mesh, 1500);
	ck_assert(answer_contains(mesh, id, "\"not_run\""));
	mesh_run(mesh, 4 * SECOND);
	ck_assert_int_eq((int)mesh_entry_runs(mesh, ENTRY), 0);
	ck_assert_int_eq((int)gate_open_count(mesh->nodes[gate].node), 0);
}

/* 7. One ticket sent to two nodes at once, and again later: one run, and the
 * same outcome each time. */
static void entry_two_nodes(struct mesh *mesh)
{
	char ticket[160];
	size_t ids[3];

	request_ticket(mesh, 0, ticket, sizeof(ticket));
	ids[0] = send_entry(mesh, 1, ticket);
	ids[1] = send_entry(mesh, 2, ticket);
	mesh_run(mesh, SECOND);
	ids[2] = send_entry(mesh, 0, ticket);
	mesh_run(mesh, SECOND);
	for (int i = 0; i < 3; i++)
		ck_assert(answer_contains(mesh, ids[i], "\"done\""));
	ck_assert_int_eq((int)mesh_entry_runs(mesh, ENTRY), 1);
}

/* 7. A caller's own id without a ticket, sent to two nodes at once.
 * Both answer "not run" with a ticket; nothing runs. */
static void entry_no_ticket(struct mesh *mesh)
{
	size_t a = send_entry(mesh, 0, "");
	size_t b = send_entry(mesh, 1, "");

	mesh_run(mesh, SECOND);
	ck_assert(answer_contains(mesh, a, "ticket_required"));
	ck_assert(answer_contains(mesh, b, "ticket_required"));
	ck_assert_int_eq((int)mesh_entry_runs(mesh, ENTRY), 0);
}

/* 7. The issuer ran it and was killed; a new VM has its address (a pair).
 * The repeat is answered "unknown": the new process has no record of it. */
static void issuer_replaced(struct mesh *mesh)
{
	char ticket[160];
	size_t id;

	request_ticket(mesh, 0, ticket, sizeof(ticket));
	send_entry(mesh, 0, ticket);
	mesh_run(mesh, SECOND);
	mesh_kill(mesh, 0);
	mesh_start(mesh, 0);
	mesh_run(mesh, 4 * SECOND);
	id = send_entry(mesh, 0, ticket);
	mesh_run(mesh, SECOND);
	ck_assert(answer_contains(mesh, id, "\"unknown\""));
	ck_assert_int_eq((int)mesh_entry_runs(mesh, ENTRY), 1);
}

/* 7. A network partition with both sides live.
 * The issuer's side runs the entry; the other side answers "unknown" and
 * never runs it, though it owns the same targets in its own view. */
static void entry_during_partition(struct mesh *mesh)
{
	char ticket[160];
	size_t a;
	size_t b;

	request_ticket(mesh, 0, ticket, sizeof(ticket));
	mesh_cut(mesh, 0, 1, true);
	mesh_cut(mesh, 0, 2, true);
	mesh_run(mesh, 2 * SECOND);
	a = send_entry(mesh, 0, ticket);
	b = send_entry(mesh, 1, ticket);
	mesh_run(mesh, 10 * SECOND);
	ck_assert(answer_contains(mesh, a, "\"done\""));
	ck_assert(answer_contains(mesh, b, "\"unknown\""));
	ck_assert_int_eq((int)mesh_entry_runs(mesh, ENTRY), 1);
}

/* 7. The target runs the entry and closes without a reply while the issuer is
 * paused (a pair). One answer, "unknown", and one run. */
static void entry_reply_lost(struct mesh *mesh)
{
	char ticket[160];
	size_t id;

	for (size_t i = 0; i < mesh->ntargets; i++)
		mesh->targets[i].closes_after_run = true;
	request_ticket(mesh, 0, ticket, sizeof(ticket));
	id = send_entry(mesh, 0, ticket);
	mesh_run(mesh, 2 * MS);
	mesh_pause(mesh, 0, 3 * SECOND);
	mesh_run(mesh, 6 * SECOND);
	ck_assert(answer_contains(mesh, id, "\"unknown\""));
	ck_assert_int_eq((int)mesh_entry_runs(mesh, ENTRY), 1);
}

/* 8. A target reports that it drains before the fleet document lists it so.
 * Its first such reply stops new requests; the other replica takes over. */
static void target_drains(struct mesh *mesh)
{
	int64_t since;
	uint64_t started;

	send_load(mesh, SECOND);
	mesh_target(mesh, "t2")->draining = true;
	since = mesh->now;
	send_load(mesh, SECOND);
	started = mesh_target(mesh, "t2")->started;
	ck_assert(mesh_target(mesh, "t2")->last_start <= since + 100 * MS);
	send_load(mesh, SECOND);
	ck_assert(mesh_target(mesh, "t2")->started == started);
	ck_assert(fabs(answer_number(mesh, mesh->nanswers - 20, "coverage") -
		       1) < 1e-9);
}

/* 8. The fleet document lists a target as leaving that still accepts work. */
static void target_listed_leaving(struct mesh *mesh)
{
	struct mesh_layout layout = layout_of(mesh, 2);
	int64_t since;

	layout.leaving_target = 2;
	mesh_publish_fleet(mesh, &layout);
	since = mesh->now + 2500 * MS;
	send_load(mesh, 4 * SECOND);
	ck_assert(mesh_target(mesh, "t2")->last_start <= since);
}

/* 9. All nodes are stopped and replaced one after another, under load.
 * The load balancer keeps sending for a second after the stop began, and a
 * second signal arrives. All requests are answered, and none is refused. */
static void rolling_stop(struct mesh *mesh)
{
	for (int i = 0; i < 3; i++) {
		send_load(mesh, 500 * MS);
		mesh_feed(mesh, i, (struct event){ .type = EV_DRAIN });
		mesh_feed(mesh, i, (struct event){ .type = EV_DRAIN });
		send_load(mesh, SECOND);
		send_load_except(mesh, 3 * SECOND, i);
		ck_assert(!mesh->nodes[i].up);
		mesh_start(mesh, i);
		send_load_except(mesh, 4 * SECOND, i);
	}
	mesh_run(mesh, SECOND);
	for (size_t id = 0; id < mesh->nanswers; id++) {
		if (!mesh->answers[id].node_up)
			continue;
		ck_assert_int_eq(mesh->answers[id].status, 200);
	}
}

/* 9. Two of three nodes are stopped at the same moment, with open questions and
 * an entry in flight. All questions are answered, and the entry is done. */
static void two_stop_at_once(struct mesh *mesh)
{
	char ticket[160];
	size_t from;
	size_t entry;

	send_load(mesh, 3 * SECOND);
	request_ticket(mesh, 0, ticket, sizeof(ticket));
	from = mesh->nanswers;
	for (int i = 0; i < 12; i++)
		send_question(mesh, i % 2);
	entry = send_entry(mesh, 1, ticket);
	mesh_feed(mesh, 0, (struct event){ .type = EV_DRAIN });
	mesh_feed(mesh, 1, (struct event){ .type = EV_DRAIN });
	for (int i = 0; i < 300; i++) {
		send_question(mesh, 2);
		mesh_run(mesh, 10 * MS);
	}
	mesh_run(mesh, SECOND);
	ck_assert(!mesh->nodes[0].up && !mesh->nodes[1].up);
	ck_assert(answer_contains(mesh, entry, "\"done\""));
	for (size_t id = from; id < mesh->nanswers; id++)
		ck_assert_int_eq(mesh->answers[id].status, 200);
}

/* 9. A leaving node issues no tickets that would outlive it: it requests one
 * from a peer, which the caller need not notice. */
static void ticket_while_leaving(struct mesh *mesh)
{
	char ticket[160];
	size_t id;

	mesh_feed(mesh, 0, (struct event){ .type = EV_DRAIN });
	request_ticket(mesh, 0, ticket, sizeof(ticket));
	ck_assert(strncmp(ticket, "127.0.0.1:7000/", 15));
	mesh_run(mesh, 4 * SECOND);
	id = send_entry(mesh, 1, ticket);
	mesh_run(mesh, SECOND);
	ck_assert(answer_contains(mesh, id, "\"done\""));
}

/* 10. A replaced node reads a stale platform (a pair).
 * It requests the document from its peers first and never puts the old one in
 * force. */
static void stale_platform_new_node(struct mesh *mesh)
{
	publish_version(mesh, 2);
	mesh_run(mesh, 2 * SECOND);
	mesh_kill(mesh, 0);
	mesh->nodes[0].reads_stale_docs = 1;
	mesh_start(mesh, 0);
	for (int i = 0; i < 500; i++) {
		mesh_run(mesh, 10 * MS);
		ck_assert(mesh->nodes[0].doc_versions[DOC_FLEET] != 1);
	}
	ck_assert_int_eq((int)mesh->nodes[0].doc_versions[DOC_FLEET], 2);
}

/* 10. A refused document leaves the last accepted one in force, and the next
 * valid one is accepted. */
static void document_refused(struct mesh *mesh)
{
	char *lists = mesh_lists(3, 10, 10, 400, 400, 1);

	mesh_publish(mesh, DOC_LISTS, "{\"version\":2,\"plans\":[]}");
	mesh_run(mesh, 3 * SECOND);
	for (int i = 0; i < 3; i++) {
		ck_assert_int_eq((int)mesh->nodes[i].doc_versions[DOC_LISTS],
				 1);
		ck_assert(mesh->nodes[i].node->counters[CNT_DOCS_REFUSED] > 0);
	}
	mesh_publish(mesh, DOC_LISTS, lists);
	mesh_run(mesh, 3 * SECOND);
	for (int i = 0; i < 3; i++)
		ck_assert_int_eq((int)mesh->nodes[i].doc_versions[DOC_LISTS],
				 3);
	free(lists);
}

/* 10. Two publications at once, and one reader is stale (a race of operators).
 * All nodes end with the later one. */
static void two_publications(struct mesh *mesh)
{
	mesh->nodes[1].reads_stale_docs = 1;
	publish_version(mesh, 2);
	mesh_run(mesh, 5 * MS);
	publish_version(mesh, 3);
	mesh_run(mesh, 4 * SECOND);
	for (int i = 0; i < 3; i++)
		ck_assert_int_eq((int)mesh->nodes[i].doc_versions[DOC_FLEET],
				 3);
}

/* 10. The platform is down for an hour: nodes keep serving with
 * the documents that they have. */
static void platform_down_long(struct mesh *mesh)
{
	size_t id;

	mesh->platform_down = true;
	mesh_run(mesh, 3600LL * SECOND);
	id = send_question(mesh, 1);
	mesh_run(mesh, SECOND);
	ck_assert(fabs(answer_number(mesh, id, "coverage") - 1) < 1e-9);
}

/* Plans: all nodes together admit the plan's rate and no more. */
static void plan_limit(struct mesh *mesh)
{
	char *lists = mesh_lists(2, 50, 10, 400, 400, 1);
	size_t from;
	int accepted = 0;

	mesh_publish(mesh, DOC_LISTS, lists);
	free(lists);
	mesh_run(mesh, 3 * SECOND);
	from = mesh->nanswers;
	for (int i = 0; i < 2000; i++) {
		send_question(mesh, i % 3);
		mesh_run(mesh, 2 * MS);
	}
	mesh_run(mesh, SECOND);
	for (size_t id = from; id < mesh->nanswers; id++)
		accepted += mesh->answers[id].status == 200;
	/* 4 s at 50/s, and the burst. */
	ck_assert_int_le(accepted, 4 * 50 + 10 + 5);
	ck_assert_int_ge(accepted, 4 * 50 * 9 / 10);
}

/* A target that accepts connections and never replies (frozen).
 * Each of its slots is blocked for the deadline and 2 s more. After two such
 * requests it counts as down and is only probed; coverage stays 1, and it gets
 * requests again once it replies. */
static void target_hangs(struct mesh *mesh)
{
	uint64_t started;

	send_load(mesh, 3 * SECOND);
	mesh_target(mesh, "t0")->hangs = true;
	send_load(mesh, 6 * SECOND);
	started = mesh_target(mesh, "t0")->started;
	send_load(mesh, 2 * SECOND);
	ck_assert(mesh_target(mesh, "t0")->started == started);
	for (size_t id = mesh->nanswers - 200; id < mesh->nanswers - 50; id++)
		ck_assert(fabs(answer_number(mesh, id, "coverage") - 1) < 1e-9);
	mesh_target(mesh, "t0")->hangs = false;
	send_load(mesh, 3 * SECOND);
	ck_assert(mesh_target(mesh, "t0")->started > started);
}

/* A killed gate: its leaf requests go to the next owner at once. */
static void gate_killed(struct mesh *mesh)
{
	size_t id;
	int gate = find_gate(mesh, "t0");

	send_load(mesh, SECOND);
	id = send_question(mesh, (gate + 1) % 3);
	mesh_run(mesh, mesh->latency_us * 2);
	mesh_kill(mesh, gate);
	mesh_run(mesh, SECOND);
	ck_assert(fabs(answer_number(mesh, id, "coverage") - 1) < 1e-9);
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
	{ "domain out, stale read", domain_out_stale_read },
	{ "domain returns", domain_returns },
	{ "replies reordered", replies_reordered },
	{ "go expires", go_expires },
	{ "issuer killed before go", issuer_killed_before_go },
	{ "entry shed", entry_shed },
	{ "shed reply lost", shed_reply_lost },
	{ "given up before grant", given_up_before_grant },
	{ "entry at two nodes", entry_two_nodes },
	{ "entry without a ticket", entry_no_ticket },
	{ "issuer replaced", issuer_replaced },
	{ "entry during a partition", entry_during_partition },
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
	struct mesh *mesh = create_started_mesh(3);

	cases[_i].fn(mesh);
	ck_assert_msg(!mesh->fault, "%s: %s", cases[_i].name, mesh->fault);
	mesh_destroy(mesh);
}
END_TEST

/* With grant expiry turned off, the late go runs the entry. This shows that the
 * case "go expires" detects the failure. */
START_TEST(test_grant_expiry_off)
{
	struct mesh *mesh = create_mesh(3);
	char ticket[160];
	int gate;

	for (int i = 0; i < 3; i++)
		mesh->nodes[i].opt.off.no_grant = true;
	mesh_start_all(mesh);
	gate = find_gate(mesh, "t0");
	request_ticket(mesh, (gate + 1) % 3, ticket, sizeof(ticket));
	send_entry(mesh, (gate + 1) % 3, ticket);
	run_until_grant(mesh, gate);
	mesh_pause(mesh, gate, 5 * SECOND);
	mesh_run(mesh, 9 * SECOND);
	ck_assert_int_eq((int)mesh_entry_runs(mesh, ENTRY), 1);
	mesh_destroy(mesh);
}
END_TEST

/* The same events give the same effects, byte for byte. */
START_TEST(test_replay)
{
	struct buf traces[2] = { { 0 }, { 0 } };

	for (int n = 0; n < 2; n++) {
		struct mesh *mesh = create_mesh(3);

		mesh->trace = &traces[n];
		mesh_start_all(mesh);
		send_load(mesh, 2 * SECOND);
		mesh_kill(mesh, 1);
		send_load(mesh, 2 * SECOND);
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
	tcase_add_test(tcase, test_grant_expiry_off);
	tcase_add_test(tcase, test_replay);
}

int main(void)
{
	return suite_run("points", add_tests);
}
