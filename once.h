#pragma once

#include "member.h"
#include "request.h"

/**
 * DOC: entries that run at most once
 *
 * An entry needs a ticket, which contains the address and incarnation of the
 * node that issued it. Only that process runs the entry; other nodes forward
 * the entry to it, or answer "unknown" if it is gone. So two nodes never both
 * run an entry, not even during a network partition. The outcome is done, not
 * run (was never sent and never will be) or unknown. It is final, except that a
 * late reply can change unknown to done.
 */

enum record_state {
	RECORD_AWAIT_QUOTA, /* waits for a lease of the customer's quota */
	RECORD_RESERVING, /* a slot was requested; the body is not sent */
	RECORD_SENT, /* the body was sent: the entry may run */
	RECORD_DONE,
	RECORD_NOT_RUN,
	RECORD_UNKNOWN,
};

/** struct waiter - receiver of an outcome: a local caller or another node */
struct waiter {
	struct waiter *next;
	uint64_t caller;
	struct str addr;
	uint64_t incarnation;
	uint64_t forward;
};

/**
 * struct record - state of one used ticket
 * @pool: owns the entry and the waiters; destroyed once the outcome is final
 *        to keep stored records small
 * @seq: sequence number of the ticket
 * @attempt: number of reservations tried
 * @request: the entry, parsed, until the outcome is final
 * @gate, @gate_incarnation: gate of the current attempt
 * @retry_at: time of the next reservation, 0 when none is scheduled
 * @code: error if the entry did not run or the outcome is unknown
 */
struct record {
	apr_pool_t *pool;
	uint64_t seq;
	enum record_state state;
	struct entry_request request;
	struct str request_id;
	uint64_t customer;
	uint64_t body_hash;
	uint32_t attempt;
	uint64_t gate;
	uint64_t gate_incarnation;
	int64_t deadline;
	int64_t retry_at;
	int code;
	int64_t retry_us;
	struct str result;
	struct waiter *waiters;
	struct record *older;
	struct record *newer;
};

struct once {
	apr_pool_t *pool;
	apr_hash_t *records; /* seq -> struct record */
	apr_hash_t *forwards; /* id -> struct forward */
	struct record *oldest;
	struct record *newest;
	size_t count;
	size_t open_records;
	size_t unused_tickets; /* issued and not used yet */
	int64_t issued_at; /* time of the last ticket */
	uint64_t evicted_seq; /* records up to it may have been evicted */
	uint64_t secret;
};

void once_init(struct node *node);
void once_destroy(struct node *node);
void once_on_ticket(struct node *node, uint64_t caller, struct str body);
void once_on_entry(struct node *node, uint64_t caller, struct str body);
void once_on_lookup(struct node *node, uint64_t caller, struct str body);
void once_on_caller_gone(struct node *node, uint64_t caller);
void once_on_forward(struct node *node, struct str from, uint64_t incarnation,
		     const struct msg *msg);
void once_on_forward_reply(struct node *node, struct str from,
			   uint64_t incarnation, const struct msg *msg);
void once_on_grant(struct node *node, struct str from, uint64_t incarnation,
		   const struct msg *msg);
void once_on_go_reply(struct node *node, struct str from, uint64_t incarnation,
		      const struct msg *msg);
void once_on_peer_lost(struct node *node, uint64_t key, uint64_t incarnation);
void once_on_quota_result(struct node *node, uint64_t seq, bool taken,
			  int64_t retry_us);
void once_on_record_timer(struct node *node, uint64_t seq);
void once_on_forward_timer(struct node *node, uint64_t id);
/**
 * once_end() - give all open entries their outcome, because this node stops:
 * not run, or unknown where the body was sent.
 */
void once_end(struct node *node);
/**
 * once_open_count() - number of records, forwards and tickets that delay a
 * planned stop
 */
size_t once_open_count(const struct node *node);

/* Shared with once_entry.c. */

enum {
	/* Default retry delay for callers whose entry did not run. */
	ONCE_RETRY_AFTER_US = 500000,
	/* Timeout of an entry whose caller states none. */
	ONCE_DEFAULT_TIMEOUT_US = 2000000,
};

/** enum forward_kind - request that is forwarded to the issuer */
enum forward_kind {
	FORWARD_ENTRY,
	FORWARD_LOOKUP,
	FORWARD_TICKET,
};

void once_add_waiter(struct record *record, const struct waiter *waiter);
void once_forward_to(struct node *node, uint64_t caller, const struct vm *vm,
		     enum forward_kind kind, struct str body);
bool once_is_final(const struct record *record);
struct record *once_record_create(struct node *node, uint64_t seq,
				  struct str body);
struct record *once_record_find(const struct node *node, uint64_t seq);
void once_reserve(struct node *node, struct record *record, int error_code);
void once_set_not_run(struct node *node, struct record *record, int code);
void once_reply(struct node *node, const struct waiter *waiter, int status,
		struct str body);
void once_reply_outcome(struct node *node, const struct waiter *waiter,
			struct str request_id, const char *outcome, int code,
			const char *text, int64_t retry_us, struct str ticket);
void once_reply_record(struct node *node, const struct record *record,
		       const struct waiter *waiter);
