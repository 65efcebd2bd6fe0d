#include "share.h"

enum {
	/*
	 * Without word for this long a node reads by itself. A reader hears
	 * from the store each 1.2 s at least; a drain must be known in 3 s.
	 */
	STALE_US = 1900000,
	/*
	 * At the start seeds read at once; after the first time the one whose
	 * part it is does, after the second whoever still knows nothing.
	 */
	START_WAIT_US = 400000,
	START_LONG_WAIT_US = 1200000,
	/* More is asked for at most this often. */
	ASK_US = 200000,
	/* The store was lost so long ago that it does not matter any more. */
	LOST_MATTERS_US = 10000000,
};

void share_init(struct share *share, struct gossip *gossip,
		struct reader *reader, struct flow_effects *fx, int64_t now)
{
	*share = (struct share){ .gossip = gossip,
				 .reader = reader,
				 .dir = reader->dir,
				 .fx = fx,
				 .started_at = now,
				 .asked_at = now - ASK_US };
}

static bool should_read(const struct share *share, int64_t now)
{
	int64_t age = now - share->started_at;

	if (!share->dir->revision)
		return gossip_is_seed(share->gossip) ||
		       age >= START_LONG_WAIT_US ||
		       (age >= START_WAIT_US &&
			gossip_reads(share->gossip, now));
	return gossip_reads(share->gossip, now) ||
	       now - share->dir->read_at >= STALE_US;
}

static void tell(struct share *share, struct str addr, uint32_t kind,
		 uint64_t since, struct str body, int64_t now)
{
	struct flow_effect *fx = flow_add(share->fx, FLOW_TELL);
	int64_t lost = now - roster_store_lost_at(share->dir->roster);

	fx->addr = str_dup(share->fx->pool, addr);
	fx->msg.kind = kind;
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

	directory_pack(share->dir, since, &items);
	body = str_dup(share->fx->pool, buf_str(&items));
	buf_free(&items);
	return body;
}

static void ask_for_more(struct share *share, int64_t now)
{
	apr_hash_index_t *it;
	struct member_info *best = NULL;

	if (now - share->asked_at < ASK_US)
		return;
	for (it = apr_hash_first(NULL, share->gossip->members); it;
	     it = apr_hash_next(it)) {
		void *value;
		struct member_info *member;

		apr_hash_this(it, NULL, NULL, &value);
		member = value;
		if (member->entry.revision <= share->dir->revision ||
		    !gossip_is_live(member, now))
			continue;
		if (!best || member->near > best->near ||
		    (member->near == best->near &&
		     member->entry.revision > best->entry.revision))
			best = member;
	}
	if (!best)
		return;
	/* All keys from another domain are dear: the reader's turn comes. */
	if (!share->dir->revision && !best->near &&
	    now - share->started_at < START_LONG_WAIT_US)
		return;
	share->asked_at = now;
	tell(share, best->addr, MSG_ITEMS_GET, 0, (struct str){ 0 }, now);
}

void share_tick(struct share *share, int64_t now)
{
	bool read = should_read(share, now);
	struct member_entry *self = &share->gossip->self;

	reader_active(share->reader, read, now);
	self->revision = share->dir->revision;
	self->version = share->dir->catalog ? share->dir->catalog->version : 0;
	if (share->reader->failures)
		self->state &= ~(uint32_t)MEMBER_READS;
	else
		self->state |= MEMBER_READS;
	/* A reader that the store answers will hear of it from there. */
	if (!share->dir->revision || share->reader->failures ||
	    now - share->dir->read_at >= STALE_US)
		ask_for_more(share, now);
}

void share_read(struct share *share, int64_t now)
{
	apr_hash_index_t *it;
	struct str body;

	if (!share->dir->revision || !gossip_reads(share->gossip, now))
		return;
	body = pack(share, share->pushed);
	for (it = apr_hash_first(NULL, share->gossip->members); it;
	     it = apr_hash_next(it)) {
		void *value;
		struct member_info *member;

		apr_hash_this(it, NULL, NULL, &value);
		member = value;
		if (member->entry.domain == share->gossip->self.domain &&
		    gossip_is_live(member, now))
			tell(share, member->addr, MSG_ITEMS, share->pushed,
			     body, now);
	}
	share->pushed = share->dir->revision;
	share->pushed_at = now;
}

void share_items(struct share *share, struct str from, const struct msg *msg,
		 int64_t now)
{
	struct directory *dir = share->dir;
	struct store_item *items;
	apr_pool_t *pool;
	size_t count;

	apr_pool_create(&pool, dir->pool);
	if (parcel_open_items(msg->body, pool, &items, &count)) {
		note_belief(dir->notes, now, "unusable", from,
			    "its message holds no items", msg->version);
		apr_pool_destroy(pool);
		return;
	}
	if (msg->wait_us)
		roster_store_lost(dir->roster, now - msg->wait_us);
	directory_apply(dir, items, count, now);
	apr_pool_destroy(pool);
	/* What changed between is missing: ask for it. */
	if (msg->key > dir->revision) {
		tell(share, from, MSG_ITEMS_GET, 0, (struct str){ 0 }, now);
		return;
	}
	if (msg->version < dir->revision)
		return;
	dir->revision = msg->version;
	dir->told = true;
	if (now - msg->fresh_us > dir->read_at)
		dir->read_at = now - msg->fresh_us;
	dir->notes->revision = dir->revision;
	dir->notes->read_at = dir->read_at;
}

void share_wanted(struct share *share, struct str from, const struct msg *msg,
		  int64_t now)
{
	if (!share->dir->revision)
		return;
	tell(share, from, MSG_ITEMS, msg->version, pack(share, msg->version),
	     now);
}

int64_t share_wake_at(const struct share *share, int64_t now)
{
	int64_t start = share->started_at;

	if (!share->dir->revision)
		return now < start + START_WAIT_US ? start + START_WAIT_US
						   : start + START_LONG_WAIT_US;
	return share->dir->read_at + STALE_US;
}
