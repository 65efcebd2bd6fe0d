#include "payload.h"

#include <stdlib.h>

#include <zlib.h>

#include "wire.pb-c.h"
#include "xmalloc.h"

enum {
	/*
	 * Sending a configuration of 1 MiB to four nodes occupied a small VM's
	 * link for 2 s and delayed gossip and shard requests. It compresses to
	 * a tenth within a few ms. Shorter lists are sent uncompressed.
	 */
	COMPRESS_MIN_BYTES = 16 * 1024,
	/* Limit for the stated size of a list, which may be corrupt. */
	DECOMPRESSED_MAX_BYTES = 64 * 1024 * 1024,
	/* Higher than any real number of rounds; larger values are corrupt. */
	ROUNDS_MAX = 1000000,
};

static ProtobufCBinaryData to_bytes(struct str s)
{
	return (ProtobufCBinaryData){ s.len, (uint8_t *)s.ptr };
}

static struct str from_bytes(ProtobufCBinaryData data, apr_pool_t *pool)
{
	return str_dup(pool, (struct str){ (const char *)data.data, data.len });
}

static void append_items(const Wire__Items *wire, struct buf *out)
{
	size_t len = wire__items__get_packed_size(wire);

	buf_reserve(out, len + 1);
	wire__items__pack(wire, (uint8_t *)out->ptr + out->len);
	out->len += len;
}

/* Return: false if compression does not make it smaller, or fails. */
static bool append_compressed(struct str uncompressed, struct buf *out)
{
	Wire__Items wire = WIRE__ITEMS__INIT;
	uLongf len = compressBound(uncompressed.len);
	Bytef *bytes = xcalloc(1, len);
	bool smaller = compress2(bytes, &len, (const Bytef *)uncompressed.ptr,
				 uncompressed.len, Z_BEST_SPEED) == Z_OK &&
		       len < uncompressed.len;

	wire.packed = (ProtobufCBinaryData){ len, bytes };
	wire.size = uncompressed.len;
	if (smaller)
		append_items(&wire, out);
	free(bytes);
	return smaller;
}

void payload_encode_items(const struct store_item *items, size_t count,
			  struct buf *out)
{
	Wire__Items wire = WIRE__ITEMS__INIT;
	Wire__Item *list = xcalloc(count + 1, sizeof(*list));
	Wire__Item **ptrs = xcalloc(count + 1, sizeof(*ptrs));
	struct buf uncompressed = { 0 };

	for (size_t i = 0; i < count; i++) {
		wire__item__init(&list[i]);
		list[i].key = to_bytes(items[i].key);
		list[i].value = to_bytes(items[i].value);
		list[i].revision = items[i].revision;
		list[i].deleted = items[i].deleted;
		ptrs[i] = &list[i];
	}
	wire.n_items = count;
	wire.items = ptrs;
	append_items(&wire, &uncompressed);
	if (uncompressed.len < COMPRESS_MIN_BYTES ||
	    !append_compressed(buf_str(&uncompressed), out))
		buf_str_add(out, buf_str(&uncompressed));
	buf_free(&uncompressed);
	free(ptrs);
	free(list);
}

/* Return: the list compressed in @packed, or NULL if that is corrupt. */
static Wire__Items *decompress_items(ProtobufCBinaryData packed, uint64_t size)
{
	uLongf len = size;
	Wire__Items *wire = NULL;
	Bytef *bytes;

	if (!size || size > DECOMPRESSED_MAX_BYTES)
		return NULL;
	bytes = xcalloc(1, size);
	if (uncompress(bytes, &len, packed.data, packed.len) == Z_OK &&
	    len == size)
		wire = wire__items__unpack(NULL, len, bytes);
	free(bytes);
	return wire;
}

static Wire__Items *decode_items(struct str body)
{
	Wire__Items *wire =
		wire__items__unpack(NULL, body.len, (const uint8_t *)body.ptr);
	Wire__Items *uncompressed;

	if (!wire || !wire->packed.len)
		return wire;
	uncompressed = decompress_items(wire->packed, wire->size);
	wire__items__free_unpacked(wire, NULL);
	return uncompressed;
}

int payload_decode_items(struct str body, apr_pool_t *pool,
			 struct store_item **items, size_t *count)
{
	Wire__Items *wire = decode_items(body);

	*count = 0;
	if (!wire)
		return ERR_FRAME;
	*items = apr_pcalloc(pool, (wire->n_items + 1) * sizeof(**items));
	for (size_t i = 0; i < wire->n_items; i++)
		(*items)[i] = (struct store_item){
			.key = from_bytes(wire->items[i]->key, pool),
			.value = from_bytes(wire->items[i]->value, pool),
			.revision = wire->items[i]->revision,
			.deleted = wire->items[i]->deleted,
		};
	*count = wire->n_items;
	wire__items__free_unpacked(wire, NULL);
	return 0;
}

void payload_encode_members(const struct member_entry *members, size_t count,
			    struct buf *out)
{
	Wire__Members wire = WIRE__MEMBERS__INIT;
	Wire__Member *list = xcalloc(count + 1, sizeof(*list));
	Wire__Member **ptrs = xcalloc(count + 1, sizeof(*ptrs));
	size_t len;

	for (size_t i = 0; i < count; i++) {
		wire__member__init(&list[i]);
		list[i].ip = members[i].ip;
		list[i].incarnation = members[i].incarnation;
		list[i].beat = members[i].beat;
		list[i].domain = members[i].domain;
		list[i].core = members[i].core;
		list[i].state = members[i].state;
		list[i].revision = members[i].revision;
		list[i].version = members[i].version;
		ptrs[i] = &list[i];
	}
	wire.n_members = count;
	wire.members = ptrs;
	len = wire__members__get_packed_size(&wire);
	buf_reserve(out, len + 1);
	wire__members__pack(&wire, (uint8_t *)out->ptr + out->len);
	out->len += len;
	free(ptrs);
	free(list);
}

int payload_decode_members(struct str body, apr_pool_t *pool,
			   struct member_entry **members, size_t *count)
{
	Wire__Members *wire = wire__members__unpack(NULL, body.len,
						    (const uint8_t *)body.ptr);

	*count = 0;
	if (!wire)
		return ERR_FRAME;
	*members = apr_pcalloc(pool, (wire->n_members + 1) * sizeof(**members));
	for (size_t i = 0; i < wire->n_members; i++) {
		const Wire__Member *from = wire->members[i];

		(*members)[i] = (struct member_entry){
			.ip = from->ip,
			.incarnation = from->incarnation,
			.beat = from->beat,
			.domain = from->domain,
			.core = from->core,
			.state = from->state,
			.revision = from->revision,
			.version = from->version,
		};
	}
	*count = wire->n_members;
	wire__members__free_unpacked(wire, NULL);
	return 0;
}

static void encode_crashes(const struct poison_entry *entry, int64_t now,
			   Wire__Crash *crashes, Wire__Crash **ptrs)
{
	for (size_t i = 0; i < entry->ncrashes; i++) {
		wire__crash__init(&crashes[i]);
		crashes[i].target = entry->crashes[i].key;
		crashes[i].born_ms = entry->crashes[i].born_ms;
		crashes[i].age_us = now - entry->crashes[i].at;
		ptrs[i] = &crashes[i];
	}
}

/** struct encoded_suspect - a protobuf message and the arrays it points to */
struct encoded_suspect {
	Wire__Suspect wire;
	Wire__Crash crashes[POISON_TARGETS_MAX];
	Wire__Crash *ptrs[POISON_TARGETS_MAX];
};

static void encode_suspect(const struct poison_entry *entry, int64_t now,
			   struct encoded_suspect *out)
{
	wire__suspect__init(&out->wire);
	out->wire.content_high = entry->fingerprint.content[0];
	out->wire.content_low = entry->fingerprint.content[1];
	out->wire.caller = entry->fingerprint.caller;
	out->wire.rounds = (uint32_t)entry->rounds;
	out->wire.harmless = entry->harmless;
	out->wire.n_crashes = entry->ncrashes;
	out->wire.crashes = out->ptrs;
	encode_crashes(entry, now, out->crashes, out->ptrs);
}

void payload_encode_suspects(struct poison_entry *const *list, size_t count,
			     int64_t now, struct buf *out)
{
	Wire__Suspects wire = WIRE__SUSPECTS__INIT;
	struct encoded_suspect *packed = xcalloc(count + 1, sizeof(*packed));
	Wire__Suspect **ptrs = xcalloc(count + 1, sizeof(*ptrs));
	size_t len;

	for (size_t i = 0; i < count; i++) {
		encode_suspect(list[i], now, &packed[i]);
		ptrs[i] = &packed[i].wire;
	}
	wire.n_suspects = count;
	wire.suspects = ptrs;
	len = wire__suspects__get_packed_size(&wire);
	buf_reserve(out, len + 1);
	wire__suspects__pack(&wire, (uint8_t *)out->ptr + out->len);
	out->len += len;
	free(ptrs);
	free(packed);
}

static struct poison_entry decode_suspect(const Wire__Suspect *from,
					  int64_t now)
{
	struct poison_entry entry = {
		.fingerprint = { { from->content_high, from->content_low },
				 from->caller },
		.harmless = from->harmless,
	};

	for (size_t i = 0;
	     i < from->n_crashes && entry.ncrashes < POISON_TARGETS_MAX; i++) {
		const Wire__Crash *crash = from->crashes[i];

		entry.crashes[entry.ncrashes++] = (struct poison_crash){
			.key = crash->target,
			.born_ms = crash->born_ms,
			.at = now - crash->age_us,
		};
	}
	if (from->rounds <= ROUNDS_MAX)
		entry.rounds = (int)from->rounds;
	return entry;
}

int payload_decode_suspects(struct str body, int64_t now, apr_pool_t *pool,
			    struct poison_entry **list, size_t *count)
{
	Wire__Suspects *wire = wire__suspects__unpack(
		NULL, body.len, (const uint8_t *)body.ptr);

	*count = 0;
	if (!wire)
		return ERR_FRAME;
	*list = apr_pcalloc(pool, (wire->n_suspects + 1) * sizeof(**list));
	for (size_t i = 0; i < wire->n_suspects; i++)
		(*list)[i] = decode_suspect(wire->suspects[i], now);
	*count = wire->n_suspects;
	wire__suspects__free_unpacked(wire, NULL);
	return 0;
}

void payload_encode_request(const struct flow_request *request, struct buf *out)
{
	Wire__Ask wire = WIRE__ASK__INIT;
	size_t len;

	wire.method = to_bytes(request->method);
	wire.uri = to_bytes(request->uri);
	wire.host = to_bytes(request->host);
	wire.request_id = to_bytes(request->request_id);
	wire.headers = to_bytes(request->headers);
	wire.body = to_bytes(request->body);
	len = wire__ask__get_packed_size(&wire);
	buf_reserve(out, len + 1);
	wire__ask__pack(&wire, (uint8_t *)out->ptr + out->len);
	out->len += len;
}

int payload_decode_request(struct str body, apr_pool_t *pool,
			   struct flow_request *request)
{
	Wire__Ask *wire =
		wire__ask__unpack(NULL, body.len, (const uint8_t *)body.ptr);

	if (!wire)
		return ERR_FRAME;
	*request = (struct flow_request){
		.method = from_bytes(wire->method, pool),
		.uri = from_bytes(wire->uri, pool),
		.host = from_bytes(wire->host, pool),
		.request_id = from_bytes(wire->request_id, pool),
		.headers = from_bytes(wire->headers, pool),
		.body = from_bytes(wire->body, pool),
		.time_left_us = -1,
	};
	wire__ask__free_unpacked(wire, NULL);
	return 0;
}
