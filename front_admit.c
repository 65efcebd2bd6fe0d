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
	HEDGE_INITIAL_US = 50000,
	LIMIT_MIN = 4,
	LIMIT_CUT_INTERVAL_US = 100000,
	QUEUE_WAIT_DIVISOR = 4,
	OVERLOADED_RETRY_AFTER_US = 250000,
	STARTING_RETRY_AFTER_US = 1000000,
};

#define LIMIT_CUT_FACTOR 0.9

/* Admission. */

static int check_state(const struct node *node)
{
	if (member_state(node) == VM_STARTING || !node->lists || !node->fleet)
		return ERR_STARTING;
	if (member_isolated(node))
		return ERR_ISOLATED;
	return 0;
}

static int check_plan(const struct node *node,
		      const struct question_request *request,
		      const struct plan **plan, char *text, size_t size)
{
	*plan = lists_plan(node->lists, request->customer);
	if (!*plan) {
		snprintf(text, size, "customer \"%.*s\"",
			 STR_ARG(request->customer));
		return ERR_UNKNOWN_CUSTOMER;
	}
	for (size_t i = 0; i < request->nindexes; i++) {
		if (plan_allows(*plan, request->indexes[i], false))
			continue;
		snprintf(text, size, "index \"%.*s\"",
			 STR_ARG(request->indexes[i]));
		return ERR_NOT_ALLOWED;
	}
	return 0;
}

static void refuse_caller(struct node *node, uint64_t caller, int code,
			  const char *text, int64_t retry_us)
{
	node->counters[CNT_REFUSED]++;
	if (code == ERR_OVER_PLAN)
		node->counters[CNT_OVER_PLAN]++;
	node_refuse(node, caller, code, text, retry_us);
}

static void question_destroy(struct node *node, struct question *q)
{
	struct front *front = node->front;

	apr_hash_set(front->questions, &q->id, sizeof(q->id), NULL);
	apr_hash_set(front->callers, &q->caller, sizeof(q->caller), NULL);
	front->open_questions--;
	fleet_unref(q->fleet);
	apr_pool_destroy(q->pool);
}

int64_t front_hedge_delay(const struct node *node)
{
	const struct front *front = node->front;
	int64_t delay = front->config.hedge_fixed_us;

	if (!delay)
		delay = latency_quantile(front->latency,
					 front->config.hedge_quantile);
	if (!delay)
		delay = HEDGE_INITIAL_US;
	return delay < FRONT_HEDGE_MIN_US ? FRONT_HEDGE_MIN_US : delay;
}

static void question_start(struct node *node, struct question *q)
{
	size_t count = 0;
	double total_weight = 0;

	q->awaiting_lease = false;
	q->fleet = fleet_ref(node->fleet);
	q->snapshot = snapshot_choose(node, &q->request, q->fleet,
				      q->plan.coverage_floor, NULL, &count,
				      &total_weight);
	if (!q->snapshot) {
		refuse_caller(
			node, q->caller, ERR_NO_SNAPSHOT,
			"no snapshot has all of the indexes and shards asked for",
			STARTING_RETRY_AFTER_US);
		question_destroy(node, q);
		return;
	}
	q->nleaves = count;
	q->total_weight = total_weight;
	front_send_leaves(node, q);
	if (front_question_done(q)) {
		front_finish_question(node, q, 0);
		return;
	}
	timer_add(&node->timers, q->soft_deadline, TIMER_QUESTION, q->id);
	timer_add(&node->timers, q->deadline, TIMER_QUESTION, q->id);
	if (node->front->config.hedge)
		timer_add(&node->timers, node->now + front_hedge_delay(node),
			  TIMER_HEDGE, q->id);
}

/* Hashes the request to the targets and the customer, not the request id. */
static struct fingerprint
question_fingerprint(const struct question_request *request)
{
	struct str parts[QUESTION_MAX_INDEXES + 2];
	size_t count = 0;

	parts[count++] = request->terms;
	parts[count++] =
		(struct str){ (const char *)request->shards,
			      request->nshards * sizeof(*request->shards) };
	for (size_t i = 0; i < request->nindexes; i++)
		parts[count++] = request->indexes[i];
	return fingerprint_of(parts, count, request->customer);
}

static struct question *question_create(struct node *node, uint64_t caller,
					apr_pool_t *pool,
					const struct question_request *request,
					const struct plan *plan)
{
	struct question *q = apr_pcalloc(pool, sizeof(*q));

	q->pool = pool;
	q->id = ++node->next_id;
	q->caller = caller;
	q->request = *request;
	q->plan = *plan;
	q->started_at = node->now;
	q->deadline = node->now + plan->deadline_us;
	if (request->deadline_us && request->deadline_us < plan->deadline_us)
		q->deadline = node->now + request->deadline_us;
	q->soft_deadline = node->now + plan->soft_us;
	if (q->soft_deadline > q->deadline)
		q->soft_deadline = q->deadline;
	q->fingerprint = question_fingerprint(request);
	apr_hash_set(node->front->questions, &q->id, sizeof(q->id), q);
	apr_hash_set(node->front->callers, &q->caller, sizeof(q->caller), q);
	node->front->open_questions++;
	return q;
}

static int admit(struct node *node, const struct question_request *request,
		 const struct plan **plan, char *text, size_t size)
{
	struct front *front = node->front;
	int code = check_state(node);

	if (!code)
		code = check_plan(node, request, plan, text, size);
	if (code)
		return code;
	if (!node_accepts(node, (*plan)->soft_us))
		return ERR_STOPPING;
	if (front->open_questions >= (size_t)node->opt.max_open ||
	    (front->config.admission &&
	     (double)front->open_questions >= front->limit))
		return ERR_OVERLOADED;
	return 0;
}

void front_on_question(struct node *node, uint64_t caller, struct str body)
{
	struct error err = { 0 };
	const struct plan *plan = NULL;
	apr_pool_t *pool;
	struct question_request request;
	int64_t retry_us = STARTING_RETRY_AFTER_US;
	int code;

	node->counters[CNT_QUESTIONS]++;
	apr_pool_create(&pool, node->front->pool);
	code = request_parse_question(body, pool, &request, &err);
	if (!code)
		code = admit(node, &request, &plan, err.text, sizeof(err.text));
	if (code == ERR_OVERLOADED)
		retry_us = OVERLOADED_RETRY_AFTER_US;
	else if (code == ERR_STOPPING)
		retry_us = NODE_STOPPING_RETRY_US;
	else if (code != ERR_STARTING && code != ERR_ISOLATED)
		retry_us = 0;
	if (code) {
		refuse_caller(node, caller, code, err.text, retry_us);
		apr_pool_destroy(pool);
		return;
	}

	struct question *q =
		question_create(node, caller, pool, &request, plan);

	poison_on_request(&node->front->poison, &q->fingerprint, node->now);
	if (front_poison_is_blocked(node, q)) {
		refuse_caller(node, caller, ERR_BLOCKED,
			      "it crashes the targets that run it", 0);
		question_destroy(node, q);
		return;
	}
	switch (quota_take(node, request.customer, plan, q->id, &retry_us)) {
	case QUOTA_TAKEN:
		question_start(node, q);
		break;
	case QUOTA_WAIT:
		q->awaiting_lease = true;
		break;
	case QUOTA_REFUSED:
		refuse_caller(node, caller, ERR_OVER_PLAN, "", retry_us);
		question_destroy(node, q);
		break;
	}
}

void front_on_quota_result(struct node *node, uint64_t id, bool taken,
			   int64_t retry_us)
{
	struct question *q =
		apr_hash_get(node->front->questions, &id, sizeof(id));

	if (!q || !q->awaiting_lease)
		return;
	if (taken) {
		question_start(node, q);
		return;
	}
	refuse_caller(node, q->caller, ERR_OVER_PLAN, "", retry_us);
	question_destroy(node, q);
}

/*
 * Adapts the limit on open questions to the waits in the gates' queues. Long
 * waits mean that the load exceeds the slots of the whole fleet, so a question
 * admitted now would be answered late or partially.
 */
static void adjust_limit(struct node *node, const struct question *q)
{
	struct front *front = node->front;
	int64_t bound = q->plan.soft_us / QUEUE_WAIT_DIVISOR;

	if (q->max_queue_wait > bound) {
		if (node->now - front->limit_lowered_at < LIMIT_CUT_INTERVAL_US)
			return;
		front->limit_lowered_at = node->now;
		if (front->limit > (double)front->open_questions + LIMIT_MIN)
			front->limit =
				(double)front->open_questions + LIMIT_MIN;
		front->limit *= LIMIT_CUT_FACTOR;
		if (front->limit < LIMIT_MIN)
			front->limit = LIMIT_MIN;
	} else if (front->limit < node->opt.max_open &&
		   (double)front->open_questions * 2 >= front->limit) {
		front->limit += 1 / front->limit;
	}
}

void front_finish_question(struct node *node, struct question *q, int code)
{
	for (size_t i = 0; i < q->nleaves; i++)
		front_cancel_attempts(node, q, &q->leaves[i]);
	adjust_limit(node, q);
	front_poison_on_question_end(node, q);
	if (!code)
		answer_send(node, q);
	question_destroy(node, q);
}

void front_end_questions(struct node *node)
{
	apr_hash_index_t *it;

	/* One at a time, as ending a question changes the table. */
	while ((it = apr_hash_first(NULL, node->front->questions))) {
		struct question *q = hash_value(it);

		if (!q->awaiting_lease) {
			front_finish_question(node, q, 0);
			continue;
		}
		refuse_caller(node, q->caller, ERR_STOPPING, "",
			      NODE_STOPPING_RETRY_US);
		question_destroy(node, q);
	}
}

void front_on_caller_gone(struct node *node, uint64_t caller)
{
	struct question *q =
		apr_hash_get(node->front->callers, &caller, sizeof(caller));

	if (!q)
		return;
	node->counters[CNT_CALLERS_GONE]++;
	front_finish_question(node, q, ERR_CANCELLED);
}
