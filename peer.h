#pragma once

#include "loop.h"
#include "wire.h"

/**
 * DOC: connections between nodes
 *
 * Frames go out over a connection that this node opened, and come in over
 * those that others opened. What is queued in one round for one node goes out
 * in one frame.
 */

struct peers;

/**
 * struct peer_handler - what the owner is told
 * @frame: a frame came in; its strings live until the call returns
 * @lost: the connection to @addr could not be opened, or broke
 * @bad: a connection sent what is no frame and was closed
 */
struct peer_handler {
	void (*frame)(void *ctx, const struct frame *frame);
	void (*lost)(void *ctx, struct str addr);
	void (*bad)(void *ctx, const struct error *err);
	void *ctx;
};

struct peers *peers_create(struct loop *loop, struct str addr,
			   uint64_t incarnation, struct peer_handler handler,
			   struct error *err);
/** peers_send() - queue a message; its strings must live until the flush. */
void peers_send(struct peers *peers, struct str addr, uint64_t incarnation,
		const struct msg *msg);
/** peers_reset() - drop the connection to @addr; the next message opens one. */
void peers_reset(struct peers *peers, struct str addr);
/** peers_flush() - encode what is queued and write what the sockets take. */
void peers_flush(struct peers *peers);
void peers_destroy(struct peers *peers);
