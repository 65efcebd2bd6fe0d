#include "poison_news.h"

#include <stdlib.h>

#include "payload.h"
#include "xmalloc.h"

enum {
	/* Entries a message, some 120 bytes each. */
	ENTRIES_A_MESSAGE = 64,
	/* Sending all evidence takes 12 KB a second at most. */
	WHOLE_ENTRY_US = 10000,
	/* Where digests differ for long, as tables are full. */
	WHOLE_LEAST_US = 500000,
};

/* Sending. */

/** struct destination - where evidence goes; @addr is empty for many nodes */
struct destination {
	struct str addr;
	bool near;
	bool answer;
};

static void send_list(struct poison_news *news, const struct destination *to,
		      struct poison_entry *const *list, size_t count, bool last,
		      int64_t now)
{
	struct buf body = { 0 };
	struct msg msg = { .kind = MSG_SUSPECTS,
			   .state = to->answer && last,
			   .hash = poison_digest(news->poison, now) };

	payload_encode_suspects(list, count, now, &body);
	for (size_t i = 0; i < count; i++)
		list[i]->told = true;
	msg.body = buf_str(&body);
	if (to->addr.len)
		news->links.send(news->links.ctx, to->addr, &msg);
	else
		news->links.spread(news->links.ctx, &msg, to->near);
	buf_free(&body);
}

/* Return: entries, on the heap: news, or all that nodes share. */
static struct poison_entry **collect(struct poison_news *news, bool all,
				     int64_t now, size_t *count)
{
	struct poison_entry **list =
		xcalloc(news->poison->count + 1, sizeof(struct poison_entry *));
	apr_hash_index_t *it;

	*count = 0;
	for (it = apr_hash_first(NULL, news->poison->entries); it;
	     it = apr_hash_next(it))
		for (struct poison_entry *at = hash_value(it); at;
		     at = at->next)
			if (all ? poison_is_shared(at, now) : at->news)
				list[(*count)++] = at;
	return list;
}

static void send_all_of(struct poison_news *news, const struct destination *to,
			struct poison_entry *const *list, size_t count,
			int64_t now)
{
	size_t sent = 0;

	do {
		size_t part = count - sent < ENTRIES_A_MESSAGE
				      ? count - sent
				      : ENTRIES_A_MESSAGE;

		send_list(news, to, list + sent, part, sent + part == count,
			  now);
		sent += part;
	} while (sent < count);
}

static void send_news(struct poison_news *news, bool near, int64_t now)
{
	struct destination to = { .near = near };
	struct poison_entry **list;
	size_t count;

	if (!news->poison->has_news)
		return;
	news->poison->has_news = false;
	list = collect(news, false, now, &count);
	if (count)
		send_all_of(news, &to, list, count, now);
	for (size_t i = 0; i < count; i++)
		list[i]->news = false;
	free(list);
}

void poison_news_send(struct poison_news *news, int64_t now)
{
	send_news(news, false, now);
}

static void send_whole(struct poison_news *news, const struct destination *to,
		       int64_t now)
{
	struct poison_entry **list;
	size_t count;

	if (now < news->whole_at)
		return;
	list = collect(news, true, now, &count);
	news->whole_at = now + WHOLE_LEAST_US + (int64_t)count * WHOLE_ENTRY_US;
	send_all_of(news, to, list, count, now);
	free(list);
}

void poison_news_digest(struct poison_news *news, struct str from,
			uint64_t digest, int64_t now)
{
	struct destination to = { .addr = from, .answer = true };

	if (digest != poison_digest(news->poison, now))
		send_whole(news, &to, now);
}

/* Receiving. */

void poison_news_msg(struct poison_news *news, struct str from,
		     const struct msg *msg, bool targets_known, int64_t now)
{
	struct destination to = { .addr = from };
	struct poison_entry *list;
	apr_pool_t *pool;
	size_t count;

	apr_pool_create(&pool, news->pool);
	if (!payload_decode_suspects(msg->body, now, pool, &list, &count))
		for (size_t i = 0; i < count; i++)
			poison_take(news->poison, &list[i], msg->ran,
				    targets_known, now);
	apr_pool_destroy(pool);
	if (msg->state && msg->hash != poison_digest(news->poison, now))
		send_whole(news, &to, now);
	send_news(news, true, now);
}
