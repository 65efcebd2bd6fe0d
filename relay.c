#include "relay.h"

#include <stdlib.h>

enum {
	/*
	 * A node that has heard nothing for this long reads by itself. A reader
	 * hears from the store each 1.2 s at least; a drain must be known in 3
	 * s.
	 */
	STALE_US = 1900000,
	/*
	 * At the start seeds read at once; after the first time the one whose
	 * part it is does, after the second whoever still knows nothing.
	 */
	DELAYED_READ_US = 400000,
	DELAYED_FALLBACK_US = 1200000,
	/*
	 * Callers are refused until a configuration is there. The first time
	 * is for the answer of a seed that lives; the second for a reader's own
	 * start.
	 */
	QUICK_READ_US = 40000,
	QUICK_FALLBACK_US = 300000,
	/*
	 * With more nodes than this known one is patient: read by hundreds of
	 * nodes at a time, the whole table keeps the store's link busy for
	 * seconds, in which none serves; from readers each has it sooner.
	 */
	QUICK_NODES_MAX = 24,
	/* More is asked for at most this often. */
	REQUEST_INTERVAL_US = 200000,
	/* The store was lost so long ago that it does not matter any more. */
	STORE_LOST_REPORT_US = 10000000,
	/* Children of a node in the tree; 90 nodes are reached in three steps.
	 */
	TREE_FANOUT = 4,
	TREE_NODES_MAX = 1024,
	/* Items are relayed if they are this much newer than what was known. */
	RELAY_MIN_US = 50000,
};

void relay_init(struct relay *relay, struct gossip *gossip,
		struct reader *reader, struct flow_effects *fx,
		bool first_start, int64_t now)
{
	*relay = (struct relay){ .gossip = gossip,
				 .reader = reader,
				 .dir = reader->dir,
				 .fx = fx,
				 .requested_at = now - REQUEST_INTERVAL_US,
				 .started_at = now,
				 .first_start = first_start };
}

/* When all VMs are new no caller waits, and calls to the store are saved. */
static bool delays_first_read(const struct relay *relay)
{
	return relay->first_start ||
	       gossip_count(relay->gossip) > QUICK_NODES_MAX;
}

/* From then on a node that knows nothing reads if that is its part. */
static int64_t reader_start_at(const struct relay *relay)
{
	return relay->started_at +
	       (delays_first_read(relay) ? DELAYED_READ_US : QUICK_READ_US);
}

/* And from then on whoever's part it is. */
static int64_t fallback_start_at(const struct relay *relay)
{
	return relay->started_at + (delays_first_read(relay)
					    ? DELAYED_FALLBACK_US
					    : QUICK_FALLBACK_US);
}

static bool should_read(const struct relay *relay, int64_t now)
{
	if (!relay->dir->revision)
		return gossip_is_seed(relay->gossip) ||
		       now >= fallback_start_at(relay) ||
		       (now >= reader_start_at(relay) &&
			gossip_reads(relay->gossip, now));
	return gossip_reads(relay->gossip, now) ||
	       now - relay->dir->read_at >= STALE_US;
}

static void send_msg(struct relay *relay, struct str addr, uint32_t kind,
		     uint64_t since, struct str body, bool pass_on, int64_t now)
{
	struct flow_effect *fx = flow_add(relay->fx, FLOW_PEER_SEND);
	int64_t lost = now - roster_store_lost_at(relay->dir->roster);

	fx->addr = str_dup(relay->fx->pool, addr);
	fx->msg.kind = kind;
	fx->msg.state = pass_on;
	fx->msg.key = since;
	fx->msg.version = relay->dir->revision;
	fx->msg.fresh_us = now - relay->dir->read_at;
	fx->msg.wait_us = lost < STORE_LOST_REPORT_US ? lost + 1 : 0;
	fx->msg.body = body;
}

static struct str pack_items(struct relay *relay, uint64_t since)
{
	struct buf items = { 0 };
	struct str body;

	directory_pack(relay->dir, since, &items);
	body = str_dup(relay->fx->pool, buf_str(&items));
	buf_free(&items);
	return body;
}

/* One of those that know more, each with the same chance, near ones first. */
static struct member_info *pick_source(const struct relay *relay, int64_t now)
{
	apr_hash_index_t *it;
	struct member_info *best = NULL;
	uint64_t seen = 0;

	for (it = apr_hash_first(NULL, relay->gossip->members); it;
	     it = apr_hash_next(it)) {
		struct member_info *member = hash_value(it);

		if (member->entry.revision <= relay->dir->revision ||
		    !gossip_is_live(member, now) ||
		    (best && best->near && !member->near))
			continue;
		if (best && member->near && !best->near)
			seen = 0;
		if (!rng_below(relay->gossip->rng, ++seen))
			best = member;
	}
	return best;
}

static void request_items(struct relay *relay, int64_t now)
{
	struct member_info *best;

	if (now - relay->requested_at < REQUEST_INTERVAL_US)
		return;
	best = pick_source(relay, now);
	if (!best)
		return;
	/* All keys from another domain are dear: the reader's turn comes. */
	if (!relay->dir->revision && !best->near &&
	    now < fallback_start_at(relay))
		return;
	relay->requested_at = now;
	send_msg(relay, best->addr, MSG_ITEMS_GET, 0, (struct str){ 0 }, false,
		 now);
}

void relay_tick(struct relay *relay, int64_t now)
{
	bool read = should_read(relay, now);
	struct member_entry *self = &relay->gossip->self;

	reader_active(relay->reader, read, now);
	self->revision = relay->dir->revision;
	self->version = relay->dir->catalog ? relay->dir->catalog->version : 0;
	if (relay->reader->failures)
		self->state &= ~(uint32_t)MEMBER_READS;
	else
		self->state |= MEMBER_READS;
	if (!relay->dir->revision || now - relay->dir->read_at >= STALE_US)
		request_items(relay, now);
}

/** struct tree_node - a node in the order of the tree */
struct tree_node {
	uint32_t ip;
	bool reads;
	struct member_info *member; /* NULL: this node */
};

static int by_ip(const void *a, const void *b)
{
	const struct tree_node *x = a;
	const struct tree_node *y = b;

	return x->ip < y->ip ? -1 : x->ip > y->ip;
}

/* Live nodes of the domain by address, the reader first: the tree's order. */
static size_t list_tree(const struct relay *relay, int64_t now,
			struct tree_node *tree)
{
	const struct member_entry *self = &relay->gossip->self;
	apr_hash_index_t *it;
	size_t count = 0;
	size_t reader = 0;
	struct tree_node first;

	tree[count++] = (struct tree_node){ self->ip,
					    self->state & MEMBER_READS, NULL };
	for (it = apr_hash_first(NULL, relay->gossip->members); it;
	     it = apr_hash_next(it)) {
		struct member_info *member = hash_value(it);

		if (member->near && gossip_is_live(member, now) &&
		    count < TREE_NODES_MAX)
			tree[count++] = (struct tree_node){
				member->entry.ip,
				member->entry.state & MEMBER_READS, member
			};
	}
	qsort(tree, count, sizeof(*tree), by_ip);
	while (reader + 1 < count && !tree[reader].reads)
		reader++;
	first = tree[reader];
	memmove(tree + 1, tree, reader * sizeof(*tree));
	tree[0] = first;
	return count;
}

/*
 * The reader sends to a few nodes, each of these to a few more, so no link has
 * to carry it for a whole domain: a hundred new targets are 30 kB a node, and
 * took a link of 200 Mbit/s for a third of a question's goal.
 */
static void relay_items(struct relay *relay, uint64_t since, struct str body,
			int64_t now)
{
	struct tree_node tree[TREE_NODES_MAX];
	size_t count = list_tree(relay, now, tree);
	size_t self_index = 0;

	while (self_index < count && tree[self_index].member)
		self_index++;
	for (size_t i = 1; i <= TREE_FANOUT; i++) {
		size_t child = self_index * TREE_FANOUT + i;

		if (child < count && tree[child].member)
			send_msg(relay, tree[child].member->addr, MSG_ITEMS,
				 since, body, true, now);
	}
}

void relay_on_read(struct relay *relay, int64_t now)
{
	if (!relay->dir->revision || !gossip_reads(relay->gossip, now))
		return;
	relay_items(relay, relay->relayed_revision,
		    pack_items(relay, relay->relayed_revision), now);
	relay->relayed_revision = relay->dir->revision;
}

void relay_on_items(struct relay *relay, struct str from, const struct msg *msg,
		    int64_t now)
{
	struct directory *dir = relay->dir;
	struct store_item *items;
	apr_pool_t *pool;
	size_t count;
	bool newer;

	apr_pool_create(&pool, dir->pool);
	if (parcel_open_items(msg->body, pool, &items, &count)) {
		note_belief(dir->notes, now, "unusable", from,
			    "its message holds no items", msg->version);
		apr_pool_destroy(pool);
		return;
	}
	if (msg->wait_us)
		roster_store_lost(dir->roster, now - msg->wait_us);
	directory_merge(dir, items, count, now);
	apr_pool_destroy(pool);
	/* What changed between is missing: ask for it. */
	if (msg->key > dir->revision) {
		send_msg(relay, from, MSG_ITEMS_GET, 0, (struct str){ 0 },
			 false, now);
		return;
	}
	if (msg->version < dir->revision)
		return;
	newer = msg->version > dir->revision ||
		now - msg->fresh_us > dir->read_at + RELAY_MIN_US;
	dir->revision = msg->version;
	dir->synced = true;
	if (now - msg->fresh_us > dir->read_at)
		dir->read_at = now - msg->fresh_us;
	dir->notes->revision = dir->revision;
	dir->notes->read_at = dir->read_at;
	/* Answers to a question of this node are for it alone. */
	if (newer && msg->state)
		relay_items(relay, msg->key,
			    str_dup(relay->fx->pool, msg->body), now);
}

void relay_on_request(struct relay *relay, struct str from,
		      const struct msg *msg, int64_t now)
{
	if (!relay->dir->revision)
		return;
	send_msg(relay, from, MSG_ITEMS, msg->version,
		 pack_items(relay, msg->version), false, now);
}

int64_t relay_wake_at(const struct relay *relay, int64_t now)
{
	if (!relay->dir->revision)
		return now < reader_start_at(relay) ? reader_start_at(relay)
						    : fallback_start_at(relay);
	return relay->dir->read_at + STALE_US;
}
