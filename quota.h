#pragma once

#include "member.h"

/**
 * DOC: rate limits of plans
 *
 * The owner of a customer, by rendezvous hashing of its name, holds the
 * customer's token bucket and grants tokens to the other nodes in small leases.
 * A request for which no token is left waits for a lease. If no owner answers,
 * a node falls back to 1/n of the rate. docs/DESIGN.md compares this with a
 * plain split.
 */

enum quota_result {
	QUOTA_TAKEN,
	/* front_on_quota_result() or once_on_quota_result() is called later */
	QUOTA_WAIT,
	QUOTA_REFUSED,
};

/** enum quota_policy - nodes use leases; the split is for benchmarks */
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
 * quota_take() - take one token of the quota of @customer
 * @waiter: question or record id, passed back after QUOTA_WAIT
 * @retry_us: retry delay, set with QUOTA_REFUSED
 */
enum quota_result quota_take(struct node *node, struct str customer,
			     const struct plan *plan, uint64_t waiter,
			     int64_t *retry_us);
void quota_on_lease(struct node *node, struct str from, uint64_t incarnation,
		    const struct msg *msg);
void quota_on_lease_reply(struct node *node, const struct msg *msg);
void quota_on_account_timer(struct node *node, uint64_t key);
/** quota_json() - append an array with the recently active customers. */
void quota_json(const struct node *node, struct buf *out);
