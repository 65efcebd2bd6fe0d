#include "once.h"

#include <stdlib.h>

#include "gate.h"
#include "quota.h"
#include "ticket.h"
#include "xmalloc.h"

/* Requests. */

static void start_record(struct node *node, struct record *record)
{
	const struct plan *plan =
		node->lists ? lists_plan(node->lists, record->request.customer)
			    : NULL;
	int64_t retry_us = 0;

	timer_add(&node->timers, record->deadline, TIMER_RECORD, record->seq);
	if (!node->fleet || member_isolated(node)) {
		once_set_not_run(node, record, ERR_ISOLATED);
		return;
	}
	/* Its outcome would be unknown if the node ended while it runs. */
	if (!node_accepts(node, ONCE_DEFAULT_TIMEOUT_US)) {
		record->retry_us = NODE_STOPPING_RETRY_US;
		once_set_not_run(node, record, ERR_STOPPING);
		return;
	}
	if (!plan || !plan_allows(plan, record->request.index, true)) {
		once_set_not_run(node, record,
				 plan ? ERR_NOT_ALLOWED : ERR_UNKNOWN_CUSTOMER);
		return;
	}
	record->state = RECORD_AWAIT_QUOTA;
	switch (quota_take(node, record->request.customer, plan, record->seq,
			   &retry_us)) {
	case QUOTA_TAKEN:
		once_reserve(node, record, 0);
		break;
	case QUOTA_WAIT:
		break;
	case QUOTA_REFUSED:
		record->retry_us = retry_us;
		once_set_not_run(node, record, ERR_OVER_PLAN);
		break;
	}
}

void once_on_quota_result(struct node *node, uint64_t seq, bool taken,
			  int64_t retry_us)
{
	struct record *record = once_record_find(node, seq);

	if (!record || record->state != RECORD_AWAIT_QUOTA)
		return;
	if (taken) {
		once_reserve(node, record, 0);
		return;
	}
	record->retry_us = retry_us;
	once_set_not_run(node, record, ERR_OVER_PLAN);
}

static void handle_repeated_request(struct node *node, struct record *record,
				    const struct entry_request *request,
				    bool lookup, const struct waiter *waiter)
{
	bool same = record->customer == str_hash(request->customer) &&
		    str_eq(record->request_id, request->request_id) &&
		    (lookup || record->body_hash == str_hash(request->entry));

	if (!same) {
		once_reply_outcome(node, waiter, request->request_id, "unknown",
				   ERR_TICKET_MISMATCH,
				   "the ticket was used for another entry", 0,
				   (struct str){ 0 });
		return;
	}
	node->counters[CNT_ENTRIES_REPEATED]++;
	if (once_is_final(record))
		once_reply_record(node, record, waiter);
	else
		once_add_waiter(record, waiter);
}

static void handle_at_issuer(struct node *node, const struct ticket *ticket,
			     const struct entry_request *request,
			     struct str body, bool lookup,
			     const struct waiter *waiter)
{
	struct record *record = once_record_find(node, ticket->seq);
	int code = 0;

	if (ticket->check != ticket_check(node, ticket, request->customer,
					  request->request_id)) {
		once_reply_outcome(
			node, waiter, request->request_id, "not_run",
			ERR_TICKET_INVALID,
			"the ticket does not fit request id and customer", 0,
			(struct str){ 0 });
		return;
	}
	if (record) {
		handle_repeated_request(node, record, request, lookup, waiter);
		return;
	}
	if (ticket->seq <= node->once->evicted_seq)
		code = ERR_ISSUER_GONE;
	else if (node->now - ticket->issued_at >= TICKET_VALID_US)
		code = ERR_TICKET_EXPIRED;
	else if (lookup)
		code = ERR_NOT_FOUND;
	if (code) {
		once_reply_outcome(
			node, waiter, request->request_id,
			code == ERR_ISSUER_GONE ? "unknown" : "not_run", code,
			code == ERR_NOT_FOUND ? "the ticket was not used yet"
					      : "",
			0, (struct str){ 0 });
		return;
	}
	node->counters[CNT_ENTRIES]++;
	record = once_record_create(node, ticket->seq, body);
	once_add_waiter(record, waiter);
	start_record(node, record);
}

static struct vm *find_other_issuer(struct node *node)
{
	for (size_t i = 1; i < node->membership->count; i++)
		if (member_usable(node, node->membership->vms[i]))
			return node->membership->vms[i];
	return NULL;
}

/* A leaving node issues no tickets: they would outlive it. */
static bool may_issue_tickets(const struct node *node)
{
	return member_state(node) == VM_LIVE && !member_isolated(node);
}

static void reply_ticket_required(struct node *node,
				  const struct entry_request *request,
				  struct str body, const struct waiter *waiter)
{
	char text[TICKET_TEXT_MAX];
	struct str issued =
		ticket_issue(node, request->customer, request->request_id, text,
			     sizeof(text));
	struct ticket ticket;

	if (node->opt.off.no_ticket && ticket_parse(issued, &ticket)) {
		handle_at_issuer(node, &ticket, request, body, false, waiter);
		return;
	}
	once_reply_outcome(node, waiter, request->request_id, "not_run",
			   ERR_TICKET_REQUIRED, "an entry needs a ticket", 0,
			   issued);
}

static void reply_ticket(struct node *node, struct str body,
			 const struct waiter *waiter)
{
	struct buf out = { 0 };
	char text[TICKET_TEXT_MAX];
	struct error err;
	struct entry_request request;
	apr_pool_t *pool;

	apr_pool_create(&pool, node->once->pool);
	if (request_parse_entry(body, true, pool, &request, &err)) {
		once_reply_outcome(node, waiter, request.request_id, "not_run",
				   err.code, err.text, 0, (struct str){ 0 });
	} else if (!lists_plan(node->lists, request.customer)) {
		once_reply_outcome(node, waiter, request.request_id, "not_run",
				   ERR_UNKNOWN_CUSTOMER, "", 0,
				   (struct str){ 0 });
	} else {
		buf_str_add(&out, STR("{\"request_id\":"));
		buf_json_add(&out, request.request_id);
		ticket_issue(node, request.customer, request.request_id, text,
			     sizeof(text));
		buf_printf(&out, ",\"ticket\":\"%s\",\"valid_ms\":%d}", text,
			   TICKET_VALID_US / 1000);
		once_reply(node, waiter, 200, buf_str(&out));
	}
	buf_free(&out);
	apr_pool_destroy(pool);
}

static bool try_forward(struct node *node, const struct waiter *waiter,
			enum forward_kind kind, struct str body)
{
	struct vm *other;

	if (may_issue_tickets(node) || waiter->addr.len)
		return false;
	other = find_other_issuer(node);
	if (!other)
		return false;
	once_forward_to(node, waiter->caller, other, kind, body);
	return true;
}

static bool refuse_unless_serving(struct node *node,
				  const struct waiter *waiter)
{
	bool stopped = !node_accepts(node, 0);

	if (!stopped && node->lists && node->fleet &&
	    member_state(node) != VM_STARTING)
		return false;
	once_reply_outcome(node, waiter, (struct str){ 0 }, "not_run",
			   stopped ? ERR_STOPPING : ERR_STARTING, "",
			   stopped ? NODE_STOPPING_RETRY_US
				   : ONCE_RETRY_AFTER_US,
			   (struct str){ 0 });
	return true;
}

void once_on_ticket(struct node *node, uint64_t caller, struct str body)
{
	struct waiter waiter = { .caller = caller };

	if (refuse_unless_serving(node, &waiter) ||
	    try_forward(node, &waiter, FORWARD_TICKET, body))
		return;
	reply_ticket(node, body, &waiter);
}

static void route_request(struct node *node, struct str body, bool lookup,
			  const struct waiter *waiter,
			  const struct entry_request *request)
{
	struct ticket ticket;
	struct vm *issuer;

	if (!request->ticket.len && !lookup) {
		if (!try_forward(node, waiter, FORWARD_ENTRY, body))
			reply_ticket_required(node, request, body, waiter);
		return;
	}
	if (!ticket_parse(request->ticket, &ticket)) {
		once_reply_outcome(node, waiter, request->request_id, "not_run",
				   ERR_TICKET_INVALID, "not a ticket", 0,
				   (struct str){ 0 });
		return;
	}
	issuer = member_find(node, str_hash(ticket.addr));
	if (str_eq(ticket.addr, node->opt.addr) &&
	    ticket.incarnation == node->opt.incarnation) {
		handle_at_issuer(node, &ticket, request, body, lookup, waiter);
	} else if (!node_accepts(node, 0)) {
		once_reply_outcome(node, waiter, request->request_id, "unknown",
				   ERR_STOPPING, "", NODE_STOPPING_RETRY_US,
				   (struct str){ 0 });
	} else if (issuer && issuer->incarnation == ticket.incarnation &&
		   issuer->heartbeat_at != INT64_MIN && !waiter->addr.len) {
		once_forward_to(node, waiter->caller, issuer,
				lookup ? FORWARD_LOOKUP : FORWARD_ENTRY, body);
	} else {
		/*
		 * Only the issuer has the record of whether the entry ran, so
		 * no other node runs it: that could be the second run.
		 */
		once_reply_outcome(
			node, waiter, request->request_id, "unknown",
			ERR_ISSUER_GONE,
			"the VM that issued the ticket is gone or cut off", 0,
			(struct str){ 0 });
	}
}

static void handle_request(struct node *node, struct str body, bool lookup,
			   const struct waiter *waiter)
{
	struct error err = { 0 };
	struct entry_request request;
	apr_pool_t *pool;

	apr_pool_create(&pool, node->once->pool);
	if (request_parse_entry(body, lookup, pool, &request, &err))
		once_reply_outcome(node, waiter, request.request_id, "not_run",
				   err.code, err.text, 0, (struct str){ 0 });
	/*
	 * An entry with a ticket may already have run. A node that has just
	 * started cannot answer "not run" for it; only the issuer can.
	 */
	else if (request.ticket.len || !refuse_unless_serving(node, waiter))
		route_request(node, body, lookup, waiter, &request);
	apr_pool_destroy(pool);
}

void once_on_entry(struct node *node, uint64_t caller, struct str body)
{
	struct waiter waiter = { .caller = caller };

	handle_request(node, body, false, &waiter);
}

void once_on_lookup(struct node *node, uint64_t caller, struct str body)
{
	struct waiter waiter = { .caller = caller };

	handle_request(node, body, true, &waiter);
}

void once_on_forward(struct node *node, struct str from, uint64_t incarnation,
		     const struct msg *msg)
{
	struct waiter waiter = { .addr = from,
				 .incarnation = incarnation,
				 .forward = msg->id };

	if (msg->attempt != FORWARD_TICKET)
		handle_request(node, msg->body, msg->attempt == FORWARD_LOOKUP,
			       &waiter);
	else if (!refuse_unless_serving(node, &waiter))
		reply_ticket(node, msg->body, &waiter);
}
