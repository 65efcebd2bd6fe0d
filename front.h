#pragma once

#include "member.h"
#include "poison_sync.h"
#include "request.h"

/**
 * DOC: coordination of questions
 *
 * The node that receives a question is its front. It admits the question, pins
 * one snapshot, sends a leaf request for each shard to the gate of a replica,
 * hedges and retries within a budget, and merges the replies. Coverage is the
 * merged weight divided by the total weight of the question's shards in the
 * snapshot's map.
 */

enum {
	LEAF_MAX_ATTEMPTS = 6,
};

/**
 * struct attempt - one leaf request that was sent
 * @gate, @incarnation: node that forwards it to the target
 * @sent_at: microseconds
 * @open: no reply yet
 * @hedge: sent while another attempt of the leaf was open
 * @round: round of evidence against the question, see poison_next_round()
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
 * @error_code: last failure, reported when the shard is missing
 * @rows: merged rows, a JSON array
 * @retry_at: time of the next retry, 0 when none is scheduled
 * @delayed_retries: retries scheduled because all replicas had been tried
 */
struct leaf {
	const struct shard *shard;
	enum leaf_state state;
	int error_code;
	struct attempt attempts[LEAF_MAX_ATTEMPTS];
	uint32_t nattempts;
	struct str rows;
	int64_t retry_at;
	int delayed_retries;
};

/**
 * struct question - an open question
 * @pool: owns the question; destroyed after the answer
 * @fleet, @snapshot: pinned while the question is open
 * @plan: copy of the plan at admission
 * @request: the caller's request, parsed
 * @awaiting_lease: waits for a lease of the customer's quota
 * @soft_deadline: from here on an answer is sent as soon as its coverage
 * reaches the plan's floor, microseconds
 * @deadline: the answer is sent by this time, microseconds
 * @merged_weight: weight of the merged shards
 * @total_weight: weight of the question's shards in the snapshot's map
 * @open_leaves: leaves in state LEAF_OPEN
 * @attempt_base: number of the first attempt on the current snapshot; a
 *                restart on another snapshot raises it
 * @max_queue_wait: longest time in a gate's queue
 * @fingerprint: identifies repeats of the same question
 * @served: a target has replied to a leaf request of the question
 * @merged_bytes: size of the merged rows; limited, so that one question cannot
 *                use up the memory
 */
struct question {
	apr_pool_t *pool;
	uint64_t id;
	uint64_t caller;
	struct question_request request;
	struct plan plan;
	bool awaiting_lease;
	struct fleet *fleet;
	const struct snapshot *snapshot;
	struct leaf *leaves;
	size_t nleaves;
	size_t open_leaves;
	int64_t started_at;
	int64_t soft_deadline;
	int64_t deadline;
	double merged_weight;
	double total_weight;
	uint32_t attempt_base;
	bool restarted;
	bool soft_passed;
	int64_t max_queue_wait;
	struct fingerprint fingerprint;
	bool served;
	size_t merged_bytes;
	uint32_t sent;
	uint32_t hedges;
};

/** struct front_config - policy parameters, changed by benchmarks only */
struct front_config {
	bool hedge;
	int64_t hedge_fixed_us; /* 0: use the measured quantile */
	double hedge_quantile;
	bool admission;
};

struct front {
	apr_pool_t *pool;
	struct front_config config;
	apr_hash_t *questions; /* id -> struct question */
	apr_hash_t *callers; /* caller -> struct question */
	apr_hash_t *replicas; /* key -> struct replica */
	struct poison poison;
	struct poison_sync poison_sync;
	size_t open_questions;
	double limit; /* adaptive limit on open questions */
	int64_t limit_lowered_at;
	double budget; /* hedges and retries that may be sent */
	struct latency *latency; /* of leaf requests */
	struct latency *ratio; /* latency over the target's usual latency, in
				* thousandths */
};

void front_init(struct node *node);
void front_destroy(struct node *node);
void front_on_question(struct node *node, uint64_t caller, struct str body);
void front_on_caller_gone(struct node *node, uint64_t caller);
void front_on_quota_result(struct node *node, uint64_t id, bool taken,
			   int64_t retry_us);
void front_on_leaf_reply(struct node *node, struct str from,
			 uint64_t incarnation, const struct msg *msg);
/** front_on_gate_lost() - fail over the open attempts at a lost gate. */
void front_on_gate_lost(struct node *node, uint64_t gate, uint64_t incarnation);
void front_on_question_timer(struct node *node, uint64_t id);
void front_on_hedge_timer(struct node *node, uint64_t id);
/** front_end_questions() - answer all open questions with what there is. */
void front_end_questions(struct node *node);
size_t front_open_count(const struct node *node);

/* Shared with front_admit.c. */

enum {
	/* An earlier hedge would duplicate a reply that is about to arrive. */
	FRONT_HEDGE_MIN_US = 1000,
};

bool front_question_done(const struct question *q);
void front_send_leaves(struct node *node, struct question *q);
void front_cancel_attempts(struct node *node, struct question *q,
			   struct leaf *leaf);
void front_finish_question(struct node *node, struct question *q, int code);
int64_t front_hedge_delay(const struct node *node);
