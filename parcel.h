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
 * @state: bits, enum member_bits
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

/** parcel_items() - append @items; a long list is packed. */
void parcel_items(const struct store_item *items, size_t count,
		  struct buf *out);
/** parcel_open_items() - strings live in @pool; ERR_FRAME when it is none. */
int parcel_open_items(struct str body, apr_pool_t *pool,
		      struct store_item **items, size_t *count);
void parcel_members(const struct member_entry *members, size_t count,
		    struct buf *out);
int parcel_open_members(struct str body, apr_pool_t *pool,
			struct member_entry **members, size_t *count);
/** parcel_suspects() - evidence against requests, as it is at @now. */
void parcel_suspects(struct poison_entry *const *list, size_t count,
		     int64_t now, struct buf *out);
int parcel_open_suspects(struct str body, int64_t now, apr_pool_t *pool,
			 struct poison_entry **list, size_t *count);
void parcel_request(const struct flow_request *request, struct buf *out);
int parcel_open_request(struct str body, apr_pool_t *pool,
			struct flow_request *request);
