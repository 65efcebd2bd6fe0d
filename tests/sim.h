#pragma once

#include "../rng.h"
#include "../tier.h"

/**
 * DOC: a stage of nodes in virtual time
 *
 * Several reducers of the tier, with fakes of the store, of targets and of
 * callers around them. No sockets and no clock: one queue of what happens when.
 * The stage keeps its own books of what ran, which the tests judge.
 */

enum {
	STAGE_NODES = 64,
	STAGE_TARGETS = 256,
	STAGE_CALLS = 8192,
	STAGE_SHARDS = 12,
	STAGE_DOMAINS = 3,
	STAGE_SLOTS = 4,
	STAGE_DEADLY = 4,
	STAGE_STABLE_US = 4000000,
};

/** enum stage_kind - kinds of requests, one route each */
enum stage_kind {
	STAGE_MERGED, /* over all shards, 0.7 of them at least */
	STAGE_STRICT, /* over all shards, one may be missing; three targets each
		       */
	STAGE_SINGLE, /* may run more than once */
	STAGE_ONCE, /* may run once only */
};

/**
 * struct stage_target - a fake target; faults are set by the tests
 * @slots: requests that run at a time, others wait for their turn; 0: any
 * @slot_free_at: when each slot has done all that it was given
 * @starts: times that it came back from a crash
 * @returning: it crashed, and is not back yet
 * @keeps_id: it comes back under the id that it had
 */
struct stage_target {
	char id[24];
	char addr[24];
	char service[16];
	int domain;
	bool up;
	bool silent; /* takes requests and never answers */
	bool leaving;
	int64_t left_at;
	int64_t paused_until;
	int64_t service_us;
	double shed; /* share of requests that it rejects as not run */
	double lose; /* share of replies that are lost after the run */
	int arrivals;
	int slots;
	int64_t slot_free_at[STAGE_SLOTS];
	int starts;
	bool returning;
	bool keeps_id;
};

/**
 * struct stage_asked - what a caller asks, and who it is
 * @query: end of the path
 * @deadly: each target that runs it crashes; the number of the request in the
 *          stage's books, 0 for a harmless one
 */
struct stage_asked {
	const char *query;
	const char *caller;
	int deadly;
};

/**
 * struct stage_deadly - books of a deadly request
 * @crashes: targets that ended under it
 * @third_at: when the third of them did
 * @late: times that it was asked and reached targets over STAGE_STABLE_US later
 */
struct stage_deadly {
	int crashes;
	int64_t third_at;
	int late;
};

/** struct stage_call - a caller's request, and what came of it */
struct stage_call {
	enum stage_kind kind;
	int64_t start;
	int64_t answered_at;
	int status;
	size_t parts;
	size_t missing;
	int64_t retry_after_us;
	bool duplicate_part;
	bool foreign_part;
	bool not_greatest;
	int runs;
	int targets_of_shard[2 * STAGE_SHARDS];
	/* Bits of the targets that a shard was asked at. */
	uint64_t asked[2 * STAGE_SHARDS][STAGE_TARGETS / 64];
	uint64_t version;
	int deadly;
	bool reached_late;
};

/**
 * struct stage_node - @troubled_at: a fault of its own began or ended; its
 * tries of a deadly request do not count for STAGE_STABLE_US after that
 */
struct stage_node {
	struct tier *tier;
	int64_t troubled_at;
	struct flow_effects fx;
	char addr[24];
	int domain;
	bool up;
	bool store_cut;
	int64_t frozen_until;
	int64_t last_at;
	bool ready;
	bool exited;
	uint64_t incarnation;
	struct vm_settings settings;
};

struct stage {
	apr_pool_t *pool;
	int64_t now;
	struct rng rng;
	int nnodes;
	struct stage_node nodes[STAGE_NODES];
	int ntargets;
	struct stage_target targets[STAGE_TARGETS];
	int ncalls;
	struct stage_call calls[STAGE_CALLS];
	uint64_t revision;
	uint64_t version;
	bool store_down;
	bool links_cut[STAGE_NODES][STAGE_NODES];
	int64_t arrives_at[STAGE_NODES][STAGE_NODES]; /* the last message */
	int64_t out_since[STAGE_DOMAINS];
	int late_for_out;
	int late_for_left;
	struct stage_deadly deadly[STAGE_DEADLY];
	int64_t deadly_us; /* a deadly request runs so long; 0: as others */
	int extra_sends;
	int first_sends;
	uint64_t store_calls;
	uint32_t without; /* mechanisms that are off in nodes started later */
	int traced; /* question whose log is printed, -1: none */
	struct stage_store *store;
	struct stage_queue *queue;
};

struct stage *stage_create(int nnodes, uint64_t seed);
void stage_destroy(struct stage *stage);
/** stage_add_targets() - @each targets for each shard, and single ones. */
void stage_add_targets(struct stage *stage, const char *prefix, int each);
int stage_add_target(struct stage *stage, const char *service, int domain);
/** stage_publish() - write the entry of a target as it is now. */
void stage_publish(struct stage *stage, int target);
void stage_unpublish(struct stage *stage, int target);
/** stage_configure() - publish a version; from 10 on with other shards. */
void stage_configure(struct stage *stage, uint64_t version);
void stage_domain(struct stage *stage, int domain, bool out);
void stage_start_node(struct stage *stage, int node);
/** stage_kill_node() - without a word; others see their connections break. */
void stage_kill_node(struct stage *stage, int node);
void stage_stop_node(struct stage *stage, int node);
/** stage_call() - a caller asks @node now; returns the call's index. */
int stage_call(struct stage *stage, int node, enum stage_kind kind);
int stage_ask(struct stage *stage, int node, enum stage_kind kind,
	      const struct stage_asked *asked);
/** stage_crash() - a target ends with all that it works on, and comes back. */
void stage_crash(struct stage *stage, int target);
/** stage_run() - let @us pass. */
void stage_run(struct stage *stage, int64_t us);
/** stage_settle() - until all nodes are ready, at most ten seconds. */
void stage_settle(struct stage *stage);
