#pragma once

#include "member.h"

/**
 * DOC: plans' limits
 *
 * One node, by rendezvous of the customer's name, holds the customer's token
 * bucket and lends tokens in small leases; a question that finds none waits
 * for one. Without an owner that answers, a node falls back to 1/n of the
 * rate. docs/DESIGN.md compares this with the split alone.
 */

enum quota_result {
	QUOTA_TAKEN,
	QUOTA_WAIT, /* quota_granted() or quota_denied() follows */
	QUOTA_REFUSED,
};

/** enum quota_policy - for benchmarks; nodes use leases */
enum quota_policy {
	QUOTA_LEASES,
	QUOTA_SPLIT,
};

struct quota {
	apr_hash_t *customers; /* hash of name -> struct account */
	apr_pool_t *pool;
	enum quota_policy policy;
};

void quota_init(struct node *node);
void quota_destroy(struct node *node);
/**
 * quota_take() - one token for @customer
 * @waiter: question or record id, passed back when the result is QUOTA_WAIT
 * @retry_us: when to come back, set with QUOTA_REFUSED
 */
enum quota_result quota_take(struct node *node, struct str customer,
			     const struct plan *plan, uint64_t waiter,
			     int64_t *retry_us);
void quota_lease(struct node *node, struct str from, uint64_t incarnation,
		 const struct msg *msg);
void quota_lease_reply(struct node *node, const struct msg *msg);
void quota_timer(struct node *node, uint64_t key);
/** quota_json() - append an array with the customers seen of late. */
void quota_json(const struct node *node, struct buf *out);
