#include "poison_sync.h"

#include <stdlib.h>

#include "payload.h"
#include "xmalloc.h"

enum {
	/* About 120 bytes per entry. */
	MESSAGE_ENTRIES_MAX = 64,
	/* Limits full synchronization to about 12 KB/s. */
	FULL_SYNC_ENTRY_US = 10000,
	/* Digests may stay different for long, as when tables are full. */
	FULL_SYNC_MIN_US = 500000,
	/* The reply of a live seed arrives within this time. */
	START_WAIT_US = 100000,
	/*
	 * After this time without any reply, all evidence that other nodes have
	 * has arrived by digests, or there is none.
	 */
	INFORMED_AFTER_US = 5000000,
};

/** enum sync_flags - bits of msg.state in MSG_SUSPECTS */
enum sync_flags {
	SYNC_WANTS_REPLY = 1,
	SYNC_INFORMED = 2, /* this is all evidence, from a node that knew it */
};

/* Sending. */

/**
 * struct destination - receivers of evidence
 * @addr: one node; empty for a broadcast
 * @near_only: broadcast within this failure domain only
 * @flags: enum sync_flags, for the last chunk
 */
struct destination {
	struct str addr;
	bool near_only;
	uint32_t flags;
};

static void send_chunk(struct poison_sync *sync, const struct destination *to,
		       struct poison_entry *const *list, size_t count,
		       bool last, int64_t now)
{
	struct buf body = { 0 };
	struct msg msg = { .kind = MSG_SUSPECTS,
			   .state = last ? to->flags : 0,
			   .hash = poison_digest(sync->poison, now) };

	payload_encode_suspects(list, count, now, &body);
	for (size_t i = 0; i < count; i++)
		list[i]->announced = true;
	msg.body = buf_str(&body);
	if (to->addr.len)
		sync->transport.send(sync->transport.ctx, to->addr, &msg);
	else
		sync->transport.broadcast(sync->transport.ctx, &msg,
					  to->near_only);
	buf_free(&body);
}

static bool is_pending(const struct poison_entry *entry, int64_t now)
{
	(void)now;
	return entry->pending;
}

/* Also new ones, which a node that starts now may not have been sent. */
static bool is_suspicious(const struct poison_entry *entry, int64_t now)
{
	(void)now;
	return entry->announced && entry->ncrashes;
}

/* Return: the entries that @wanted selects; the caller frees the list. */
static struct poison_entry **
collect_entries(struct poison_sync *sync,
		bool (*wanted)(const struct poison_entry *entry, int64_t now),
		int64_t now, size_t *count)
{
	struct poison_entry **list =
		xcalloc(sync->poison->count + 1, sizeof(struct poison_entry *));
	apr_hash_index_t *it;

	*count = 0;
	for (it = apr_hash_first(NULL, sync->poison->entries); it;
	     it = apr_hash_next(it))
		for (struct poison_entry *at = hash_value(it); at;
		     at = at->next)
			if (wanted(at, now))
				list[(*count)++] = at;
	return list;
}

static void send_chunked(struct poison_sync *sync, const struct destination *to,
			 struct poison_entry *const *list, size_t count,
			 int64_t now)
{
	size_t sent = 0;

	do {
		size_t part = count - sent < MESSAGE_ENTRIES_MAX
				      ? count - sent
				      : MESSAGE_ENTRIES_MAX;

		send_chunk(sync, to, list + sent, part, sent + part == count,
			   now);
		sent += part;
	} while (sent < count);
}

static void send_pending(struct poison_sync *sync, bool near_only, int64_t now)
{
	struct destination to = { .near_only = near_only };
	struct poison_entry **list;
	size_t count;

	if (!sync->poison->has_pending)
		return;
	sync->poison->has_pending = false;
	list = collect_entries(sync, is_pending, now, &count);
	if (count)
		send_chunked(sync, &to, list, count, now);
	for (size_t i = 0; i < count; i++)
		list[i]->pending = false;
	free(list);
}

void poison_sync_send(struct poison_sync *sync, int64_t now)
{
	send_pending(sync, false, now);
}

static void send_full(struct poison_sync *sync, const struct destination *to,
		      int64_t now)
{
	struct poison_entry **list;
	size_t count;

	if (now < sync->full_sync_at)
		return;
	list = collect_entries(sync, poison_is_shared, now, &count);
	sync->full_sync_at =
		now + FULL_SYNC_MIN_US + (int64_t)count * FULL_SYNC_ENTRY_US;
	send_chunked(sync, to, list, count, now);
	free(list);
}

void poison_sync_on_digest(struct poison_sync *sync, struct str from,
			   uint64_t digest, int64_t now)
{
	struct destination to = { .addr = from, .flags = SYNC_WANTS_REPLY };

	if (digest != poison_digest(sync->poison, now))
		send_full(sync, &to, now);
}

/* Starts of nodes. */

static bool is_informed(const struct poison_sync *sync, int64_t now)
{
	return sync->informed || now - sync->started_at > INFORMED_AFTER_US;
}

bool poison_sync_asks(const struct poison_sync *sync, int64_t now)
{
	return !is_informed(sync, now);
}

int64_t poison_sync_serves_at(const struct poison_sync *sync)
{
	return sync->started_at + (sync->informed ? 0 : START_WAIT_US);
}

void poison_sync_on_start(struct poison_sync *sync, struct str addr,
			  int64_t now)
{
	struct destination to = { .addr = addr };
	struct poison_entry **list;
	size_t count;

	if (is_informed(sync, now))
		to.flags = SYNC_INFORMED;
	list = collect_entries(sync, is_suspicious, now, &count);
	send_chunked(sync, &to, list, count, now);
	free(list);
}

/* Receiving. */

void poison_sync_on_msg(struct poison_sync *sync, struct str from,
			const struct msg *msg, bool store_fresh, int64_t now)
{
	struct destination to = { .addr = from };
	struct poison_entry *list;
	apr_pool_t *pool;
	size_t count;

	apr_pool_create(&pool, sync->pool);
	if (!payload_decode_suspects(msg->body, now, pool, &list, &count))
		for (size_t i = 0; i < count; i++)
			poison_merge(sync->poison, &list[i], msg->ran,
				     store_fresh, now);
	apr_pool_destroy(pool);
	if (msg->state & SYNC_INFORMED)
		sync->informed = true;
	if (msg->state & SYNC_WANTS_REPLY &&
	    msg->hash != poison_digest(sync->poison, now))
		send_full(sync, &to, now);
	send_pending(sync, true, now);
}
