#include "cold_share.h"

#include <stdlib.h>

#include "call_queue.h"
#include "decision_log.h"
#include "xmalloc.h"

enum {
	/* All others know a new node this long after it met the seeds. */
	JOIN_US = 3000000,
	/*
	 * Seeds may be gone for good. A partition that hides them from a node
	 * which starts behind it mostly ends within this time.
	 */
	SEEDS_WAIT_US = 20000000,
	/* After a shorter pause the others still count this node. */
	PAUSE_US = 1000000,
	/* A token that was lent is used within this time, or not at all. */
	GRANT_US = 100000,
	/* A node that does not answer is asked again after this time. */
	ASK_TIMEOUT_US = 100000,
	/* A node that lends none at all is asked again after this time. */
	NO_TOKENS_US = 1000000,
	/* Least time between two looks at the requests that wait. */
	LOOK_INTERVAL_US = 2000,
};

static bool may_use_own(const struct cold_share *share, int64_t now)
{
	return now >= share->joined_at &&
	       !(share->calls->gossip->self.state & MEMBER_LEAVING);
}

static uint64_t token_weight(uint32_t ip, uint64_t target, int token)
{
	uint64_t words[] = { target, (uint64_t)token, ip };

	return str_hash((struct str){ (const char *)words, sizeof(words) });
}

static uint32_t token_owner(const struct cold_share *share, uint64_t target,
			    int token)
{
	uint32_t owner = 0;
	uint64_t max_weight = 0;

	for (size_t i = 0; i < share->nholders; i++) {
		uint64_t weight =
			token_weight(share->holders[i], target, token);

		if (weight <= max_weight)
			continue;
		owner = share->holders[i];
		max_weight = weight;
	}
	return owner;
}

static void add_owner(struct cold_rate *rate, uint32_t ip)
{
	for (size_t i = 0; i < rate->nowners; i++)
		if (rate->owners[i].ip == ip)
			return;
	rate->owners[rate->nowners++].ip = ip;
}

/* Not all nodes ask the same owner first. */
static void shuffle_owners(struct cold_rate *rate, struct rng *rng)
{
	for (size_t i = rate->nowners; i > 1; i--) {
		size_t other = (size_t)rng_below(rng, i);
		struct cold_owner swapped = rate->owners[i - 1];

		rate->owners[i - 1] = rate->owners[other];
		rate->owners[other] = swapped;
	}
}

static void divide_tokens(const struct cold_share *share,
			  const struct live_target *target)
{
	struct cold_rate *rate = target->cold_rate;
	uint32_t self = share->calls->gossip->self.ip;

	rate->view = share->view;
	rate->own = 0;
	rate->nowners = 0;
	free(rate->owners);
	rate->owners = xcalloc((size_t)rate->tokens + 1, sizeof(*rate->owners));
	for (int i = 0; i < rate->tokens; i++) {
		uint32_t owner = token_owner(share, target->key, i);

		if (owner == self)
			rate->own++;
		else
			add_owner(rate, owner);
	}
	shuffle_owners(rate, &share->calls->rng);
}

/* Keeps the division of a target's tokens up to date; set in the balancer. */
static void update_part(void *ctx, const struct live_target *target)
{
	struct cold_share *share = ctx;

	if (target->cold_rate->view != share->view)
		divide_tokens(share, target);
}

void cold_share_init(struct cold_share *share, struct calls *calls, int64_t now)
{
	*share = (struct cold_share){ .calls = calls,
				      .started_at = now,
				      .joined_at = INT64_MAX };
	balancer_set_cold_parts(calls->balancer,
				(struct cold_parts){ update_part, share });
}

void cold_share_destroy(struct cold_share *share)
{
	free(share->holders);
}

static void list_holders(struct cold_share *share, int64_t now)
{
	struct gossip *gossip = share->calls->gossip;
	apr_hash_index_t *it;

	free(share->holders);
	share->holders = xcalloc(apr_hash_count(gossip->members) + 1,
				 sizeof(*share->holders));
	share->nholders = 0;
	if (may_use_own(share, now))
		share->holders[share->nholders++] = gossip->self.ip;
	for (it = apr_hash_first(NULL, gossip->members); it;
	     it = apr_hash_next(it)) {
		const struct member_info *member = hash_value(it);

		if (gossip_owns_tokens(member, now))
			share->holders[share->nholders++] = member->entry.ip;
	}
}

/* Never 0, which stands for a rate that was not divided yet. */
static uint64_t current_view(const struct cold_share *share, int64_t now)
{
	return (share->calls->gossip->owners_digest ^
		(uint64_t)may_use_own(share, now)) |
	       1ULL << 63;
}

void cold_share_tick(struct cold_share *share, int64_t pause_us, int64_t now)
{
	bool known = gossip_has_met_seeds(share->calls->gossip) ||
		     now - share->started_at > SEEDS_WAIT_US;
	uint64_t view;

	if (known && share->joined_at == INT64_MAX)
		share->joined_at = now + JOIN_US;
	if (pause_us > PAUSE_US && share->joined_at < now + JOIN_US)
		share->joined_at = now + JOIN_US;
	view = current_view(share, now);
	if (view == share->view)
		return;
	share->view = view;
	list_holders(share, now);
}

/* Lending. */

static void send_msg(struct cold_share *share, struct str addr,
		     const struct msg *msg)
{
	struct flow_effect *fx = flow_add(share->calls->fx, FLOW_PEER_SEND);

	fx->addr = str_dup(share->calls->fx->pool, addr);
	fx->msg = *msg;
}

static struct cold_owner *find_owner(struct cold_rate *rate, uint32_t ip)
{
	for (size_t i = 0; i < rate->nowners; i++)
		if (rate->owners[i].ip == ip)
			return &rate->owners[i];
	return NULL;
}

static const struct member_info *member_of(const struct cold_share *share,
					   const struct cold_owner *owner)
{
	return apr_hash_get(share->calls->gossip->members, &owner->ip,
			    sizeof(owner->ip));
}

static void ask(struct cold_share *share, const struct live_target *target,
		int64_t now)
{
	struct cold_rate *rate = target->cold_rate;

	for (size_t i = 0; i < rate->nowners; i++) {
		struct cold_owner *owner = &rate->owners[i];
		const struct member_info *member = member_of(share, owner);
		struct msg msg = { .kind = MSG_COLD_ASK, .key = target->key };

		if (now < owner->not_before)
			continue;
		owner->not_before = now + ASK_TIMEOUT_US;
		if (!member || !gossip_is_live(member, now))
			continue;
		rate->asked_at = now;
		msg.id = ++rate->ask;
		send_msg(share, member->addr, &msg);
		return;
	}
}

static bool is_asking(const struct cold_rate *rate, int64_t now)
{
	return rate->asked_at && now - rate->asked_at < ASK_TIMEOUT_US;
}

/* When an own token may be free, or another owner may have one. */
static int64_t look_at(const struct cold_rate *rate, int64_t now)
{
	int64_t when = cold_rate_free_at(rate, now);

	if (is_asking(rate, now) && rate->asked_at + ASK_TIMEOUT_US < when)
		when = rate->asked_at + ASK_TIMEOUT_US;
	for (size_t i = 0; i < rate->nowners && !is_asking(rate, now); i++)
		if (rate->owners[i].not_before < when)
			when = rate->owners[i].not_before;
	if (when < now + LOOK_INTERVAL_US)
		return now + LOOK_INTERVAL_US;
	return when;
}

static void schedule_look(struct cold_share *share,
			  const struct live_target *target, int64_t now)
{
	struct cold_rate *rate = target->cold_rate;
	int64_t when = look_at(rate, now);

	if (rate->wake_at > now && rate->wake_at <= when)
		return;
	if (when - now > NO_TOKENS_US)
		when = now + NO_TOKENS_US;
	rate->wake_at = when;
	timer_add(&share->calls->timers, when, TIMER_COLD, target->service);
}

static bool was_tried(const struct part *part, uint64_t key)
{
	for (size_t i = 0; i < part->ntried; i++)
		if (part->tried[i] == key)
			return !(part->rejected & 1U << i);
	return false;
}

void cold_share_want(struct cold_share *share, const struct part *part,
		     int64_t now)
{
	struct live_target *target =
		balancer_first_target(share->calls->balancer, part->service);

	for (; target; target = target->next) {
		if (was_tried(part, target->key) ||
		    balancer_availability(share->calls->balancer, target,
					  now) != AVAIL_COLD)
			continue;
		if (!is_asking(target->cold_rate, now))
			ask(share, target, now);
		schedule_look(share, target, now);
	}
}

void cold_share_on_ask(struct cold_share *share, struct str from,
		       const struct msg *msg, int64_t now)
{
	struct live_target *target =
		balancer_find(share->calls->balancer, msg->key);
	struct cold_rate *rate =
		target ? balancer_cold_rate(share->calls->balancer, target)
		       : NULL;
	int64_t free_at = rate ? cold_rate_free_at(rate, now) : INT64_MAX;
	struct msg reply = { .kind = MSG_COLD_REPLY,
			     .key = msg->key,
			     .id = msg->id };

	if (free_at <= now) {
		cold_rate_lend(rate, now + GRANT_US);
		metric_add(&share->calls->decision_log->metrics,
			   METRIC_COLD_LENT);
		reply.state = true;
		free_at = cold_rate_free_at(rate, now);
	}
	reply.wait_us = free_at == INT64_MAX ? NO_TOKENS_US : free_at - now;
	send_msg(share, from, &reply);
}

void cold_share_on_reply(struct cold_share *share, struct str from,
			 const struct msg *msg, int64_t delay_us, int64_t now)
{
	struct live_target *target =
		balancer_find(share->calls->balancer, msg->key);
	struct cold_rate *rate = target ? target->cold_rate : NULL;
	const struct member_info *member =
		gossip_find(share->calls->gossip, from);
	struct cold_owner *owner =
		rate && member ? find_owner(rate, member->entry.ip) : NULL;

	if (owner)
		owner->not_before = now + msg->wait_us;
	if (!rate || !rate->asked_at || msg->id != rate->ask)
		return;
	/* Its own clock tells how old the leave is: the ask came before it. */
	if (msg->state && now - rate->asked_at < GRANT_US && !delay_us)
		rate->grant_until = rate->asked_at + GRANT_US;
	rate->asked_at = 0;
	call_queue_serve(share->calls, target->service);
}
