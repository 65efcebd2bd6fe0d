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
	HEDGE_FIRST_US = 50000,
	LIMIT_MIN = 4,
	LIMIT_EVERY_US = 100000,
	WAIT_SHARE = 4,
	RETRY_AFTER_US = 250000,
	STARTING_RETRY_US = 1000000,
};

#define LIMIT_CUT 0.9

/* Admission. */

static int check_state(const struct node *node)
{
	if (member_state(node) == VM_STARTING || !node->lists || !node->fleet)
		return ERR_STARTING;
	if (member_isolated(node))
		return ERR_ISOLATED;
	return 0;
}

static int check_plan(const struct node *node, const struct query *query,
		      const struct plan **plan, char *text, size_t size)
{
	*plan = lists_plan(node->lists, query->customer);
	if (!*plan) {
		snprintf(text, size, "customer \"%.*s\"",
			 STR_ARG(query->customer));
		return ERR_UNKNOWN_CUSTOMER;
	}
	for (size_t i = 0; i < query->nindexes; i++) {
		if (plan_allows(*plan, query->indexes[i], false))
			continue;
		snprintf(text, size, "index \"%.*s\"",
			 STR_ARG(query->indexes[i]));
		return ERR_NOT_ALLOWED;
	}
	return 0;
}

static void refuse(struct node *node, uint64_t caller, int code,
		   const char *text, int64_t retry_us)
{
	node->counters[CNT_REFUSED]++;
	if (code == ERR_OVER_PLAN)
		node->counters[CNT_OVER_PLAN]++;
	node_refuse(node, caller, code, text, retry_us);
}

static void drop(struct node *node, struct question *q)
{
	struct front *front = node->front;

	apr_hash_set(front->questions, &q->id, sizeof(q->id), NULL);
	apr_hash_set(front->callers, &q->caller, sizeof(q->caller), NULL);
	front->open--;
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
		delay = HEDGE_FIRST_US;
	return delay < FRONT_HEDGE_MIN_US ? FRONT_HEDGE_MIN_US : delay;
}

static void begin(struct node *node, struct question *q)
{
	size_t count = 0;
	double total = 0;

	q->waiting = false;
	q->fleet = fleet_ref(node->fleet);
	q->snapshot =
		snapshot_choose(node, &q->query, q->fleet,
				q->plan.coverage_floor, NULL, &count, &total);
	if (!q->snapshot) {
		refuse(node, q->caller, ERR_NO_SNAPSHOT,
		       "no snapshot has all of the indexes and shards asked "
		       "for",
		       STARTING_RETRY_US);
		drop(node, q);
		return;
	}
	q->nleafs = count;
	q->total = total;
	front_start_leafs(node, q);
	if (front_is_done(q)) {
		front_finish(node, q, 0);
		return;
	}
	timer_add(&node->timers, q->soft_at, TIMER_QUESTION, q->id);
	timer_add(&node->timers, q->hard_at, TIMER_QUESTION, q->id);
	if (node->front->config.hedge)
		timer_add(&node->timers, node->now + front_hedge_delay(node),
			  TIMER_HEDGE, q->id);
}

/* What the targets are asked, and for whom; not the caller's own id. */
static struct fingerprint fingerprint(const struct query *query)
{
	struct str parts[QUERY_MAX_INDEXES + 2];
	size_t count = 0;

	parts[count++] = query->terms;
	parts[count++] =
		(struct str){ (const char *)query->shards,
			      query->nshards * sizeof(*query->shards) };
	for (size_t i = 0; i < query->nindexes; i++)
		parts[count++] = query->indexes[i];
	return fingerprint_of(parts, count, query->customer);
}

static struct question *question_create(struct node *node, uint64_t caller,
					apr_pool_t *pool,
					const struct query *query,
					const struct plan *plan)
{
	struct question *q = apr_pcalloc(pool, sizeof(*q));

	q->pool = pool;
	q->id = ++node->next_id;
	q->caller = caller;
	q->query = *query;
	q->plan = *plan;
	q->start = node->now;
	q->hard_at = node->now + plan->deadline_us;
	if (query->deadline_us && query->deadline_us < plan->deadline_us)
		q->hard_at = node->now + query->deadline_us;
	q->soft_at = node->now + plan->soft_us;
	if (q->soft_at > q->hard_at)
		q->soft_at = q->hard_at;
	q->print = fingerprint(query);
	apr_hash_set(node->front->questions, &q->id, sizeof(q->id), q);
	apr_hash_set(node->front->callers, &q->caller, sizeof(q->caller), q);
	node->front->open++;
	return q;
}

static int admit(struct node *node, const struct query *query,
		 const struct plan **plan, char *text, size_t size)
{
	struct front *front = node->front;
	int code = check_state(node);

	if (!code)
		code = check_plan(node, query, plan, text, size);
	if (code)
		return code;
	if (front->open >= (size_t)node->opt.max_open ||
	    (front->config.admission && (double)front->open >= front->limit))
		return ERR_OVERLOADED;
	return 0;
}

void front_ask(struct node *node, uint64_t caller, struct str body)
{
	struct error err = { 0 };
	const struct plan *plan = NULL;
	apr_pool_t *pool;
	struct query query;
	int64_t retry_us = STARTING_RETRY_US;
	int code;

	node->counters[CNT_QUESTIONS]++;
	apr_pool_create(&pool, node->front->pool);
	code = query_parse(body, pool, &query, &err);
	if (!code)
		code = admit(node, &query, &plan, err.text, sizeof(err.text));
	if (code == ERR_OVERLOADED)
		retry_us = RETRY_AFTER_US;
	else if (code != ERR_STARTING && code != ERR_ISOLATED)
		retry_us = 0;
	if (code) {
		refuse(node, caller, code, err.text, retry_us);
		apr_pool_destroy(pool);
		return;
	}

	struct question *q = question_create(node, caller, pool, &query, plan);

	poison_asked(&node->front->poison, &q->print, node->now);
	if (front_blocked(node, q)) {
		refuse(node, caller, ERR_BLOCKED,
		       "it crashes the targets that run it", 0);
		drop(node, q);
		return;
	}
	switch (quota_take(node, query.customer, plan, q->id, &retry_us)) {
	case QUOTA_TAKEN:
		begin(node, q);
		break;
	case QUOTA_WAIT:
		q->waiting = true;
		break;
	case QUOTA_REFUSED:
		refuse(node, caller, ERR_OVER_PLAN, "", retry_us);
		drop(node, q);
		break;
	}
}

void front_quota(struct node *node, uint64_t id, bool taken, int64_t retry_us)
{
	struct question *q =
		apr_hash_get(node->front->questions, &id, sizeof(id));

	if (!q || !q->waiting)
		return;
	if (taken) {
		begin(node, q);
		return;
	}
	refuse(node, q->caller, ERR_OVER_PLAN, "", retry_us);
	drop(node, q);
}

/*
 * The limit on open questions follows the gates' queues: a long wait there
 * means that the fleet as a whole has more than its slots carry, and a
 * question that is admitted now would be answered late or in part.
 */
static void steer_limit(struct node *node, const struct question *q)
{
	struct front *front = node->front;
	int64_t bound = q->plan.soft_us / WAIT_SHARE;

	if (q->worst_wait > bound) {
		if (node->now - front->limit_at < LIMIT_EVERY_US)
			return;
		front->limit_at = node->now;
		if (front->limit > (double)front->open + LIMIT_MIN)
			front->limit = (double)front->open + LIMIT_MIN;
		front->limit *= LIMIT_CUT;
		if (front->limit < LIMIT_MIN)
			front->limit = LIMIT_MIN;
	} else if (front->limit < node->opt.max_open &&
		   (double)front->open * 2 >= front->limit) {
		front->limit += 1 / front->limit;
	}
}

void front_finish(struct node *node, struct question *q, int code)
{
	for (size_t i = 0; i < q->nleafs; i++)
		front_close_all(node, q, &q->leafs[i]);
	steer_limit(node, q);
	front_unserved(node, q);
	if (!code)
		answer_send(node, q);
	drop(node, q);
}

void front_caller_gone(struct node *node, uint64_t caller)
{
	struct question *q =
		apr_hash_get(node->front->callers, &caller, sizeof(caller));

	if (!q)
		return;
	node->counters[CNT_CALLERS_GONE]++;
	front_finish(node, q, ERR_CANCELLED);
}
