#pragma once

#include "loop.h"
#include "wire.h"

/**
 * DOC: connections between nodes
 *
 * Frames are sent over connections that this node opened and received over
 * connections that other nodes opened. Messages that are queued for a node
 * between two flushes are sent in one frame, up to a size limit.
 */

struct peers;

/**
 * struct peer_handler - callbacks
 * @frame: a frame was received; its strings live until the call returns
 * @lost: the connection to @addr could not be opened, or failed
 * @bad_frame: a connection was closed because of an invalid frame
 */
struct peer_handler {
	void (*frame)(void *ctx, const struct frame *frame);
	void (*lost)(void *ctx, struct str addr);
	void (*bad_frame)(void *ctx, const struct error *err);
	void *ctx;
};

struct peers *peers_create(struct loop *loop, struct str addr,
			   uint64_t incarnation, struct peer_handler handler,
			   struct error *err);
/** peers_send() - queue a message; its strings must live until the flush. */
void peers_send(struct peers *peers, struct str addr, uint64_t incarnation,
		const struct msg *msg);
/**
 * peers_reset() - close the connection to @addr unless it is new
 *
 * The next message opens another one.
 */
void peers_reset(struct peers *peers, struct str addr);
/** peers_flush() - encode queued messages and write without blocking. */
void peers_flush(struct peers *peers);
void peers_destroy(struct peers *peers);
