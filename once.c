#include "once.h"

#include <stdlib.h>

#include "gate.h"
#include "quota.h"
#include "ticket.h"
#include "xmalloc.h"

enum {
	ENTRY_MAX_TIMEOUT_US = 8000000,
	ATTEMPTS_MAX = 6,
	RESERVE_RETRY_US = 30000,
	RESULT_KEPT_MAX_BYTES = 4096,
	RECORDS_MAX = 20000,
	FORWARD_GRACE_US = 250000,
};

/** struct forward - a caller's request that was forwarded to an issuer */
struct forward {
	uint64_t id;
	uint64_t caller;
	enum forward_kind kind;
	uint64_t issuer;
	uint64_t incarnation;
};

void once_init(struct node *node)
{
	struct once *once = xcalloc(1, sizeof(*once));

	node->once = once;
	apr_pool_create(&once->pool, node->pool);
	once->records = hash_make(once->pool);
	once->forwards = hash_make(once->pool);
	once->secret = rng_next(&node->rng);
}

static void record_free(struct record *record)
{
	if (record->pool)
		apr_pool_destroy(record->pool);
	str_free(record->request_id);
	str_free(record->result);
	free(record);
}

void once_destroy(struct node *node)
{
	struct once *once = node->once;
	apr_hash_index_t *it;

	while (once->oldest) {
		struct record *record = once->oldest;

		once->oldest = record->newer;
		record_free(record);
	}
	for (it = apr_hash_first(once->pool, once->forwards); it;
	     it = apr_hash_next(it)) {
		void *value;

		apr_hash_this(it, NULL, NULL, &value);
		free(value);
	}
	apr_pool_destroy(once->pool);
	free(once);
}

size_t once_open_count(const struct node *node)
{
	const struct once *once = node->once;
	size_t tickets = once->unused_tickets;

	if (node->now - once->issued_at >= TICKET_VALID_US)
		tickets = 0;
	return once->open_records + apr_hash_count(once->forwards) + tickets;
}

/* Answers. */

static int record_to_json(const struct record *record, struct buf *out)
{
	buf_str_add(out, STR("{\"request_id\":"));
	buf_json_add(out, record->request_id);
	if (record->state == RECORD_DONE) {
		buf_printf(out, ",\"outcome\":\"done\",\"entry\":%.*s}",
			   STR_ARG(record->result));
		return 200;
	}

	bool not_run = record->state == RECORD_NOT_RUN;
	const char *text =
		not_run ? "it did not run and never will under this ticket"
			: "it may have run";
	struct buf error = { 0 };

	error_json(&error, record->code, text,
		   not_run ? record->retry_us / 1000 : 0);
	buf_printf(out, ",\"outcome\":\"%s\",%.*s",
		   not_run ? "not_run" : "unknown", (int)error.len - 1,
		   error.ptr + 1);
	buf_free(&error);

	int status = error_info(record->code)->status;

	return not_run || status == 503 ? status : 504;
}

static int outcome_to_json(struct str request_id, const char *outcome, int code,
			   const char *text, int64_t retry_us,
			   struct str ticket, struct buf *out)
{
	struct buf error = { 0 };

	buf_str_add(out, STR("{\"request_id\":"));
	buf_json_add(out, request_id);
	error_json(&error, code, text, retry_us / 1000);
	buf_printf(out, ",\"outcome\":\"%s\",", outcome);
	if (ticket.len)
		buf_printf(out, "\"ticket\":\"%.*s\",", STR_ARG(ticket));
	buf_add(out, error.ptr + 1, error.len - 1);
	buf_free(&error);
	return error_info(code)->status;
}

void once_reply(struct node *node, const struct waiter *waiter, int status,
		struct str body)
{
	if (!waiter->addr.len) {
		node_answer(node, waiter->caller, status, body);
		return;
	}

	struct msg msg = { .kind = MSG_FORWARD_REPLY,
			   .id = waiter->forward,
			   .status = status,
			   .body = body };

	node_send(node, waiter->addr, waiter->incarnation, &msg);
}

void once_reply_outcome(struct node *node, const struct waiter *waiter,
			struct str request_id, const char *outcome, int code,
			const char *text, int64_t retry_us, struct str ticket)
{
	struct buf out = { 0 };
	int status = outcome_to_json(request_id, outcome, code, text, retry_us,
				     ticket, &out);

	once_reply(node, waiter, status, buf_str(&out));
	buf_free(&out);
}

void once_reply_record(struct node *node, const struct record *record,
		       const struct waiter *waiter)
{
	struct buf out = { 0 };
	int status = record_to_json(record, &out);

	once_reply(node, waiter, status, buf_str(&out));
	buf_free(&out);
}

/* Records. */

struct record *once_record_find(const struct node *node, uint64_t seq)
{
	return apr_hash_get(node->once->records, &seq, sizeof(seq));
}

bool once_is_final(const struct record *record)
{
	return record->state >= RECORD_DONE;
}

/*
 * The number of records is limited, because the memory of a VM is. A ticket
 * whose record may have been evicted is answered "unknown", since "not run"
 * could be false.
 */
static void evict_records(struct node *node)
{
	struct once *once = node->once;

	while (once->count > RECORDS_MAX && once->oldest &&
	       once_is_final(once->oldest)) {
		struct record *record = once->oldest;

		once->oldest = record->newer;
		if (once->oldest)
			once->oldest->older = NULL;
		if (record->seq > once->evicted_seq)
			once->evicted_seq = record->seq;
		apr_hash_set(once->records, &record->seq, sizeof(record->seq),
			     NULL);
		once->count--;
		record_free(record);
	}
}

struct record *once_record_create(struct node *node, uint64_t seq,
				  struct str body)
{
	struct once *once = node->once;
	struct error err;
	apr_pool_t *pool;
	struct record *record;

	apr_pool_create(&pool, once->pool);
	record = xcalloc(1, sizeof(*record));
	record->pool = pool;
	record->seq = seq;
	request_parse_entry(body, false, pool, &record->request, &err);
	record->request_id = str_heap_dup(record->request.request_id);
	record->customer = str_hash(record->request.customer);
	record->body_hash = str_hash(record->request.entry);
	record->state = RECORD_RESERVING;

	int64_t timeout_us = record->request.deadline_us;

	if (!timeout_us)
		timeout_us = ONCE_DEFAULT_TIMEOUT_US;
	if (timeout_us > ENTRY_MAX_TIMEOUT_US)
		timeout_us = ENTRY_MAX_TIMEOUT_US;
	record->deadline = node->now + timeout_us;
	record->older = once->newest;
	if (once->newest)
		once->newest->newer = record;
	else
		once->oldest = record;
	once->newest = record;
	apr_hash_set(once->records, &record->seq, sizeof(record->seq), record);
	once->count++;
	once->open_records++;
	if (once->unused_tickets)
		once->unused_tickets--;
	evict_records(node);
	return record;
}

void once_add_waiter(struct record *record, const struct waiter *waiter)
{
	struct waiter *copy = apr_palloc(record->pool, sizeof(*copy));

	*copy = *waiter;
	copy->addr = str_dup(record->pool, waiter->addr);
	copy->next = record->waiters;
	record->waiters = copy;
}

static void set_outcome(struct node *node, struct record *record,
			enum record_state state, int code, struct str result)
{
	static const enum counter counters[] = {
		[RECORD_DONE] = CNT_ENTRIES_DONE,
		[RECORD_NOT_RUN] = CNT_ENTRIES_NOT_RUN,
		[RECORD_UNKNOWN] = CNT_ENTRIES_UNKNOWN,
	};

	if (!once_is_final(record))
		node->once->open_records--;
	record->state = state;
	record->code = code;
	str_free(record->result);
	record->result = str_heap_dup(result);
	if (!record->retry_us)
		record->retry_us = ONCE_RETRY_AFTER_US;
	node->counters[counters[state]]++;
	for (struct waiter *w = record->waiters; w; w = w->next)
		once_reply_record(node, record, w);
	record->waiters = NULL;
	if (record->result.len > RESULT_KEPT_MAX_BYTES) {
		str_free(record->result);
		record->result = str_heap_dup(STR("{\"omitted\":true}"));
	}
	record->request = (struct entry_request){ 0 };
	if (record->pool)
		apr_pool_destroy(record->pool);
	record->pool = NULL;
}

void once_set_not_run(struct node *node, struct record *record, int code)
{
	set_outcome(node, record, RECORD_NOT_RUN, code, (struct str){ 0 });
}

/* Reservation of a slot, then sending of the body. */

static const struct shard *find_shard(const struct fleet *fleet,
				      const struct entry_request *request,
				      uint64_t *version)
{
	for (size_t i = 0; i < fleet->nsnapshots; i++) {
		size_t count;
		const struct shard *shards = snapshot_index_shards(
			&fleet->snapshots[i], request->index, &count);

		*version = fleet->snapshots[i].version;
		for (size_t j = 0; j < count; j++)
			if (shards[j].from <= request->key &&
			    request->key < shards[j].to)
				return &shards[j];
	}
	return NULL;
}

/* Returns the replica in service with the number @n, modulo their count. */
static struct fleet_target *nth_usable_replica(const struct node *node,
					       const struct shard *shard,
					       uint32_t n)
{
	size_t usable = 0;

	for (size_t i = 0; i < shard->nreplicas; i++)
		if (gate_target_in_service(node, shard->replicas[i]->key))
			usable++;
	if (!usable)
		return NULL;
	n %= usable;
	for (size_t i = 0; i < shard->nreplicas; i++)
		if (gate_target_in_service(node, shard->replicas[i]->key) &&
		    !n--)
			return shard->replicas[i];
	return NULL;
}

void once_reserve(struct node *node, struct record *record, int error_code)
{
	uint64_t version;
	const struct shard *shard =
		find_shard(node->fleet, &record->request, &version);
	struct fleet_target *target = NULL;
	struct vm *gate = NULL;

	if (shard)
		target = nth_usable_replica(node, shard, record->attempt);
	if (target)
		gate = member_owner(node, target->key, target->domain->name);
	if (!gate || record->attempt == ATTEMPTS_MAX) {
		once_set_not_run(node, record,
				 error_code ? error_code : ERR_NO_REPLICA);
		return;
	}
	record->attempt++;
	record->state = RECORD_RESERVING;
	record->gate = gate->key;
	record->gate_incarnation = gate->incarnation;

	struct msg msg = {
		.kind = MSG_RESERVE,
		.id = record->seq,
		.attempt = record->attempt,
		.target = target->key,
		.shard = shard->id,
		.version = version,
		.remaining_us = record->deadline - node->now,
		.name = record->request.index,
	};

	node_send(node, gate->addr, gate->incarnation, &msg);
}

/*
 * The body was not sent, so another attempt is safe. It is delayed, because
 * after a membership change the views of the target's owner differ for a while,
 * and all attempts would be used up in that time.
 */
static void schedule_reserve(struct node *node, struct record *record,
			     int error_code)
{
	record->gate = 0;
	record->code = error_code;
	record->retry_at = node->now + RESERVE_RETRY_US * record->attempt;
	timer_add(&node->timers, record->retry_at, TIMER_RECORD, record->seq);
}

static bool is_from_gate(const struct record *record, struct str from,
			 uint64_t incarnation, const struct msg *msg)
{
	return record->gate == str_hash(from) &&
	       record->gate_incarnation == incarnation &&
	       record->attempt == msg->attempt;
}

static void release_reservation(struct node *node, const struct record *record,
				struct str addr)
{
	struct msg msg = { .kind = MSG_RELEASE,
			   .id = record->seq,
			   .attempt = record->attempt };

	node_send(node, addr, record->gate_incarnation, &msg);
}

void once_on_grant(struct node *node, struct str from, uint64_t incarnation,
		   const struct msg *msg)
{
	struct record *record = once_record_find(node, msg->id);

	if (!record || record->state != RECORD_RESERVING ||
	    !is_from_gate(record, from, incarnation, msg))
		return;
	if (node->now >= record->deadline) {
		release_reservation(node, record, from);
		once_set_not_run(node, record, ERR_DEADLINE);
		return;
	}
	/* The body is sent only here, and only from RECORD_RESERVING. */
	record->state = RECORD_SENT;

	struct msg go = {
		.kind = MSG_GO,
		.id = record->seq,
		.attempt = record->attempt,
		.remaining_us = record->deadline - node->now,
		.body = record->request.entry,
	};

	node_send(node, from, incarnation, &go);
}

void once_on_go_reply(struct node *node, struct str from, uint64_t incarnation,
		      const struct msg *msg)
{
	struct record *record = once_record_find(node, msg->id);

	if (!record || !is_from_gate(record, from, incarnation, msg))
		return;
	if (record->state == RECORD_RESERVING && msg->status && !msg->ran) {
		schedule_reserve(node, record, msg->status);
		return;
	}
	/* A late reply can resolve "unknown", but only "done" is certain. */
	if (record->state == RECORD_UNKNOWN && !msg->status) {
		set_outcome(node, record, RECORD_DONE, 0, msg->body);
		return;
	}
	if (record->state != RECORD_SENT)
		return;
	if (!msg->status)
		set_outcome(node, record, RECORD_DONE, 0, msg->body);
	else
		set_outcome(node, record,
			    msg->ran ? RECORD_UNKNOWN : RECORD_NOT_RUN,
			    msg->status, (struct str){ 0 });
}

static void end_record(struct node *node, struct record *record, int code)
{
	struct vm *gate = member_find(node, record->gate);

	if (record->state == RECORD_SENT) {
		set_outcome(node, record, RECORD_UNKNOWN, code,
			    (struct str){ 0 });
		return;
	}
	if (gate && record->state == RECORD_RESERVING)
		release_reservation(node, record, gate->addr);
	once_set_not_run(node, record, code);
}

void once_on_record_timer(struct node *node, uint64_t seq)
{
	struct record *record = once_record_find(node, seq);

	if (!record || once_is_final(record))
		return;
	if (record->retry_at && node->now >= record->retry_at &&
	    node->now < record->deadline) {
		record->retry_at = 0;
		once_reserve(node, record, record->code);
		return;
	}
	if (node->now >= record->deadline)
		end_record(node, record, ERR_DEADLINE);
}

static void record_gate_lost(struct node *node, struct record *record)
{
	if (record->state == RECORD_RESERVING)
		schedule_reserve(node, record, ERR_GATE_LOST);
	else if (record->state == RECORD_SENT)
		set_outcome(node, record, RECORD_UNKNOWN, ERR_GATE_LOST,
			    (struct str){ 0 });
}

/* Forwards. */

static void forward_finish(struct node *node, struct forward *forward,
			   int status, struct str body)
{
	uint64_t caller = forward->caller;

	apr_hash_set(node->once->forwards, &forward->id, sizeof(forward->id),
		     NULL);
	free(forward);
	node_answer(node, caller, status, body);
}

static void forward_fail(struct node *node, struct forward *forward)
{
	struct buf out = { 0 };
	bool ticket_request = forward->kind == FORWARD_TICKET;
	int code = ticket_request ? ERR_OVERLOADED : ERR_ISSUER_GONE;
	int status = outcome_to_json(
		(struct str){ 0 }, ticket_request ? "not_run" : "unknown", code,
		ticket_request ? "no ticket was issued"
			       : "the VM that issued the ticket did "
				 "not answer",
		ticket_request ? ONCE_RETRY_AFTER_US : 0, (struct str){ 0 },
		&out);

	forward_finish(node, forward, status, buf_str(&out));
	buf_free(&out);
}

void once_forward_to(struct node *node, uint64_t caller, const struct vm *vm,
		     enum forward_kind kind, struct str body)
{
	struct forward *forward = xcalloc(1, sizeof(*forward));
	struct msg msg = { .kind = MSG_FORWARD, .attempt = kind, .body = body };

	forward->id = ++node->next_id;
	forward->caller = caller;
	forward->kind = kind;
	forward->issuer = vm->key;
	forward->incarnation = vm->incarnation;
	apr_hash_set(node->once->forwards, &forward->id, sizeof(forward->id),
		     forward);
	msg.id = forward->id;
	node->counters[CNT_FORWARDS]++;
	node_send(node, vm->addr, vm->incarnation, &msg);
	timer_add(&node->timers,
		  node->now + ENTRY_MAX_TIMEOUT_US + FORWARD_GRACE_US,
		  TIMER_FORWARD, forward->id);
}

void once_on_forward_timer(struct node *node, uint64_t id)
{
	struct forward *forward =
		apr_hash_get(node->once->forwards, &id, sizeof(id));

	if (forward)
		forward_fail(node, forward);
}

void once_on_forward_reply(struct node *node, struct str from,
			   uint64_t incarnation, const struct msg *msg)
{
	uint64_t id = msg->id;
	struct forward *forward =
		apr_hash_get(node->once->forwards, &id, sizeof(id));

	if (!forward || forward->issuer != str_hash(from) ||
	    forward->incarnation != incarnation)
		return;
	forward_finish(node, forward, msg->status, msg->body);
}

void once_on_caller_gone(struct node *node, uint64_t caller)
{
	if (!node->once->open_records)
		return;
	for (struct record *r = node->once->newest; r; r = r->older) {
		if (once_is_final(r))
			continue;
		for (struct waiter **at = &r->waiters; *at;) {
			if (!(*at)->addr.len && (*at)->caller == caller)
				*at = (*at)->next;
			else
				at = &(*at)->next;
		}
	}
}

static void fail_forwards(struct node *node, uint64_t key, uint64_t incarnation)
{
	for (;;) {
		struct forward *lost = NULL;
		apr_hash_index_t *it;

		for (it = apr_hash_first(NULL, node->once->forwards); it;
		     it = apr_hash_next(it)) {
			void *value;

			apr_hash_this(it, NULL, NULL, &value);

			struct forward *forward = value;

			if (forward->issuer == key &&
			    forward->incarnation == incarnation)
				lost = forward;
		}
		if (!lost)
			return;
		forward_fail(node, lost);
	}
}

void once_end(struct node *node)
{
	apr_hash_index_t *it;

	for (struct record *r = node->once->newest; r; r = r->older)
		if (!once_is_final(r))
			end_record(node, r, ERR_STOPPING);
	while ((it = apr_hash_first(NULL, node->once->forwards)))
		forward_fail(node, hash_value(it));
}

void once_on_peer_lost(struct node *node, uint64_t key, uint64_t incarnation)
{
	if (!node->once)
		return;
	fail_forwards(node, key, incarnation);
	for (struct record *r = node->once->newest; r; r = r->older)
		if (!once_is_final(r) && r->gate == key &&
		    r->gate_incarnation == incarnation)
			record_gate_lost(node, r);
}
