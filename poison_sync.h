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
 * struct poison_transport - how nodes reach each other
 * @broadcast: send to all nodes; those that are to pass it on get @ran set.
 * @near: only to those of this failure domain
 * @send: send to the node at @addr
 */
struct poison_transport {
	void (*broadcast)(void *ctx, const struct msg *msg, bool near);
	void (*send)(void *ctx, struct str addr, const struct msg *msg);
	void *ctx;
};

/**
 * struct poison_sync - what is exchanged
 * @full_sync_at: all evidence may be sent again from then on
 */
struct poison_sync {
	struct poison *poison;
	struct poison_transport transport;
	apr_pool_t *pool;
	int64_t full_sync_at;
};

/** poison_sync_send() - what is news goes to other nodes. */
void poison_sync_send(struct poison_sync *sync, int64_t now);
/** poison_sync_on_digest() - the node at @from knows what @digest stands for.
 */
void poison_sync_on_digest(struct poison_sync *sync, struct str from,
			   uint64_t digest, int64_t now);
/**
 * poison_sync_on_msg() - evidence of the node at @from
 * @store_fresh: what is known of targets is up to date
 */
void poison_sync_on_msg(struct poison_sync *sync, struct str from,
			const struct msg *msg, bool store_fresh, int64_t now);
