#pragma once

#include "msg.h"
#include "poison.h"

/**
 * DOC: synchronization of evidence against requests between nodes
 *
 * A caller may repeat a request that crashes its targets at any node. So new
 * evidence is sent to all nodes before the caller is answered. Each round of
 * gossip also compares digests: a node that missed some evidence, or has just
 * started, is sent all of it.
 */

/**
 * struct poison_transport - how messages are sent to other nodes
 * @broadcast: send to all nodes, or if @near_only to those of this failure
 *             domain; sets msg.ran for nodes that must relay it
 * @send: send to the node at @addr
 */
struct poison_transport {
	void (*broadcast)(void *ctx, const struct msg *msg, bool near_only);
	void (*send)(void *ctx, struct str addr, const struct msg *msg);
	void *ctx;
};

/**
 * struct poison_sync - state of the synchronization
 * @full_sync_at: earliest time of the next full synchronization
 * @started_at: start of the process
 * @informed: another node that knew all evidence has sent it since the start,
 *            or there was none
 */
struct poison_sync {
	struct poison *poison;
	struct poison_transport transport;
	apr_pool_t *pool;
	int64_t full_sync_at;
	int64_t started_at;
	bool informed;
};

/** poison_sync_asks() - whether other nodes are to send all their evidence. */
bool poison_sync_asks(const struct poison_sync *sync, int64_t now);
/**
 * poison_sync_serves_at() - from when on requests may be sent to targets, so
 * that requests which others have blocked are not sent.
 */
int64_t poison_sync_serves_at(const struct poison_sync *sync);
/** poison_sync_on_start() - send all evidence to @addr, which has started. */
void poison_sync_on_start(struct poison_sync *sync, struct str addr,
			  int64_t now);
/** poison_sync_send() - send pending entries to other nodes. */
void poison_sync_send(struct poison_sync *sync, int64_t now);
/** poison_sync_on_digest() - send all evidence if @digest of @from differs. */
void poison_sync_on_digest(struct poison_sync *sync, struct str from,
			   uint64_t digest, int64_t now);
/**
 * poison_sync_on_msg() - merge evidence that the node at @from sent.
 * @store_fresh: the state of targets is up to date
 */
void poison_sync_on_msg(struct poison_sync *sync, struct str from,
			const struct msg *msg, bool store_fresh, int64_t now);
