#pragma once

#include "call.h"
#include "spread.h"

/**
 * DOC: shards that another node asks for
 *
 * Shards of a question whose targets are in another failure domain are handed
 * to a node there, all in one message. It asks the targets and sends back the
 * greatest records of what came, so some 30 bytes a shard cross between
 * domains and not a whole request and reply. A node that does not answer in
 * time, or is lost, costs no more than a late target: the shards are then
 * asked for from here.
 */

/**
 * struct batch - shards handed to one node
 * @addr: of the node
 * @parts: indexes of the shards that it has not answered for
 * @tried: targets of each that may have been asked before
 * @replied: something has come back
 * @wants_go, @go: the node asked to ask further targets, and was told that it
 * may
 */
struct batch {
	uint64_t id;
	struct call *call;
	struct str addr;
	int64_t sent_at;
	uint16_t *parts;
	size_t nparts;
	size_t tried;
	bool replied;
	bool wants_go;
	bool go;
	struct batch *next;
};

/**
 * struct batch_book - batches of this node
 * @open: id -> struct batch
 * @replied: some shards came back; @msg: records and signatures of @parts
 * @failed: the node will not answer for @parts; @tried: how many targets each
 *          of them may have been sent to already
 */
struct batch_book {
	struct gossip *gossip;
	struct spread *spread;
	apr_hash_t *open;
	void (*replied)(struct calls *calls, struct call *call,
			const uint16_t *parts, size_t nparts,
			const struct msg *msg);
	void (*failed)(struct calls *calls, struct call *call,
		       const uint16_t *parts, size_t nparts, size_t tried);
};

void batch_book_init(struct batch_book *book, apr_pool_t *pool,
		     struct gossip *gossip, struct spread *spread);
/**
 * batch_send() - hand @nparts shards of @call to @member
 * @may_delegate: it may in turn hand on those that are far from it
 * @tried: targets of each shard that may have been asked already
 */
void batch_send(struct calls *calls, struct call *call,
		struct member_info *member, const uint16_t *parts,
		size_t nparts, bool may_delegate, size_t tried);
/** batch_cancel_all() - the call wants none of its batches any more. */
void batch_cancel_all(struct calls *calls, struct call *call);
/** batch_overdue() - give up on those of the call that have not replied. */
void batch_overdue(struct calls *calls, struct call *call);
/** batch_on_reply(), batch_on_lost() - from the node at @from. */
void batch_on_reply(struct calls *calls, struct str from,
		    const struct msg *msg);
void batch_on_lost(struct calls *calls, struct str addr);

/** batch_on_go() - the node at @from knows that further targets are asked. */
void batch_on_go(struct calls *calls, struct str from, const struct msg *msg);

/**
 * batch_asked() - another node hands shards to this one
 * @late_us: how long the message was held up on its way
 */
void batch_asked(struct calls *calls, struct catalog *catalog, struct str from,
		 uint64_t incarnation, const struct msg *msg, int64_t late_us);
/** batch_cancelled() - it does not want them any more. */
void batch_cancelled(struct calls *calls, struct str from,
		     const struct msg *msg);
/** batch_tell() - send what is there of a call that another node asked for. */
void batch_tell(struct calls *calls, const struct call *call,
		const uint16_t *parts, size_t nparts, struct str records,
		struct str signatures, bool last);
