#pragma once

#include "error.h"
#include "msg.h"

/**
 * DOC: frames between nodes
 *
 * A frame is a 4 byte big-endian length and a protobuf Frame. It names the
 * sender's address and incarnation and the incarnation it is meant for, so a
 * frame for a process that is gone is never taken by its successor.
 */

enum {
	WIRE_HEADER = 4,
	/*
	 * Of a frame. What a node is told in one message is bounded elsewhere,
	 * by the platform and by operators: by far less than this.
	 */
	WIRE_MAX = 16 * 1024 * 1024,
	WIRE_MAX_MSGS = 65536,
};

/**
 * struct frame - a decoded frame
 * @from: sender's address; points into memory that frame_free() releases
 * @from_incarnation: sender's incarnation
 * @to_incarnation: receiver it is meant for, 0 for any
 * @sent_us: when it was sent, by the sender's monotonic clock
 * @msgs: the messages
 * @count: how many
 */
struct frame {
	struct str from;
	uint64_t from_incarnation;
	uint64_t to_incarnation;
	int64_t sent_us;
	struct msg *msgs;
	size_t count;
	void *owner;
};

/** frame_encode() - append header and bytes of @frame to @out. */
void frame_encode(const struct frame *frame, struct buf *out);

/**
 * frame_decode() - take one frame off the front of @in
 *
 * Return: bytes used, 0 when more are needed, or ERR_FRAME, after which the
 * connection has to be closed, because the stream has lost its framing.
 */
int frame_decode(struct str in, struct frame *frame, struct error *err);
void frame_free(struct frame *frame);
