#pragma once

#include "counter.h"
#include "event.h"
#include "rng.h"
#include "timer.h"

/**
 * DOC: node state machine
 *
 * A node is its state and one reducer function, node_reduce(). Each module
 * (member, doc_sync, quota, gate, front, once) keeps its part of the state.
 * Modules call one another through their headers and access the rest of the
 * node through struct node.
 */

struct membership;
struct doc_sync;
struct quota;
struct gate;
struct front;
struct once;

/**
 * struct safeguards - protections that a test can disable
 *
 * A test disables one to check that the failure that it prevents then occurs.
 */
struct safeguards {
	bool no_ramp; /* gate: a new target gets all of its slots */
	bool no_version_check; /* front: merge rows of any snapshot */
	bool no_coverage_merge; /* front: count expected shards as covered */
	bool no_attempt_match; /* front: accept any reply for the question */
	bool no_grant; /* gate: run an entry after its grant expired */
	bool no_ticket; /* once: identify entries by the caller's id alone */
	bool no_domain_check; /* gate and front: ignore domains taken out */
	bool no_leaving_check; /* gate and front: ignore leaving targets */
	bool no_version_order; /* doc_sync: accept any document that is read */
	bool no_drain; /* stop at once, without answering open requests */
	bool no_pause_check; /* keep using the old view after a pause */
};

/**
 * struct node_options - parameters of node_create()
 * @addr: "ip:port" for traffic between nodes; identifies the node
 * @domain: failure domain
 * @incarnation: unique to each process, also on the same address
 * @seed: seed of the random number generator
 * @peers: addresses to contact before the platform has replied
 * @npeers: number of @peers
 * @max_open: maximum number of open questions
 * @drain_us: maximum wait for open requests at a planned stop
 * @direct: benchmarks only: no gates, each node sends to all targets itself
 *          with its share of their slots
 * @off: disabled safeguards, in tests only
 */
struct node_options {
	struct str addr;
	struct str domain;
	uint64_t incarnation;
	uint64_t seed;
	const struct str *peers;
	size_t npeers;
	int max_open;
	int64_t drain_us;
	bool direct;
	struct safeguards off;
};

/**
 * struct node - the state of one node
 * @key: hash of opt.addr
 * @now: time of the current event, monotonic microseconds
 * @ends_at: all requests are answered by then, because this node stops;
 *           INT64_MAX while no stop is planned
 * @fx: effects of the current event
 * @view_applied_at: time of the last update of the gates to the view
 * @view_change_due: an update of the gates to the view is scheduled
 * @lists: accepted lists, NULL before the first
 * @fleet: accepted fleet, NULL before the first
 * @local: messages of this node to itself, handled before node_reduce()
 *         returns
 */
struct node {
	apr_pool_t *pool;
	struct node_options opt;
	uint64_t key;
	int64_t now;
	int64_t ends_at;
	struct rng rng;
	struct timers timers;
	struct effects *fx;
	uint64_t next_id;
	int64_t view_applied_at;
	bool view_change_due;
	struct lists *lists;
	struct fleet *fleet;
	struct msg *local;
	size_t nlocal;
	size_t local_cap;
	uint64_t counters[COUNTERS];
	struct membership *membership;
	struct doc_sync *doc_sync;
	struct quota *quota;
	struct gate *gate;
	struct front *front;
	struct once *once;
};

struct node *node_create(const struct node_options *opt, int64_t now,
			 struct effects *fx);
void node_destroy(struct node *node);
/** node_reduce() - handle one event; effects are appended to @fx. */
void node_reduce(struct node *node, const struct event *event,
		 struct effects *fx);
/** node_wake_at() - latest time of the next EV_TICK. */
int64_t node_wake_at(const struct node *node);

/* Internal to the node's modules. */

enum {
	/* Retry-After of a node that stops: another one can serve at once. */
	NODE_STOPPING_RETRY_US = 50000,
};

/** node_accepts() - whether @us are left before this node stops. */
bool node_accepts(const struct node *node, int64_t us);

/** node_send() - send @msg to the node at @addr; strings are copied. */
void node_send(struct node *node, struct str addr, uint64_t incarnation,
	       const struct msg *msg);
void node_answer(struct node *node, uint64_t caller, int status,
		 struct str body);
/** node_refuse() - answer a caller with a typed error. */
void node_refuse(struct node *node, uint64_t caller, int code, const char *text,
		 int64_t retry_after_us);
void node_audit(struct node *node, const char *what, struct str from,
		struct str to, const char *why, uint64_t version);
/** node_view_changed() - update the gates after a change of the view. */
void node_view_changed(struct node *node);
/**
 * node_vms_changed() - node_view_changed() after VMs joined or left
 *
 * VMs often change in groups: the first change is handled immediately, those
 * that follow it are handled together.
 */
void node_vms_changed(struct node *node);
