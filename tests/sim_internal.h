#pragma once

#include "sim.h"

/**
 * DOC: what the parts of the stage share
 *
 * sim.c has the nodes and the time, sim_targets.c the store and the
 * targets.
 */

enum {
	SIM_NEAR_HOP_US = 200,
	SIM_FAR_HOP_US = 900,
	SIM_STORE_LATENCY_US = 2000,
	SIM_REFUSED_LATENCY_US = 300,
	SIM_DRAIN_US = 3000000,
	SIM_STORE_KEYS_MAX = 2048,
};

enum sim_event_type {
	SIM_EVENT_REPLY,
	SIM_EVENT_MSG,
	SIM_EVENT_PEER_LOST,
	SIM_EVENT_STORE_REPLY,
	SIM_EVENT_ARRIVAL,
	SIM_EVENT_RESTART, /* of a target that crashed */
	SIM_EVENT_ENTRY_EXPIRED, /* of its entry: expected */
};

/** struct sim_event - one thing that will happen; strings on the heap */
struct sim_event {
	int64_t when;
	uint64_t order;
	enum sim_event_type type;
	int node;
	int from;
	uint64_t incarnation;
	uint64_t to_incarnation;
	uint64_t id;
	struct flow_reply reply;
	struct msg msg;
	int target;
	int call_id; /* of a reply whose target crashes with it */
	bool crash;
	int64_t sent_us;
	enum store_call call;
	uint64_t revision;
	bool store_ok;
	struct str prefix;
	struct str request_id;
	struct str uri;
	struct str expected;
	bool counted;
};

struct sim_queue {
	struct sim_event *list;
	size_t count;
	size_t cap;
	uint64_t order;
};

struct store_key {
	char key[64];
	char value[128];
	uint64_t revision;
	bool deleted;
};

struct sim_store {
	struct store_key keys[SIM_STORE_KEYS_MAX];
	int nkeys;
};

/** sim_schedule() - something will happen @after microseconds from now. */
struct sim_event *sim_schedule(struct sim *sim, int64_t after,
			       enum sim_event_type type, int node);
/** sim_deliver() - hand an event to @node, and carry out what it does. */
void sim_deliver(struct sim *sim, int node, struct flow_event input);
/** sim_store_replied() - a call of a node to the store is answered. */
void sim_store_replied(struct sim *sim, const struct sim_event *event);
/** sim_request_arrived() - a request has come to its target. */
void sim_request_arrived(struct sim *sim, const struct sim_event *event);
/** sim_deadly_run_ended() - a deadly request has ended its target. */
void sim_deadly_run_ended(struct sim *sim, const struct sim_event *event);
/** sim_target_restarted() - a target is back after a crash. */
void sim_target_restarted(struct sim *sim, int target);
/** sim_delete_entry() - the entry of a target that is gone goes. */
void sim_delete_entry(struct sim *sim, struct str id);
