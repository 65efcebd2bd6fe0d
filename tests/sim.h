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
	SIM_NODES_MAX = 64,
	SIM_TARGETS_MAX = 256,
	SIM_CALLS_MAX = 8192,
	SIM_SHARDS = 12,
	SIM_DOMAINS = 3,
	SIM_SLOTS_MAX = 4,
	SIM_DEADLY_MAX = 4,
	SIM_CONVERGENCE_US = 4000000,
};

/** enum sim_request_kind - kinds of requests, one route each */
enum sim_request_kind {
	SIM_MERGED, /* over all shards, 0.7 of them at least */
	SIM_STRICT, /* over all shards, one may be missing; three targets each
		     */
	SIM_SINGLE, /* may run more than once */
	SIM_ONCE, /* may run once only */
};

/**
 * struct sim_target - a fake target; faults are set by the tests
 * @slots: requests that run at a time, others wait for their turn; 0: any
 * @slot_free_at: when each slot has done all that it was given
 * @restarts: times that it came back from a crash
 * @restarting: it crashed, and is not back yet
 * @keeps_id: it comes back under the id that it had
 */
struct sim_target {
	char id[24];
	char addr[24];
	char service[16];
	int domain;
	bool up;
	bool silent; /* takes requests and never answers */
	bool leaving;
	int64_t leaving_since;
	int64_t paused_until;
	int64_t service_us;
	double reject_rate; /* share of requests that it rejects as not run */
	double reply_loss; /* share of replies that are lost after the run */
	int arrivals;
	int slots;
	int64_t slot_free_at[SIM_SLOTS_MAX];
	int restarts;
	bool restarting;
	bool keeps_id;
};

/**
 * struct sim_request_spec - what a caller asks, and who it is
 * @query: end of the path
 * @deadly: each target that runs it crashes; the number of the request in the
 *          stage's books, 0 for a harmless one
 */
struct sim_request_spec {
	const char *query;
	const char *caller;
	int deadly;
};

/**
 * struct sim_deadly - books of a deadly request
 * @crashes: targets that ended under it
 * @third_crash_at: when the third of them did
 * @late: times that it was asked and reached targets over SIM_CONVERGENCE_US
 * later
 */
struct sim_deadly {
	int crashes;
	int64_t third_crash_at;
	int late;
};

/** struct sim_call - a caller's request, and what came of it */
struct sim_call {
	enum sim_request_kind kind;
	int64_t start;
	int64_t answered_at;
	int status;
	size_t parts;
	size_t missing;
	int64_t retry_after_us;
	bool duplicate_part;
	bool foreign_part;
	bool unsorted;
	int runs;
	int targets_of_shard[2 * SIM_SHARDS];
	/* Bits of the targets that a shard was asked at. */
	uint64_t sent_to[2 * SIM_SHARDS][SIM_TARGETS_MAX / 64];
	uint64_t version;
	int deadly;
	bool reached_late;
};

/**
 * struct sim_node - @fault_at: a fault of its own began or ended; its
 * tries of a deadly request do not count for SIM_CONVERGENCE_US after that
 */
struct sim_node {
	struct tier *tier;
	int64_t fault_at;
	struct flow_effects fx;
	char addr[24];
	int domain;
	bool up;
	bool store_cut;
	int64_t frozen_until;
	int64_t last_event_at;
	bool ready;
	bool exited;
	uint64_t incarnation;
	struct vm_settings settings;
};

struct sim {
	apr_pool_t *pool;
	int64_t now;
	struct rng rng;
	int nnodes;
	struct sim_node nodes[SIM_NODES_MAX];
	int ntargets;
	struct sim_target targets[SIM_TARGETS_MAX];
	int ncalls;
	struct sim_call calls[SIM_CALLS_MAX];
	uint64_t revision;
	uint64_t version;
	bool store_down;
	bool links_cut[SIM_NODES_MAX][SIM_NODES_MAX];
	int64_t last_arrival_at[SIM_NODES_MAX]
			       [SIM_NODES_MAX]; /* the last message */
	int64_t out_since[SIM_DOMAINS];
	int late_to_out_domain;
	int late_to_leaving;
	struct sim_deadly deadly[SIM_DEADLY_MAX];
	int64_t deadly_run_us; /* a deadly request runs so long; 0: as others */
	int extra_sends;
	int first_sends;
	uint64_t store_calls;
	uint32_t without; /* mechanisms that are off in nodes started later */
	int traced_call; /* question whose log is printed, -1: none */
	struct sim_store *store;
	struct sim_queue *queue;
};

struct sim *sim_create(int nnodes, uint64_t seed);
void sim_destroy(struct sim *sim);
/** sim_add_targets() - @each targets for each shard, and single ones. */
void sim_add_targets(struct sim *sim, const char *prefix, int each);
int sim_add_target(struct sim *sim, const char *service, int domain);
/** sim_publish_target() - write the entry of a target as it is now. */
void sim_publish_target(struct sim *sim, int target);
void sim_unpublish_target(struct sim *sim, int target);
/** sim_configure() - publish a version; from 10 on with other shards. */
void sim_configure(struct sim *sim, uint64_t version);
void sim_set_domain_out(struct sim *sim, int domain, bool out);
void sim_start_node(struct sim *sim, int node);
/** sim_kill_node() - without a word; others see their connections break. */
void sim_kill_node(struct sim *sim, int node);
void sim_stop_node(struct sim *sim, int node);
/** sim_call() - a caller asks @node now; returns the call's index. */
int sim_call(struct sim *sim, int node, enum sim_request_kind kind);
int sim_call_with(struct sim *sim, int node, enum sim_request_kind kind,
		  const struct sim_request_spec *spec);
/** sim_crash_target() - a target ends with all that it works on, and comes
 * back. */
void sim_crash_target(struct sim *sim, int target);
/** sim_run() - let @us pass. */
void sim_run(struct sim *sim, int64_t us);
/** sim_settle() - until all nodes are ready, at most ten seconds. */
void sim_settle(struct sim *sim);
