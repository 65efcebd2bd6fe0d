#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "str.h"

/**
 * enum msg_kind - what one node tells another
 *
 * HEARTBEAT carries state and document versions; PROBE asks for one at once.
 * DOC_GET and DOC spread documents. LEAF, LEAF_REPLY and CANCEL are the path
 * of a question between front and gate. RESERVE, GRANT, GO and GO_REPLY are
 * the two steps of an entry; RELEASE gives a reservation back. FORWARD brings
 * an entry to the issuer of its ticket. LEASE asks for a customer's tokens.
 * HANDOVER tells the next gate of a target what this one knew of it: @amount
 * is the limit, @service_us the baseline, @wait_us the hold, @hash the boot id.
 *
 * GOSSIP brings members in @body. RELINK asks the receiver to open a new
 * connection to the sender. ITEMS brings published keys in @body: all that
 * changed after revision @key up to @version, read @fresh_us ago, to be passed
 * on where @state says so; @wait_us is since the store was lost; ITEMS_GET
 * asks for those after @version. ASK has another node merge a question, @body
 * is the request, @name the indexes of shards in the configuration @version,
 * @state whether far ones may be handed on, @attempt targets of each that were
 * tried, @hash, @hash2 and @key its fingerprint; ASK_REPLY brings records in
 * @body, signatures in @text of the shards in @name, @state when it is the
 * last, and then @attempt the tries used of each other shard, 0 for all. After
 * the first word of a node the asking one says GO: further targets may be
 * asked.
 *
 * SUSPECTS brings evidence against requests in @body; GOSSIP the digest of it
 * in @hash, and so does SUSPECTS, which asks for an answer where @state says
 * so. TRY asks for leave to try the suspect request of fingerprint @hash,
 * @hash2, @key; TRY_REPLY gives it where @state says so.
 */
enum msg_kind {
	MSG_NONE,
	MSG_HEARTBEAT,
	MSG_PROBE,
	MSG_DOC_GET,
	MSG_DOC,
	MSG_LEAF,
	MSG_LEAF_REPLY,
	MSG_CANCEL,
	MSG_RESERVE,
	MSG_GRANT,
	MSG_GO,
	MSG_GO_REPLY,
	MSG_RELEASE,
	MSG_FORWARD,
	MSG_FORWARD_REPLY,
	MSG_LEASE,
	MSG_LEASE_REPLY,
	MSG_HANDOVER,
	MSG_GOSSIP,
	MSG_RELINK,
	MSG_ITEMS,
	MSG_ITEMS_GET,
	MSG_ASK,
	MSG_ASK_REPLY,
	MSG_ASK_CANCEL,
	MSG_ASK_GO,
	MSG_SUSPECTS,
	MSG_TRY,
	MSG_TRY_REPLY,
	MSG_KINDS,
};

/**
 * struct msg - one message, decoded; mirrors Msg in wire.proto
 * @kind: enum msg_kind
 * @id: question, entry or forward id, unique to the sender's incarnation
 * @attempt: number of the attempt within @id
 * @target: hash of the target's name
 * @shard: shard id in the snapshot @version
 * @version: snapshot version, or lists version in HEARTBEAT
 * @remaining_us: time left to the receiver, microseconds
 * @status: enum error_code
 * @ran: whether the request may have reached the target
 * @wait_us: time in the gate's queue, microseconds
 * @service_us: time from dispatch to reply, microseconds
 * @doc: enum doc_kind
 * @hash: hash of a document (of the lists in HEARTBEAT); in LEAF_REPLY the
 *        boot id of the target
 * @state: enum vm_state of the sender; in LEAF, 1 for a hedge or retry
 * @fresh_us: age of the newest platform reading known, microseconds
 * @amount: tokens asked for or lent
 * @key: ticket sequence or customer hash; in HEARTBEAT the digest of evidence
 *       against requests
 * @name: customer, index or failure domain
 * @body: rows, entry or document
 * @text: terms, request id or reason
 * @version2: fleet version in HEARTBEAT
 * @hash2: fleet hash in HEARTBEAT
 */
struct msg {
	uint32_t kind;
	uint64_t id;
	uint32_t attempt;
	uint64_t target;
	uint32_t shard;
	uint64_t version;
	int64_t remaining_us;
	int32_t status;
	bool ran;
	int64_t wait_us;
	int64_t service_us;
	uint32_t doc;
	uint64_t hash;
	uint32_t state;
	int64_t fresh_us;
	double amount;
	uint64_t key;
	struct str name;
	struct str body;
	struct str text;
	uint64_t version2;
	uint64_t hash2;
};

const char *msg_name(uint32_t kind);
