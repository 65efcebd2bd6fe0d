#include "front.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>

#include <apr_tables.h>

#include "gate.h"
#include "latency.h"
#include "quota.h"
#include "xmalloc.h"

enum {
	REROUTES_MAX = 4,
	REROUTE_US = 20000,
	REROUTE_FACTOR = 3,
	AVOID_US = 200000,
	LACKS_US = 2000000,
	HEDGE_MIN_US = 1000,
	HEDGE_FIRST_US = 50000,
	LIMIT_MIN = 4,
	LIMIT_EVERY_US = 100000,
	WAIT_SHARE = 4,
	BUDGET_MAX = 256,
	BUDGET_START = 32,
	EWMA_SHIFT = 3,
	REPLICA_FIRST_US = 2000,
	RETRY_AFTER_US = 250000,
	STARTING_RETRY_US = 1000000,
	FAR_PENALTY = 16,
	HEDGED_ATTEMPTS = 3,
};

#define LIMIT_CUT 0.9
#define HEDGE_QUANTILE 0.97
#define EPSILON 1e-9
#define SHARE_STEPS 1e6

/**
 * struct replica - what this front knows of a target from its own requests
 * @latency_us: smoothed time from sending to reply
 * @outstanding: leaf requests under way
 * @avoid_until: after a failure
 * @lacks_version, @lacks_until: snapshot that it did not have
 * @gate, @epoch: its gate in the current view
 */
struct replica {
	uint64_t key;
	int64_t latency_us;
	int outstanding;
	int64_t avoid_until;
	uint64_t lacks_version;
	int64_t lacks_until;
	struct vm *gate;
	uint64_t epoch;
};

static void finish(struct node *node, struct question *q, int code);

void front_init(struct node *node)
{
	struct front *front = xcalloc(1, sizeof(*front));

	node->front = front;
	apr_pool_create(&front->pool, node->pool);
	front->questions = apr_hash_make(front->pool);
	front->callers = apr_hash_make(front->pool);
	front->targets = apr_hash_make(front->pool);
	front->latency = xcalloc(1, sizeof(*front->latency));
	front->limit = node->opt.max_open;
	front->budget = BUDGET_START;
	front->config.hedge = true;
	front->config.admission = true;
	front->config.hedge_quantile = HEDGE_QUANTILE;
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
	for (it = apr_hash_first(front->pool, front->targets); it;
	     it = apr_hash_next(it)) {
		apr_hash_this(it, NULL, NULL, &value);
		free(value);
	}
	free(front->latency);
	apr_pool_destroy(front->pool);
	free(front);
}

size_t front_open(const struct node *node)
{
	return node->front->open;
}

/* Replicas. */

static struct replica *replica_get(struct node *node, uint64_t key)
{
	struct front *front = node->front;
	struct replica *replica =
		apr_hash_get(front->targets, &key, sizeof(key));

	if (!replica) {
		replica = xcalloc(1, sizeof(*replica));
		replica->key = key;
		replica->latency_us = REPLICA_FIRST_US;
		replica->epoch = UINT64_MAX;
		apr_hash_set(front->targets, &replica->key,
			     sizeof(replica->key), replica);
	}
	return replica;
}

static struct vm *gate_of(struct node *node, struct replica *replica,
			  const struct fleet_target *target)
{
	if (node->opt.direct)
		return node->member->vms[0];
	if (replica->epoch != node->member->epoch) {
		replica->gate =
			member_owner(node, target->key, target->domain->name);
		replica->epoch = node->member->epoch;
	}
	return replica->gate;
}

static bool has_version(struct node *node, const struct fleet_target *target,
			uint64_t version)
{
	const struct replica *replica = replica_get(node, target->key);

	return replica->lacks_version != version ||
	       node->now >= replica->lacks_until;
}

static bool may_use(struct node *node, const struct fleet_target *target,
		    uint64_t version)
{
	return gate_listed(node, target->key) &&
	       has_version(node, target, version);
}

/* Whether an attempt of @leaf went to @target, and one is still open. */
static bool was_tried(const struct leaf *leaf,
		      const struct fleet_target *target, bool *same_domain)
{
	bool tried = false;

	*same_domain = false;
	for (uint32_t i = 0; i < leaf->nattempts; i++) {
		const struct fleet_target *other = leaf->attempts[i].target;

		if (other == target)
			tried = true;
		if (other->domain == target->domain)
			*same_domain = true;
	}
	return tried;
}

/*
 * The replica with the least expected time. A failed one goes last, and so
 * does one in a failure domain that was tried before: what made the first
 * attempt slow or lost is likely to be shared within the domain.
 */
static struct fleet_target *choose_replica(struct node *node,
					   const struct question *q,
					   const struct leaf *leaf,
					   bool fresh_only)
{
	struct fleet_target *best = NULL;
	double best_score = 0;

	for (size_t i = 0; i < leaf->shard->nreplicas; i++) {
		struct fleet_target *target = leaf->shard->replicas[i];
		bool same_domain;
		bool tried = was_tried(leaf, target, &same_domain);

		if (!may_use(node, target, q->snapshot->version) ||
		    (fresh_only && tried))
			continue;

		const struct replica *replica = replica_get(node, target->key);
		double score = (double)replica->latency_us *
			       (1 + replica->outstanding);

		if (tried)
			score *= (double)FAR_PENALTY * FAR_PENALTY;
		if (same_domain)
			score *= FAR_PENALTY;
		if (node->now < replica->avoid_until)
			score *= FAR_PENALTY;
		if (best && score >= best_score)
			continue;
		best = target;
		best_score = score;
	}
	return best;
}

/* Snapshot. */

static bool is_available(struct node *node, const struct shard *shard,
			 uint64_t version)
{
	for (size_t i = 0; i < shard->nreplicas; i++)
		if (may_use(node, shard->replicas[i], version))
			return true;
	return false;
}

static bool is_wanted(const struct ask *ask, uint32_t id)
{
	size_t low = 0;
	size_t high = ask->nshards;

	if (!ask->nshards)
		return true;
	while (low < high) {
		size_t mid = (low + high) / 2;

		if (ask->shards[mid] < id)
			low = mid + 1;
		else
			high = mid;
	}
	return low < ask->nshards && ask->shards[low] == id;
}

/* Shards of the question in @snap, their weight, and the weight at hand. */
static size_t measure(struct node *node, const struct ask *ask,
		      const struct snapshot *snap, double *total,
		      double *available)
{
	size_t found = 0;

	*total = 0;
	*available = 0;
	for (size_t i = 0; i < ask->nindexes; i++) {
		size_t count;
		const struct shard *shards =
			snapshot_range(snap, ask->indexes[i], &count);

		if (!count)
			return 0;
		for (size_t j = 0; j < count; j++) {
			if (!is_wanted(ask, shards[j].id))
				continue;
			found++;
			*total += shards[j].weight;
			if (is_available(node, &shards[j], snap->version))
				*available += shards[j].weight;
		}
	}
	return ask->nshards && found != ask->nshards ? 0 : found;
}

/*
 * The newest snapshot that promises the coverage that the plan wants; if none
 * does, the one that promises most. Chosen once for the whole question.
 */
static const struct snapshot *
choose_snapshot(struct node *node, const struct ask *ask,
		const struct fleet *fleet, double floor,
		const struct snapshot *not_this, size_t *count, double *total)
{
	const struct snapshot *best = NULL;
	double best_share = -1;

	for (size_t i = 0; i < fleet->nsnapshots; i++) {
		const struct snapshot *snap = &fleet->snapshots[i];
		double weight;
		double available;
		size_t found = measure(node, ask, snap, &weight, &available);

		if (!found || snap == not_this)
			continue;
		if (available / weight <= best_share)
			continue;
		best = snap;
		best_share = available / weight;
		*count = found;
		*total = weight;
		if (best_share >= floor - EPSILON)
			break;
	}
	return best;
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
		.attempt = q->base +
			   (uint32_t)(leaf - q->leafs) * LEAF_ATTEMPTS + i,
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

static void close_all(struct node *node, struct question *q, struct leaf *leaf)
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
	struct vm *gate = gate_of(node, replica, target);

	if (!gate || leaf->nattempts == LEAF_ATTEMPTS)
		return false;

	struct attempt *attempt = &leaf->attempts[leaf->nattempts];
	struct msg msg = {
		.kind = MSG_LEAF,
		.id = q->id,
		.attempt = q->base +
			   (uint32_t)(leaf - q->leafs) * LEAF_ATTEMPTS +
			   leaf->nattempts,
		.target = target->key,
		.shard = leaf->shard->id,
		.version = q->snapshot->version,
		.remaining_us = q->hard_at - node->now,
		.state = leaf->nattempts > 0,
		.name = leaf->shard->index,
		.text = q->ask.terms,
	};

	*attempt = (struct attempt){
		.target = target,
		.gate = gate->key,
		.incarnation = gate->incarnation,
		.sent_at = node->now,
		.open = true,
		.hedge = hedge,
	};
	leaf->nattempts++;
	leaf->retry_at = 0;
	replica->outstanding++;
	q->sent++;
	node->counters[CNT_LEAF_SENT]++;
	node_send(node, gate->addr, gate->incarnation, &msg);
	return true;
}

static bool take_budget(struct node *node)
{
	if (node->front->budget < 1)
		return false;
	node->front->budget -= 1;
	return true;
}

/* Budget is earned by merged leafs only, so it dries up under overload. */
static void earn_budget(struct node *node, double share)
{
	struct front *front = node->front;

	front->budget += share;
	if (front->budget > BUDGET_MAX)
		front->budget = BUDGET_MAX;
}

/* Outcome of a leaf. */

static double share_of(const struct question *q, double weight)
{
	return q->total > 0 ? weight / q->total : 0;
}

static bool floor_met(const struct question *q)
{
	return share_of(q, q->covered) >= q->plan.floor - EPSILON;
}

static bool is_done(const struct question *q)
{
	return !q->open_leafs || (q->soft_passed && floor_met(q));
}

static void start_leafs(struct node *node, struct question *q);

/*
 * A snapshot that its targets no longer have cannot reach the floor. All of
 * the question starts once more on another one, never a part of it.
 */
static bool restart(struct node *node, struct question *q)
{
	size_t count;
	double total;
	const struct snapshot *other;

	if (q->restarted || q->hard_at - node->now < node->now - q->start)
		return false;
	other = choose_snapshot(node, &q->ask, q->fleet, q->plan.floor,
				q->snapshot, &count, &total);
	if (!other || node->front->budget < (double)q->nleafs / 2)
		return false;
	node->front->budget -= (double)q->nleafs / 2;
	node->counters[CNT_RESTARTS]++;
	for (size_t i = 0; i < q->nleafs; i++)
		close_all(node, q, &q->leafs[i]);
	q->restarted = true;
	q->base += (uint32_t)q->nleafs * LEAF_ATTEMPTS;
	q->snapshot = other;
	q->nleafs = count;
	q->total = total;
	q->covered = 0;
	start_leafs(node, q);
	return true;
}

static bool can_reach_floor(const struct question *q)
{
	double open = 0;

	for (size_t i = 0; i < q->nleafs; i++)
		if (q->leafs[i].state == LEAF_OPEN)
			open += q->leafs[i].shard->weight;
	return share_of(q, q->covered + open) >= q->plan.floor - EPSILON;
}

/* Return: false when the question has started anew. */
static bool set_missing(struct node *node, struct question *q,
			struct leaf *leaf, int why)
{
	leaf->state = LEAF_MISSING;
	leaf->why = why;
	q->open_leafs--;
	node->counters[CNT_LEAF_MISSING]++;
	if (why == ERR_WRONG_VERSION && !can_reach_floor(q))
		return !restart(node, q);
	return true;
}

static bool any_open(const struct leaf *leaf)
{
	for (uint32_t i = 0; i < leaf->nattempts; i++)
		if (leaf->attempts[i].open)
			return true;
	return false;
}

/*
 * All replicas were tried. A target that restarts is back before long, so the
 * leaf waits and asks again, each time longer, for as long as its question
 * has time: what is given up early is lost coverage.
 */
static bool retry_later(struct node *node, struct question *q,
			struct leaf *leaf, int why)
{
	int64_t wait = REROUTE_US;

	for (int i = 0; i < leaf->reroutes; i++)
		wait *= REROUTE_FACTOR;
	if (++leaf->reroutes > REROUTES_MAX || node->now + wait >= q->hard_at)
		return set_missing(node, q, leaf, why);
	leaf->retry_at = node->now + wait;
	timer_add(&node->timers, leaf->retry_at, TIMER_QUESTION, q->id);
	return true;
}

/*
 * After a failure: @ran tells whether a target may have worked on it. What
 * never reached a target is sent elsewhere for free; the rest costs budget.
 */
static bool fail_over(struct node *node, struct question *q, struct leaf *leaf,
		      int why, bool ran)
{
	struct fleet_target *target;

	leaf->why = why;
	if (any_open(leaf) || leaf->retry_at)
		return true;
	if (leaf->nattempts == LEAF_ATTEMPTS ||
	    !choose_replica(node, q, leaf, false))
		return set_missing(node, q, leaf, why);
	if (ran && !take_budget(node))
		return set_missing(node, q, leaf, why);
	node->counters[ran ? CNT_RETRIES : CNT_REROUTES]++;
	target = choose_replica(node, q, leaf, true);
	if (!target)
		return retry_later(node, q, leaf, why);
	if (!send_attempt(node, q, leaf, target, false))
		return set_missing(node, q, leaf, ERR_GATE_LOST);
	return true;
}

static void start_leafs(struct node *node, struct question *q)
{
	size_t n = 0;

	q->leafs = apr_pcalloc(q->pool, q->nleafs * sizeof(struct leaf));
	for (size_t i = 0; i < q->ask.nindexes; i++) {
		size_t count;
		const struct shard *shards =
			snapshot_range(q->snapshot, q->ask.indexes[i], &count);

		for (size_t j = 0; j < count; j++)
			if (is_wanted(&q->ask, shards[j].id))
				q->leafs[n++].shard = &shards[j];
	}
	q->open_leafs = q->nleafs;
	for (size_t i = 0; i < q->nleafs; i++) {
		struct leaf *leaf = &q->leafs[i];
		struct fleet_target *target =
			choose_replica(node, q, leaf, true);

		if (!target) {
			leaf->state = LEAF_MISSING;
			leaf->why = ERR_NO_REPLICA;
			q->open_leafs--;
			node->counters[CNT_LEAF_MISSING]++;
		} else if (!send_attempt(node, q, leaf, target, false)) {
			leaf->state = LEAF_MISSING;
			leaf->why = ERR_GATE_LOST;
			q->open_leafs--;
			node->counters[CNT_LEAF_MISSING]++;
		}
	}
}

/* Admission. */

static int check_state(const struct node *node)
{
	if (member_state(node) == VM_STARTING || !node->lists || !node->fleet)
		return ERR_STARTING;
	if (member_isolated(node))
		return ERR_ISOLATED;
	return 0;
}

static int check_plan(const struct node *node, const struct ask *ask,
		      const struct plan **plan, char *text, size_t size)
{
	*plan = lists_plan(node->lists, ask->customer);
	if (!*plan) {
		snprintf(text, size, "customer \"%.*s\"",
			 STR_ARG(ask->customer));
		return ERR_UNKNOWN_CUSTOMER;
	}
	for (size_t i = 0; i < ask->nindexes; i++) {
		if (plan_allows(*plan, ask->indexes[i], false))
			continue;
		snprintf(text, size, "index \"%.*s\"",
			 STR_ARG(ask->indexes[i]));
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

static int64_t hedge_delay(const struct node *node)
{
	const struct front *front = node->front;
	int64_t delay = front->config.hedge_fixed_us;

	if (!delay)
		delay = latency_quantile(front->latency,
					 front->config.hedge_quantile);
	if (!delay)
		delay = HEDGE_FIRST_US;
	return delay < HEDGE_MIN_US ? HEDGE_MIN_US : delay;
}

static void begin(struct node *node, struct question *q)
{
	size_t count = 0;
	double total = 0;

	q->waiting = false;
	q->fleet = fleet_ref(node->fleet);
	q->snapshot = choose_snapshot(node, &q->ask, q->fleet, q->plan.floor,
				      NULL, &count, &total);
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
	start_leafs(node, q);
	if (is_done(q)) {
		finish(node, q, 0);
		return;
	}
	timer_add(&node->timers, q->soft_at, TIMER_QUESTION, q->id);
	timer_add(&node->timers, q->hard_at, TIMER_QUESTION, q->id);
	if (node->front->config.hedge)
		timer_add(&node->timers, node->now + hedge_delay(node),
			  TIMER_HEDGE, q->id);
}

static struct question *question_create(struct node *node, uint64_t caller,
					apr_pool_t *pool, const struct ask *ask,
					const struct plan *plan)
{
	struct question *q = apr_pcalloc(pool, sizeof(*q));

	q->pool = pool;
	q->id = ++node->next_id;
	q->caller = caller;
	q->ask = *ask;
	q->plan = *plan;
	q->start = node->now;
	q->hard_at = node->now + plan->deadline_us;
	if (ask->deadline_us && ask->deadline_us < plan->deadline_us)
		q->hard_at = node->now + ask->deadline_us;
	q->soft_at = node->now + plan->soft_us;
	if (q->soft_at > q->hard_at)
		q->soft_at = q->hard_at;
	apr_hash_set(node->front->questions, &q->id, sizeof(q->id), q);
	apr_hash_set(node->front->callers, &q->caller, sizeof(q->caller), q);
	node->front->open++;
	return q;
}

static int admit(struct node *node, const struct ask *ask,
		 const struct plan **plan, char *text, size_t size)
{
	struct front *front = node->front;
	int code = check_state(node);

	if (!code)
		code = check_plan(node, ask, plan, text, size);
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
	struct ask ask;
	int64_t retry_us = STARTING_RETRY_US;
	int code;

	node->counters[CNT_QUESTIONS]++;
	apr_pool_create(&pool, node->front->pool);
	code = ask_parse(body, pool, &ask, &err);
	if (!code)
		code = admit(node, &ask, &plan, err.text, sizeof(err.text));
	if (code == ERR_OVERLOADED)
		retry_us = RETRY_AFTER_US;
	else if (code != ERR_STARTING && code != ERR_ISOLATED)
		retry_us = 0;
	if (code) {
		refuse(node, caller, code, err.text, retry_us);
		apr_pool_destroy(pool);
		return;
	}

	struct question *q = question_create(node, caller, pool, &ask, plan);

	switch (quota_take(node, ask.customer, plan, q->id, &retry_us)) {
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

/* Answer. */

static void add_missing(const struct question *q, struct buf *out)
{
	bool first = true;

	buf_str_add(out, STR(",\"missing\":["));
	for (size_t i = 0; i < q->nleafs; i++) {
		const struct leaf *leaf = &q->leafs[i];

		if (leaf->state == LEAF_MERGED)
			continue;
		buf_printf(out, "%s{\"shard\":%u,\"index\":", first ? "" : ",",
			   leaf->shard->id);
		buf_json_add(out, leaf->shard->index);
		buf_printf(out, ",\"kind\":\"%s\"}",
			   error_info(leaf->state == LEAF_OPEN && !leaf->why
					      ? ERR_DEADLINE
					      : leaf->why)
				   ->kind);
		first = false;
	}
	buf_add(out, "]", 1);
}

static void add_rows(const struct question *q, struct buf *out)
{
	bool first = true;

	buf_str_add(out, STR(",\"rows\":["));
	for (size_t i = 0; i < q->nleafs; i++) {
		struct str rows = q->leafs[i].rows;

		if (q->leafs[i].state != LEAF_MERGED || rows.len <= 2)
			continue;
		if (!first)
			buf_add(out, ",", 1);
		buf_add(out, rows.ptr + 1, rows.len - 2);
		first = false;
	}
	buf_str_add(out, STR("]}"));
}

static bool is_complete(const struct question *q)
{
	for (size_t i = 0; i < q->nleafs; i++)
		if (q->leafs[i].state != LEAF_MERGED)
			return false;
	return true;
}

static void answer(struct node *node, struct question *q)
{
	struct buf out = { 0 };
	bool complete = is_complete(q);
	/* Rounded down: a partial answer never reads as a complete one. */
	double covered =
		complete ? 1
			 : floor(share_of(q, q->covered) * SHARE_STEPS) /
				   SHARE_STEPS;
	int status = covered > 0 ? 200 : 504;

	if (node->opt.off.no_coverage_merge)
		covered = 1;
	buf_str_add(&out, STR("{\"request_id\":"));
	buf_json_add(&out, q->ask.request_id);
	buf_printf(&out, ",\"snapshot\":%llu,\"coverage\":%.6f",
		   (unsigned long long)q->snapshot->version, covered);
	buf_printf(&out, ",\"complete\":%s", complete ? "true" : "false");
	buf_printf(&out, ",\"elapsed_ms\":%.3f,\"requests\":%u,\"hedges\":%u",
		   (double)(node->now - q->start) / 1000, q->sent, q->hedges);
	add_missing(q, &out);
	add_rows(q, &out);
	node->counters[CNT_ANSWERED]++;
	node->counters[complete ? CNT_COMPLETE : CNT_PARTIAL]++;
	node_answer(node, q->caller, status, buf_str(&out));
	buf_free(&out);
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

static void finish(struct node *node, struct question *q, int code)
{
	for (size_t i = 0; i < q->nleafs; i++)
		close_all(node, q, &q->leafs[i]);
	steer_limit(node, q);
	if (!code)
		answer(node, q);
	drop(node, q);
}

void front_caller_gone(struct node *node, uint64_t caller)
{
	struct question *q =
		apr_hash_get(node->front->callers, &caller, sizeof(caller));

	if (!q)
		return;
	node->counters[CNT_CALLERS_GONE]++;
	finish(node, q, ERR_CANCELLED);
}

/* Replies. */

static void note_latency(struct node *node, const struct attempt *attempt)
{
	struct replica *replica = replica_get(node, attempt->target->key);
	int64_t took = node->now - attempt->sent_at;

	replica->latency_us += (took - replica->latency_us) >> EWMA_SHIFT;
	if (replica->latency_us < 1)
		replica->latency_us = 1;
	latency_add(node->front->latency, took);
}

static void note_failure(struct node *node, const struct question *q,
			 const struct attempt *attempt, int status)
{
	struct replica *replica = replica_get(node, attempt->target->key);

	if (status == ERR_WRONG_VERSION) {
		replica->lacks_version = q->snapshot->version;
		replica->lacks_until = node->now + LACKS_US;
		node->counters[CNT_LEAF_WRONG_VERSION]++;
	} else if (status == ERR_NOT_OWNER || status == ERR_GATE_LOST) {
		replica->epoch = UINT64_MAX;
	} else {
		replica->avoid_until = node->now + AVOID_US;
	}
	if (status == ERR_MALFORMED)
		node->counters[CNT_LEAF_MALFORMED]++;
}

/*
 * A reply counts only for the attempt that it answers: question, shard,
 * attempt number, and the node and incarnation that carried it. Anything else
 * is the late reply of an attempt that was given up, or of another process
 * that reuses the numbers; taking it would put one caller's rows, or another
 * snapshot's, into this answer.
 */
static struct attempt *find_attempt(struct question *q, struct str from,
				    uint64_t incarnation, const struct msg *msg,
				    struct leaf **leaf_out)
{
	if (msg->attempt < q->base)
		return NULL;

	uint32_t number = msg->attempt - q->base;
	size_t at = number / LEAF_ATTEMPTS;

	if (at >= q->nleafs)
		return NULL;

	struct leaf *leaf = &q->leafs[at];
	uint32_t i = number % LEAF_ATTEMPTS;

	if (i >= leaf->nattempts || leaf->shard->id != msg->shard)
		return NULL;

	struct attempt *attempt = &leaf->attempts[i];

	if (!attempt->open || attempt->gate != str_hash(from) ||
	    attempt->incarnation != incarnation)
		return NULL;
	*leaf_out = leaf;
	return attempt;
}

/* With the matching turned off (tests): any question with that shard. */
static struct attempt *find_loosely(struct node *node, const struct msg *msg,
				    struct question **q_out,
				    struct leaf **leaf_out)
{
	for (apr_hash_index_t *it =
		     apr_hash_first(NULL, node->front->questions);
	     it; it = apr_hash_next(it)) {
		void *value;

		apr_hash_this(it, NULL, NULL, &value);

		struct question *q = value;

		for (size_t i = 0; i < q->nleafs; i++) {
			struct leaf *leaf = &q->leafs[i];

			if (leaf->shard->id != msg->shard || !leaf->nattempts)
				continue;
			*q_out = q;
			*leaf_out = leaf;
			return &leaf->attempts[leaf->nattempts - 1];
		}
	}
	return NULL;
}

static void merge(struct node *node, struct question *q, struct leaf *leaf,
		  const struct attempt *attempt, const struct msg *msg)
{
	leaf->rows = str_dup(q->pool, msg->body);
	leaf->state = LEAF_MERGED;
	q->open_leafs--;
	q->covered += leaf->shard->weight;
	node->counters[CNT_LEAF_MERGED]++;
	if (attempt->hedge)
		node->counters[CNT_HEDGES_WON]++;
	earn_budget(node, q->plan.extra_load);
	close_all(node, q, leaf);
}

void front_reply(struct node *node, struct str from, uint64_t incarnation,
		 const struct msg *msg)
{
	uint64_t id = msg->id;
	struct question *q =
		apr_hash_get(node->front->questions, &id, sizeof(id));
	struct leaf *leaf = NULL;
	struct attempt *attempt = NULL;
	int status = msg->status;

	if (q && !q->waiting)
		attempt = find_attempt(q, from, incarnation, msg, &leaf);
	if (node->opt.off.no_attempt_match)
		attempt = find_loosely(node, msg, &q, &leaf);
	if (!attempt || leaf->state != LEAF_OPEN) {
		node->counters[CNT_LEAF_LATE]++;
		return;
	}
	if (!status && msg->version != q->snapshot->version &&
	    !node->opt.off.no_version_check)
		status = ERR_WRONG_VERSION;
	if (!status && (msg->body.len < 2 || msg->body.ptr[0] != '['))
		status = ERR_MALFORMED;
	close_attempt(node, attempt);
	if (msg->wait_us > q->worst_wait)
		q->worst_wait = msg->wait_us;
	if (!status) {
		note_latency(node, attempt);
		merge(node, q, leaf, attempt, msg);
	} else {
		if (status == ERR_QUEUE_FULL)
			q->worst_wait = q->plan.soft_us;
		note_failure(node, q, attempt, status);
		fail_over(node, q, leaf, status, msg->ran);
	}
	if (is_done(q))
		finish(node, q, 0);
}

/* Timers. */

static void retry_due(struct node *node, struct question *q)
{
	for (size_t i = 0; i < q->nleafs; i++) {
		struct leaf *leaf = &q->leafs[i];

		if (leaf->state != LEAF_OPEN || !leaf->retry_at ||
		    node->now < leaf->retry_at)
			continue;
		leaf->retry_at = 0;

		struct fleet_target *target =
			choose_replica(node, q, leaf, false);

		if (target && send_attempt(node, q, leaf, target, false))
			continue;
		if (!set_missing(node, q, leaf, leaf->why))
			return;
	}
}

void front_timer(struct node *node, uint64_t id)
{
	struct question *q =
		apr_hash_get(node->front->questions, &id, sizeof(id));

	if (!q || q->waiting)
		return;
	if (node->now >= q->soft_at)
		q->soft_passed = true;
	if (node->now < q->hard_at)
		retry_due(node, q);
	if (node->now >= q->hard_at || is_done(q))
		finish(node, q, 0);
}

/* Return: false when the budget is spent. */
static bool hedge_leaf(struct node *node, struct question *q, struct leaf *leaf,
		       int64_t delay)
{
	if (leaf->state != LEAF_OPEN || !leaf->nattempts)
		return true;

	const struct attempt *last = &leaf->attempts[leaf->nattempts - 1];

	if (!last->open || node->now - last->sent_at < delay ||
	    leaf->nattempts == HEDGED_ATTEMPTS)
		return true;

	/* A hedge can straggle too; the next may go to a replica once more. */
	struct fleet_target *target =
		choose_replica(node, q, leaf, !last->hedge);

	if (!target)
		return true;
	if (!take_budget(node)) {
		node->counters[CNT_HEDGES_DENIED]++;
		return false;
	}
	if (!send_attempt(node, q, leaf, target, true))
		return true;
	q->hedges++;
	node->counters[CNT_HEDGES]++;
	return true;
}

void front_hedge_timer(struct node *node, uint64_t id)
{
	struct question *q =
		apr_hash_get(node->front->questions, &id, sizeof(id));
	int64_t delay = hedge_delay(node);

	if (!q || q->waiting)
		return;
	for (size_t i = 0; i < q->nleafs; i++)
		if (!hedge_leaf(node, q, &q->leafs[i], delay))
			break;
	timer_add(&node->timers, node->now + delay / 2 + HEDGE_MIN_US,
		  TIMER_HEDGE, id);
}

static void question_gate_lost(struct node *node, struct question *q,
			       uint64_t gate, uint64_t incarnation)
{
	for (size_t i = 0; i < q->nleafs; i++) {
		struct leaf *leaf = &q->leafs[i];

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

void front_gate_lost(struct node *node, uint64_t gate, uint64_t incarnation)
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

		if (q->waiting)
			continue;
		question_gate_lost(node, q, gate, incarnation);
		if (is_done(q))
			APR_ARRAY_PUSH(done, struct question *) = q;
	}
	for (int i = 0; i < done->nelts; i++)
		finish(node, APR_ARRAY_IDX(done, i, struct question *), 0);
	apr_pool_destroy(pool);
}
