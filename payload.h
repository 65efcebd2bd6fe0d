#pragma once

#include "flow.h"
#include "poison.h"

/**
 * DOC: bodies of messages between nodes
 *
 * Lists and requests that travel in the body of a struct msg, as protobuf
 * messages of wire.proto. What cannot be decoded is refused whole.
 */

/**
 * struct member_entry - what a node tells of itself, or of another one
 * @ip: host byte order
 * @beat: counts up in one life of a process
 * @domain: hash of the failure domain
 * @core: thousandths of a processor core
 * @state: bits, enum member_state
 * @revision: of the store, as far as it knows
 * @version: of the configuration in force there
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

/** payload_encode_items() - append @items; a long list is packed. */
void payload_encode_items(const struct store_item *items, size_t count,
			  struct buf *out);
/** payload_decode_items() - strings live in @pool; ERR_FRAME when it is none.
 */
int payload_decode_items(struct str body, apr_pool_t *pool,
			 struct store_item **items, size_t *count);
void payload_encode_members(const struct member_entry *members, size_t count,
			    struct buf *out);
int payload_decode_members(struct str body, apr_pool_t *pool,
			   struct member_entry **members, size_t *count);
/** payload_encode_suspects() - evidence against requests, as it is at @now. */
void payload_encode_suspects(struct poison_entry *const *list, size_t count,
			     int64_t now, struct buf *out);
int payload_decode_suspects(struct str body, int64_t now, apr_pool_t *pool,
			    struct poison_entry **list, size_t *count);
void payload_encode_request(const struct flow_request *request,
			    struct buf *out);
int payload_decode_request(struct str body, apr_pool_t *pool,
			   struct flow_request *request);
