#pragma once

#include <apr_hash.h>

#include "../node.h"

/**
 * DOC: deterministic simulation of a cluster
 *
 * Runs several node reducers in one process and delivers their effects to each
 * other, to simulated targets and to a simulated platform, in virtual time.
 * Delivery can be delayed, dropped, duplicated or cut. The targets count what
 * they ran, for the tests to check against. The seed determines the whole run.
 */

enum {
	MESH_NODES_MAX = 9,
	MESH_TARGETS_MAX = 128,
	MESH_ANSWERS_MAX = 200000
};

/**
 * struct mesh_layout - parameters of a generated fleet document
 * @out_domain: failure domain in state "out", -1 for none
 * @leaving_target: target in state "leaving", -1 for none
 * @snapshot: newer of the two snapshot versions listed, 0 for 2
 * @split: the newer snapshot has twice as many shards (repartition)
 */
struct mesh_layout {
	uint64_t version;
	int nodes;
	int domains;
	int targets;
	int replicas;
	int slots;
	int out_domain;
	int leaving_target;
	uint64_t snapshot;
	bool split;
};

struct mesh_node {
	struct node *node;
	struct effects fx;
	struct node_options opt;
	char addr[32];
	bool up;
	int64_t paused_until;
	bool stopped; /* the reducer has emitted FX_STOP */
	int64_t tick_at; /* earliest scheduled tick */
	uint64_t doc_versions[DOC_KINDS]; /* highest version in force */
	uint64_t reads_stale_docs; /* reads previous documents */
	uint64_t platform_cut;
};

/** struct mesh_target - state of a simulated target and its counters */
struct mesh_target {
	const struct fleet_target *config;
	uint64_t boot;
	int64_t up_at;
	int64_t cold_until;
	int64_t service_us; /* 0: default of struct mesh */
	bool draining;
	bool dead;
	bool closes_after_run; /* runs, then closes without reply */
	bool closes_without_run; /* reads an entry, closes, never runs */
	bool hangs; /* accepts connections, never replies */
	bool never_replies; /* runs entries without a reply */
	uint64_t lacks; /* snapshot version that it does not have */
	uint64_t reply_version; /* 0: requested version */
	int busy;
	int peak;
	int peak_cold;
	uint64_t started;
	uint64_t overruns;
	int64_t last_start;
	uint64_t queue[64];
	int queue_len;
};

struct mesh_answer {
	int64_t asked_at;
	int64_t at; /* 0: none yet */
	int status;
	int count;
	int node;
	bool node_up; /* at @asked_at */
	struct buf body;
};

struct mesh {
	struct mesh_node nodes[MESH_NODES_MAX];
	int nnodes;
	struct mesh_target targets[MESH_TARGETS_MAX];
	size_t ntargets;
	struct fleet *fleet; /* document that lists @targets */
	struct buf docs[DOC_KINDS];
	struct buf old_docs[DOC_KINDS];
	bool platform_down;
	bool cut[MESH_NODES_MAX][MESH_NODES_MAX];
	int64_t now;
	int64_t latency_us; /* one way, between nodes and to targets */
	/* Models leased permits optimistically: the gate sends the permit to a
	 * front, which sends the leaf request to the target itself. The reply
	 * goes directly to the front and returns the permit without delay. */
	bool permits;
	int64_t far_us; /* added to @latency_us between failure domains */
	int64_t service_us;
	int64_t cold_us;
	int cold_max_inflight;
	int straggle_pm;
	int straggle_factor;
	int drop_pm;
	int dup_pm;
	int jitter_us;
	struct rng rng;
	struct delivery *heap;
	size_t count;
	size_t cap;
	uint64_t seq;
	int crashes; /* caused by deadly questions */
	apr_hash_t *runs; /* hash of an entry's text -> count */
	apr_hash_t *requests; /* number -> struct request */
	apr_pool_t *pool;
	struct mesh_answer *answers;
	size_t nanswers;
	const char *fault; /* violated invariant, NULL if none */
	struct buf *trace; /* if set, receives a dump of all effects */
};

/** mesh_create() - create a mesh for @layout; takes ownership of @lists. */
struct mesh *mesh_create(uint64_t seed, const struct mesh_layout *layout,
			 char *lists);
void mesh_destroy(struct mesh *mesh);
/** mesh_start() - start node @i, as a new incarnation. */
void mesh_start(struct mesh *mesh, int i);
void mesh_start_all(struct mesh *mesh);
void mesh_kill(struct mesh *mesh, int i);
void mesh_pause(struct mesh *mesh, int i, int64_t us);
/** mesh_cut() - cut or restore the link between @a and @b, both ways. */
void mesh_cut(struct mesh *mesh, int a, int b, bool cut);
void mesh_publish(struct mesh *mesh, enum doc_kind kind, const char *body);
void mesh_run(struct mesh *mesh, int64_t us);
/**
 * mesh_call() - send a caller's request to node @i
 *
 * Return: index of its answer.
 */
size_t mesh_call(struct mesh *mesh, int i, enum event_type type,
		 const char *body);
struct mesh_target *mesh_target(struct mesh *mesh, const char *name);
uint64_t mesh_entry_runs(struct mesh *mesh, const char *entry);

/** Terms of a question that crashes every target that runs it. */
#define MESH_DEADLY "deadly"

/** mesh_feed() - pass an event to node @i and apply its effects. */
void mesh_feed(struct mesh *mesh, int i, struct event event);
/** mesh_cold() - restart @target, which breaks its running requests. */
void mesh_cold(struct mesh *mesh, struct mesh_target *target);

/** mesh_layout() - two replicas per shard, two slots per target, all in. */
struct mesh_layout mesh_layout(int nodes, int domains, int targets);
/** mesh_fleet() - fleet document for @layout; the caller frees it. */
char *mesh_fleet(const struct mesh_layout *layout);
void mesh_publish_fleet(struct mesh *mesh, const struct mesh_layout *layout);
/** mesh_lists() - lists document with one customer; the caller frees it. */
char *mesh_lists(uint64_t version, double rate, double burst, int soft_ms,
		 int deadline_ms, double floor);
