#pragma once

#include "payload.h"
#include "rng.h"

/**
 * DOC: gossip membership
 *
 * Each node increments a heartbeat counter (beat) and sends the highest values
 * that it has seen, its own and those of all other nodes, to a few nodes per
 * second. A node whose beat stops increasing is considered down. Seeds are
 * contacted until they are members.
 */

/** enum member_state - bits of the state that a node reports of itself */
enum member_state {
	MEMBER_SERVING = 1, /* has a configuration and takes requests */
	MEMBER_LEAVING = 2, /* planned stop */
	MEMBER_STORE_REACHABLE = 4, /* its calls to the store succeed */
};

/**
 * struct member_info - another node, as seen by this one
 * @addr: "ip:port" for connections between nodes
 * @near: in this node's failure domain
 * @last_beat_at: when a higher beat was last received
 * @lost_at: when its connection broke, 0 after a higher beat
 * @unanswered_since: when the first batch since the last message from the node
 *                    was sent to it, 0 for none
 * @clock_incarnation: incarnation that @min_clock_offset belongs to
 * @min_clock_offset: smallest difference seen between this node's clock and
 *                    the sender's timestamp; anything above it is delay
 * @in_flight: open batches
 * @backoff_until: the node is sent no batches until then
 */
struct member_info {
	struct member_entry entry;
	struct str addr;
	bool near;
	int64_t last_beat_at;
	int64_t lost_at;
	int64_t unanswered_since;
	uint64_t clock_incarnation;
	int64_t min_clock_offset;
	int in_flight;
	int64_t backoff_until;
};

/**
 * struct gossip - membership table and gossip rounds
 * @self: entry of this node
 * @started_at: start of the process
 * @sent_at, @next_at: time of the last round and of the next one
 * @contact_at: next time at which nodes that were lost are contacted
 * @near_live: live nodes of this failure domain, including this one
 * @counted: nodes that may hold connections to targets
 * @near_counted: those of them in this failure domain
 * @holders: nodes that may hold a share of the extra retries
 * @owners_digest: digest of the addresses of the other nodes that own tokens
 * @digest: digest of other replicated state, sent with each round
 * @wants_state: other nodes are asked to send all of that state
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
	int64_t contact_at;
	int near_live;
	int counted;
	int near_counted;
	int holders;
	uint64_t owners_digest;
	uint64_t digest;
	bool wants_state;
};

/** gossip_init() - start with no members but this node and the seeds. */
void gossip_init(struct gossip *gossip, apr_pool_t *pool,
		 struct flow_effects *fx, struct rng *rng,
		 const struct vm_settings *settings, uint64_t incarnation,
		 int64_t now);
void gossip_destroy(struct gossip *gossip);
void gossip_set_seeds(struct gossip *gossip,
		      const struct vm_settings *settings);
/** gossip_tick() - run a gossip round if it is due. */
void gossip_tick(struct gossip *gossip, int64_t now);
/** gossip_wake_at() - when gossip_tick() has to run next. */
int64_t gossip_wake_at(const struct gossip *gossip);
/** gossip_on_lost() - the connection to the node at @addr broke. */
void gossip_on_lost(struct gossip *gossip, struct str addr, int64_t now);
/** gossip_announce() - send this node's state to all live nodes at once. */
void gossip_announce(struct gossip *gossip, int64_t now);
/** gossip_on_msg() - merge the members in the gossip message @body. */
void gossip_on_msg(struct gossip *gossip, struct str from, struct str body,
		   int64_t now);
/** gossip_mark_answered() - record that the node at @addr sent a message. */
void gossip_mark_answered(struct gossip *gossip, struct str addr);
/**
 * gossip_excess_delay() - delay of a message beyond the fastest one seen.
 * @addr: sender
 * @sent_us: time of sending by the sender's clock
 */
int64_t gossip_excess_delay(struct gossip *gossip, struct str addr,
			    uint64_t incarnation, int64_t sent_us, int64_t now);
/** gossip_is_counted() - whether a node may hold connections to targets. */
bool gossip_is_counted(const struct member_info *member, int64_t now);
/** gossip_holds_share() - whether a node may hold a share of extra retries. */
bool gossip_holds_share(const struct member_info *member, int64_t now);
/** gossip_owns_tokens() - whether a node may use tokens of cold targets. */
bool gossip_owns_tokens(const struct member_info *member, int64_t now);
/** gossip_has_met_seeds() - whether each seed has been a member. */
bool gossip_has_met_seeds(const struct gossip *gossip);
/**
 * gossip_equal_share() - share of the extra retries if all nodes have the same.
 *
 * Return: 0 while this node may know a part of the nodes only, else up to 1.
 */
double gossip_equal_share(const struct gossip *gossip, int64_t now);
/** gossip_counted_nodes() - number of such nodes, including this one. */
int gossip_counted_nodes(const struct gossip *gossip);
/**
 * gossip_pick_near() - uniform sample of the nodes of this failure domain that
 * are up.
 * @max: size of the sample
 *
 * Return: number of nodes in @out.
 */
size_t gossip_pick_near(struct gossip *gossip, size_t max, int64_t now,
			struct member_info **out);
/**
 * gossip_pick_far() - pick one node that is up in each other failure domain.
 * @max: maximum number of nodes
 *
 * Return: number of nodes in @out.
 */
size_t gossip_pick_far(struct gossip *gossip, size_t max, int64_t now,
		       struct member_info **out);
/**
 * gossip_owner() - live node that owns @key, by rendezvous hashing.
 *
 * Nodes with the same membership get the same owner.
 *
 * Return: the owner, NULL if it is this node.
 */
struct member_info *gossip_owner(const struct gossip *gossip, uint64_t key,
				 int64_t now);
/** gossip_is_live() - whether a node is up and not leaving. */
bool gossip_is_live(const struct member_info *member, int64_t now);
struct member_info *gossip_find(struct gossip *gossip, struct str addr);
/** gossip_is_seed() - whether this node is a seed, or no seeds are set. */
bool gossip_is_seed(const struct gossip *gossip);
/**
 * gossip_is_store_reader() - whether this node reads the store for its failure
 * domain.
 *
 * It does if no live node of the domain whose calls to the store succeed has a
 * lower address.
 */
bool gossip_is_store_reader(const struct gossip *gossip, int64_t now);
