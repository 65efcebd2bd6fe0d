#include "front.h"

#include <stdio.h>
#include <stdlib.h>

#include <apr_tables.h>

#include "answer.h"
#include "front_poison.h"
#include "latency.h"
#include "quota.h"
#include "replica.h"
#include "snapshot.h"
#include "xmalloc.h"

enum {
	DELAYED_RETRIES_MAX = 4,
	RETRY_DELAY_US = 20000,
	RETRY_BACKOFF_FACTOR = 3,
	/* Interval of the checks whether a deferred leaf may be sent. */
	DEFER_US = 10000,
	BUDGET_MAX = 256,
	BUDGET_INITIAL = 32,
	HEDGE_MAX_ATTEMPTS = 3,
	ANSWER_MAX_BYTES = 8 * 1024 * 1024,
};

#define HEDGE_QUANTILE 0.97
#define EPSILON 1e-9

void front_init(struct node *node)
{
	struct front *front = xcalloc(1, sizeof(*front));

	node->front = front;
	apr_pool_create(&front->pool, node->pool);
	front->questions = hash_make(front->pool);
	front->callers = hash_make(front->pool);
	front->replicas = hash_make(front->pool);
	front->latency = xcalloc(1, sizeof(*front->latency));
	front->limit = node->opt.max_open;
	front->budget = BUDGET_INITIAL;
	front->config.hedge = true;
	front->config.admission = true;
	front->config.hedge_quantile = HEDGE_QUANTILE;
	front_poison_init(node);
}

void front_destroy(struct node *node)
{
	struct front *front = node->front;
	apr_hash_index_t *it;
	void *value;

	for (it = apr_hash_first(front->pool, front->questions); it;
	     it = apr_hash_next(it)) {
		apr_hash_this(it, NULL, NULL, &value);

		struct question *q = value;

		fleet_unref(q->fleet);
		apr_pool_destroy(q->pool);
	}
	for (it = apr_hash_first(front->pool, front->replicas); it;
	     it = apr_hash_next(it)) {
		apr_hash_this(it, NULL, NULL, &value);
		free(value);
	}
	free(front->latency);
	front_poison_destroy(node);
	apr_pool_destroy(front->pool);
	free(front);
}

size_t front_open_count(const struct node *node)
{
	return node->front->open_questions;
}

/* Attempts. */

static void send_cancel(struct node *node, const struct question *q,
			const struct leaf *leaf, uint32_t i)
{
	const struct attempt *attempt = &leaf->attempts[i];
	struct vm *gate = member_find(node, attempt->gate);
	struct msg msg = {
		.kind = MSG_CANCEL,
		.id = q->id,
		.attempt = q->attempt_base +
			   (uint32_t)(leaf - q->leaves) * LEAF_MAX_ATTEMPTS + i,
	};

	if (gate && gate->incarnation == attempt->incarnation)
		node_send(node, gate->addr, attempt->incarnation, &msg);
}

static void close_attempt(struct node *node, struct attempt *attempt)
{
	if (!attempt->open)
		return;
	attempt->open = false;
	replica_get(node, attempt->target->key)->outstanding--;
}

void front_cancel_attempts(struct node *node, struct question *q,
			   struct leaf *leaf)
{
	for (uint32_t i = 0; i < leaf->nattempts; i++) {
		if (!leaf->attempts[i].open)
			continue;
		close_attempt(node, &leaf->attempts[i]);
		send_cancel(node, q, leaf, i);
	}
}

static bool send_attempt(struct node *node, struct question *q,
			 struct leaf *leaf, struct fleet_target *target,
			 bool hedge)
{
	struct replica *replica = replica_get(node, target->key);
	struct vm *gate = replica_gate(node, replica, target);

	if (!gate || leaf->nattempts == LEAF_MAX_ATTEMPTS)
		return false;

	struct attempt *attempt = &leaf->attempts[leaf->nattempts];
	struct msg msg = {
		.kind = MSG_LEAF,
		.id = q->id,
		.attempt = q->attempt_base +
			   (uint32_t)(leaf - q->leaves) * LEAF_MAX_ATTEMPTS +
			   leaf->nattempts,
		.target = target->key,
		.shard = leaf->shard->id,
		.version = q->snapshot->version,
		.remaining_us = q->deadline - node->now,
		.state = leaf->nattempts > 0,
		.name = leaf->shard->index,
		.text = q->request.terms,
	};

	*attempt = (struct attempt){
		.target = target,
		.gate = gate->key,
		.incarnation = gate->incarnation,
		.sent_at = node->now,
		.open = true,
		.hedge = hedge,
		.round = poison_next_round(&node->front->poison,
					   &q->fingerprint),
	};
	leaf->nattempts++;
	leaf->retry_at = 0;
	replica->outstanding++;
	q->sent++;
	node->counters[CNT_LEAF_SENT]++;
	node_send(node, gate->addr, gate->incarnation, &msg);
	return true;
}

static bool spend_budget(struct node *node)
{
	if (node->front->budget < 1)
		return false;
	node->front->budget -= 1;
	return true;
}

/* Only merged leaves earn budget, so that it runs out under overload. */
static void earn_budget(struct node *node, double share)
{
	struct front *front = node->front;

	front->budget += share;
	if (front->budget > BUDGET_MAX)
		front->budget = BUDGET_MAX;
}

/* Outcome of a leaf. */

static bool floor_reached(const struct question *q)
{
	return answer_coverage(q, q->merged_weight) >=
	       q->plan.coverage_floor - EPSILON;
}

bool front_question_done(const struct question *q)
{
	return !q->open_leaves || (q->soft_passed && floor_reached(q));
}

/*
 * A snapshot that the targets no longer have cannot reach the coverage floor.
 * The whole question restarts on another snapshot, at most once; an answer
 * never mixes snapshots.
 */
static bool restart_question(struct node *node, struct question *q)
{
	size_t count;
	double total_weight;
	const struct snapshot *other;

	if (q->restarted || q->deadline - node->now < node->now - q->started_at)
		return false;
	other = snapshot_choose(node, &q->request, q->fleet,
				q->plan.coverage_floor, q->snapshot, &count,
				&total_weight);
	if (!other || node->front->budget < (double)q->nleaves / 2)
		return false;
	node->front->budget -= (double)q->nleaves / 2;
	node->counters[CNT_RESTARTS]++;
	for (size_t i = 0; i < q->nleaves; i++)
		front_cancel_attempts(node, q, &q->leaves[i]);
	q->restarted = true;
	q->attempt_base += (uint32_t)q->nleaves * LEAF_MAX_ATTEMPTS;
	q->snapshot = other;
	q->nleaves = count;
	q->total_weight = total_weight;
	q->merged_weight = 0;
	front_send_leaves(node, q);
	return true;
}

static bool can_reach_floor(const struct question *q)
{
	double open = 0;

	for (size_t i = 0; i < q->nleaves; i++)
		if (q->leaves[i].state == LEAF_OPEN)
			open += q->leaves[i].shard->weight;
	return answer_coverage(q, q->merged_weight + open) >=
	       q->plan.coverage_floor - EPSILON;
}

/* Returns false if the question was restarted. */
static bool set_missing(struct node *node, struct question *q,
			struct leaf *leaf, int error_code)
{
	leaf->state = LEAF_MISSING;
	leaf->error_code = error_code;
	q->open_leaves--;
	node->counters[CNT_LEAF_MISSING]++;
	if (error_code == ERR_WRONG_VERSION && !can_reach_floor(q))
		return !restart_question(node, q);
	return true;
}

/* A suspect question is checked again until it is answered or blocked. */
static void defer_leaf(struct node *node, const struct question *q,
		       struct leaf *leaf)
{
	leaf->retry_at = node->now + DEFER_US;
	timer_add(&node->timers, leaf->retry_at, TIMER_QUESTION, q->id);
}

/* Finishes a blocked question; its open shards are reported missing. */
static bool stop_if_blocked(struct node *node, struct question *q)
{
	if (!front_poison_is_blocked(node, q))
		return false;
	for (size_t i = 0; i < q->nleaves; i++) {
		struct leaf *leaf = &q->leaves[i];

		if (leaf->state != LEAF_OPEN)
			continue;
		front_cancel_attempts(node, q, leaf);
		set_missing(node, q, leaf, ERR_BLOCKED);
	}
	front_finish_question(node, q, 0);
	return true;
}

static bool has_open_attempt(const struct leaf *leaf)
{
	for (uint32_t i = 0; i < leaf->nattempts; i++)
		if (leaf->attempts[i].open)
			return true;
	return false;
}

/*
 * All replicas were tried. A restarting target is back soon, so the leaf is
 * retried with increasing delays, up to DELAYED_RETRIES_MAX times and until the
 * deadline of its question: giving up early would lose coverage.
 */
static bool schedule_retry(struct node *node, struct question *q,
			   struct leaf *leaf, int error_code)
{
	int64_t wait = RETRY_DELAY_US;

	for (int i = 0; i < leaf->delayed_retries; i++)
		wait *= RETRY_BACKOFF_FACTOR;
	if (++leaf->delayed_retries > DELAYED_RETRIES_MAX ||
	    node->now + wait >= q->deadline)
		return set_missing(node, q, leaf, error_code);
	leaf->retry_at = node->now + wait;
	timer_add(&node->timers, leaf->retry_at, TIMER_QUESTION, q->id);
	return true;
}

/*
 * Sends a failed leaf to another replica. @ran: a target may have executed the
 * request, and the retry costs budget; a request that never reached a target
 * is rerouted without cost.
 */
static bool fail_over(struct node *node, struct question *q, struct leaf *leaf,
		      int error_code, bool ran)
{
	struct fleet_target *target;

	leaf->error_code = error_code;
	if (has_open_attempt(leaf) || leaf->retry_at)
		return true;
	if (front_poison_is_suspect(node, q)) {
		defer_leaf(node, q, leaf);
		return true;
	}
	if (leaf->nattempts == LEAF_MAX_ATTEMPTS ||
	    !replica_choose(node, q, leaf, false))
		return set_missing(node, q, leaf, error_code);
	if (ran && !spend_budget(node))
		return set_missing(node, q, leaf, error_code);
	node->counters[ran ? CNT_RETRIES : CNT_REROUTES]++;
	target = replica_choose(node, q, leaf, true);
	if (!target)
		return schedule_retry(node, q, leaf, error_code);
	if (!send_attempt(node, q, leaf, target, false))
		return set_missing(node, q, leaf, ERR_GATE_LOST);
	return true;
}

void front_send_leaves(struct node *node, struct question *q)
{
	size_t n = 0;

	q->leaves = apr_pcalloc(q->pool, q->nleaves * sizeof(struct leaf));
	for (size_t i = 0; i < q->request.nindexes; i++) {
		size_t count;
		const struct shard *shards = snapshot_index_shards(
			q->snapshot, q->request.indexes[i], &count);

		for (size_t j = 0; j < count; j++)
			if (snapshot_shard_requested(&q->request, shards[j].id))
				q->leaves[n++].shard = &shards[j];
	}
	q->open_leaves = q->nleaves;
	for (size_t i = 0; i < q->nleaves; i++) {
		struct leaf *leaf = &q->leaves[i];
		struct fleet_target *target =
			replica_choose(node, q, leaf, true);

		if (target && !front_poison_may_send(node, q)) {
			defer_leaf(node, q, leaf);
			continue;
		}
		if (!target) {
			leaf->state = LEAF_MISSING;
			leaf->error_code = ERR_NO_REPLICA;
			q->open_leaves--;
			node->counters[CNT_LEAF_MISSING]++;
		} else if (!send_attempt(node, q, leaf, target, false)) {
			leaf->state = LEAF_MISSING;
			leaf->error_code = ERR_GATE_LOST;
			q->open_leaves--;
			node->counters[CNT_LEAF_MISSING]++;
		}
	}
}

/* Replies. */

/*
 * A reply is accepted only for its own attempt: question, shard, attempt
 * number, and the node and incarnation that forwarded it must match. Any other
 * reply is late, for an attempt that was given up, or comes from another
 * process that reuses the numbers. Accepting it would put the rows of another
 * caller or another snapshot into this answer.
 */
static struct attempt *find_attempt(struct question *q, struct str from,
				    uint64_t incarnation, const struct msg *msg,
				    struct leaf **leaf_out)
{
	if (msg->attempt < q->attempt_base)
		return NULL;

	uint32_t number = msg->attempt - q->attempt_base;
	size_t at = number / LEAF_MAX_ATTEMPTS;

	if (at >= q->nleaves)
		return NULL;

	struct leaf *leaf = &q->leaves[at];
	uint32_t i = number % LEAF_MAX_ATTEMPTS;

	if (i >= leaf->nattempts || leaf->shard->id != msg->shard)
		return NULL;

	struct attempt *attempt = &leaf->attempts[i];

	if (!attempt->open || attempt->gate != str_hash(from) ||
	    attempt->incarnation != incarnation)
		return NULL;
	*leaf_out = leaf;
	return attempt;
}

/* For tests with attempt matching disabled: any question with the shard. */
static struct attempt *find_attempt_by_shard(struct node *node,
					     const struct msg *msg,
					     struct question **q_out,
					     struct leaf **leaf_out)
{
	for (apr_hash_index_t *it =
		     apr_hash_first(NULL, node->front->questions);
	     it; it = apr_hash_next(it)) {
		void *value;

		apr_hash_this(it, NULL, NULL, &value);

		struct question *q = value;

		for (size_t i = 0; i < q->nleaves; i++) {
			struct leaf *leaf = &q->leaves[i];

			if (leaf->shard->id != msg->shard || !leaf->nattempts)
				continue;
			*q_out = q;
			*leaf_out = leaf;
			return &leaf->attempts[leaf->nattempts - 1];
		}
	}
	return NULL;
}

static void merge_leaf(struct node *node, struct question *q, struct leaf *leaf,
		       const struct attempt *attempt, const struct msg *msg)
{
	leaf->rows = str_dup(q->pool, msg->body);
	q->merged_bytes += msg->body.len;
	leaf->state = LEAF_MERGED;
	q->open_leaves--;
	q->merged_weight += leaf->shard->weight;
	node->counters[CNT_LEAF_MERGED]++;
	if (attempt->hedge)
		node->counters[CNT_HEDGES_WON]++;
	earn_budget(node, q->plan.extra_load);
	front_cancel_attempts(node, q, leaf);
}

void front_on_leaf_reply(struct node *node, struct str from,
			 uint64_t incarnation, const struct msg *msg)
{
	uint64_t id = msg->id;
	struct question *q =
		apr_hash_get(node->front->questions, &id, sizeof(id));
	struct leaf *leaf = NULL;
	struct attempt *attempt = NULL;
	int status = msg->status;

	if (q && !q->awaiting_lease)
		attempt = find_attempt(q, from, incarnation, msg, &leaf);
	if (node->opt.off.no_attempt_match)
		attempt = find_attempt_by_shard(node, msg, &q, &leaf);
	if (!attempt || leaf->state != LEAF_OPEN) {
		node->counters[CNT_LEAF_LATE]++;
		return;
	}
	if (!status && msg->version != q->snapshot->version &&
	    !node->opt.off.no_version_check)
		status = ERR_WRONG_VERSION;
	if (!status && (msg->body.len < 2 || msg->body.ptr[0] != '['))
		status = ERR_MALFORMED;
	if (!status && q->merged_bytes + msg->body.len > ANSWER_MAX_BYTES)
		status = ERR_TOO_LARGE;
	close_attempt(node, attempt);
	if (msg->wait_us > q->max_queue_wait)
		q->max_queue_wait = msg->wait_us;
	if (!status) {
		replica_record_reply(node, attempt);
		front_poison_on_target_reply(node, q, attempt, msg);
		merge_leaf(node, q, leaf, attempt, msg);
	} else if (status == ERR_TOO_LARGE) {
		front_cancel_attempts(node, q, leaf);
		set_missing(node, q, leaf, status);
	} else {
		if (status == ERR_QUEUE_FULL)
			q->max_queue_wait = q->plan.soft_us;
		replica_record_failure(node, q, attempt, status);
		if (status == ERR_BROKEN)
			front_poison_on_connection_broke(node, q, attempt, msg);
		if (stop_if_blocked(node, q))
			return;
		fail_over(node, q, leaf, status, msg->ran);
	}
	if (front_question_done(q))
		front_finish_question(node, q, 0);
}

/* Timers. */

static void send_due_retries(struct node *node, struct question *q)
{
	for (size_t i = 0; i < q->nleaves; i++) {
		struct leaf *leaf = &q->leaves[i];

		if (leaf->state != LEAF_OPEN || !leaf->retry_at ||
		    node->now < leaf->retry_at)
			continue;
		if (!front_poison_may_send(node, q)) {
			defer_leaf(node, q, leaf);
			continue;
		}
		leaf->retry_at = 0;

		struct fleet_target *target =
			replica_choose(node, q, leaf, false);

		if (target && send_attempt(node, q, leaf, target, false))
			continue;
		if (!set_missing(node, q, leaf, leaf->error_code))
			return;
	}
}

void front_on_question_timer(struct node *node, uint64_t id)
{
	struct question *q =
		apr_hash_get(node->front->questions, &id, sizeof(id));

	if (!q || q->awaiting_lease)
		return;
	if (stop_if_blocked(node, q))
		return;
	if (node->now >= q->soft_deadline)
		q->soft_passed = true;
	if (node->now < q->deadline)
		send_due_retries(node, q);
	if (node->now >= q->deadline || front_question_done(q))
		front_finish_question(node, q, 0);
}

/* Returns false if the budget is exhausted. */
static bool hedge_leaf(struct node *node, struct question *q, struct leaf *leaf,
		       int64_t delay)
{
	if (leaf->state != LEAF_OPEN || !leaf->nattempts ||
	    front_poison_is_suspect(node, q))
		return true;

	const struct attempt *last = &leaf->attempts[leaf->nattempts - 1];

	if (!last->open || node->now - last->sent_at < delay ||
	    leaf->nattempts == HEDGE_MAX_ATTEMPTS)
		return true;

	/* If the hedge is slow too, a replica may be used a second time. */
	struct fleet_target *target =
		replica_choose(node, q, leaf, !last->hedge);

	if (!target)
		return true;
	if (!spend_budget(node)) {
		node->counters[CNT_HEDGES_DENIED]++;
		return false;
	}
	if (!send_attempt(node, q, leaf, target, true))
		return true;
	q->hedges++;
	node->counters[CNT_HEDGES]++;
	return true;
}

void front_on_hedge_timer(struct node *node, uint64_t id)
{
	struct question *q =
		apr_hash_get(node->front->questions, &id, sizeof(id));
	int64_t delay = front_hedge_delay(node);

	if (!q || q->awaiting_lease)
		return;
	for (size_t i = 0; i < q->nleaves; i++)
		if (!hedge_leaf(node, q, &q->leaves[i], delay))
			break;
	timer_add(&node->timers, node->now + delay / 2 + FRONT_HEDGE_MIN_US,
		  TIMER_HEDGE, id);
}

static void question_gate_lost(struct node *node, struct question *q,
			       uint64_t gate, uint64_t incarnation)
{
	for (size_t i = 0; i < q->nleaves; i++) {
		struct leaf *leaf = &q->leaves[i];

		for (uint32_t j = 0; j < leaf->nattempts; j++) {
			struct attempt *attempt = &leaf->attempts[j];

			if (!attempt->open || attempt->gate != gate ||
			    attempt->incarnation != incarnation)
				continue;
			close_attempt(node, attempt);
			replica_get(node, attempt->target->key)->epoch =
				UINT64_MAX;
			if (!fail_over(node, q, leaf, ERR_GATE_LOST, true))
				return;
		}
	}
}

void front_on_gate_lost(struct node *node, uint64_t gate, uint64_t incarnation)
{
	struct front *front = node->front;
	apr_hash_index_t *it;
	apr_pool_t *pool;
	apr_array_header_t *done;

	if (!front)
		return;
	apr_pool_create(&pool, front->pool);
	done = apr_array_make(pool, 8, sizeof(struct question *));
	for (it = apr_hash_first(pool, front->questions); it;
	     it = apr_hash_next(it)) {
		void *value;

		apr_hash_this(it, NULL, NULL, &value);

		struct question *q = value;

		if (q->awaiting_lease)
			continue;
		question_gate_lost(node, q, gate, incarnation);
		if (front_question_done(q))
			APR_ARRAY_PUSH(done, struct question *) = q;
	}
	for (int i = 0; i < done->nelts; i++)
		front_finish_question(
			node, APR_ARRAY_IDX(done, i, struct question *), 0);
	apr_pool_destroy(pool);
}
