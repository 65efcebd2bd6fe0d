#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "str.h"

/**
 * enum msg_kind - kind of a message between nodes
 *
 * HEARTBEAT carries state and document versions; PROBE requests one
 * immediately.
 * DOC_GET and DOC replicate documents. LEAF, LEAF_REPLY and CANCEL carry the
 * requests of a question between front and gate. RESERVE, GRANT, GO and
 * GO_REPLY are the two phases of an entry; RELEASE returns a reservation.
 * FORWARD sends an entry to the issuer of its ticket. LEASE requests tokens
 * of a customer's quota. HANDOVER sends a target's state to its next gate:
 * @amount is the limit, @service_us the baseline latency, @wait_us the minimum
 * time between raises of the limit, @hash the boot id.
 *
 * GOSSIP carries members in @body and the digest of the evidence against
 * requests in @hash. RELINK requests that the receiver open a new connection
 * to the sender.
 *
 * ITEMS carries store keys in @body: all changes after revision @key up to
 * @version, read @fresh_us ago; they are relayed in the tree of the node with
 * the address @hash, if any; @wait_us is the time since a call to the store
 * failed. ITEMS_GET requests the changes after revision
 * @version.
 *
 * ASK delegates shards of a request: @body is the request, @name the indexes
 * of the shards in the configuration @version, @state whether shards of other
 * failure domains may be delegated further, @attempt the number of targets
 * already tried per shard, and @hash, @hash2 and @key the fingerprint.
 * ASK_REPLY carries records in @body and signatures in @text for the shards in
 * @name. The last reply has @state set and in @attempt the number of attempts
 * used for each other shard, 0 for all. After the first reply of a node, the
 * delegating node sends ASK_GO to permit requests to further targets.
 *
 * SUSPECTS carries evidence against requests in @body and its digest in @hash;
 * @state has flags, among them a request of a reply, and @ran asks the receiver
 * to relay it. GOSSIP requests all evidence by @state. TRY requests
 * the lease for a trial of the request with the fingerprint @hash, @hash2,
 * @key, which is suspect, or unproven if @state is set; TRY_REPLY grants it if
 * @state is set.
 *
 * COLD_ASK, numbered @id, asks to send one request to the cold target @key.
 * COLD_REPLY permits it if @state is set; @wait_us is the time until the sender
 * may permit a further one.
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
	MSG_COLD_ASK,
	MSG_COLD_REPLY,
	MSG_KINDS,
};

/**
 * struct msg - one message, decoded; mirrors Msg in wire.proto
 * @kind: enum msg_kind
 * @id: question, entry or forward id, unique per incarnation of the sender
 * @attempt: number of the attempt within @id
 * @target: hash of the target's name
 * @shard: shard id in the snapshot @version
 * @version: snapshot version, or lists version in HEARTBEAT
 * @remaining_us: time until the receiver's deadline, microseconds
 * @status: enum error_code
 * @ran: whether the request may have reached the target
 * @wait_us: time in the gate's queue, microseconds
 * @service_us: time from dispatch to reply, microseconds
 * @doc: enum doc_kind
 * @hash: hash of a document (of the lists in HEARTBEAT); in LEAF_REPLY the
 *        boot id of the target
 * @state: enum vm_state of the sender; in LEAF, 1 for a hedge or retry
 * @fresh_us: age of the newest reading of the platform by any node,
 *            microseconds
 * @amount: tokens requested or granted; in HANDOVER the limit
 * @key: in HEARTBEAT the digest of evidence against requests; in ITEMS a
 *       revision; in ASK, TRY and TRY_REPLY part of the fingerprint
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

/** msg_name() - name of an enum msg_kind, "unknown" for other numbers. */
const char *msg_name(uint32_t kind);
