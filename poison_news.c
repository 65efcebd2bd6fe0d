#include "poison_news.h"

#include <stdlib.h>

#include "xmalloc.h"

enum {
	/* Up to so many nodes are told directly, more of them by relays. */
	DIRECT_NODES = 32,
	/* Of whom each relay tells so many: five steps reach 910 nodes. */
	RELAY_FANOUT = 8,
	/* Entries a message, some 200 bytes each. */
	ENTRIES_A_MESSAGE = 64,
	/* Sending all evidence takes 20 KB a second at most. */
	WHOLE_ENTRY_US = 10000,
};

/* Sending. */

static void send_list(struct poison_news *news, struct str addr,
		      struct poison_entry *const *list, size_t count,
		      bool answer, int64_t now)
{
	struct flow_effect *fx = flow_add(news->fx, FLOW_PEER_SEND);
	struct buf body = { 0 };

	parcel_suspects(list, count, now, &body);
	fx->addr = str_dup(news->fx->pool, addr);
	fx->msg.kind = MSG_SUSPECTS;
	fx->msg.state = answer;
	fx->msg.hash = poison_digest(news->poison);
	fx->msg.body = str_dup(news->fx->pool, buf_str(&body));
	buf_free(&body);
}

/* Return: entries, on the heap: news, or all that hold evidence. */
static struct poison_entry **collect(struct poison_news *news, bool all,
				     size_t *count)
{
	struct poison_entry **list =
		xcalloc(news->poison->count + 1, sizeof(struct poison_entry *));
	apr_hash_index_t *it;

	*count = 0;
	for (it = apr_hash_first(NULL, news->poison->entries); it;
	     it = apr_hash_next(it))
		for (struct poison_entry *at = hash_value(it); at;
		     at = at->next)
			if (all ? at->ncrashes > 0 : at->news)
				list[(*count)++] = at;
	return list;
}

static void send_all_of(struct poison_news *news, struct str addr,
			struct poison_entry *const *list, size_t count,
			bool answer, int64_t now)
{
	size_t sent = 0;

	do {
		size_t part = count - sent < ENTRIES_A_MESSAGE
				      ? count - sent
				      : ENTRIES_A_MESSAGE;

		/* Only the last one asks: it comes after all others. */
		send_list(news, addr, list + sent, part,
			  answer && sent + part == count, now);
		sent += part;
	} while (sent < count);
}

void poison_news_send(struct poison_news *news, int64_t now)
{
	struct member_info *members[DIRECT_NODES];
	struct poison_entry **list;
	size_t nmembers;
	size_t count;

	if (!news->poison->has_news)
		return;
	news->poison->has_news = false;
	list = collect(news, false, &count);
	nmembers = gossip_pick(news->gossip,
			       gossip_count(news->gossip) > DIRECT_NODES
				       ? RELAY_FANOUT
				       : DIRECT_NODES,
			       now, members);
	for (size_t i = 0; count && i < nmembers; i++)
		send_all_of(news, members[i]->addr, list, count, false, now);
	for (size_t i = 0; i < count; i++)
		list[i]->news = false;
	free(list);
}

static void send_whole(struct poison_news *news, struct str addr, bool answer,
		       int64_t now)
{
	struct poison_entry **list;
	size_t count;

	if (now < news->whole_at)
		return;
	list = collect(news, true, &count);
	news->whole_at = now + (int64_t)count * WHOLE_ENTRY_US;
	send_all_of(news, addr, list, count, answer, now);
	free(list);
}

void poison_news_digest(struct poison_news *news, struct str from,
			uint64_t digest, int64_t now)
{
	if (digest != poison_digest(news->poison))
		send_whole(news, from, true, now);
}

/* Receiving. */

void poison_news_msg(struct poison_news *news, struct str from,
		     const struct msg *msg, bool store_fresh, int64_t now)
{
	bool relays = gossip_count(news->gossip) > DIRECT_NODES;
	struct poison_entry *list;
	apr_pool_t *pool;
	size_t count;

	apr_pool_create(&pool, news->gossip->pool);
	if (!parcel_open_suspects(msg->body, now, pool, &list, &count))
		for (size_t i = 0; i < count; i++)
			poison_take(news->poison, &list[i], relays, store_fresh,
				    now);
	apr_pool_destroy(pool);
	if (msg->state && msg->hash != poison_digest(news->poison))
		send_whole(news, from, false, now);
}
