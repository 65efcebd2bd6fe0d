#pragma once

#include <apr_hash.h>

#include "../node.h"

/**
 * DOC: several whole reducers in one test
 *
 * Carries effects between node reducers, targets that keep true books, and a
 * platform, in virtual time. Delivery can be delayed, dropped, duplicated and
 * cut; everything follows from the seed.
 */

enum {
	MESH_NODES_MAX = 9,
	MESH_TARGETS_MAX = 128,
	MESH_ANSWERS_MAX = 200000
};

/**
 * struct mesh_layout - a fleet document for tests
 * @out_domain: failure domain that is taken out, -1 for none
 * @leaving_target: target that the list calls leaving, -1 for none
 * @snapshot: newest of the two versions that it lists; @split: the newer one
 *            has twice as many shards (repartition)
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
	bool stopped; /* FX_STOP was seen */
	int64_t tick_at; /* earliest tick that is scheduled */
	uint64_t doc_versions[DOC_KINDS]; /* highest version in force */
	uint64_t reads_stale_docs; /* reads the platform's old documents */
	uint64_t platform_cut;
};

/** struct mesh_target - true state and books of a target */
struct mesh_target {
	const struct fleet_target *config;
	uint64_t boot;
	int64_t up_at;
	int64_t cold_until;
	int64_t service_us; /* 0: the mesh's */
	bool draining;
	bool dead;
	bool closes_after_run; /* reads, runs and closes */
	bool closes_without_run; /* reads and closes, and runs nothing */
	bool hangs; /* takes connections and never answers */
	bool never_replies; /* runs entries, never answers */
	uint64_t lacks;
	uint64_t reply_version; /* 0: what was asked for */
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
	bool node_up; /* when it was asked */
	struct buf body;
};

struct mesh {
	struct mesh_node nodes[MESH_NODES_MAX];
	int nnodes;
	struct mesh_target targets[MESH_TARGETS_MAX];
	size_t ntargets;
	struct fleet *fleet; /* what the targets were made from */
	struct buf docs[DOC_KINDS];
	struct buf old_docs[DOC_KINDS];
	bool platform_down;
	bool cut[MESH_NODES_MAX][MESH_NODES_MAX];
	int64_t now;
	int64_t latency_us; /* one way, between nodes and to targets */
	/* Leased permits, emulated in their favour: what the gate sends is the
	 * permit to a front, which sends to the target itself; the reply goes
	 * straight to the front, and gives the permit back at once. */
	bool permits;
	int64_t far_us; /* added between failure domains */
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
	int crashes; /* targets that ended under a deadly question */
	apr_hash_t *runs; /* entry text -> count */
	apr_hash_t *requests;
	apr_pool_t *pool;
	struct mesh_answer *answers;
	size_t nanswers;
	const char *fault; /* first broken invariant */
	struct buf *trace; /* dump of all effects, when set */
};

/** mesh_create() - nodes and targets of @layout; @lists is freed. */
struct mesh *mesh_create(uint64_t seed, const struct mesh_layout *layout,
			 char *lists);
void mesh_destroy(struct mesh *mesh);
/** mesh_start() - start node @i, as a new incarnation. */
void mesh_start(struct mesh *mesh, int i);
void mesh_start_all(struct mesh *mesh);
void mesh_kill(struct mesh *mesh, int i);
void mesh_pause(struct mesh *mesh, int i, int64_t us);
/** mesh_cut() - cut or mend the link between @a and @b, both ways. */
void mesh_cut(struct mesh *mesh, int a, int b, bool cut);
void mesh_publish(struct mesh *mesh, enum doc_kind kind, const char *body);
void mesh_run(struct mesh *mesh, int64_t us);
/** mesh_call() - send a caller's body to node @i; returns an answer index. */
size_t mesh_call(struct mesh *mesh, int i, enum event_type type,
		 const char *body);
struct mesh_target *mesh_target(struct mesh *mesh, const char *name);
uint64_t mesh_entry_runs(struct mesh *mesh, const char *entry);

/** Terms of a question that crashes each target that runs it. */
#define MESH_DEADLY "deadly"

/** mesh_feed() - hand an event to node @i and take its effects. */
void mesh_feed(struct mesh *mesh, int i, struct event event);
void mesh_cold(struct mesh *mesh, struct mesh_target *target);

/** mesh_layout() - two replicas a shard, two slots a target, all in. */
struct mesh_layout mesh_layout(int nodes, int domains, int targets);
/** mesh_fleet() - the document, on the heap. */
char *mesh_fleet(const struct mesh_layout *layout);
void mesh_publish_fleet(struct mesh *mesh, const struct mesh_layout *layout);
char *mesh_lists(uint64_t version, double rate, double burst, int soft_ms,
		 int deadline_ms, double floor);
