#pragma once

#include "counter.h"
#include "event.h"
#include "rng.h"
#include "timer.h"

/**
 * DOC: the reducer
 *
 * A node is its state and one function, node_reduce(). The concerns are
 * modules of their own (member, conf, quota, gate, front, once), each with
 * its part of the state; they call one another through the functions in their
 * headers and see the rest of the node through struct node.
 */

struct member;
struct doc_sync;
struct quota;
struct gate;
struct front;
struct once;

/** struct safeguards - each can be turned off in tests, to see it fail */
struct safeguards {
	bool no_ramp; /* gate: a new target gets all of its slots */
	bool no_version_check; /* front: merge rows of any snapshot */
	bool no_coverage_merge; /* front: count expected shards as covered */
	bool no_attempt_match; /* front: take any reply for the question */
	bool no_grant; /* gate: run an entry after its grant ended */
	bool no_ticket; /* once: run entries by the caller's id alone */
	bool no_domain_check; /* gate and front: ignore domains taken out */
	bool no_leaving_check; /* gate and front: ignore leaving targets */
	bool no_version_order; /* conf: take any document that is read */
	bool no_drain; /* stop at once */
	bool no_pause_check; /* go on with the old view after a pause */
};

/**
 * struct node_options - what a node is created with
 * @addr: "ip:port" between nodes; its identity
 * @domain: failure domain
 * @incarnation: differs for every process, also on the same address
 * @seed: for the random numbers
 * @peers: addresses to ask before the platform has answered
 * @max_open: questions open at a time
 * @drain_us: longest wait for open requests at a planned stop
 * @direct: benchmarks only: no gates, each node sends to all targets itself
 *          with its share of their slots
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
 * @now: time of the event at hand, monotonic microseconds
 * @fx: effects of the event at hand
 * @reviewed_at: last review of the gates; @review_due: one is scheduled
 * @lists: accepted lists, NULL before the first
 * @fleet: accepted fleet, NULL before the first
 * @local: messages of this node to itself, handled before node_reduce() ends
 */
struct node {
	apr_pool_t *pool;
	struct node_options opt;
	uint64_t key;
	int64_t now;
	struct rng rng;
	struct timers timers;
	struct effects *fx;
	uint64_t next_id;
	int64_t reviewed_at;
	bool review_due;
	struct lists *lists;
	struct fleet *fleet;
	struct msg *local;
	size_t nlocal;
	size_t local_cap;
	uint64_t counters[COUNTERS];
	struct member *member;
	struct doc_sync *doc_sync;
	struct quota *quota;
	struct gate *gate;
	struct front *front;
	struct once *once;
};

struct node *node_create(const struct node_options *opt, int64_t now,
			 struct effects *fx);
void node_destroy(struct node *node);
/** node_reduce() - take one event; effects are appended to @fx. */
void node_reduce(struct node *node, const struct event *event,
		 struct effects *fx);
/** node_wake_at() - when the next EV_TICK is due at the latest. */
int64_t node_wake_at(const struct node *node);

/* For the modules. */

/** node_send() - message to the node at @addr; strings are copied. */
void node_send(struct node *node, struct str addr, uint64_t incarnation,
	       const struct msg *msg);
void node_answer(struct node *node, uint64_t caller, int status,
		 struct str body);
/** node_refuse() - answer with a typed error. */
void node_refuse(struct node *node, uint64_t caller, int code, const char *text,
		 int64_t retry_after_us);
void node_audit(struct node *node, const char *what, struct str from,
		struct str to, const char *why, uint64_t version);
/** node_view_changed() - documents or own state changed; review all gates. */
void node_view_changed(struct node *node);
/** node_vms_changed() - the same after VMs came or went, which they do in
 *  crowds: the first is seen to at once, those that follow together. */
void node_vms_changed(struct node *node);
