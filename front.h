#pragma once

#include "member.h"
#include "poison_news.h"
#include "request.h"

/**
 * DOC: front
 *
 * Takes a question, admits it, pins one snapshot, sends a leaf request for
 * each shard to the gate of a replica, hedges and retries from a budget, and
 * merges what comes back. Coverage is the weight that was merged over the
 * weight of the snapshot's map for that question.
 */

enum {
	LEAF_ATTEMPTS = 6,
};

/**
 * struct attempt - one leaf request on its way
 * @gate, @incarnation: node that carries it
 * @sent_at: microseconds
 * @open: no reply yet
 * @hedge: sent beside an open one
 * @round: for evidence against the question
 */
struct attempt {
	struct fleet_target *target;
	uint64_t gate;
	uint64_t incarnation;
	int64_t sent_at;
	bool open;
	bool hedge;
	int round;
};

enum leaf_state {
	LEAF_OPEN,
	LEAF_MERGED,
	LEAF_MISSING,
};

/**
 * struct leaf - one shard of one question
 * @why: last failure, reported when the shard is missing
 * @rows: merged rows, a JSON array
 * @retry_at: waits until then to be sent again, 0 when it does not
 * @reroutes: attempts that never reached a target
 */
struct leaf {
	const struct shard *shard;
	enum leaf_state state;
	int why;
	struct attempt attempts[LEAF_ATTEMPTS];
	uint32_t nattempts;
	struct str rows;
	int64_t retry_at;
	int reroutes;
};

/**
 * struct question - an open question
 * @pool: owns all of it; destroyed with the answer
 * @fleet, @snapshot: pinned for its whole life
 * @plan: copy of the plan's figures at admission
 * @waiting: for a lease of the customer's plan
 * @soft_at, @hard_at: answer from, answer by; microseconds
 * @covered, @total: weight merged, weight of the map for this question
 * @open_leafs: leafs in state LEAF_OPEN
 * @base: attempt numbers of this run start here (restart on a new snapshot)
 * @worst_wait: longest time in a gate's queue
 * @print: tells whether it has come before
 * @served: some target has answered a leaf request of it
 * @bytes: rows merged so far; bounded, so that one question cannot take the
 *         memory of all
 */
struct question {
	apr_pool_t *pool;
	uint64_t id;
	uint64_t caller;
	struct query query;
	struct plan plan;
	bool waiting;
	struct fleet *fleet;
	const struct snapshot *snapshot;
	struct leaf *leafs;
	size_t nleafs;
	size_t open_leafs;
	int64_t start;
	int64_t soft_at;
	int64_t hard_at;
	double covered;
	double total;
	uint32_t base;
	bool restarted;
	bool soft_passed;
	int64_t worst_wait;
	struct fingerprint print;
	bool served;
	size_t bytes;
	uint32_t sent;
	uint32_t hedges;
};

/** struct front_config - the policy's knobs, set by benchmarks only */
struct front_config {
	bool hedge;
	int64_t hedge_fixed_us; /* 0: the measured quantile */
	double hedge_quantile;
	bool admission;
};

struct front {
	apr_pool_t *pool;
	struct front_config config;
	apr_hash_t *questions; /* id -> struct question */
	apr_hash_t *callers; /* caller -> struct question */
	apr_hash_t *targets; /* key -> struct replica */
	struct poison poison;
	struct poison_news news;
	size_t open;
	double limit; /* questions open at a time, steered */
	int64_t limit_at; /* last time that it was lowered */
	double budget; /* extra leaf requests in hand */
	struct latency *latency; /* of leaf requests */
	struct latency *ratio; /* the same over what the target usually
				* takes, in thousandths */
};

void front_init(struct node *node);
void front_destroy(struct node *node);
void front_ask(struct node *node, uint64_t caller, struct str body);
void front_caller_gone(struct node *node, uint64_t caller);
void front_quota(struct node *node, uint64_t id, bool taken, int64_t retry_us);
void front_reply(struct node *node, struct str from, uint64_t incarnation,
		 const struct msg *msg);
/** front_gate_lost() - fail over what was sent to a gate that is gone. */
void front_gate_lost(struct node *node, uint64_t gate, uint64_t incarnation);
void front_timer(struct node *node, uint64_t id);
void front_hedge_timer(struct node *node, uint64_t id);
size_t front_open(const struct node *node);

/* Shared with front_admit.c. */

enum {
	/* A hedge sooner than this would only double what is about to come. */
	FRONT_HEDGE_MIN_US = 1000,
};

bool front_is_done(const struct question *q);
void front_start_leafs(struct node *node, struct question *q);
void front_close_all(struct node *node, struct question *q, struct leaf *leaf);
void front_finish(struct node *node, struct question *q, int code);
int64_t front_hedge_delay(const struct node *node);
