#include "wire.h"

#include <stdlib.h>

#include "wire.pb-c.h"
#include "xmalloc.h"

static const char *const names[MSG_KINDS] = {
	"none",	      "heartbeat",   "probe",	 "doc_get",   "doc",
	"leaf",	      "leaf_reply",  "cancel",	 "reserve",   "grant",
	"go",	      "go_reply",    "release",	 "forward",   "forward_reply",
	"lease",      "lease_reply", "handover", "gossip",    "relink",
	"items",      "items_get",   "ask",	 "ask_reply", "ask_cancel",
	"ask_go",     "suspects",    "try",	 "try_reply", "cold_ask",
	"cold_reply",
};

const char *msg_name(uint32_t kind)
{
	return kind < MSG_KINDS ? names[kind] : "unknown";
}

static ProtobufCBinaryData to_bytes(struct str s)
{
	return (ProtobufCBinaryData){ s.len, (uint8_t *)s.ptr };
}

static struct str from_bytes(ProtobufCBinaryData data)
{
	return (struct str){ (const char *)data.data, data.len };
}

static void msg_pack(const struct msg *msg, Wire__Msg *out)
{
	wire__msg__init(out);
	out->kind = msg->kind;
	out->id = msg->id;
	out->attempt = msg->attempt;
	out->target = msg->target;
	out->shard = msg->shard;
	out->version = msg->version;
	out->remaining_us = msg->remaining_us;
	out->status = msg->status;
	out->ran = msg->ran;
	out->wait_us = msg->wait_us;
	out->service_us = msg->service_us;
	out->doc = msg->doc;
	out->hash = msg->hash;
	out->state = msg->state;
	out->fresh_us = msg->fresh_us;
	out->amount = msg->amount;
	out->key = msg->key;
	out->name = to_bytes(msg->name);
	out->body = to_bytes(msg->body);
	out->text = to_bytes(msg->text);
	out->version2 = msg->version2;
	out->hash2 = msg->hash2;
}

static void msg_unpack(const Wire__Msg *in, struct msg *msg)
{
	*msg = (struct msg){
		.kind = in->kind,
		.id = in->id,
		.attempt = in->attempt,
		.target = in->target,
		.shard = in->shard,
		.version = in->version,
		.remaining_us = in->remaining_us,
		.status = in->status,
		.ran = in->ran,
		.wait_us = in->wait_us,
		.service_us = in->service_us,
		.doc = in->doc,
		.hash = in->hash,
		.state = in->state,
		.fresh_us = in->fresh_us,
		.amount = in->amount,
		.key = in->key,
		.name = from_bytes(in->name),
		.body = from_bytes(in->body),
		.text = from_bytes(in->text),
		.version2 = in->version2,
		.hash2 = in->hash2,
	};
}

void frame_encode(const struct frame *frame, struct buf *out)
{
	Wire__Frame wire = WIRE__FRAME__INIT;
	Wire__Msg *msgs = xcalloc(frame->count, sizeof(*msgs));
	Wire__Msg **ptrs = xcalloc(frame->count, sizeof(*ptrs));

	for (size_t i = 0; i < frame->count; i++) {
		msg_pack(&frame->msgs[i], &msgs[i]);
		ptrs[i] = &msgs[i];
	}
	wire.from = to_bytes(frame->from);
	wire.from_incarnation = frame->from_incarnation;
	wire.to_incarnation = frame->to_incarnation;
	wire.sent_us = (uint64_t)frame->sent_us;
	wire.n_msgs = frame->count;
	wire.msgs = ptrs;

	size_t len = wire__frame__get_packed_size(&wire);
	unsigned char header[WIRE_HEADER] = { (unsigned char)(len >> 24),
					      (unsigned char)(len >> 16),
					      (unsigned char)(len >> 8),
					      (unsigned char)len };

	buf_add(out, header, sizeof(header));
	buf_reserve(out, len);
	wire__frame__pack(&wire, (uint8_t *)out->ptr + out->len);
	out->len += len;
	free(ptrs);
	free(msgs);
}

static int frame_check(const Wire__Frame *wire, struct error *err)
{
	if (!wire->from.len || wire->from.len > 64)
		return error_set(err, ERR_FRAME,
				 "frame: sender address empty or too long");
	if (wire->n_msgs > WIRE_MAX_MSGS)
		return error_set(err, ERR_FRAME, "frame: over %d messages",
				 WIRE_MAX_MSGS);
	for (size_t i = 0; i < wire->n_msgs; i++) {
		uint32_t kind = wire->msgs[i]->kind;

		if (kind == MSG_NONE || kind >= MSG_KINDS)
			return error_set(err, ERR_FRAME,
					 "frame: invalid message kind %u",
					 kind);
	}
	return 0;
}

int frame_decode(struct str in, struct frame *frame, struct error *err)
{
	const unsigned char *bytes = (const unsigned char *)in.ptr;
	size_t len;

	if (in.len < WIRE_HEADER)
		return 0;
	len = (size_t)bytes[0] << 24 | (size_t)bytes[1] << 16 |
	      (size_t)bytes[2] << 8 | bytes[3];
	if (len > WIRE_MAX)
		return error_set(err, ERR_FRAME, "frame: %zu bytes, limit %d",
				 len, WIRE_MAX);
	if (in.len < WIRE_HEADER + len)
		return 0;

	Wire__Frame *wire = wire__frame__unpack(NULL, len, bytes + WIRE_HEADER);

	if (!wire)
		return error_set(err, ERR_FRAME,
				 "frame: invalid protobuf message");
	if (frame_check(wire, err)) {
		wire__frame__free_unpacked(wire, NULL);
		return ERR_FRAME;
	}
	frame->owner = wire;
	frame->from = from_bytes(wire->from);
	frame->from_incarnation = wire->from_incarnation;
	frame->to_incarnation = wire->to_incarnation;
	frame->sent_us = (int64_t)wire->sent_us;
	frame->count = wire->n_msgs;
	frame->msgs = xcalloc(wire->n_msgs, sizeof(*frame->msgs));
	for (size_t i = 0; i < wire->n_msgs; i++)
		msg_unpack(wire->msgs[i], &frame->msgs[i]);
	return (int)(WIRE_HEADER + len);
}

void frame_free(struct frame *frame)
{
	free(frame->msgs);
	wire__frame__free_unpacked(frame->owner, NULL);
	*frame = (struct frame){ 0 };
}
