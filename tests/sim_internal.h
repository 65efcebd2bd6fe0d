#pragma once

#include "sim.h"

/**
 * DOC: what the parts of the stage share
 *
 * sim.c has the nodes and the time, sim_targets.c the store and the
 * targets.
 */

enum {
	STAGE_NEAR_US = 200,
	STAGE_FAR_US = 900,
	STAGE_STORE_US = 2000,
	STAGE_REFUSED_US = 300,
	STAGE_DRAIN_US = 3000000,
	STAGE_STORE_KEYS = 2048,
};

enum happen_type {
	HAPPEN_REPLY,
	HAPPEN_MSG,
	HAPPEN_LOST,
	HAPPEN_STORE,
	HAPPEN_ARRIVE,
	HAPPEN_RETURN, /* of a target that crashed */
	HAPPEN_LAPSE, /* of its entry: expected */
};

/** struct happen - one thing that will happen; strings on the heap */
struct happen {
	int64_t when;
	uint64_t order;
	enum happen_type type;
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

struct stage_queue {
	struct happen *list;
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

struct stage_store {
	struct store_key keys[STAGE_STORE_KEYS];
	int nkeys;
};

/** stage_later() - something will happen @after microseconds from now. */
struct happen *stage_later(struct stage *stage, int64_t after,
			   enum happen_type type, int node);
/** stage_feed() - hand an event to @node, and carry out what it does. */
void stage_feed(struct stage *stage, int node, struct flow_event event);
/** stage_store_replied() - a call of a node to the store is answered. */
void stage_store_replied(struct stage *stage, const struct happen *happen);
/** stage_arrived() - a request has come to its target. */
void stage_arrived(struct stage *stage, const struct happen *happen);
/** stage_ended() - a deadly request has ended its target. */
void stage_ended(struct stage *stage, const struct happen *happen);
/** stage_returned() - a target is back after a crash. */
void stage_returned(struct stage *stage, int target);
/** stage_lapsed() - the entry of a target that is gone goes. */
void stage_lapsed(struct stage *stage, struct str id);
