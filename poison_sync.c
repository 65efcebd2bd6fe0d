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
};

/* Sending. */

/**
 * struct destination - receivers of evidence
 * @addr: one node; empty for a broadcast
 * @near_only: broadcast within this failure domain only
 * @wants_reply: the receiver sends its own evidence if its digest differs
 */
struct destination {
	struct str addr;
	bool near_only;
	bool wants_reply;
};

static void send_chunk(struct poison_sync *sync, const struct destination *to,
		       struct poison_entry *const *list, size_t count,
		       bool last, int64_t now)
{
	struct buf body = { 0 };
	struct msg msg = { .kind = MSG_SUSPECTS,
			   .state = to->wants_reply && last,
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

/* Return: pending entries, or all shared ones; the caller frees the list. */
static struct poison_entry **collect_entries(struct poison_sync *sync, bool all,
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
			if (all ? poison_is_shared(at, now) : at->pending)
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
	list = collect_entries(sync, false, now, &count);
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
	list = collect_entries(sync, true, now, &count);
	sync->full_sync_at =
		now + FULL_SYNC_MIN_US + (int64_t)count * FULL_SYNC_ENTRY_US;
	send_chunked(sync, to, list, count, now);
	free(list);
}

void poison_sync_on_digest(struct poison_sync *sync, struct str from,
			   uint64_t digest, int64_t now)
{
	struct destination to = { .addr = from, .wants_reply = true };

	if (digest != poison_digest(sync->poison, now))
		send_full(sync, &to, now);
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
	if (msg->state && msg->hash != poison_digest(sync->poison, now))
		send_full(sync, &to, now);
	send_pending(sync, true, now);
}
