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
	CLUSTER_NODES_MAX = 9,
	CLUSTER_TARGETS_MAX = 128,
	CLUSTER_CALLS_MAX = 200000
};

/**
 * struct cluster_layout - parameters of a generated fleet document
 * @out_domain: failure domain in state "out", -1 for none
 * @leaving_target: target in state "leaving", -1 for none
 * @snapshot: newer of the two snapshot versions listed, 0 for 2
 * @split: the newer snapshot has twice as many shards (repartition)
 */
struct cluster_layout {
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

struct cluster_node {
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

/** struct cluster_target - state of a simulated target and its counters */
struct cluster_target {
	const struct fleet_target *config;
	uint64_t boot;
	int64_t up_at;
	int64_t cold_until;
	int64_t service_us; /* 0: default of struct cluster */
	bool draining;
	bool dead; /* refuses connections */
	bool closes_after_run; /* runs, then closes without reply */
	bool closes_without_run; /* reads an entry, closes, never runs */
	bool hangs; /* accepts connections, never replies */
	bool drops_entry_replies; /* runs entries without a reply */
	uint64_t missing_snapshot; /* snapshot version that it does not have */
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

/**
 * struct cluster_call - a caller's request and its outcome
 * @answers: number of answers received
 * @node_up: the node was up at @sent_at
 */
struct cluster_call {
	int64_t sent_at;
	int64_t answered_at; /* 0: no answer yet */
	int status;
	int answers;
	int node;
	bool node_up;
	struct buf body;
};

struct cluster {
	struct cluster_node nodes[CLUSTER_NODES_MAX];
	int nnodes;
	struct cluster_target targets[CLUSTER_TARGETS_MAX];
	size_t ntargets;
	struct fleet *fleet; /* document that lists @targets */
	struct buf docs[DOC_KINDS];
	struct buf previous_docs[DOC_KINDS];
	bool platform_down;
	bool links_cut[CLUSTER_NODES_MAX][CLUSTER_NODES_MAX];
	int64_t now;
	int64_t latency_us; /* one way, between nodes and to targets */
	/* Models leased permits optimistically: the gate sends the permit to a
	 * front, which sends the leaf request to the target itself. The reply
	 * goes directly to the front and returns the permit without delay. */
	bool leased_permits;
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
	int crashes; /* caused by poison questions */
	apr_hash_t *runs; /* hash of an entry's text -> count */
	apr_hash_t *requests; /* number -> struct request */
	apr_pool_t *pool;
	struct cluster_call *calls;
	size_t ncalls;
	const char *violation; /* violated invariant, NULL if none */
	struct buf *trace; /* if set, receives a dump of all effects */
};

/** cluster_create() - create a cluster; takes ownership of @lists */
struct cluster *
cluster_create(uint64_t seed, const struct cluster_layout *layout, char *lists);
void cluster_destroy(struct cluster *cluster);
/** cluster_start_node() - start node @i, as a new incarnation. */
void cluster_start_node(struct cluster *cluster, int i);
void cluster_start_all(struct cluster *cluster);
void cluster_kill_node(struct cluster *cluster, int i);
void cluster_pause_node(struct cluster *cluster, int i, int64_t us);
/** cluster_set_link_cut() - cut or restore the link between nodes @a and @b */
void cluster_set_link_cut(struct cluster *cluster, int a, int b, bool cut);
void cluster_publish_doc(struct cluster *cluster, enum doc_kind kind,
			 const char *body);
void cluster_run(struct cluster *cluster, int64_t us);
/**
 * cluster_send_call() - send a caller's request to node @i
 *
 * Return: index of the call.
 */
size_t cluster_send_call(struct cluster *cluster, int i, enum event_type type,
			 const char *body);
struct cluster_target *cluster_find_target(struct cluster *cluster,
					   const char *name);
uint64_t cluster_entry_runs(struct cluster *cluster, const char *entry);

/** Terms of a question that crashes every target that runs it. */
#define CLUSTER_POISON_TERMS "deadly"

/** cluster_deliver() - pass an event to node @i and apply its effects. */
void cluster_deliver(struct cluster *cluster, int i, struct event event);
/** cluster_restart_target() - restart @target; its running requests break */
void cluster_restart_target(struct cluster *cluster,
			    struct cluster_target *target);

/**
 * cluster_default_layout() - layout with all failure domains in service, two
 * replicas per shard and two slots per target
 */
struct cluster_layout cluster_default_layout(int nodes, int domains,
					     int targets);
/** cluster_fleet_doc() - fleet document for @layout; the caller frees it. */
char *cluster_fleet_doc(const struct cluster_layout *layout);
void cluster_publish_fleet(struct cluster *cluster,
			   const struct cluster_layout *layout);
/** cluster_lists_doc() - document with one customer; the caller frees it */
char *cluster_lists_doc(uint64_t version, double rate, double burst,
			int soft_ms, int deadline_ms, double floor);
