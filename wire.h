#pragma once

#include "error.h"
#include "msg.h"

/**
 * DOC: codec of frames between nodes
 *
 * A frame is a 4-byte big-endian length followed by a protobuf Frame. It
 * contains the address and incarnation of the sender and the incarnation of
 * the receiver, so that a new process at the same address ignores frames for
 * its predecessor.
 */

enum {
	WIRE_HEADER = 4,
	/*
	 * Size of a frame. Single messages are bounded to far less elsewhere,
	 * by the platform and by operators.
	 */
	WIRE_MAX = 16 * 1024 * 1024,
	WIRE_MAX_MSGS = 65536,
};

/**
 * struct frame - a decoded frame
 * @from: sender's address; points into memory that frame_free() releases
 * @from_incarnation: sender's incarnation
 * @to_incarnation: incarnation of the intended receiver, 0 for any
 * @sent_us: time of sending, by the sender's monotonic clock
 * @msgs, @count: the messages
 * @owner: decoded protobuf message that holds the strings
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

/** frame_encode() - append @frame with its header to @out. */
void frame_encode(const struct frame *frame, struct buf *out);

/**
 * frame_decode() - decode the first frame in @in
 *
 * Return: number of bytes consumed, 0 if the frame is incomplete, or ERR_FRAME,
 * after which the connection must be closed, because framing is lost.
 */
int frame_decode(struct str in, struct frame *frame, struct error *err);
void frame_free(struct frame *frame);
