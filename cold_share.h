#pragma once

#include "call.h"
#include "gossip.h"

/**
 * DOC: division of cold targets' limits among the nodes
 *
 * Each token of a cold target (cold_rate.h) belongs to the node with the
 * highest rendezvous weight among all nodes that may be up, so that the parts
 * of all nodes add up to the limit exactly. A node that is missing from
 * another's view would own the same token twice. Therefore a node uses its own
 * tokens only when the others must know it: some time after it has met the
 * seeds; and it counts nodes that are silent for as long as partitions last.
 *
 * A node without a free token asks the others, one at a time, for leave to send
 * one request at once.
 */

/**
 * struct cold_share - this node's part of all cold targets' limits
 * @joined_at: the others know this node from then on; INT64_MAX: not yet
 * @holders: addresses of the nodes that own tokens, as of @view
 */
struct cold_share {
	struct calls *calls;
	int64_t started_at;
	int64_t joined_at;
	uint64_t view;
	uint32_t *holders;
	size_t nholders;
};

void cold_share_init(struct cold_share *share, struct calls *calls,
		     int64_t now);
void cold_share_destroy(struct cold_share *share);
/**
 * cold_share_tick() - follow the membership.
 * @pause_us: the process was paused for this long: the others may have
 *            forgotten it
 */
void cold_share_tick(struct cold_share *share, int64_t pause_us, int64_t now);
/**
 * cold_share_want() - @part waits for a target of its service.
 *
 * Asks for a token where one of them is cold and this node has none, and has
 * the waiting requests looked at when one may be free.
 */
void cold_share_want(struct cold_share *share, const struct part *part,
		     int64_t now);
/** cold_share_on_ask() - another node asks for a token. */
void cold_share_on_ask(struct cold_share *share, struct str from,
		       const struct msg *msg, int64_t now);
/**
 * cold_share_on_reply() - a node has lent a token, or has none.
 * @delay_us: longest time that the message may have waited
 */
void cold_share_on_reply(struct cold_share *share, struct str from,
			 const struct msg *msg, int64_t delay_us, int64_t now);
