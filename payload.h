#pragma once

#include "flow.h"
#include "poison.h"

/**
 * DOC: codec of message bodies
 *
 * Encodes lists and requests for the body of a struct msg, as the protobuf
 * messages in wire.proto. A body with any part that cannot be decoded is
 * rejected; the decoders then return ERR_FRAME. Decoded strings live in the
 * given pool.
 */

/**
 * struct member_entry - gossiped state of a node
 * @ip: IPv4 address in host byte order
 * @beat: heartbeat counter of the incarnation
 * @domain: hash of the failure domain
 * @core: share of a processor core, in thousandths
 * @state: bits of enum member_state
 * @revision: store revision of the node's replica
 * @version: version of the configuration in force on the node
 */
struct member_entry {
	uint32_t ip;
	uint64_t incarnation;
	uint32_t beat;
	uint64_t domain;
	uint32_t core;
	uint32_t state;
	uint64_t revision;
	uint64_t version;
};

/** payload_encode_items() - append @items; long lists are compressed. */
void payload_encode_items(const struct store_item *items, size_t count,
			  struct buf *out);
int payload_decode_items(struct str body, apr_pool_t *pool,
			 struct store_item **items, size_t *count);
void payload_encode_members(const struct member_entry *members, size_t count,
			    struct buf *out);
int payload_decode_members(struct str body, apr_pool_t *pool,
			   struct member_entry **members, size_t *count);
/**
 * payload_encode_suspects() - append evidence against requests.
 * @now: crash times are encoded as ages at this time
 */
void payload_encode_suspects(struct poison_entry *const *list, size_t count,
			     int64_t now, struct buf *out);
int payload_decode_suspects(struct str body, int64_t now, apr_pool_t *pool,
			    struct poison_entry **list, size_t *count);
void payload_encode_request(const struct flow_request *request,
			    struct buf *out);
int payload_decode_request(struct str body, apr_pool_t *pool,
			   struct flow_request *request);
