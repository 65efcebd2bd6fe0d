#include "relay.h"

#include <stdlib.h>

enum {
	/*
	 * A node without updates for this long reads the store itself. A reader
	 * gets a reply from the store at least every 1.2 s. A drain must reach
	 * all nodes within 3 s.
	 */
	STALE_US = 1900000,
	/*
	 * At its start a seed reads the store at once. The domain's reader
	 * reads after the first of these times, any node that still has no
	 * items after the second.
	 */
	DELAYED_READ_US = 400000,
	DELAYED_FALLBACK_US = 1200000,
	/*
	 * Shorter times where callers wait, as they are refused until a
	 * configuration is loaded. The first allows for the reply of a live
	 * seed, the second for the start of the reader.
	 */
	QUICK_READ_US = 40000,
	QUICK_FALLBACK_US = 300000,
	/*
	 * With more nodes than this the longer times apply. If hundreds of
	 * nodes read the whole table at once, the store's link is busy for
	 * seconds, in which no node serves; relayed by readers, the table
	 * arrives sooner at each node.
	 */
	QUICK_NODES_MAX = 24,
	/* Minimum time between two requests for items. */
	REQUEST_INTERVAL_US = 200000,
	/* A failed call to the store is reported to other nodes for this long.
	 */
	FAILED_CALL_REPORT_US = 10000000,
	/* Children of a node in the tree; three hops reach 90 nodes. */
	TREE_FANOUT = 4,
	TREE_NODES_MAX = 1024,
	/* Items are relayed if they are newer than the known ones by this. */
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

/*
 * If all VMs are new, no caller waits yet, and a delayed read saves calls to
 * the store.
 */
static bool delays_first_read(const struct relay *relay)
{
	return relay->first_start ||
	       gossip_counted_nodes(relay->gossip) > QUICK_NODES_MAX;
}

/* From then on the domain's reader reads the store if it has no items. */
static int64_t reader_start_at(const struct relay *relay)
{
	return relay->started_at +
	       (delays_first_read(relay) ? DELAYED_READ_US : QUICK_READ_US);
}

/* From then on any node without items reads the store. */
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
			gossip_is_store_reader(relay->gossip, now));
	return gossip_is_store_reader(relay->gossip, now) ||
	       now - relay->dir->read_at >= STALE_US;
}

/**
 * struct packed_list - a struct key_list as a message body
 * @root: address of the node that read it for this domain; 0: the receiver
 *        keeps it for itself
 */
struct packed_list {
	uint64_t since;
	uint64_t history_start;
	uint32_t root;
	struct str body;
};

static struct flow_effect *send_msg(struct relay *relay, struct str addr,
				    uint32_t kind, int64_t now)
{
	struct flow_effect *fx = flow_add(relay->fx, FLOW_PEER_SEND);
	int64_t failed = now - relay->dir->call_failed_at;

	fx->addr = str_dup(relay->fx->pool, addr);
	fx->msg.kind = kind;
	fx->msg.version = relay->dir->revision;
	fx->msg.fresh_us = now - relay->dir->read_at;
	fx->msg.wait_us = failed < FAILED_CALL_REPORT_US ? failed + 1 : 0;
	return fx;
}

static void send_request(struct relay *relay, struct str addr, int64_t now)
{
	send_msg(relay, addr, MSG_ITEMS_GET, now);
}

static void send_list(struct relay *relay, struct str addr,
		      const struct packed_list *list, int64_t now)
{
	struct flow_effect *fx = send_msg(relay, addr, MSG_ITEMS, now);

	fx->msg.hash = list->root;
	fx->msg.key = list->since;
	fx->msg.version2 = list->history_start;
	fx->msg.body = list->body;
}

static struct packed_list pack_list(struct relay *relay, uint64_t since)
{
	struct packed_list list = { .history_start =
					    relay->dir->history_start };
	struct buf items = { 0 };

	list.since = directory_encode(relay->dir, since, &items);
	list.body = str_dup(relay->fx->pool, buf_str(&items));
	buf_free(&items);
	return list;
}

/*
 * A random node among those with a newer revision, preferably in this failure
 * domain.
 */
static struct member_info *pick_source(const struct relay *relay, int64_t now)
{
	apr_hash_index_t *it;
	struct member_info *source = NULL;
	uint64_t seen = 0;

	for (it = apr_hash_first(NULL, relay->gossip->members); it;
	     it = apr_hash_next(it)) {
		struct member_info *member = hash_value(it);

		if (member->entry.revision <= relay->dir->revision ||
		    !gossip_is_live(member, now) ||
		    (source && source->near && !member->near))
			continue;
		if (source && member->near && !source->near)
			seen = 0;
		if (!rng_below(relay->gossip->rng, ++seen))
			source = member;
	}
	return source;
}

static void request_items(struct relay *relay, int64_t now)
{
	struct member_info *source;

	if (now - relay->requested_at < REQUEST_INTERVAL_US)
		return;
	source = pick_source(relay, now);
	if (!source)
		return;
	/*
	 * All items from another domain are costly to transfer, so the reader
	 * of this domain gets time to read them first.
	 */
	if (!relay->dir->revision && !source->near &&
	    now < fallback_start_at(relay))
		return;
	relay->requested_at = now;
	send_request(relay, source->addr, now);
}

void relay_tick(struct relay *relay, int64_t now)
{
	bool read = should_read(relay, now);
	struct member_entry *self = &relay->gossip->self;

	reader_set_active(relay->reader, read, now);
	self->revision = relay->dir->revision;
	self->version = relay->dir->catalog ? relay->dir->catalog->version : 0;
	if (relay->reader->failures)
		self->state &= ~(uint32_t)MEMBER_STORE_REACHABLE;
	else
		self->state |= MEMBER_STORE_REACHABLE;
	if (!relay->dir->revision || now - relay->dir->read_at >= STALE_US)
		request_items(relay, now);
}

/** struct tree_node - a node of the relay tree */
struct tree_node {
	uint32_t ip;
	struct member_info *member; /* NULL: this node, or an unknown root */
};

static int compare_ip(const void *a, const void *b)
{
	const struct tree_node *x = a;
	const struct tree_node *y = b;

	return x->ip < y->ip ? -1 : x->ip > y->ip;
}

static size_t find_in_tree(const struct tree_node *tree, size_t count,
			   uint32_t ip)
{
	size_t at = 0;

	while (at < count && tree[at].ip != ip)
		at++;
	return at;
}

/*
 * Lists the domain's live nodes in tree order: the root, then by address. Nodes
 * may disagree about who reads the store, and above all about one whose calls
 * have just failed. So the node that has read is the root, and its address goes
 * with the items.
 */
static size_t list_tree(const struct relay *relay, uint32_t root, int64_t now,
			struct tree_node *tree)
{
	apr_hash_index_t *it;
	struct tree_node first;
	size_t count = 0;
	size_t at;

	tree[count++] = (struct tree_node){ relay->gossip->self.ip, NULL };
	for (it = apr_hash_first(NULL, relay->gossip->members); it;
	     it = apr_hash_next(it)) {
		struct member_info *member = hash_value(it);

		if (member->near && gossip_is_live(member, now) &&
		    count < TREE_NODES_MAX - 1)
			tree[count++] =
				(struct tree_node){ member->entry.ip, member };
	}
	if (find_in_tree(tree, count, root) == count)
		tree[count++] = (struct tree_node){ root, NULL };
	qsort(tree, count, sizeof(*tree), compare_ip);
	at = find_in_tree(tree, count, root);
	first = tree[at];
	memmove(tree + 1, tree, at * sizeof(*tree));
	tree[0] = first;
	return count;
}

/* Return: number of nodes in @children, which has TREE_FANOUT items. */
static size_t list_children(const struct relay *relay, uint32_t root,
			    int64_t now, struct member_info **children)
{
	struct tree_node tree[TREE_NODES_MAX];
	size_t count = list_tree(relay, root, now, tree);
	size_t self = find_in_tree(tree, count, relay->gossip->self.ip);
	size_t found = 0;

	for (size_t i = 1; i <= TREE_FANOUT; i++) {
		size_t child = self * TREE_FANOUT + i;

		if (child < count && tree[child].member)
			children[found++] = tree[child].member;
	}
	return found;
}

/*
 * Each node sends the items to its children in the tree, so that no link
 * carries them for a whole domain: a hundred new targets are 30 kB per node,
 * which kept a link of 200 Mbit/s busy for a third of a question's goal.
 */
static void send_to_children(struct relay *relay, struct member_info **children,
			     size_t count, const struct packed_list *list,
			     int64_t now)
{
	for (size_t i = 0; i < count; i++)
		send_list(relay, children[i]->addr, list, now);
}

void relay_on_read(struct relay *relay, int64_t now)
{
	struct member_info *children[TREE_FANOUT];
	struct packed_list list;
	size_t count;

	if (!relay->dir->revision ||
	    !gossip_is_store_reader(relay->gossip, now))
		return;
	count = list_children(relay, relay->gossip->self.ip, now, children);
	if (!count)
		return;
	list = pack_list(relay, relay->relayed_revision);
	list.root = relay->gossip->self.ip;
	send_to_children(relay, children, count, &list, now);
	relay->relayed_revision = relay->dir->revision;
}

/* Return: false if the message cannot be decoded. */
static bool unpack_list(struct relay *relay, struct str from,
			const struct msg *msg, apr_pool_t *pool,
			struct key_list *list, int64_t now)
{
	*list = (struct key_list){ .since = msg->key,
				   .revision = msg->version,
				   .history_start = msg->version2,
				   .read_at = now - msg->fresh_us };
	if (!payload_decode_items(msg->body, pool, &list->items, &list->count))
		return true;
	decision_log_state(relay->dir->decision_log, now, "unusable", from,
			   "its message cannot be decoded", msg->version);
	return false;
}

static void log_list(struct relay *relay, struct str from,
		     const struct key_list *list, int64_t now)
{
	struct directory *dir = relay->dir;

	if (list->since > dir->revision)
		decision_log_state(dir->decision_log, now, "changes missing",
				   from, "its next ones begin later",
				   list->since);
	else if (!list->since && list->revision >= dir->revision)
		decision_log_state(dir->decision_log, now, "all keys taken",
				   from, "it does not hold all deletions",
				   list->revision);
}

static void merge_list(struct relay *relay, struct str from,
		       const struct msg *msg, const struct key_list *list,
		       int64_t now)
{
	struct directory *dir = relay->dir;
	struct member_info *children[TREE_FANOUT];
	struct packed_list packed = { .since = list->since,
				      .history_start = list->history_start,
				      .root = (uint32_t)msg->hash };
	bool newer = list->revision > dir->revision ||
		     list->read_at > dir->read_at + RELAY_MIN_US;

	log_list(relay, from, list, now);
	/* Changes between the two revisions are missing: request them. */
	if (list->since > dir->revision)
		send_request(relay, from, now);
	if (!directory_merge(dir, list, now))
		return;
	dir->synced = true;
	dir->decision_log->revision = dir->revision;
	/* A reply to this node's own request is not relayed. */
	if (!newer || !packed.root)
		return;
	packed.body = str_dup(relay->fx->pool, msg->body);
	send_to_children(relay, children,
			 list_children(relay, packed.root, now, children),
			 &packed, now);
}

void relay_on_items(struct relay *relay, struct str from, const struct msg *msg,
		    int64_t now)
{
	struct key_list list;
	apr_pool_t *pool;

	apr_pool_create(&pool, relay->dir->pool);
	if (unpack_list(relay, from, msg, pool, &list, now)) {
		if (msg->wait_us)
			directory_on_failed_call(relay->dir,
						 now - msg->wait_us);
		merge_list(relay, from, msg, &list, now);
	}
	apr_pool_destroy(pool);
}

void relay_on_request(struct relay *relay, struct str from,
		      const struct msg *msg, int64_t now)
{
	struct packed_list list;

	if (!relay->dir->revision)
		return;
	list = pack_list(relay, msg->version);
	send_list(relay, from, &list, now);
}

int64_t relay_wake_at(const struct relay *relay, int64_t now)
{
	if (!relay->dir->revision)
		return now < reader_start_at(relay) ? reader_start_at(relay)
						    : fallback_start_at(relay);
	return relay->dir->read_at + STALE_US;
}
