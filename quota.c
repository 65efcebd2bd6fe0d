#include "quota.h"

#include <stdlib.h>

#include "front.h"
#include "once.h"
#include "xmalloc.h"

enum {
	LEASE_TIMEOUT_US = 25000,
	LEASE_DURATION_US = 1000000,
	ACCOUNT_IDLE_US = 60000000,
	US_PER_S = 1000000,
	WAITERS_MAX = 4096,
};

/** A lease covers this many seconds of a node's own recent rate. */
#define LEASE_SPAN_S 0.1
/** Initial fill of a bucket at a new owner, in seconds of its rate. */
#define OWNER_INITIAL_S 0.5

/** struct bucket - token bucket: @tokens at the time @at */
struct bucket {
	double tokens;
	int64_t at;
};

/**
 * struct account - a customer on this node
 * @leased: tokens leased to this node until @lease_end
 * @lease_pending: a LEASE was sent at @lease_requested_at; no reply yet
 * @lease_round: number of the last LEASE, to match its reply
 * @owner_bucket: bucket of the whole quota, used if this node is the owner
 * @fallback_bucket: bucket with 1/n of the rate, for when no owner answers
 * @taken, @refused: requests admitted and refused by this node
 * @recent_rate: smoothed requests per second on this node
 * @idle_check_at: time of the next check whether the account is idle
 * @waiters: questions and records that wait for the lease
 */
struct account {
	uint64_t key;
	struct str name;
	double leased;
	int64_t lease_end;
	bool lease_pending;
	int64_t lease_requested_at;
	uint32_t lease_round;
	bool owner_bucket_started;
	struct bucket owner_bucket;
	bool fallback_bucket_started;
	struct bucket fallback_bucket;
	uint64_t taken;
	uint64_t refused;
	double recent_rate;
	int64_t recent_rate_at;
	int64_t used_at;
	int64_t idle_check_at;
	uint64_t *waiters;
	size_t nwaiters;
	size_t cap;
};

void quota_init(struct node *node)
{
	struct quota *quota = xcalloc(1, sizeof(*quota));

	node->quota = quota;
	apr_pool_create(&quota->pool, node->pool);
	quota->customers = hash_make(quota->pool);
}

static void account_free(struct account *account)
{
	str_free(account->name);
	free(account->waiters);
	free(account);
}

void quota_destroy(struct node *node)
{
	apr_hash_index_t *it;
	void *value;

	for (it = apr_hash_first(node->quota->pool, node->quota->customers); it;
	     it = apr_hash_next(it)) {
		apr_hash_this(it, NULL, NULL, &value);
		account_free(value);
	}
	apr_pool_destroy(node->quota->pool);
	free(node->quota);
}

static void schedule_idle_check(struct node *node, struct account *account)
{
	account->idle_check_at = node->now + ACCOUNT_IDLE_US;
	timer_add(&node->timers, account->idle_check_at, TIMER_ACCOUNT,
		  account->key);
}

static struct account *account_get(struct node *node, struct str name)
{
	uint64_t key = str_hash(name);
	struct account *account =
		apr_hash_get(node->quota->customers, &key, sizeof(key));

	if (!account) {
		account = xcalloc(1, sizeof(*account));
		account->key = key;
		account->name = str_heap_dup(name);
		account->recent_rate_at = node->now;
		apr_hash_set(node->quota->customers, &account->key,
			     sizeof(account->key), account);
		schedule_idle_check(node, account);
	}
	account->used_at = node->now;
	return account;
}

static void refill_bucket(struct bucket *bucket, double rate, double burst,
			  int64_t now)
{
	bucket->tokens += rate * (double)(now - bucket->at) / US_PER_S;
	if (bucket->tokens > burst)
		bucket->tokens = burst;
	bucket->at = now;
}

static int64_t time_to_token(const struct bucket *bucket, double rate)
{
	double missing = 1 - bucket->tokens;

	return missing > 0 ? (int64_t)(missing / rate * US_PER_S) + 1 : 0;
}

static struct bucket *get_owner_bucket(struct node *node,
				       struct account *account,
				       const struct plan *plan)
{
	if (!account->owner_bucket_started) {
		double start = plan->rate * OWNER_INITIAL_S;

		account->owner_bucket_started = true;
		account->owner_bucket.at = node->now;
		account->owner_bucket.tokens = start < 1 ? 1 : start;
	}
	refill_bucket(&account->owner_bucket, plan->rate, plan->burst,
		      node->now);
	return &account->owner_bucket;
}

static bool take_fallback(struct node *node, struct account *account,
			  const struct plan *plan, int64_t *retry_us)
{
	double n = (double)member_usable_count(node);
	double burst = plan->burst / n;

	if (burst < 1)
		burst = 1;
	if (!account->fallback_bucket_started) {
		account->fallback_bucket_started = true;
		account->fallback_bucket = (struct bucket){ burst, node->now };
	}
	refill_bucket(&account->fallback_bucket, plan->rate / n, burst,
		      node->now);
	*retry_us = time_to_token(&account->fallback_bucket, plan->rate / n);
	if (account->fallback_bucket.tokens < 1)
		return false;
	account->fallback_bucket.tokens -= 1;
	return true;
}

static void update_recent_rate(struct node *node, struct account *account)
{
	double gap = (double)(node->now - account->recent_rate_at) / US_PER_S;
	double decay = gap < 1 ? 1 - gap : 0;

	account->recent_rate = account->recent_rate * decay + 1;
	account->recent_rate_at = node->now;
}

static void request_lease(struct node *node, struct account *account,
			  const struct vm *owner)
{
	double requested =
		account->recent_rate * LEASE_SPAN_S + (double)account->nwaiters;
	struct msg msg = {
		.kind = MSG_LEASE,
		.id = account->key,
		.attempt = ++account->lease_round,
		.amount = requested < 1 ? 1 : requested,
		.name = account->name,
	};

	account->lease_pending = true;
	account->lease_requested_at = node->now;
	node->counters[CNT_LEASES]++;
	node_send(node, owner->addr, owner->incarnation, &msg);
	timer_add(&node->timers, node->now + LEASE_TIMEOUT_US, TIMER_ACCOUNT,
		  account->key);
}

static void add_waiter(struct account *account, uint64_t waiter)
{
	if (account->nwaiters == account->cap) {
		account->cap = account->cap ? account->cap * 2 : 8;
		account->waiters = xrealloc(account->waiters,
					    account->cap * sizeof(uint64_t));
	}
	account->waiters[account->nwaiters++] = waiter;
}

static enum quota_result take_token(struct node *node, struct account *account,
				    const struct plan *plan, uint64_t waiter,
				    int64_t *retry_us)
{
	struct vm *owner = member_owner(node, account->key, (struct str){ 0 });

	update_recent_rate(node, account);
	if (!owner || node->quota->policy == QUOTA_SPLIT)
		return take_fallback(node, account, plan, retry_us)
			       ? QUOTA_TAKEN
			       : QUOTA_REFUSED;
	if (owner->key == node->key) {
		struct bucket *owner_bucket =
			get_owner_bucket(node, account, plan);

		*retry_us = time_to_token(owner_bucket, plan->rate);
		if (owner_bucket->tokens < 1)
			return QUOTA_REFUSED;
		owner_bucket->tokens -= 1;
		return QUOTA_TAKEN;
	}
	if (node->now >= account->lease_end)
		account->leased = 0;
	if (account->leased >= 1) {
		account->leased -= 1;
		return QUOTA_TAKEN;
	}
	if (account->nwaiters >= WAITERS_MAX) {
		*retry_us = LEASE_TIMEOUT_US;
		return QUOTA_REFUSED;
	}
	add_waiter(account, waiter);
	if (!account->lease_pending)
		request_lease(node, account, owner);
	return QUOTA_WAIT;
}

enum quota_result quota_take(struct node *node, struct str customer,
			     const struct plan *plan, uint64_t waiter,
			     int64_t *retry_us)
{
	struct account *account = account_get(node, customer);
	enum quota_result result =
		take_token(node, account, plan, waiter, retry_us);

	if (result == QUOTA_TAKEN)
		account->taken++;
	else if (result == QUOTA_REFUSED)
		account->refused++;
	return result;
}

void quota_on_lease(struct node *node, struct str from, uint64_t incarnation,
		    const struct msg *msg)
{
	const struct plan *plan = lists_plan(node->lists, msg->name);
	struct msg reply = {
		.kind = MSG_LEASE_REPLY,
		.id = msg->id,
		.attempt = msg->attempt,
	};

	if (plan && msg->name.len) {
		struct account *account = account_get(node, msg->name);
		struct bucket *owner_bucket =
			get_owner_bucket(node, account, plan);
		double granted = (double)(int64_t)msg->amount;
		double max_grant = owner_bucket->tokens > 2
					   ? owner_bucket->tokens / 2
					   : owner_bucket->tokens;

		if (granted > max_grant)
			granted = (double)(int64_t)max_grant;
		if (granted < 0)
			granted = 0;
		owner_bucket->tokens -= granted;
		reply.amount = granted;
		reply.remaining_us = time_to_token(owner_bucket, plan->rate);
	}
	node_send(node, from, incarnation, &reply);
}

static void resolve_waiter(struct node *node, struct account *account,
			   uint64_t waiter, bool taken, int64_t retry_us)
{
	if (taken)
		account->taken++;
	else
		account->refused++;
	front_on_quota_result(node, waiter, taken, retry_us);
	once_on_quota_result(node, waiter, taken, retry_us);
}

static uint64_t *detach_waiters(struct account *account, size_t *count)
{
	uint64_t *waiters = account->waiters;

	*count = account->nwaiters;
	account->waiters = NULL;
	account->nwaiters = 0;
	account->cap = 0;
	return waiters;
}

static void resolve_from_fallback(struct node *node, struct account *account)
{
	const struct plan *plan = lists_plan(node->lists, account->name);
	size_t count;
	uint64_t *waiters = detach_waiters(account, &count);

	account->lease_pending = false;
	account->lease_round++;
	node->counters[CNT_LEASE_FALLBACKS]++;
	for (size_t i = 0; i < count; i++) {
		int64_t retry_us = LEASE_TIMEOUT_US;
		bool taken =
			plan && take_fallback(node, account, plan, &retry_us);

		resolve_waiter(node, account, waiters[i], taken, retry_us);
	}
	free(waiters);
}

void quota_on_lease_reply(struct node *node, const struct msg *msg)
{
	uint64_t key = msg->id;
	struct account *account =
		apr_hash_get(node->quota->customers, &key, sizeof(key));

	if (!account || !account->lease_pending ||
	    account->lease_round != msg->attempt)
		return;
	account->lease_pending = false;
	if (node->now >= account->lease_end)
		account->leased = 0;
	account->leased += msg->amount;
	account->lease_end = node->now + LEASE_DURATION_US;

	size_t count;
	uint64_t *waiters = detach_waiters(account, &count);

	for (size_t i = 0; i < count; i++) {
		bool taken = account->leased >= 1;

		if (taken)
			account->leased -= 1;
		/* Waiters added after the request are not in the lease. */
		if (!taken && msg->amount >= 1)
			add_waiter(account, waiters[i]);
		else
			resolve_waiter(node, account, waiters[i], taken,
				       msg->remaining_us);
	}
	free(waiters);

	struct vm *owner = member_owner(node, account->key, (struct str){ 0 });

	if (account->nwaiters && owner && !account->lease_pending)
		request_lease(node, account, owner);
	else if (account->nwaiters && !account->lease_pending)
		resolve_from_fallback(node, account);
}

void quota_on_account_timer(struct node *node, uint64_t key)
{
	struct account *account =
		apr_hash_get(node->quota->customers, &key, sizeof(key));

	if (!account)
		return;
	if (account->lease_pending &&
	    node->now >= account->lease_requested_at + LEASE_TIMEOUT_US)
		resolve_from_fallback(node, account);
	if (node->now < account->idle_check_at)
		return;
	if (account->lease_pending ||
	    node->now - account->used_at < ACCOUNT_IDLE_US) {
		schedule_idle_check(node, account);
		return;
	}
	apr_hash_set(node->quota->customers, &account->key,
		     sizeof(account->key), NULL);
	account_free(account);
}

void quota_json(const struct node *node, struct buf *out)
{
	apr_hash_index_t *it;
	bool first = true;

	buf_add(out, "[", 1);
	for (it = apr_hash_first(NULL, node->quota->customers); it;
	     it = apr_hash_next(it)) {
		void *value;

		apr_hash_this(it, NULL, NULL, &value);

		const struct account *account = value;

		buf_printf(out, "%s{\"customer\":", first ? "" : ",");
		buf_json_add(out, account->name);
		buf_printf(out, ",\"taken\":%llu,\"refused\":%llu}",
			   (unsigned long long)account->taken,
			   (unsigned long long)account->refused);
		first = false;
	}
	buf_add(out, "]", 1);
}
