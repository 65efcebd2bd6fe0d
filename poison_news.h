#pragma once

#include "msg.h"
#include "poison.h"

/**
 * DOC: evidence against requests, among nodes
 *
 * A request that crashes its targets comes back to any node, so what one knows
 * is sent to all before its caller is answered, and each round of gossip
 * compares digests: a node that missed some of it, or has just started, is sent
 * all.
 */

/**
 * struct poison_links - how nodes reach each other
 * @spread: send to all nodes; those that are to pass it on get @ran set. @near:
 *          only to those of this failure domain
 * @send: send to the node at @addr
 */
struct poison_links {
	void (*spread)(void *ctx, const struct msg *msg, bool near);
	void (*send)(void *ctx, struct str addr, const struct msg *msg);
	void *ctx;
};

/**
 * struct poison_news - what is exchanged
 * @whole_at: all evidence may be sent again from then on
 */
struct poison_news {
	struct poison *poison;
	struct poison_links links;
	apr_pool_t *pool;
	int64_t whole_at;
};

/** poison_news_send() - what is news goes to other nodes. */
void poison_news_send(struct poison_news *news, int64_t now);
/** poison_news_digest() - the node at @from knows what @digest stands for. */
void poison_news_digest(struct poison_news *news, struct str from,
			uint64_t digest, int64_t now);
/**
 * poison_news_msg() - evidence of the node at @from
 * @targets_known: what is known of targets is up to date
 */
void poison_news_msg(struct poison_news *news, struct str from,
		     const struct msg *msg, bool targets_known, int64_t now);
