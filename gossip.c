#include "gossip.h"

#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>

#include "xmalloc.h"

enum {
	GOSSIP_PERIOD_US = 1000000,
	/*
	 * Delay of the early round after a new node was seen. When all VMs
	 * restarted, regular rounds spread the membership three times slower
	 * than nodes became ready. Until then each node counts too few others,
	 * so its share of the shared limits is too large, and small VMs merge.
	 */
	EARLY_ROUND_US = 150000,
	/*
	 * Above this number of nodes there are no early rounds: a message lists
	 * all members, which costs a small VM much time during a start.
	 */
	EARLY_ROUND_NODES_MAX = 100,
	/*
	 * After the start, seeds that have not answered are retried every
	 * EARLY_ROUND_US for this long.
	 */
	SEEDS_RETRY_WINDOW_US = 3000000,
	/*
	 * Nodes of this failure domain that get the full list each period. A
	 * change reaches 25 nodes within three periods.
	 */
	NEAR_FANOUT = 3,
	/*
	 * Traffic between failure domains is billed. So all nodes of a domain
	 * together send to this many nodes of other domains per period, and
	 * list only members of their own domain.
	 */
	FAR_FANOUT_PER_DOMAIN = 4,
	FAR_FANOUT = 1,
	/* Three lost rounds. */
	DOWN_TIMEOUT_US = 3500000,
	/* Other failure domains send gossip less often. */
	FAR_DOWN_TIMEOUT_US = 8000000,
	/*
	 * A node that starts knows only the seeds. If these are down as well,
	 * nobody tells it what the others know, until their next rounds happen
	 * to reach it. So nodes whose connection broke are contacted until they
	 * are back, by a few others each.
	 */
	LOST_CONTACT_US = 50000,
	LOST_CONTACT_WINDOW_US = 5000000,
	LOST_CONTACTS = 3,
	/* A node that is down keeps its part of the targets' connections. */
	COUNTED_TIMEOUT_US = 15000000,
	/*
	 * A node that is down may only be partitioned, and then goes on using
	 * its share of the retries. So the others do not take it over for as
	 * long as partitions last. Where the node is lost for good, they have
	 * fewer extra retries meanwhile.
	 */
	FORGET_TIMEOUT_US = 600000000,
	/*
	 * The same for tokens of cold targets. They are all that callers get
	 * from a service whose targets have restarted, so a node that is lost
	 * keeps its own for as long as a partition, but not for minutes.
	 */
	TOKENS_TIMEOUT_US = 60000000,
	ADDR_TEXT_MAX = 32,
};

static uint32_t ip_number(struct str ip)
{
	char text[INET_ADDRSTRLEN] = "";
	struct in_addr in = { 0 };

	if (!ip.ptr || ip.len >= sizeof(text))
		return 0;
	memcpy(text, ip.ptr, ip.len);
	return inet_pton(AF_INET, text, &in) == 1 ? ntohl(in.s_addr) : 0;
}

static struct str addr_text(apr_pool_t *pool, uint32_t ip, uint16_t port)
{
	char text[ADDR_TEXT_MAX];
	int len = snprintf(text, sizeof(text), "%u.%u.%u.%u:%u", ip >> 24,
			   ip >> 16 & 255, ip >> 8 & 255, ip & 255, port);

	return str_dup(pool, (struct str){ text, (size_t)len });
}

void gossip_set_seeds(struct gossip *gossip, const struct vm_settings *settings)
{
	gossip->nseeds = 0;
	for (size_t i = 0; i < settings->nseeds; i++) {
		uint32_t ip = ip_number(settings->seeds[i]);

		if (ip)
			gossip->seeds[gossip->nseeds++] = ip;
	}
}

void gossip_init(struct gossip *gossip, apr_pool_t *pool,
		 struct flow_effects *fx, struct rng *rng,
		 const struct vm_settings *settings, uint64_t incarnation,
		 int64_t now)
{
	*gossip = (struct gossip){ .pool = pool,
				   .fx = fx,
				   .rng = rng,
				   .port = settings->peer_port,
				   .next_at = now,
				   .contact_at = INT64_MAX,
				   .started_at = now,
				   .near_live = 1,
				   .counted = 1,
				   .holders = 1,
				   .near_counted = 1 };
	gossip->members = hash_make(pool);
	gossip->self.ip = ip_number(settings->ip);
	gossip->self.incarnation = incarnation;
	gossip->self.domain = str_hash(settings->domain);
	gossip->self.core = (uint32_t)(settings->core * 1000);
	gossip_set_seeds(gossip, settings);
}

void gossip_destroy(struct gossip *gossip)
{
	apr_hash_index_t *it;

	for (it = apr_hash_first(NULL, gossip->members); it;
	     it = apr_hash_next(it)) {
		void *member = hash_value(it);

		free(member);
	}
}

static bool is_up(const struct member_info *member, int64_t now)
{
	return now - member->last_beat_at <
	       (member->near ? DOWN_TIMEOUT_US : FAR_DOWN_TIMEOUT_US);
}

bool gossip_is_counted(const struct member_info *member, int64_t now)
{
	return now - member->last_beat_at < COUNTED_TIMEOUT_US;
}

bool gossip_holds_share(const struct member_info *member, int64_t now)
{
	return gossip_is_counted(member, now) ||
	       !(member->entry.state & MEMBER_LEAVING);
}

bool gossip_owns_tokens(const struct member_info *member, int64_t now)
{
	return gossip_holds_share(member, now) &&
	       now - member->last_beat_at < TOKENS_TIMEOUT_US;
}

bool gossip_is_live(const struct member_info *member, int64_t now)
{
	return is_up(member, now) && !(member->entry.state & MEMBER_LEAVING);
}

bool gossip_is_seed(const struct gossip *gossip)
{
	for (size_t i = 0; i < gossip->nseeds; i++)
		if (gossip->seeds[i] == gossip->self.ip)
			return true;
	return !gossip->nseeds;
}

struct member_info *gossip_find(struct gossip *gossip, struct str addr)
{
	const char *colon = memchr(addr.ptr ? addr.ptr : "", ':', addr.len);
	uint32_t ip;

	if (!colon)
		return NULL;
	ip = ip_number((struct str){ addr.ptr, (size_t)(colon - addr.ptr) });
	return apr_hash_get(gossip->members, &ip, sizeof(ip));
}

void gossip_mark_answered(struct gossip *gossip, struct str addr)
{
	struct member_info *member = gossip_find(gossip, addr);

	if (member)
		member->unanswered_since = 0;
}

int64_t gossip_excess_delay(struct gossip *gossip, struct str addr,
			    uint64_t incarnation, int64_t sent_us, int64_t now)
{
	struct member_info *member = gossip_find(gossip, addr);
	int64_t offset = now - sent_us;

	if (!member || !sent_us)
		return 0;
	if (member->clock_incarnation != incarnation ||
	    offset < member->min_clock_offset) {
		member->clock_incarnation = incarnation;
		member->min_clock_offset = offset;
	}
	return offset - member->min_clock_offset;
}

int gossip_counted_nodes(const struct gossip *gossip)
{
	return gossip->counted;
}

/*
 * A node that started behind a partition sees only a part of the others, or
 * none, and would take their shares too. Seeds are on either side of most
 * partitions, so a share is held only after each of them was met.
 */
bool gossip_has_met_seeds(const struct gossip *gossip)
{
	for (size_t i = 0; i < gossip->nseeds; i++)
		if (gossip->seeds[i] != gossip->self.ip &&
		    !apr_hash_get(gossip->members, &gossip->seeds[i],
				  sizeof(gossip->seeds[i])))
			return false;
	return true;
}

double gossip_equal_share(const struct gossip *gossip, int64_t now)
{
	if (now - gossip->started_at <= FORGET_TIMEOUT_US &&
	    !gossip_has_met_seeds(gossip))
		return 0;
	return 1.0 / gossip->holders;
}

static uint64_t rendezvous_weight(uint32_t ip, uint64_t key)
{
	uint64_t words[] = { key, ip };

	return str_hash((struct str){ (const char *)words, sizeof(words) });
}

/*
 * Counts nodes that went down recently as well, see COUNTED_TIMEOUT_US, and
 * removes those that have been down for FORGET_TIMEOUT_US.
 */
static void update_counts(struct gossip *gossip, int64_t now)
{
	apr_hash_index_t *it;
	int counted = 1;
	int holders = 1;

	gossip->near_live = 1;
	gossip->near_counted = 1;
	gossip->owners_digest = 0;
	for (it = apr_hash_first(NULL, gossip->members); it;
	     it = apr_hash_next(it)) {
		struct member_info *member = hash_value(it);

		if (gossip_is_counted(member, now)) {
			counted++;
			gossip->near_counted += member->near;
		}
		holders += gossip_holds_share(member, now);
		if (gossip_owns_tokens(member, now))
			gossip->owners_digest ^=
				rendezvous_weight(member->entry.ip, 0);
		if (gossip_is_live(member, now) && member->near)
			gossip->near_live++;
		if (now - member->last_beat_at > FORGET_TIMEOUT_US &&
		    !member->in_flight) {
			apr_hash_set(gossip->members, &member->entry.ip,
				     sizeof(member->entry.ip), NULL);
			free(member);
		}
	}
	gossip->counted = counted;
	gossip->holders = holders;
}

/* Sending. */

/* @all: list members of all failure domains, or only of this node's. */
static void encode_members(struct gossip *gossip, bool all, int64_t now,
			   struct buf *out)
{
	size_t max = apr_hash_count(gossip->members) + 1;
	struct member_entry *list = xcalloc(max, sizeof(*list));
	apr_hash_index_t *it;
	size_t count = 0;

	list[count++] = gossip->self;
	for (it = apr_hash_first(NULL, gossip->members); it;
	     it = apr_hash_next(it)) {
		struct member_info *member = hash_value(it);

		/* Nodes that are down must not return by stale gossip. */
		if (is_up(member, now) && (all || member->near))
			list[count++] = member->entry;
	}
	payload_encode_members(list, count, out);
	free(list);
}

static void send_gossip(struct gossip *gossip, struct str addr, struct str body)
{
	struct flow_effect *fx = flow_add(gossip->fx, FLOW_PEER_SEND);

	fx->addr = str_dup(gossip->fx->pool, addr);
	fx->msg.kind = MSG_GOSSIP;
	fx->msg.hash = gossip->digest;
	fx->msg.state = gossip->wants_state;
	fx->msg.body = str_dup(gossip->fx->pool, body);
}

/** enum scope - set of nodes to sample from */
enum scope {
	SCOPE_NEAR,
	SCOPE_FAR,
	SCOPE_NEAR_UP,
};

static bool in_scope(const struct member_info *member, enum scope scope,
		     int64_t now)
{
	if (scope == SCOPE_NEAR_UP)
		return member->near && is_up(member, now);
	return member->near == (scope == SCOPE_NEAR) &&
	       gossip_is_counted(member, now);
}

/* Reservoir sampling: up to @max members of @scope with equal probability. */
static size_t sample_members(struct gossip *gossip, enum scope scope,
			     size_t max, int64_t now, struct member_info **out)
{
	apr_hash_index_t *it;
	size_t seen = 0;

	for (it = apr_hash_first(NULL, gossip->members); it;
	     it = apr_hash_next(it)) {
		struct member_info *member = hash_value(it);
		size_t place;

		if (!in_scope(member, scope, now))
			continue;
		place = seen++;
		if (place >= max)
			place = rng_below(gossip->rng, seen);
		if (place < max)
			out[place] = member;
	}
	return seen < max ? seen : max;
}

size_t gossip_pick_near(struct gossip *gossip, size_t max, int64_t now,
			struct member_info **out)
{
	return sample_members(gossip, SCOPE_NEAR_UP, max, now, out);
}

size_t gossip_pick_far(struct gossip *gossip, size_t max, int64_t now,
		       struct member_info **out)
{
	apr_hash_index_t *it;
	size_t count = 0;

	for (it = apr_hash_first(NULL, gossip->members); it;
	     it = apr_hash_next(it)) {
		struct member_info *member = hash_value(it);
		size_t at = 0;

		if (member->near || !is_up(member, now))
			continue;
		while (at < count &&
		       out[at]->entry.domain != member->entry.domain)
			at++;
		if (at == count && count < max)
			out[count++] = member;
		else if (at < count && rng_below(gossip->rng, 2))
			out[at] = member;
	}
	return count;
}

struct member_info *gossip_owner(const struct gossip *gossip, uint64_t key,
				 int64_t now)
{
	bool leaving = gossip->self.state & MEMBER_LEAVING;
	uint64_t max_weight =
		leaving ? 0 : rendezvous_weight(gossip->self.ip, key);
	struct member_info *owner = NULL;
	apr_hash_index_t *it;

	for (it = apr_hash_first(NULL, gossip->members); it;
	     it = apr_hash_next(it)) {
		struct member_info *member = hash_value(it);

		if (!gossip_is_live(member, now) ||
		    rendezvous_weight(member->entry.ip, key) <= max_weight)
			continue;
		owner = member;
		max_weight = rendezvous_weight(member->entry.ip, key);
	}
	return owner;
}

/* Return: true if some seeds are not live members yet. */
static bool contact_seeds(struct gossip *gossip, struct str body, int64_t now)
{
	bool any = false;

	for (size_t i = 0; i < gossip->nseeds; i++) {
		uint32_t ip = gossip->seeds[i];
		struct member_info *member =
			apr_hash_get(gossip->members, &ip, sizeof(ip));

		if (ip == gossip->self.ip ||
		    (member && gossip_is_live(member, now)))
			continue;
		send_gossip(gossip,
			    addr_text(gossip->fx->pool, ip, gossip->port),
			    body);
		any = true;
	}
	return any;
}

/* Return: live nodes that outweigh this one for @key, up to @max. */
static int count_outweighing(const struct gossip *gossip, uint64_t key, int max,
			     int64_t now)
{
	uint64_t weight = rendezvous_weight(gossip->self.ip, key);
	apr_hash_index_t *it;
	int count = 0;

	for (it = apr_hash_first(NULL, gossip->members); it && count < max;
	     it = apr_hash_next(it)) {
		const struct member_info *member = hash_value(it);

		count += gossip_is_live(member, now) && !member->lost_at &&
			 rendezvous_weight(member->entry.ip, key) > weight;
	}
	return count;
}

static bool is_awaited(const struct member_info *member, int64_t now)
{
	return member->lost_at &&
	       now - member->lost_at < LOST_CONTACT_WINDOW_US;
}

void gossip_on_lost(struct gossip *gossip, struct str addr, int64_t now)
{
	struct member_info *member = gossip_find(gossip, addr);

	if (!member || member->lost_at)
		return;
	member->lost_at = now;
	if (gossip->contact_at > now + LOST_CONTACT_US)
		gossip->contact_at = now + LOST_CONTACT_US;
}

/* Return: nodes that are awaited; the caller frees the list. */
static struct member_info **collect_awaited(const struct gossip *gossip,
					    int64_t now, size_t *count)
{
	struct member_info **list =
		xcalloc(apr_hash_count(gossip->members) + 1, sizeof(*list));
	apr_hash_index_t *it;

	*count = 0;
	for (it = apr_hash_first(NULL, gossip->members); it;
	     it = apr_hash_next(it)) {
		struct member_info *member = hash_value(it);

		if (is_awaited(member, now))
			list[(*count)++] = member;
	}
	return list;
}

static void contact_lost(struct gossip *gossip, int64_t now)
{
	struct buf own = { 0 };
	struct member_info **list;
	size_t count;

	list = collect_awaited(gossip, now, &count);
	gossip->contact_at = count ? now + LOST_CONTACT_US : INT64_MAX;
	encode_members(gossip, false, now, &own);
	for (size_t i = 0; i < count; i++)
		if (count_outweighing(gossip, list[i]->entry.ip, LOST_CONTACTS,
				      now) < LOST_CONTACTS)
			send_gossip(gossip, list[i]->addr, buf_str(&own));
	free(list);
	buf_free(&own);
}

int64_t gossip_wake_at(const struct gossip *gossip)
{
	return gossip->contact_at < gossip->next_at ? gossip->contact_at
						    : gossip->next_at;
}

/*
 * Decides at random whether this node sends to another failure domain in this
 * round, so that FAR_FANOUT_PER_DOMAIN nodes of its domain do on average.
 */
static bool draw_far_gossip(struct gossip *gossip)
{
	return rng_below(gossip->rng, (uint64_t)gossip->near_live) <
	       FAR_FANOUT_PER_DOMAIN;
}

void gossip_tick(struct gossip *gossip, int64_t now)
{
	struct member_info *picked[NEAR_FANOUT + FAR_FANOUT];
	struct buf all = { 0 };
	struct buf own = { 0 };
	size_t count;

	if (now >= gossip->contact_at)
		contact_lost(gossip, now);
	if (now < gossip->next_at)
		return;
	gossip->next_at = now + GOSSIP_PERIOD_US;
	gossip->sent_at = now;
	gossip->self.beat++;
	update_counts(gossip, now);
	encode_members(gossip, true, now, &all);
	count = sample_members(gossip, SCOPE_NEAR, NEAR_FANOUT, now, picked);
	for (size_t i = 0; i < count; i++)
		send_gossip(gossip, picked[i]->addr, buf_str(&all));
	encode_members(gossip, false, now, &own);
	count = draw_far_gossip(gossip)
			? sample_members(gossip, SCOPE_FAR, FAR_FANOUT, now,
					 picked)
			: 0;
	for (size_t i = 0; i < count; i++)
		send_gossip(gossip, picked[i]->addr, buf_str(&own));
	if (contact_seeds(gossip, buf_str(&own), now) &&
	    now - gossip->started_at < SEEDS_RETRY_WINDOW_US)
		gossip->next_at = now + EARLY_ROUND_US;
	buf_free(&all);
	buf_free(&own);
}

void gossip_announce(struct gossip *gossip, int64_t now)
{
	apr_hash_index_t *it;
	struct buf body = { 0 };

	gossip->self.beat++;
	payload_encode_members(&gossip->self, 1, &body);
	for (it = apr_hash_first(NULL, gossip->members); it;
	     it = apr_hash_next(it)) {
		struct member_info *member = hash_value(it);

		if (gossip_is_live(member, now))
			send_gossip(gossip, member->addr, buf_str(&body));
	}
	buf_free(&body);
}

/* Receiving. */

/* Rounds are at least EARLY_ROUND_US apart, however many nodes are new. */
static void schedule_early_round(struct gossip *gossip, int64_t now)
{
	int64_t sooner = gossip->sent_at + EARLY_ROUND_US;

	if (gossip->counted > EARLY_ROUND_NODES_MAX)
		return;
	if (sooner < now)
		sooner = now;
	if (sooner < gossip->next_at)
		gossip->next_at = sooner;
}

static void merge_member(struct gossip *gossip,
			 const struct member_entry *entry, int64_t now)
{
	struct member_info *member =
		apr_hash_get(gossip->members, &entry->ip, sizeof(entry->ip));

	if (entry->ip == gossip->self.ip || !entry->ip)
		return;
	if (!member) {
		member = xcalloc(1, sizeof(*member));
		member->addr = addr_text(gossip->pool, entry->ip, gossip->port);
		member->entry = *entry;
		member->last_beat_at = now;
		member->near = entry->domain == gossip->self.domain;
		apr_hash_set(gossip->members, &member->entry.ip,
			     sizeof(member->entry.ip), member);
		update_counts(gossip, now);
		schedule_early_round(gossip, now);
		return;
	}
	/*
	 * Another incarnation is a new process, but stale gossip about the
	 * previous one, with a higher beat, may still arrive. That is ignored
	 * until the known incarnation's beat has stopped increasing.
	 */
	if (member->entry.incarnation != entry->incarnation) {
		if (now - member->last_beat_at < GOSSIP_PERIOD_US / 2 &&
		    entry->beat > member->entry.beat)
			return;
		schedule_early_round(gossip, now);
	} else if (entry->beat <= member->entry.beat) {
		return;
	}
	member->entry = *entry;
	member->near = entry->domain == gossip->self.domain;
	member->last_beat_at = now;
	member->lost_at = 0;
}

/* A new node gets the list of all members at once. */
static void send_full_list(struct gossip *gossip, struct str from, int64_t now)
{
	struct buf body = { 0 };

	encode_members(gossip, true, now, &body);
	send_gossip(gossip, from, buf_str(&body));
	buf_free(&body);
}

void gossip_on_msg(struct gossip *gossip, struct str from, struct str body,
		   int64_t now)
{
	bool known = gossip_find(gossip, from) != NULL;
	struct member_entry *members;
	apr_pool_t *pool;
	size_t count;

	apr_pool_create(&pool, gossip->pool);
	if (!payload_decode_members(body, pool, &members, &count))
		for (size_t i = 0; i < count; i++)
			merge_member(gossip, &members[i], now);
	apr_pool_destroy(pool);
	if (!known)
		send_full_list(gossip, from, now);
}

bool gossip_is_store_reader(const struct gossip *gossip, int64_t now)
{
	apr_hash_index_t *it;

	for (it = apr_hash_first(NULL, gossip->members); it;
	     it = apr_hash_next(it)) {
		const struct member_info *member = hash_value(it);

		if (member->entry.domain == gossip->self.domain &&
		    member->entry.ip < gossip->self.ip &&
		    (member->entry.state & MEMBER_STORE_REACHABLE) &&
		    gossip_is_live(member, now))
			return false;
	}
	return true;
}
