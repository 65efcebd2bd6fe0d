#pragma once

#include "gossip.h"
#include "poison.h"

/**
 * DOC: evidence against requests, among nodes
 *
 * A request that crashes its targets comes back to any node, so what one knows
 * is sent on at once, and each round of gossip compares digests: a node that
 * missed some of it, or has just started, is sent all.
 */

/**
 * struct poison_news - what is exchanged
 * @whole_at: all evidence may be sent again from then on
 */
struct poison_news {
	struct poison *poison;
	struct gossip *gossip;
	struct flow_effects *fx;
	int64_t whole_at;
};

/** poison_news_send() - what is news goes to other nodes. */
void poison_news_send(struct poison_news *news, int64_t now);
/** poison_news_digest() - the node at @from knows what @digest stands for. */
void poison_news_digest(struct poison_news *news, struct str from,
			uint64_t digest, int64_t now);
/** poison_news_msg() - evidence of the node at @from. */
void poison_news_msg(struct poison_news *news, struct str from,
		     const struct msg *msg, bool store_fresh, int64_t now);
