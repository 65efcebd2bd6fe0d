#include "quota.h"

#include <stdlib.h>

#include "front.h"
#include "once.h"
#include "xmalloc.h"

enum {
	LEASE_WAIT_US = 25000,
	LEASE_LIFE_US = 1000000,
	IDLE_US = 60000000,
	US = 1000000,
	WAITERS_MAX = 4096,
};

/** A lease covers this much of a node's own recent rate, seconds. */
#define LEASE_SPAN 0.1
/** A bucket that starts at a new owner holds this many seconds of rate. */
#define OWNER_START 0.5

/** struct bucket - tokens at a time, filled at a rate */
struct bucket {
	double tokens;
	int64_t at;
};

/**
 * struct account - a customer on this node
 * @leased: tokens lent to this node, until @lease_end
 * @asked: a LEASE is under way since @asked_at; @round tells replies apart
 * @idle_at: when to look whether the account can be dropped
 * @own: the whole bucket, when this node owns the customer
 * @share: bucket of 1/n of the rate, for when no owner answers
 * @taken, @refused: requests let in and turned away by this node
 * @recent: smoothed requests a second on this node
 * @waiters: questions and records that wait for the lease
 */
struct account {
	uint64_t key;
	struct str name;
	double leased;
	int64_t lease_end;
	bool asked;
	int64_t asked_at;
	uint32_t round;
	bool own_started;
	struct bucket own;
	bool share_started;
	struct bucket share;
	uint64_t taken;
	uint64_t refused;
	double recent;
	int64_t recent_at;
	int64_t used_at;
	int64_t idle_at;
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

static void idle_check(struct node *node, struct account *account)
{
	account->idle_at = node->now + IDLE_US;
	timer_add(&node->timers, account->idle_at, TIMER_LEASE, account->key);
}

static struct account *account_get(struct node *node, struct str name)
{
	uint64_t key = str_hash(name);
	struct account *account =
		apr_hash_get(node->quota->customers, &key, sizeof(key));

	if (!account) {
		account = xcalloc(1, sizeof(*account));
		account->key = key;
		account->name = str_keep(name);
		account->recent_at = node->now;
		apr_hash_set(node->quota->customers, &account->key,
			     sizeof(account->key), account);
		idle_check(node, account);
	}
	account->used_at = node->now;
	return account;
}

static void fill(struct bucket *bucket, double rate, double burst, int64_t now)
{
	bucket->tokens += rate * (double)(now - bucket->at) / US;
	if (bucket->tokens > burst)
		bucket->tokens = burst;
	bucket->at = now;
}

static int64_t time_to_one(const struct bucket *bucket, double rate)
{
	double missing = 1 - bucket->tokens;

	return missing > 0 ? (int64_t)(missing / rate * US) + 1 : 0;
}

static struct bucket *own_bucket(struct node *node, struct account *account,
				 const struct plan *plan)
{
	if (!account->own_started) {
		double start = plan->rate * OWNER_START;

		account->own_started = true;
		account->own.at = node->now;
		account->own.tokens = start < 1 ? 1 : start;
	}
	fill(&account->own, plan->rate, plan->burst, node->now);
	return &account->own;
}

static bool take_share(struct node *node, struct account *account,
		       const struct plan *plan, int64_t *retry_us)
{
	double n = (double)member_count(node);
	double burst = plan->burst / n;

	if (burst < 1)
		burst = 1;
	if (!account->share_started) {
		account->share_started = true;
		account->share = (struct bucket){ burst, node->now };
	}
	fill(&account->share, plan->rate / n, burst, node->now);
	*retry_us = time_to_one(&account->share, plan->rate / n);
	if (account->share.tokens < 1)
		return false;
	account->share.tokens -= 1;
	return true;
}

static void note_recent(struct node *node, struct account *account)
{
	double gap = (double)(node->now - account->recent_at) / US;
	double keep = gap < 1 ? 1 - gap : 0;

	account->recent = account->recent * keep + 1;
	account->recent_at = node->now;
}

static void ask_owner(struct node *node, struct account *account,
		      const struct vm *owner)
{
	double want = account->recent * LEASE_SPAN + (double)account->nwaiters;
	struct msg msg = {
		.kind = MSG_LEASE,
		.id = account->key,
		.attempt = ++account->round,
		.amount = want < 1 ? 1 : want,
		.name = account->name,
	};

	account->asked = true;
	account->asked_at = node->now;
	node->counters[CNT_LEASES]++;
	node_send(node, owner->addr, owner->incarnation, &msg);
	timer_add(&node->timers, node->now + LEASE_WAIT_US, TIMER_LEASE,
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

static enum quota_result take(struct node *node, struct account *account,
			      const struct plan *plan, uint64_t waiter,
			      int64_t *retry_us)
{
	struct vm *owner = member_owner(node, account->key, (struct str){ 0 });

	note_recent(node, account);
	if (!owner || node->quota->policy == QUOTA_SPLIT)
		return take_share(node, account, plan, retry_us)
			       ? QUOTA_TAKEN
			       : QUOTA_REFUSED;
	if (owner->key == node->key) {
		struct bucket *own = own_bucket(node, account, plan);

		*retry_us = time_to_one(own, plan->rate);
		if (own->tokens < 1)
			return QUOTA_REFUSED;
		own->tokens -= 1;
		return QUOTA_TAKEN;
	}
	if (node->now >= account->lease_end)
		account->leased = 0;
	if (account->leased >= 1) {
		account->leased -= 1;
		return QUOTA_TAKEN;
	}
	if (account->nwaiters >= WAITERS_MAX) {
		*retry_us = LEASE_WAIT_US;
		return QUOTA_REFUSED;
	}
	add_waiter(account, waiter);
	if (!account->asked)
		ask_owner(node, account, owner);
	return QUOTA_WAIT;
}

enum quota_result quota_take(struct node *node, struct str customer,
			     const struct plan *plan, uint64_t waiter,
			     int64_t *retry_us)
{
	struct account *account = account_get(node, customer);
	enum quota_result result = take(node, account, plan, waiter, retry_us);

	if (result == QUOTA_TAKEN)
		account->taken++;
	else if (result == QUOTA_REFUSED)
		account->refused++;
	return result;
}

void quota_lease(struct node *node, struct str from, uint64_t incarnation,
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
		struct bucket *own = own_bucket(node, account, plan);
		double lend = (double)(int64_t)msg->amount;
		double most = own->tokens > 2 ? own->tokens / 2 : own->tokens;

		if (lend > most)
			lend = (double)(int64_t)most;
		if (lend < 0)
			lend = 0;
		own->tokens -= lend;
		reply.amount = lend;
		reply.remaining_us = time_to_one(own, plan->rate);
	}
	node_send(node, from, incarnation, &reply);
}

static void settle(struct node *node, struct account *account, uint64_t waiter,
		   bool taken, int64_t retry_us)
{
	if (taken)
		account->taken++;
	else
		account->refused++;
	front_quota(node, waiter, taken, retry_us);
	once_quota(node, waiter, taken, retry_us);
}

static uint64_t *detach(struct account *account, size_t *count)
{
	uint64_t *waiters = account->waiters;

	*count = account->nwaiters;
	account->waiters = NULL;
	account->nwaiters = 0;
	account->cap = 0;
	return waiters;
}

static void fall_back(struct node *node, struct account *account)
{
	const struct plan *plan = lists_plan(node->lists, account->name);
	size_t count;
	uint64_t *waiters = detach(account, &count);

	account->asked = false;
	account->round++;
	node->counters[CNT_LEASE_FALLBACKS]++;
	for (size_t i = 0; i < count; i++) {
		int64_t retry_us = LEASE_WAIT_US;
		bool taken = plan && take_share(node, account, plan, &retry_us);

		settle(node, account, waiters[i], taken, retry_us);
	}
	free(waiters);
}

void quota_lease_reply(struct node *node, const struct msg *msg)
{
	uint64_t key = msg->id;
	struct account *account =
		apr_hash_get(node->quota->customers, &key, sizeof(key));

	if (!account || !account->asked || account->round != msg->attempt)
		return;
	account->asked = false;
	if (node->now >= account->lease_end)
		account->leased = 0;
	account->leased += msg->amount;
	account->lease_end = node->now + LEASE_LIFE_US;

	size_t count;
	uint64_t *waiters = detach(account, &count);

	for (size_t i = 0; i < count; i++) {
		bool taken = account->leased >= 1;

		if (taken)
			account->leased -= 1;
		/* Some came after the lease was asked for: ask once more. */
		if (!taken && msg->amount >= 1)
			add_waiter(account, waiters[i]);
		else
			settle(node, account, waiters[i], taken,
			       msg->remaining_us);
	}
	free(waiters);

	struct vm *owner = member_owner(node, account->key, (struct str){ 0 });

	if (account->nwaiters && owner && !account->asked)
		ask_owner(node, account, owner);
	else if (account->nwaiters && !account->asked)
		fall_back(node, account);
}

void quota_timer(struct node *node, uint64_t key)
{
	struct account *account =
		apr_hash_get(node->quota->customers, &key, sizeof(key));

	if (!account)
		return;
	if (account->asked && node->now >= account->asked_at + LEASE_WAIT_US)
		fall_back(node, account);
	if (node->now < account->idle_at)
		return;
	if (account->asked || node->now - account->used_at < IDLE_US) {
		idle_check(node, account);
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
