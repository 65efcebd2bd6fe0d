#pragma once

#include "call.h"
#include "placement.h"

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
 * @wants_grant, @granted: the node asked to ask further targets, and was told
 * that it may
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
	bool wants_grant;
	bool granted;
	struct batch *next;
};

/**
 * struct batch_table - batches of this node
 * @open: id -> struct batch
 * @replied: some shards came back; @msg: records and signatures of @parts
 * @failed: the node will not answer for @parts; @tried: how many targets each
 *          of them may have been sent to already
 */
struct batch_table {
	struct gossip *gossip;
	struct placement *placement;
	apr_hash_t *open;
	void (*replied)(struct calls *calls, struct call *call,
			const uint16_t *parts, size_t nparts,
			const struct msg *msg);
	void (*failed)(struct calls *calls, struct call *call,
		       const uint16_t *parts, size_t nparts, size_t tried);
};

void batch_table_init(struct batch_table *table, apr_pool_t *pool,
		      struct gossip *gossip, struct placement *placement);
/**
 * batch_send() - hand @nparts shards of @call to @member
 * @may_hand_on: it may in turn hand on those that are far from it
 * @tried: targets of each shard that may have been asked already
 */
void batch_send(struct calls *calls, struct call *call,
		struct member_info *member, const uint16_t *parts,
		size_t nparts, bool may_hand_on, size_t tried);
/** batch_cancel_all() - the call wants none of its batches any more. */
void batch_cancel_all(struct calls *calls, struct call *call);
/** batch_fail_overdue() - give up on those of the call that have not replied.
 */
void batch_fail_overdue(struct calls *calls, struct call *call);
/** batch_on_reply(), batch_on_lost() - from the node at @from. */
void batch_on_reply(struct calls *calls, struct str from,
		    const struct msg *msg);
void batch_on_lost(struct calls *calls, struct str addr);

/** batch_on_grant() - the node at @from knows that further targets are asked.
 */
void batch_on_grant(struct calls *calls, struct str from,
		    const struct msg *msg);

/**
 * batch_on_request() - another node hands shards to this one
 * @delay_us: how long the message was held up on its way
 */
void batch_on_request(struct calls *calls, struct catalog *catalog,
		      struct str from, uint64_t incarnation,
		      const struct msg *msg, int64_t delay_us);
/** batch_on_cancel() - it does not want them any more. */
void batch_on_cancel(struct calls *calls, struct str from,
		     const struct msg *msg);
/** batch_send_reply() - send what is there of a call that another node asked
 * for. */
void batch_send_reply(struct calls *calls, const struct call *call,
		      const uint16_t *parts, size_t nparts, struct str records,
		      struct str signatures, bool last);
