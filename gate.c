#include "gate.h"

#include <stddef.h>
#include <stdlib.h>

#include "health.h"
#include "xmalloc.h"

enum {
	INITIAL_SERVICE_US = 5000,
	QUEUE_MAX = 512,
	GRANT_TIMEOUT_US = 300000,
	CANCEL_GRACE_US = 2000000,
	VERIFY_IDLE_US = 45000,
	TOMBSTONE_TTL_US = 10000000,
	ENTRY_RETRY_US = 1000000,
};

/* Identifies a job in messages of its sender. */
struct job_key {
	uint64_t origin;
	uint64_t incarnation;
	uint64_t id;
	uint64_t attempt;
};

struct keyed_job {
	struct job_key key;
	struct job job;
};

static struct job_key *job_key_of(struct job *job)
{
	size_t offset = offsetof(struct keyed_job, job);

	return &((struct keyed_job *)((char *)job - offset))->key;
}

void gate_init(struct node *node)
{
	struct gate *gate = xcalloc(1, sizeof(*gate));

	node->gate = gate;
	apr_pool_create(&gate->pool, node->pool);
	gate->targets = hash_make(gate->pool);
	gate->jobs_by_number = hash_make(gate->pool);
	gate->jobs_by_key = hash_make(gate->pool);
}

static void job_free(struct node *node, struct job *job)
{
	struct gate *gate = node->gate;
	struct job_key *key = job_key_of(job);

	apr_hash_set(gate->jobs_by_number, &job->number, sizeof(job->number),
		     NULL);
	if (apr_hash_get(gate->jobs_by_key, key, sizeof(*key)) == job)
		apr_hash_set(gate->jobs_by_key, key, sizeof(*key), NULL);
	str_free(job->addr);
	str_free(job->index);
	str_free(job->terms);
	job->target->jobs--;
	if (job->state != JOB_TOMBSTONE)
		gate->open_jobs--;
	free(key);
}

void gate_target_free(struct target *target)
{
	str_free(target->name);
	str_free(target->addr);
	str_free(target->domain);
	free(target);
}

void gate_destroy(struct node *node)
{
	struct gate *gate = node->gate;
	apr_hash_index_t *it;
	void *value;

	for (it = apr_hash_first(gate->pool, gate->jobs_by_number); it;
	     it = apr_hash_next(it)) {
		apr_hash_this(it, NULL, NULL, &value);
		job_free(node, value);
	}
	for (it = apr_hash_first(gate->pool, gate->targets); it;
	     it = apr_hash_next(it)) {
		apr_hash_this(it, NULL, NULL, &value);
		gate_target_free(value);
	}
	apr_pool_destroy(gate->pool);
	free(gate);
}

size_t gate_open_count(const struct node *node)
{
	return node->gate->open_jobs;
}

bool gate_has_target(const struct node *node, uint64_t key)
{
	return apr_hash_get(node->gate->targets, &key, sizeof(key));
}

const struct target *gate_target_in_service(const struct node *node,
					    uint64_t key)
{
	const struct target *target =
		apr_hash_get(node->gate->targets, &key, sizeof(key));

	if (!target || !target->listed)
		return NULL;
	if (target->domain_out && !node->opt.off.no_domain_check)
		return NULL;
	if (target->listed_leaving && !node->opt.off.no_leaving_check)
		return NULL;
	return target;
}

/* Replies. */

static void send_reply(struct node *node, struct job *job, int status, bool ran,
		       struct str body)
{
	if (job->replied)
		return;
	job->replied = true;

	int64_t started = job->started_at ? job->started_at : node->now;
	struct msg msg = {
		.kind = job->is_entry ? MSG_GO_REPLY : MSG_LEAF_REPLY,
		.id = job->id,
		.attempt = job->attempt,
		.target = job->target->key,
		.shard = job->shard,
		.version = job->version,
		.status = status,
		.ran = ran,
		.wait_us = started - job->queued_at,
		.service_us = node->now - started,
		.hash = status ? job->boot : job->target->boot,
		.body = body,
	};

	if (status)
		job->target->refused++;
	node_send(node, job->addr, job->incarnation, &msg);
}

static void refuse_job(struct node *node, struct job *job, int status)
{
	node->counters[CNT_JOBS_REFUSED]++;
	send_reply(node, job, status, false, (struct str){ 0 });
	job_free(node, job);
}

/* The queue. */

static void enqueue(struct target *target, struct job *job)
{
	job->next = NULL;
	if (target->tail)
		target->tail->next = job;
	else
		target->head = job;
	target->tail = job;
	target->queued++;
}

static void enqueue_first(struct target *target, struct job *job)
{
	job->next = target->head;
	target->head = job;
	if (!target->tail)
		target->tail = job;
	target->queued++;
}

static struct job *dequeue(struct target *target)
{
	struct job *job = target->head;

	target->head = job->next;
	if (!target->head)
		target->tail = NULL;
	target->queued--;
	return job;
}

static void remove_queued(struct target *target, struct job *job)
{
	struct job **at = &target->head;
	struct job *before = NULL;

	while (*at && *at != job) {
		before = *at;
		at = &before->next;
	}
	if (!*at)
		return;
	*at = job->next;
	if (target->tail == job)
		target->tail = before;
	target->queued--;
}

void gate_refuse_queued(struct node *node, struct target *target, int status)
{
	while (target->head)
		refuse_job(node, dequeue(target), status);
}

/*
 * Returns 0 if the target may get new jobs now, or the error for the sender.
 * Checked on arrival and again at the start of each job, because the domain,
 * the VM list or the owner can change while a job is queued.
 */
static int refusal_reason(const struct node *node, const struct target *target)
{
	if (!target->owned)
		return ERR_NOT_OWNER;
	if (target->domain_out && !node->opt.off.no_domain_check)
		return ERR_DOMAIN_OUT;
	if ((target->listed_leaving || target->draining) &&
	    !node->opt.off.no_leaving_check)
		return ERR_TARGET_LEAVING;
	if (target->down)
		return ERR_TARGET_DOWN;
	if (member_isolated(node))
		return ERR_ISOLATED;
	return 0;
}

/* Dispatch. */

static void send_request(struct node *node, struct job *job,
			 enum fetch_kind kind, struct str body)
{
	struct target *target = job->target;
	struct effect *fx = effects_add(node->fx, FX_FETCH);

	fx->id = job->number;
	fx->job = job->number;
	fx->fetch = kind;
	fx->addr = str_dup(node->fx->pool, target->addr);
	fx->version = job->version;
	fx->shard = job->shard;
	fx->name = str_dup(node->fx->pool, job->index);
	fx->text = str_dup(node->fx->pool, job->terms);
	fx->body = str_dup(node->fx->pool, body);
	fx->wait_us = job->deadline - node->now;
	target->requests++;
	node->counters[CNT_TARGET_REQUESTS]++;
}

static void start_job(struct node *node, struct job *job)
{
	struct target *target = job->target;

	/*
	 * A restart of an idle target goes unnoticed, and all of its slots
	 * would be filled at once while it is cold. So one request is sent
	 * first; its reply has the boot id.
	 */
	if (!target->busy && !node->opt.off.no_ramp &&
	    node->now - target->replied_at > VERIFY_IDLE_US)
		target->unverified = true;
	target->busy++;
	if (!job->is_entry) {
		job->state = JOB_RUNNING;
		job->started_at = node->now;
		job->boot = target->boot;
		send_request(node, job, FETCH_LEAF, (struct str){ 0 });
		timer_add(&node->timers, job->deadline, TIMER_JOB, job->number);
		return;
	}
	job->state = JOB_GRANTED;
	/* The grant expires by this node's clock, independent of the issuer. */
	job->deadline = node->now + GRANT_TIMEOUT_US;
	timer_add(&node->timers, job->deadline, TIMER_JOB, job->number);

	struct msg grant = {
		.kind = MSG_GRANT,
		.id = job->id,
		.attempt = job->attempt,
		.remaining_us = GRANT_TIMEOUT_US,
	};

	node_send(node, job->addr, job->incarnation, &grant);
}

void gate_start_queued(struct node *node, struct target *target)
{
	int reason = target->head ? refusal_reason(node, target) : 0;

	if (reason) {
		gate_refuse_queued(node, target, reason);
		return;
	}
	/* After a pause, jobs wait for a confirmed view and gate_resume(). */
	if (!member_view_confirmed(node) && !node->opt.off.no_pause_check)
		return;
	if (node->now < target->start_after)
		return;
	while (target->head && target->busy < health_limit(target)) {
		struct job *job = dequeue(target);

		if (node->now < job->deadline) {
			start_job(node, job);
			continue;
		}
		node->counters[CNT_JOBS_EXPIRED]++;
		refuse_job(node, job, ERR_DEADLINE);
	}
}

/* Sends the state to the next gate once no job is in progress here. */
void gate_send_handover(struct node *node, struct target *target)
{
	struct vm *owner;
	struct msg msg = {
		.kind = MSG_HANDOVER,
		.target = target->key,
		.amount = target->limit,
		.service_us = target->baseline_us,
		.wait_us = target->step_interval_us,
		.hash = target->boot,
	};

	if (!target->handover_due || target->owned || target->busy)
		return;
	target->handover_due = false;
	owner = member_owner(node, target->key, target->domain);
	if (owner && owner->key != node->key)
		node_send(node, owner->addr, owner->incarnation, &msg);
}

static void release_slot(struct node *node, struct target *target)
{
	target->busy--;
	gate_send_handover(node, target);
	gate_start_queued(node, target);
}

/* Arrival. */

static struct job *job_find(struct node *node, uint64_t origin,
			    uint64_t incarnation, const struct msg *msg)
{
	struct job_key key = { origin, incarnation, msg->id, msg->attempt };

	return apr_hash_get(node->gate->jobs_by_key, &key, sizeof(key));
}

static struct job *job_create(struct node *node, struct target *target,
			      struct str from, uint64_t incarnation,
			      const struct msg *msg)
{
	struct gate *gate = node->gate;
	struct keyed_job *keyed = xcalloc(1, sizeof(*keyed));
	struct job *job = &keyed->job;

	keyed->key = (struct job_key){ str_hash(from), incarnation, msg->id,
				       msg->attempt };
	job->number = ++node->next_id;
	job->origin = keyed->key.origin;
	job->incarnation = incarnation;
	job->id = msg->id;
	job->attempt = msg->attempt;
	job->addr = str_heap_dup(from);
	job->is_entry = msg->kind == MSG_RESERVE;
	job->target = target;
	target->jobs++;
	job->shard = msg->shard;
	job->version = msg->version;
	job->index = str_heap_dup(msg->name);
	job->terms = str_heap_dup(msg->text);
	job->queued_at = node->now;
	job->deadline = node->now + msg->remaining_us;
	apr_hash_set(gate->jobs_by_number, &job->number, sizeof(job->number),
		     job);
	apr_hash_set(gate->jobs_by_key, &keyed->key, sizeof(keyed->key), job);
	gate->open_jobs++;
	return job;
}

/*
 * Keeps the queue just long enough to keep the slots busy: a request that would
 * miss its deadline is refused on arrival, while its front can still use
 * another replica.
 */
static bool would_miss_deadline(const struct target *target,
				const struct msg *msg)
{
	int64_t service =
		target->service_us ? target->service_us : INITIAL_SERVICE_US;
	int64_t ahead = (int64_t)target->queued + target->busy;
	int64_t wait = ahead * service / health_limit(target);

	return target->queued >= QUEUE_MAX ||
	       wait + service > msg->remaining_us;
}

static void accept_job(struct node *node, struct str from, uint64_t incarnation,
		       const struct msg *msg)
{
	struct target *target = apr_hash_get(node->gate->targets, &msg->target,
					     sizeof(msg->target));
	struct msg refusal = {
		.kind = msg->kind == MSG_RESERVE ? MSG_GO_REPLY
						 : MSG_LEAF_REPLY,
		.id = msg->id,
		.attempt = msg->attempt,
		.target = msg->target,
		.shard = msg->shard,
		.version = msg->version,
	};

	if (job_find(node, str_hash(from), incarnation, msg))
		return;
	if (!target)
		refusal.status = ERR_NOT_OWNER;
	else
		refusal.status = refusal_reason(node, target);
	if (!refusal.status && would_miss_deadline(target, msg))
		refusal.status = ERR_QUEUE_FULL;
	if (refusal.status) {
		node->counters[CNT_JOBS_REFUSED]++;
		node_send(node, from, incarnation, &refusal);
		return;
	}
	struct job *job = job_create(node, target, from, incarnation, msg);

	/* The question of a hedge or retry waits for few other replies. */
	if (msg->kind == MSG_LEAF && msg->state)
		enqueue_first(target, job);
	else
		enqueue(target, job);
	gate_start_queued(node, target);
}

void gate_on_leaf(struct node *node, struct str from, uint64_t incarnation,
		  const struct msg *msg)
{
	accept_job(node, from, incarnation, msg);
}

void gate_on_reserve(struct node *node, struct str from, uint64_t incarnation,
		     const struct msg *msg)
{
	accept_job(node, from, incarnation, msg);
}

/* A finished entry stays as a tombstone, so that a repeated GO finds it. */
static void set_tombstone(struct node *node, struct job *job)
{
	job->state = JOB_TOMBSTONE;
	job->deadline = node->now + TOMBSTONE_TTL_US;
	node->gate->open_jobs--;
	timer_add(&node->timers, node->now + TOMBSTONE_TTL_US, TIMER_JOB,
		  job->number);
}

/* For tests with grant expiry disabled: takes the slot again. */
static void reclaim_slot(struct job *job)
{
	if (job->state == JOB_TOMBSTONE && !job->started_at) {
		job->state = JOB_GRANTED;
		job->target->busy++;
	}
	job->deadline = INT64_MAX;
}

void gate_on_go(struct node *node, struct str from, uint64_t incarnation,
		const struct msg *msg)
{
	struct job *job = job_find(node, str_hash(from), incarnation, msg);

	if (job && node->opt.off.no_grant)
		reclaim_slot(job);
	if (job && job->state != JOB_GRANTED)
		return;
	/*
	 * A GO can wait in the socket while this process is paused. When it is
	 * read, the issuer may already have reported to its caller that the
	 * entry did not run. The deadline of the grant prevents a run here.
	 */
	if (!job || node->now >= job->deadline) {
		struct msg refusal = { .kind = MSG_GO_REPLY,
				       .id = msg->id,
				       .attempt = msg->attempt,
				       .status = ERR_GRANT_EXPIRED };

		node_send(node, from, incarnation, &refusal);
		return;
	}

	struct target *target = job->target;
	int reason = refusal_reason(node, target);

	if (!reason && !member_view_confirmed(node) && !node->opt.off.no_grant)
		reason = ERR_ISOLATED;
	if (reason) {
		send_reply(node, job, reason, false, (struct str){ 0 });
		set_tombstone(node, job);
		release_slot(node, target);
		return;
	}
	job->state = JOB_RUNNING;
	job->started_at = node->now;
	job->deadline = node->now + msg->remaining_us;
	send_request(node, job, FETCH_ENTRY, msg->body);
	timer_add(&node->timers, job->deadline, TIMER_JOB, job->number);
}

/*
 * A cancel request frees the slot soon and keeps the connection. Closing it
 * would cost the target and the next request a new connection.
 */
static void cancel_running(struct node *node, struct job *job)
{
	if (job->cancelled)
		return;
	job->cancelled = true;
	node->counters[CNT_TARGET_CANCELS]++;

	struct effect *fx = effects_add(node->fx, FX_FETCH);

	fx->id = 0;
	fx->job = job->number;
	fx->fetch = FETCH_CANCEL;
	fx->addr = str_dup(node->fx->pool, job->target->addr);
	fx->wait_us = CANCEL_GRACE_US;
	timer_add(&node->timers, node->now + CANCEL_GRACE_US, TIMER_JOB,
		  job->number);
}

static void cancel_job(struct node *node, struct job *job)
{
	struct target *target = job->target;

	switch (job->state) {
	case JOB_QUEUED:
		remove_queued(target, job);
		job_free(node, job);
		return;
	case JOB_GRANTED:
		job->replied = true;
		set_tombstone(node, job);
		release_slot(node, target);
		return;
	case JOB_RUNNING:
		/* A started entry continues: its outcome is needed. */
		if (job->is_entry)
			return;
		job->replied = true;
		cancel_running(node, job);
		return;
	case JOB_TOMBSTONE:
		return;
	}
}

void gate_on_cancel(struct node *node, struct str from, uint64_t incarnation,
		    const struct msg *msg)
{
	struct job *job = job_find(node, str_hash(from), incarnation, msg);

	if (job)
		cancel_job(node, job);
}

void gate_on_origin_lost(struct node *node, uint64_t origin,
			 uint64_t incarnation)
{
	apr_pool_t *pool;
	apr_hash_index_t *it;

	if (!node->gate)
		return;
	apr_pool_create(&pool, node->gate->pool);
	for (it = apr_hash_first(pool, node->gate->jobs_by_number); it;
	     it = apr_hash_next(it)) {
		void *value;

		apr_hash_this(it, NULL, NULL, &value);

		struct job *job = value;

		if (job->origin == origin && job->incarnation == incarnation &&
		    !job->replied)
			cancel_job(node, job);
	}
	apr_pool_destroy(pool);
}

/* Results. */

static int fetch_status(const struct node *node, const struct job *job,
			const struct parsed_reply *parsed_reply, bool *ran)
{
	*ran = true;
	switch (parsed_reply->result) {
	case FETCH_REFUSED:
		*ran = false;
		return ERR_TARGET_DOWN;
	case FETCH_BROKEN:
		return ERR_BROKEN;
	case FETCH_TIMEOUT:
		return ERR_DEADLINE;
	case FETCH_MALFORMED:
		return ERR_MALFORMED;
	case FETCH_OK:
		break;
	}
	if (parsed_reply->status == 503) {
		*ran = false;
		return parsed_reply->draining ? ERR_TARGET_LEAVING
					      : ERR_TARGET_SHED;
	}
	if (parsed_reply->status == 409)
		return ERR_WRONG_VERSION;
	if (parsed_reply->status != 200 || parsed_reply->job != job->number)
		return ERR_MALFORMED;
	if (job->is_entry)
		return 0;
	if (parsed_reply->shard != job->shard)
		return ERR_MALFORMED;
	if (parsed_reply->version != job->version &&
	    !node->opt.off.no_version_check)
		return ERR_WRONG_VERSION;
	return 0;
}

void gate_on_fetch_done(struct node *node, uint64_t number,
			const struct parsed_reply *parsed_reply)
{
	struct gate *gate = node->gate;
	struct job *job =
		apr_hash_get(gate->jobs_by_number, &number, sizeof(number));

	node->counters[CNT_TARGET_RESENT] += (uint64_t)parsed_reply->resent;
	if (!job) {
		/* The number of a probe is the key of its target. */
		struct target *target =
			apr_hash_get(gate->targets, &number, sizeof(number));

		if (target && target->probing)
			health_record_probe(node, target, parsed_reply);
		return;
	}
	if (job->state != JOB_RUNNING)
		return;

	struct target *target = job->target;
	bool ran;
	int status = fetch_status(node, job, parsed_reply, &ran);

	health_record_reply(node, target, job, parsed_reply, status);
	send_reply(node, job, status, ran, parsed_reply->body);
	if (job->is_entry)
		set_tombstone(node, job);
	else
		job_free(node, job);
	release_slot(node, target);
}

void gate_on_job_timer(struct node *node, uint64_t number)
{
	struct job *job = apr_hash_get(node->gate->jobs_by_number, &number,
				       sizeof(number));

	if (!job || job->state == JOB_QUEUED || node->now < job->deadline)
		return;

	struct target *target = job->target;

	if (job->state == JOB_TOMBSTONE) {
		job_free(node, job);
	} else if (job->state == JOB_GRANTED) {
		send_reply(node, job, ERR_GRANT_EXPIRED, false,
			   (struct str){ 0 });
		set_tombstone(node, job);
		release_slot(node, target);
	} else if (!job->cancelled && !job->is_entry) {
		send_reply(node, job, ERR_DEADLINE, true, (struct str){ 0 });
		job->deadline = node->now + CANCEL_GRACE_US;
		cancel_running(node, job);
	}
}
