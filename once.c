#include "once.h"

#include <stdlib.h>

#include "gate.h"
#include "quota.h"
#include "ticket.h"
#include "xmalloc.h"

enum {
	ENTRY_DEFAULT_US = 2000000,
	ENTRY_MAX_US = 8000000,
	ATTEMPTS_MAX = 6,
	ATTEMPT_WAIT_US = 30000,
	RESULT_KEPT = 4096,
	RECORDS_MAX = 20000,
	FORWARD_GRACE_US = 250000,
	RETRY_US = 500000,
};

/** enum forward_kind - what the issuer is asked for */
enum forward_kind {
	FORWARD_ENTRY,
	FORWARD_LOOKUP,
	FORWARD_TICKET,
};

/** struct forward - a caller's request that another node answers */
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

size_t once_open(const struct node *node)
{
	const struct once *once = node->once;
	size_t tickets = once->unused;

	if (node->now - once->issued_at >= TICKET_US)
		tickets = 0;
	return once->open + apr_hash_count(once->forwards) + tickets;
}

/* Answers. */

static int outcome_json(const struct record *record, struct buf *out)
{
	buf_str_add(out, STR("{\"request_id\":"));
	buf_json_add(out, record->request_id);
	if (record->state == RECORD_DONE) {
		buf_printf(out, ",\"outcome\":\"done\",\"entry\":%.*s}",
			   STR_ARG(record->result));
		return 200;
	}

	bool not_run = record->state == RECORD_NOT_RUN;
	const char *text = not_run ? "it did not run and never will under "
				     "this ticket"
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

static int plain_json(struct str request_id, const char *outcome, int code,
		      const char *text, int64_t retry_us, struct str ticket,
		      struct buf *out)
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

static void tell(struct node *node, const struct waiter *waiter, int status,
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

static void tell_plain(struct node *node, const struct waiter *waiter,
		       struct str request_id, const char *outcome, int code,
		       const char *text, int64_t retry_us, struct str ticket)
{
	struct buf out = { 0 };
	int status = plain_json(request_id, outcome, code, text, retry_us,
				ticket, &out);

	tell(node, waiter, status, buf_str(&out));
	buf_free(&out);
}

static void tell_record(struct node *node, const struct record *record,
			const struct waiter *waiter)
{
	struct buf out = { 0 };
	int status = outcome_json(record, &out);

	tell(node, waiter, status, buf_str(&out));
	buf_free(&out);
}

/* Records. */

static struct record *record_find(const struct node *node, uint64_t seq)
{
	return apr_hash_get(node->once->records, &seq, sizeof(seq));
}

static bool is_final(const struct record *record)
{
	return record->state >= RECORD_DONE;
}

/*
 * Records are bounded, since a VM's memory is. A ticket whose record may have
 * been dropped is answered "unknown": saying "not run" for it could be false.
 */
static void evict(struct node *node)
{
	struct once *once = node->once;

	while (once->count > RECORDS_MAX && once->oldest &&
	       is_final(once->oldest)) {
		struct record *record = once->oldest;

		once->oldest = record->newer;
		if (once->oldest)
			once->oldest->older = NULL;
		if (record->seq > once->evicted)
			once->evicted = record->seq;
		apr_hash_set(once->records, &record->seq, sizeof(record->seq),
			     NULL);
		once->count--;
		record_free(record);
	}
}

static struct record *record_create(struct node *node, uint64_t seq,
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
	entry_parse(body, false, pool, &record->entry, &err);
	record->request_id = str_keep(record->entry.request_id);
	record->customer = str_hash(record->entry.customer);
	record->body_hash = str_hash(record->entry.entry);
	record->state = RECORD_RESERVE;

	int64_t allowed = record->entry.deadline_us;

	if (!allowed)
		allowed = ENTRY_DEFAULT_US;
	if (allowed > ENTRY_MAX_US)
		allowed = ENTRY_MAX_US;
	record->deadline = node->now + allowed;
	record->older = once->newest;
	if (once->newest)
		once->newest->newer = record;
	else
		once->oldest = record;
	once->newest = record;
	apr_hash_set(once->records, &record->seq, sizeof(record->seq), record);
	once->count++;
	once->open++;
	if (once->unused)
		once->unused--;
	evict(node);
	return record;
}

static void add_waiter(struct record *record, const struct waiter *waiter)
{
	struct waiter *copy = apr_palloc(record->pool, sizeof(*copy));

	*copy = *waiter;
	copy->addr = str_dup(record->pool, waiter->addr);
	copy->next = record->waiters;
	record->waiters = copy;
}

static void conclude(struct node *node, struct record *record,
		     enum record_state state, int code, struct str result)
{
	static const enum counter counters[] = {
		[RECORD_DONE] = CNT_ENTRIES_DONE,
		[RECORD_NOT_RUN] = CNT_ENTRIES_NOT_RUN,
		[RECORD_UNKNOWN] = CNT_ENTRIES_UNKNOWN,
	};

	if (!is_final(record))
		node->once->open--;
	record->state = state;
	record->code = code;
	str_free(record->result);
	record->result = str_keep(result);
	if (!record->retry_us)
		record->retry_us = RETRY_US;
	node->counters[counters[state]]++;
	for (struct waiter *w = record->waiters; w; w = w->next)
		tell_record(node, record, w);
	record->waiters = NULL;
	if (record->result.len > RESULT_KEPT) {
		str_free(record->result);
		record->result = str_keep(STR("{\"omitted\":true}"));
	}
	record->entry = (struct entry){ 0 };
	if (record->pool)
		apr_pool_destroy(record->pool);
	record->pool = NULL;
}

static void set_not_run(struct node *node, struct record *record, int code)
{
	conclude(node, record, RECORD_NOT_RUN, code, (struct str){ 0 });
}

/* Two steps: a slot first, then the body. */

static const struct shard *find_shard(const struct fleet *fleet,
				      const struct entry *entry,
				      uint64_t *version)
{
	for (size_t i = 0; i < fleet->nsnapshots; i++) {
		size_t count;
		const struct shard *shards = snapshot_range(
			&fleet->snapshots[i], entry->index, &count);

		*version = fleet->snapshots[i].version;
		for (size_t j = 0; j < count; j++)
			if (shards[j].from <= entry->key &&
			    entry->key < shards[j].to)
				return &shards[j];
	}
	return NULL;
}

/* The @n-th replica that is in service, counting around. */
static struct fleet_target *
usable_replica(const struct node *node, const struct shard *shard, uint32_t n)
{
	size_t usable = 0;

	for (size_t i = 0; i < shard->nreplicas; i++)
		if (gate_listed(node, shard->replicas[i]->key))
			usable++;
	if (!usable)
		return NULL;
	n %= usable;
	for (size_t i = 0; i < shard->nreplicas; i++)
		if (gate_listed(node, shard->replicas[i]->key) && !n--)
			return shard->replicas[i];
	return NULL;
}

static void reserve(struct node *node, struct record *record, int why)
{
	uint64_t version;
	const struct shard *shard =
		find_shard(node->fleet, &record->entry, &version);
	struct fleet_target *target = NULL;
	struct vm *gate = NULL;

	if (shard)
		target = usable_replica(node, shard, record->attempt);
	if (target)
		gate = member_owner(node, target->key, target->domain->name);
	if (!gate || record->attempt == ATTEMPTS_MAX) {
		set_not_run(node, record, why ? why : ERR_NO_REPLICA);
		return;
	}
	record->attempt++;
	record->state = RECORD_RESERVE;
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
		.name = record->entry.index,
	};

	node_send(node, gate->addr, gate->incarnation, &msg);
}

/*
 * Nothing was sent, so another attempt is safe. A moment later: when nodes
 * come or go the views of who owns the target differ for a while, and all of
 * the attempts would be spent within it.
 */
static void reserve_later(struct node *node, struct record *record, int why)
{
	record->gate = 0;
	record->code = why;
	record->retry_at = node->now + ATTEMPT_WAIT_US * record->attempt;
	timer_add(&node->timers, record->retry_at, TIMER_RECORD, record->seq);
}

static bool is_from_gate(const struct record *record, struct str from,
			 uint64_t incarnation, const struct msg *msg)
{
	return record->gate == str_hash(from) &&
	       record->gate_incarnation == incarnation &&
	       record->attempt == msg->attempt;
}

static void release(struct node *node, const struct record *record,
		    struct str addr)
{
	struct msg msg = { .kind = MSG_RELEASE,
			   .id = record->seq,
			   .attempt = record->attempt };

	node_send(node, addr, record->gate_incarnation, &msg);
}

void once_grant(struct node *node, struct str from, uint64_t incarnation,
		const struct msg *msg)
{
	struct record *record = record_find(node, msg->id);

	if (!record || record->state != RECORD_RESERVE ||
	    !is_from_gate(record, from, incarnation, msg))
		return;
	if (node->now >= record->deadline) {
		release(node, record, from);
		set_not_run(node, record, ERR_DEADLINE);
		return;
	}
	/* The only place that lets a body out, and only from this state. */
	record->state = RECORD_SENT;

	struct msg go = {
		.kind = MSG_GO,
		.id = record->seq,
		.attempt = record->attempt,
		.remaining_us = record->deadline - node->now,
		.body = record->entry.entry,
	};

	node_send(node, from, incarnation, &go);
}

void once_go_reply(struct node *node, struct str from, uint64_t incarnation,
		   const struct msg *msg)
{
	struct record *record = record_find(node, msg->id);

	if (!record || !is_from_gate(record, from, incarnation, msg))
		return;
	if (record->state == RECORD_RESERVE && msg->status && !msg->ran) {
		reserve_later(node, record, msg->status);
		return;
	}
	/* A late word can settle an "unknown"; only "done" is beyond doubt. */
	if (record->state == RECORD_UNKNOWN && !msg->status) {
		conclude(node, record, RECORD_DONE, 0, msg->body);
		return;
	}
	if (record->state != RECORD_SENT)
		return;
	if (!msg->status)
		conclude(node, record, RECORD_DONE, 0, msg->body);
	else
		conclude(node, record,
			 msg->ran ? RECORD_UNKNOWN : RECORD_NOT_RUN,
			 msg->status, (struct str){ 0 });
}

void once_timer(struct node *node, uint64_t seq)
{
	struct record *record = record_find(node, seq);

	if (!record || is_final(record))
		return;
	if (record->retry_at && node->now >= record->retry_at &&
	    node->now < record->deadline) {
		record->retry_at = 0;
		reserve(node, record, record->code);
		return;
	}
	if (node->now < record->deadline)
		return;
	if (record->state == RECORD_SENT) {
		conclude(node, record, RECORD_UNKNOWN, ERR_DEADLINE,
			 (struct str){ 0 });
		return;
	}

	struct vm *gate = member_find(node, record->gate);

	if (gate && record->state == RECORD_RESERVE)
		release(node, record, gate->addr);
	set_not_run(node, record, ERR_DEADLINE);
}

static void record_gate_lost(struct node *node, struct record *record)
{
	if (record->state == RECORD_RESERVE)
		reserve_later(node, record, ERR_GATE_LOST);
	else if (record->state == RECORD_SENT)
		conclude(node, record, RECORD_UNKNOWN, ERR_GATE_LOST,
			 (struct str){ 0 });
}

/* Forwards. */

static void forward_end(struct node *node, struct forward *forward, int status,
			struct str body)
{
	uint64_t caller = forward->caller;

	apr_hash_set(node->once->forwards, &forward->id, sizeof(forward->id),
		     NULL);
	free(forward);
	node_answer(node, caller, status, body);
}

static void forward_lost(struct node *node, struct forward *forward)
{
	struct buf out = { 0 };
	bool harmless = forward->kind == FORWARD_TICKET;
	int code = harmless ? ERR_OVERLOADED : ERR_ISSUER_GONE;
	int status = plain_json(
		(struct str){ 0 }, harmless ? "not_run" : "unknown", code,
		harmless ? "no ticket was issued"
			 : "the VM that issued the ticket did "
			   "not answer",
		harmless ? RETRY_US : 0, (struct str){ 0 }, &out);

	forward_end(node, forward, status, buf_str(&out));
	buf_free(&out);
}

static void forward_to(struct node *node, uint64_t caller, const struct vm *vm,
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
	timer_add(&node->timers, node->now + ENTRY_MAX_US + FORWARD_GRACE_US,
		  TIMER_FORWARD, forward->id);
}

void once_forward_timer(struct node *node, uint64_t id)
{
	struct forward *forward =
		apr_hash_get(node->once->forwards, &id, sizeof(id));

	if (forward)
		forward_lost(node, forward);
}

void once_forward_reply(struct node *node, struct str from,
			uint64_t incarnation, const struct msg *msg)
{
	uint64_t id = msg->id;
	struct forward *forward =
		apr_hash_get(node->once->forwards, &id, sizeof(id));

	if (!forward || forward->issuer != str_hash(from) ||
	    forward->incarnation != incarnation)
		return;
	forward_end(node, forward, msg->status, msg->body);
}

/* Requests. */

static void start_record(struct node *node, struct record *record)
{
	const struct plan *plan =
		node->lists ? lists_plan(node->lists, record->entry.customer)
			    : NULL;
	int64_t retry_us = 0;

	timer_add(&node->timers, record->deadline, TIMER_RECORD, record->seq);
	if (!node->fleet || member_isolated(node)) {
		set_not_run(node, record, ERR_ISOLATED);
		return;
	}
	if (!plan || !plan_allows(plan, record->entry.index, true)) {
		set_not_run(node, record,
			    plan ? ERR_NOT_ALLOWED : ERR_UNKNOWN_CUSTOMER);
		return;
	}
	record->state = RECORD_QUOTA;
	switch (quota_take(node, record->entry.customer, plan, record->seq,
			   &retry_us)) {
	case QUOTA_TAKEN:
		reserve(node, record, 0);
		break;
	case QUOTA_WAIT:
		break;
	case QUOTA_REFUSED:
		record->retry_us = retry_us;
		set_not_run(node, record, ERR_OVER_PLAN);
		break;
	}
}

void once_quota(struct node *node, uint64_t seq, bool taken, int64_t retry_us)
{
	struct record *record = record_find(node, seq);

	if (!record || record->state != RECORD_QUOTA)
		return;
	if (taken) {
		reserve(node, record, 0);
		return;
	}
	record->retry_us = retry_us;
	set_not_run(node, record, ERR_OVER_PLAN);
}

static void join_record(struct node *node, struct record *record,
			const struct entry *entry, bool lookup,
			const struct waiter *waiter)
{
	bool same = record->customer == str_hash(entry->customer) &&
		    str_eq(record->request_id, entry->request_id) &&
		    (lookup || record->body_hash == str_hash(entry->entry));

	if (!same) {
		tell_plain(node, waiter, entry->request_id, "unknown",
			   ERR_TICKET_MISMATCH,
			   "the ticket was used for another entry", 0,
			   (struct str){ 0 });
		return;
	}
	node->counters[CNT_ENTRIES_REPEATED]++;
	if (is_final(record))
		tell_record(node, record, waiter);
	else
		add_waiter(record, waiter);
}

static void run_here(struct node *node, const struct ticket *ticket,
		     const struct entry *entry, struct str body, bool lookup,
		     const struct waiter *waiter)
{
	struct record *record = record_find(node, ticket->seq);
	int code = 0;

	if (ticket->check !=
	    ticket_check(node, ticket, entry->customer, entry->request_id)) {
		tell_plain(node, waiter, entry->request_id, "not_run",
			   ERR_TICKET_INVALID,
			   "the ticket does not fit request id and customer", 0,
			   (struct str){ 0 });
		return;
	}
	if (record) {
		join_record(node, record, entry, lookup, waiter);
		return;
	}
	if (ticket->seq <= node->once->evicted)
		code = ERR_ISSUER_GONE;
	else if (node->now - ticket->issued_at >= TICKET_US)
		code = ERR_TICKET_EXPIRED;
	else if (lookup)
		code = ERR_NOT_FOUND;
	if (code) {
		tell_plain(node, waiter, entry->request_id,
			   code == ERR_ISSUER_GONE ? "unknown" : "not_run",
			   code,
			   code == ERR_NOT_FOUND ? "the ticket was not used yet"
						 : "",
			   0, (struct str){ 0 });
		return;
	}
	node->counters[CNT_ENTRIES]++;
	record = record_create(node, ticket->seq, body);
	add_waiter(record, waiter);
	start_record(node, record);
}

static struct vm *another_issuer(struct node *node)
{
	for (size_t i = 1; i < node->member->count; i++)
		if (member_usable(node, node->member->vms[i]))
			return node->member->vms[i];
	return NULL;
}

/* Whether this node must not issue: a ticket would outlive it. */
static bool may_issue(const struct node *node)
{
	return member_state(node) == VM_LIVE && !member_isolated(node);
}

static void require_ticket(struct node *node, const struct entry *entry,
			   struct str body, const struct waiter *waiter)
{
	char text[TICKET_MAX];
	struct str issued = ticket_issue(node, entry->customer,
					 entry->request_id, text, sizeof(text));
	struct ticket ticket;

	if (node->opt.off.no_ticket && ticket_parse(issued, &ticket)) {
		run_here(node, &ticket, entry, body, false, waiter);
		return;
	}
	tell_plain(node, waiter, entry->request_id, "not_run",
		   ERR_TICKET_REQUIRED, "an entry needs a ticket", 0, issued);
}

static void give_ticket(struct node *node, struct str body,
			const struct waiter *waiter)
{
	struct buf out = { 0 };
	char text[TICKET_MAX];
	struct error err;
	struct entry entry;
	apr_pool_t *pool;

	apr_pool_create(&pool, node->once->pool);
	if (entry_parse(body, true, pool, &entry, &err)) {
		tell_plain(node, waiter, entry.request_id, "not_run", err.code,
			   err.text, 0, (struct str){ 0 });
	} else if (!lists_plan(node->lists, entry.customer)) {
		tell_plain(node, waiter, entry.request_id, "not_run",
			   ERR_UNKNOWN_CUSTOMER, "", 0, (struct str){ 0 });
	} else {
		buf_str_add(&out, STR("{\"request_id\":"));
		buf_json_add(&out, entry.request_id);
		ticket_issue(node, entry.customer, entry.request_id, text,
			     sizeof(text));
		buf_printf(&out, ",\"ticket\":\"%s\",\"valid_ms\":%d}", text,
			   TICKET_US / 1000);
		tell(node, waiter, 200, buf_str(&out));
	}
	buf_free(&out);
	apr_pool_destroy(pool);
}

static bool pass_on(struct node *node, const struct waiter *waiter,
		    enum forward_kind kind, struct str body)
{
	struct vm *other;

	if (may_issue(node) || waiter->addr.len)
		return false;
	other = another_issuer(node);
	if (!other)
		return false;
	forward_to(node, waiter->caller, other, kind, body);
	return true;
}

static bool refuse_starting(struct node *node, const struct waiter *waiter)
{
	if (node->lists && node->fleet && member_state(node) != VM_STARTING)
		return false;
	tell_plain(node, waiter, (struct str){ 0 }, "not_run", ERR_STARTING, "",
		   RETRY_US, (struct str){ 0 });
	return true;
}

void once_ticket(struct node *node, uint64_t caller, struct str body)
{
	struct waiter waiter = { .caller = caller };

	if (refuse_starting(node, &waiter) ||
	    pass_on(node, &waiter, FORWARD_TICKET, body))
		return;
	give_ticket(node, body, &waiter);
}

static void route(struct node *node, struct str body, bool lookup,
		  const struct waiter *waiter, const struct entry *entry)
{
	struct ticket ticket;
	struct vm *issuer;

	if (!entry->ticket.len && !lookup) {
		if (!pass_on(node, waiter, FORWARD_ENTRY, body))
			require_ticket(node, entry, body, waiter);
		return;
	}
	if (!ticket_parse(entry->ticket, &ticket)) {
		tell_plain(node, waiter, entry->request_id, "not_run",
			   ERR_TICKET_INVALID, "not a ticket", 0,
			   (struct str){ 0 });
		return;
	}
	issuer = member_find(node, str_hash(ticket.addr));
	if (str_eq(ticket.addr, node->opt.addr) &&
	    ticket.incarnation == node->opt.incarnation) {
		run_here(node, &ticket, entry, body, lookup, waiter);
	} else if (issuer && issuer->incarnation == ticket.incarnation &&
		   issuer->heard_at != INT64_MIN && !waiter->addr.len) {
		forward_to(node, waiter->caller, issuer,
			   lookup ? FORWARD_LOOKUP : FORWARD_ENTRY, body);
	} else {
		/*
		 * The issuer alone knows whether the entry ran. Running it
		 * here could be the second run, so nobody else ever does.
		 */
		tell_plain(node, waiter, entry->request_id, "unknown",
			   ERR_ISSUER_GONE,
			   "the VM that issued the ticket is gone or cut off",
			   0, (struct str){ 0 });
	}
}

static void handle(struct node *node, struct str body, bool lookup,
		   const struct waiter *waiter)
{
	struct error err = { 0 };
	struct entry entry;
	apr_pool_t *pool;

	apr_pool_create(&pool, node->once->pool);
	if (entry_parse(body, lookup, pool, &entry, &err))
		tell_plain(node, waiter, entry.request_id, "not_run", err.code,
			   err.text, 0, (struct str){ 0 });
	/*
	 * What has a ticket may have run under it before: a node that has just
	 * started cannot call it "not run", only its issuer can.
	 */
	else if (entry.ticket.len || !refuse_starting(node, waiter))
		route(node, body, lookup, waiter, &entry);
	apr_pool_destroy(pool);
}

void once_entry(struct node *node, uint64_t caller, struct str body)
{
	struct waiter waiter = { .caller = caller };

	handle(node, body, false, &waiter);
}

void once_lookup(struct node *node, uint64_t caller, struct str body)
{
	struct waiter waiter = { .caller = caller };

	handle(node, body, true, &waiter);
}

void once_forwarded(struct node *node, struct str from, uint64_t incarnation,
		    const struct msg *msg)
{
	struct waiter waiter = { .addr = from,
				 .incarnation = incarnation,
				 .forward = msg->id };

	if (msg->attempt != FORWARD_TICKET)
		handle(node, msg->body, msg->attempt == FORWARD_LOOKUP,
		       &waiter);
	else if (!refuse_starting(node, &waiter))
		give_ticket(node, msg->body, &waiter);
}

void once_caller_gone(struct node *node, uint64_t caller)
{
	if (!node->once->open)
		return;
	for (struct record *r = node->once->newest; r; r = r->older) {
		if (is_final(r))
			continue;
		for (struct waiter **at = &r->waiters; *at;) {
			if (!(*at)->addr.len && (*at)->caller == caller)
				*at = (*at)->next;
			else
				at = &(*at)->next;
		}
	}
}

static void forwards_lost(struct node *node, uint64_t key, uint64_t incarnation)
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
		forward_lost(node, lost);
	}
}

void once_peer_lost(struct node *node, uint64_t key, uint64_t incarnation)
{
	if (!node->once)
		return;
	forwards_lost(node, key, incarnation);
	for (struct record *r = node->once->newest; r; r = r->older)
		if (!is_final(r) && r->gate == key &&
		    r->gate_incarnation == incarnation)
			record_gate_lost(node, r);
}
