#pragma once

#include "payload.h"
#include "rng.h"

/**
 * DOC: which other nodes there are
 *
 * Each node counts a beat of its own and passes on the highest that it has
 * seen of every other, to a few nodes a second. A node whose beat stands still
 * is taken to be down. Seeds are asked until somebody is known.
 */

/** enum member_state - state of a node, as it states it */
enum member_state {
	MEMBER_SERVING = 1, /* has a configuration and takes requests */
	MEMBER_LEAVING = 2, /* planned stop */
	MEMBER_READS_STORE = 4, /* the store answers it */
};

/**
 * struct member_info - a node as it is known here
 * @addr: "ip:port" between nodes
 * @near: in this node's failure domain
 * @last_beat_at: when its beat last went up here
 * @unanswered_since: first question since it was last heard, 0 for none
 * @clock_incarnation, @min_clock_offset: incarnation, and the least difference
 * seen between its clock and this one's: what is more is delay
 * @in_flight: questions that it has not answered
 * @backoff_until: gets no questions until then
 */
struct member_info {
	struct member_entry entry;
	struct str addr;
	bool near;
	int64_t last_beat_at;
	int64_t unanswered_since;
	uint64_t clock_incarnation;
	int64_t min_clock_offset;
	int in_flight;
	int64_t backoff_until;
};

/**
 * struct gossip - all that is known of nodes
 * @self: what this one states of itself
 * @started_at: of the process
 * @sent_at, @next_at: of the last round, and of the next
 * @near_live: live nodes of the failure domain, this one included
 * @counted, @near_counted: nodes that may hold a part of shared bounds, and
 *                          those of them in the failure domain
 * @digest: of other things that nodes compare, sent along with each round
 */
struct gossip {
	apr_pool_t *pool;
	struct flow_effects *fx;
	struct rng *rng;
	uint16_t port;
	struct member_entry self;
	apr_hash_t *members; /* ip -> struct member_info */
	uint32_t seeds[SEEDS_MAX];
	size_t nseeds;
	int64_t started_at;
	int64_t sent_at;
	int64_t next_at;
	int near_live;
	int counted;
	int near_counted;
	uint64_t digest;
};

/** gossip_init() - @domain: failure domain; @core: share of a core. */
void gossip_init(struct gossip *gossip, apr_pool_t *pool,
		 struct flow_effects *fx, struct rng *rng,
		 const struct vm_settings *settings, uint64_t incarnation,
		 int64_t now);
void gossip_destroy(struct gossip *gossip);
void gossip_set_seeds(struct gossip *gossip,
		      const struct vm_settings *settings);
/** gossip_tick() - a round to a few nodes, if it is time. */
void gossip_tick(struct gossip *gossip, int64_t now);
/** gossip_announce() - send all live nodes the changed state at once. */
void gossip_announce(struct gossip *gossip, int64_t now);
/** gossip_receive() - members that another node knows. */
void gossip_receive(struct gossip *gossip, struct str from, struct str body,
		    int64_t now);
/** gossip_mark_answered() - any message came from the node at @addr. */
void gossip_mark_answered(struct gossip *gossip, struct str addr);
/**
 * gossip_excess_delay() - how much longer than the quickest one a message took
 * that the node at @addr sent at @sent_us of its own clock
 */
int64_t gossip_excess_delay(struct gossip *gossip, struct str addr,
			    uint64_t incarnation, int64_t sent_us, int64_t now);
/** gossip_is_counted() - heard of so lately that it has a part of shared
 * bounds. */
bool gossip_is_counted(const struct member_info *member, int64_t now);
/** gossip_counted_nodes() - nodes that may hold a part of shared bounds. */
int gossip_counted_nodes(const struct gossip *gossip);
/**
 * gossip_pick_near() - up to @max nodes of this failure domain that are up,
 * each with the same chance
 *
 * Return: how many.
 */
size_t gossip_pick_near(struct gossip *gossip, size_t max, int64_t now,
			struct member_info **out);
/**
 * gossip_pick_far() - a node that is up of each other failure domain, @max at
 * most
 *
 * Return: how many.
 */
size_t gossip_pick_far(struct gossip *gossip, size_t max, int64_t now,
		       struct member_info **out);
/**
 * gossip_owner() - the live node that decides about @key: the same one on all
 * nodes that know the same others; NULL when it is this one
 */
struct member_info *gossip_owner(const struct gossip *gossip, uint64_t key,
				 int64_t now);
bool gossip_is_live(const struct member_info *member, int64_t now);
struct member_info *gossip_find(struct gossip *gossip, struct str addr);
/** gossip_is_seed() - this node is one of the seeds. */
bool gossip_is_seed(const struct gossip *gossip);
/**
 * gossip_is_store_reader() - this node reads the store for its failure domain:
 * it has the lowest address of those there that the store answers
 */
bool gossip_is_store_reader(const struct gossip *gossip, int64_t now);
