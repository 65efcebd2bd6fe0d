#include "share.h"

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
	PATIENT_US = 400000,
	LONG_PATIENT_US = 1200000,
	/*
	 * Callers are refused until a configuration is there. The first time
	 * is for the answer of a seed that lives; the second for a reader's own
	 * start.
	 */
	QUICK_US = 40000,
	LONG_QUICK_US = 300000,
	/*
	 * With more nodes than this known one is patient: read by hundreds of
	 * nodes at a time, the whole table keeps the store's link busy for
	 * seconds, in which none serves; from readers each has it sooner.
	 */
	QUICK_NODES = 24,
	/* More is asked for at most this often. */
	ASK_US = 200000,
	/* The store was lost so long ago that it does not matter any more. */
	LOST_MATTERS_US = 10000000,
	/* Children of a node in the tree; 90 nodes are reached in three steps.
	 */
	TREE_WIDTH = 4,
	PLACES_MAX = 1024,
	/* Items are relayed if they are this much newer than what was known. */
	NEWER_US = 50000,
};

void share_init(struct share *share, struct gossip *gossip,
		struct reader *reader, struct flow_effects *fx,
		bool first_start, int64_t now)
{
	*share = (struct share){ .gossip = gossip,
				 .reader = reader,
				 .dir = reader->dir,
				 .fx = fx,
				 .asked_at = now - ASK_US,
				 .started_at = now,
				 .first_start = first_start };
}

/* When all VMs are new no caller waits, and calls to the store are saved. */
static bool is_patient(const struct share *share)
{
	return share->first_start ||
	       gossip_counted_nodes(share->gossip) > QUICK_NODES;
}

/* From then on a node that knows nothing reads if that is its part. */
static int64_t read_from(const struct share *share)
{
	return share->started_at + (is_patient(share) ? PATIENT_US : QUICK_US);
}

/* And from then on whoever's part it is. */
static int64_t read_anyway_from(const struct share *share)
{
	return share->started_at +
	       (is_patient(share) ? LONG_PATIENT_US : LONG_QUICK_US);
}

static bool should_read(const struct share *share, int64_t now)
{
	if (!share->dir->revision)
		return gossip_is_seed(share->gossip) ||
		       now >= read_anyway_from(share) ||
		       (now >= read_from(share) &&
			gossip_is_store_reader(share->gossip, now));
	return gossip_is_store_reader(share->gossip, now) ||
	       now - share->dir->read_at >= STALE_US;
}

static void send_msg(struct share *share, struct str addr, uint32_t kind,
		     uint64_t since, struct str body, bool pass_on, int64_t now)
{
	struct flow_effect *fx = flow_add(share->fx, FLOW_PEER_SEND);
	int64_t lost = now - roster_store_lost_at(share->dir->roster);

	fx->addr = str_dup(share->fx->pool, addr);
	fx->msg.kind = kind;
	fx->msg.state = pass_on;
	fx->msg.key = since;
	fx->msg.version = share->dir->revision;
	fx->msg.fresh_us = now - share->dir->read_at;
	fx->msg.wait_us = lost < LOST_MATTERS_US ? lost + 1 : 0;
	fx->msg.body = body;
}

static struct str pack(struct share *share, uint64_t since)
{
	struct buf items = { 0 };
	struct str body;

	directory_encode(share->dir, since, &items);
	body = str_dup(share->fx->pool, buf_str(&items));
	buf_free(&items);
	return body;
}

/* One of those that know more, each with the same chance, near ones first. */
static struct member_info *pick_better(const struct share *share, int64_t now)
{
	apr_hash_index_t *it;
	struct member_info *best = NULL;
	uint64_t seen = 0;

	for (it = apr_hash_first(NULL, share->gossip->members); it;
	     it = apr_hash_next(it)) {
		struct member_info *member = hash_value(it);

		if (member->entry.revision <= share->dir->revision ||
		    !gossip_is_live(member, now) ||
		    (best && best->near && !member->near))
			continue;
		if (best && member->near && !best->near)
			seen = 0;
		if (!rng_below(share->gossip->rng, ++seen))
			best = member;
	}
	return best;
}

static void ask_for_more(struct share *share, int64_t now)
{
	struct member_info *best;

	if (now - share->asked_at < ASK_US)
		return;
	best = pick_better(share, now);
	if (!best)
		return;
	/* All keys from another domain are dear: the reader's turn comes. */
	if (!share->dir->revision && !best->near &&
	    now < read_anyway_from(share))
		return;
	share->asked_at = now;
	send_msg(share, best->addr, MSG_ITEMS_GET, 0, (struct str){ 0 }, false,
		 now);
}

void share_tick(struct share *share, int64_t now)
{
	bool read = should_read(share, now);
	struct member_entry *self = &share->gossip->self;

	reader_set_active(share->reader, read, now);
	self->revision = share->dir->revision;
	self->version = share->dir->catalog ? share->dir->catalog->version : 0;
	if (share->reader->failures)
		self->state &= ~(uint32_t)MEMBER_STORE_REACHABLE;
	else
		self->state |= MEMBER_STORE_REACHABLE;
	if (!share->dir->revision || now - share->dir->read_at >= STALE_US)
		ask_for_more(share, now);
}

/** struct place - a node in the order of the tree */
struct place {
	uint32_t ip;
	bool reads;
	struct member_info *member; /* NULL: this node */
};

static int by_ip(const void *a, const void *b)
{
	const struct place *x = a;
	const struct place *y = b;

	return x->ip < y->ip ? -1 : x->ip > y->ip;
}

/* Live nodes of the domain by address, the reader first: the tree's order. */
static size_t list_places(const struct share *share, int64_t now,
			  struct place *places)
{
	const struct member_entry *self = &share->gossip->self;
	apr_hash_index_t *it;
	size_t count = 0;
	size_t reader = 0;
	struct place first;

	places[count++] =
		(struct place){ self->ip, self->state & MEMBER_STORE_REACHABLE,
				NULL };
	for (it = apr_hash_first(NULL, share->gossip->members); it;
	     it = apr_hash_next(it)) {
		struct member_info *member = hash_value(it);

		if (member->near && gossip_is_live(member, now) &&
		    count < PLACES_MAX)
			places[count++] =
				(struct place){ member->entry.ip,
						member->entry.state &
							MEMBER_STORE_REACHABLE,
						member };
	}
	qsort(places, count, sizeof(*places), by_ip);
	while (reader + 1 < count && !places[reader].reads)
		reader++;
	first = places[reader];
	memmove(places + 1, places, reader * sizeof(*places));
	places[0] = first;
	return count;
}

/*
 * The reader sends to a few nodes, each of these to a few more, so no link has
 * to carry it for a whole domain: a hundred new targets are 30 kB a node, and
 * took a link of 200 Mbit/s for a third of a question's goal.
 */
static void relay(struct share *share, uint64_t since, struct str body,
		  int64_t now)
{
	struct place places[PLACES_MAX];
	size_t count = list_places(share, now, places);
	size_t mine = 0;

	while (mine < count && places[mine].member)
		mine++;
	for (size_t i = 1; i <= TREE_WIDTH; i++) {
		size_t below = mine * TREE_WIDTH + i;

		if (below < count && places[below].member)
			send_msg(share, places[below].member->addr, MSG_ITEMS,
				 since, body, true, now);
	}
}

void share_read(struct share *share, int64_t now)
{
	if (!share->dir->revision ||
	    !gossip_is_store_reader(share->gossip, now))
		return;
	relay(share, share->pushed, pack(share, share->pushed), now);
	share->pushed = share->dir->revision;
}

void share_items(struct share *share, struct str from, const struct msg *msg,
		 int64_t now)
{
	struct directory *dir = share->dir;
	struct store_item *items;
	apr_pool_t *pool;
	size_t count;
	bool newer;

	apr_pool_create(&pool, dir->pool);
	if (payload_decode_items(msg->body, pool, &items, &count)) {
		decision_log_state(dir->dlog, now, "unusable", from,
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
		send_msg(share, from, MSG_ITEMS_GET, 0, (struct str){ 0 },
			 false, now);
		return;
	}
	if (msg->version < dir->revision)
		return;
	newer = msg->version > dir->revision ||
		now - msg->fresh_us > dir->read_at + NEWER_US;
	dir->revision = msg->version;
	dir->synced = true;
	if (now - msg->fresh_us > dir->read_at)
		dir->read_at = now - msg->fresh_us;
	dir->dlog->revision = dir->revision;
	dir->dlog->read_at = dir->read_at;
	/* Answers to a question of this node are for it alone. */
	if (newer && msg->state)
		relay(share, msg->key, str_dup(share->fx->pool, msg->body),
		      now);
}

void share_wanted(struct share *share, struct str from, const struct msg *msg,
		  int64_t now)
{
	if (!share->dir->revision)
		return;
	send_msg(share, from, MSG_ITEMS, msg->version,
		 pack(share, msg->version), false, now);
}

int64_t share_wake_at(const struct share *share, int64_t now)
{
	if (!share->dir->revision)
		return now < read_from(share) ? read_from(share)
					      : read_anyway_from(share);
	return share->dir->read_at + STALE_US;
}
