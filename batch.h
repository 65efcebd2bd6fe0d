#pragma once

#include "call.h"
#include "placement.h"

/**
 * DOC: batches of shards that are delegated to other nodes
 *
 * Shards of a question whose targets are in another failure domain are sent to
 * a node there, all in one message. It queries the targets and returns the
 * greatest records of their replies, so that about 30 bytes per shard cross
 * between domains instead of a whole request and reply. A node that does not
 * answer in time, or whose connection breaks, costs no more than a late target:
 * this node then queries the targets of those shards itself.
 */

/**
 * struct batch - shards sent to one node
 * @addr: address of the node
 * @parts: indexes of the shards that it has not answered yet
 * @ntried: targets of each shard that may have received the request before
 * @replied: at least one reply was received
 * @wants_retry_grant: the node requested the retry grant, which allows it to
 *                     send each shard to further targets
 * @retries_granted: the retry grant was sent to it
 */
struct batch {
	uint64_t id;
	struct call *call;
	struct str addr;
	int64_t sent_at;
	uint16_t *parts;
	size_t nparts;
	size_t ntried;
	bool replied;
	bool wants_retry_grant;
	bool retries_granted;
	struct batch *next;
};

/**
 * struct batch_table - open batches of this node
 * @open: id -> struct batch
 * @replied: called with an answer; @msg holds the records and signatures of
 *           @parts
 * @failed: called when the node will not answer for @parts; each of them may
 *          have been sent to @ntried targets already
 */
struct batch_table {
	struct gossip *gossip;
	struct placement *placement;
	apr_hash_t *open;
	void (*replied)(struct calls *calls, struct call *call,
			const uint16_t *parts, size_t nparts,
			const struct msg *msg);
	void (*failed)(struct calls *calls, struct call *call,
		       const uint16_t *parts, size_t nparts, size_t ntried);
};

void batch_table_init(struct batch_table *table, apr_pool_t *pool,
		      struct gossip *gossip, struct placement *placement);
/**
 * batch_send() - send @nparts shards of @call to @member.
 * @may_delegate: @member may delegate shards of other failure domains in turn
 * @ntried: targets of each shard that may have received the request already
 */
void batch_send(struct calls *calls, struct call *call,
		struct member_info *member, const uint16_t *parts,
		size_t nparts, bool may_delegate, size_t ntried);
/** batch_cancel_all() - cancel all open batches of @call. */
void batch_cancel_all(struct calls *calls, struct call *call);
/**
 * batch_fail_overdue() - back off from nodes that have not replied yet, and
 * fail the batches of @call whose nodes are silent.
 */
void batch_fail_overdue(struct calls *calls, struct call *call);
/** batch_on_reply() - process a reply of the node at @from. */
void batch_on_reply(struct calls *calls, struct str from,
		    const struct msg *msg);
/** batch_on_lost() - the connection to the node at @addr broke. */
void batch_on_lost(struct calls *calls, struct str addr);

/** batch_on_retry_grant() - the node at @from sent the retry grant. */
void batch_on_retry_grant(struct calls *calls, struct str from,
			  uint64_t incarnation, const struct msg *msg);

/**
 * batch_on_request() - process a batch that the node at @from sent.
 * @delay_us: estimated delay of the message
 */
void batch_on_request(struct calls *calls, struct catalog *catalog,
		      struct str from, uint64_t incarnation,
		      const struct msg *msg, int64_t delay_us);
/** batch_on_cancel() - the node at @from cancelled its batch. */
void batch_on_cancel(struct calls *calls, struct str from, uint64_t incarnation,
		     const struct msg *msg);
/**
 * batch_send_reply() - send results of @call to its origin.
 * @last: no further reply follows
 */
void batch_send_reply(struct calls *calls, const struct call *call,
		      const uint16_t *parts, size_t nparts, struct str records,
		      struct str signatures, bool last);
