#pragma once

#include "member.h"

/**
 * DOC: synchronization of the platform's documents
 *
 * Each of the two documents is ordered by (version, hash): an older one is
 * never accepted. A few nodes, chosen by rendezvous hashing, watch the platform
 * with long polls; the others receive new versions in heartbeats and fetch the
 * body from the peer that sent it. All nodes also poll the platform
 * periodically, with jitter.
 */

/**
 * struct synced_doc - one of the two documents
 * @body: bytes of the one in force, for peers; on the heap
 * @version: version of the one in force, 0 when there is none
 * @hash: hash of the one in force, 0 when there is none
 * @refused_hash: hash of the last refused body, so it is not parsed again
 * @stale_hash: hash of the last older body, so it is audited once
 * @reading: a read of the platform is in flight
 * @read_started_at: start of the last read of the platform
 * @failures: failed reads in a row, or 1 after an older document; raises the
 *            backoff
 * @peer_fetch_until: a body was requested from a peer; request none from
 *                    another before this time
 * @offered_version: highest version offered by a peer
 */
struct synced_doc {
	struct buf body;
	uint64_t version;
	uint64_t hash;
	uint64_t refused_hash;
	uint64_t stale_hash;
	bool reading;
	int64_t read_started_at;
	int failures;
	int64_t peer_fetch_until;
	uint64_t offered_version;
};

struct doc_sync {
	struct synced_doc docs[DOC_KINDS];
	struct buf candidate[DOC_KINDS];
	bool joined; /* the first documents are in force */
	int64_t join_not_before; /* earliest end of the join */
	int64_t join_deadline; /* latest end, once there is a candidate */
};

void doc_sync_init(struct node *node);
void doc_sync_destroy(struct node *node);
void doc_sync_on_offer(struct node *node, const struct vm *vm,
		       enum doc_kind kind, uint64_t version, uint64_t hash);
void doc_sync_on_doc_get(struct node *node, struct str from,
			 uint64_t incarnation, const struct msg *msg);
void doc_sync_on_peer_doc(struct node *node, const struct msg *msg);
void doc_sync_on_platform_doc(struct node *node, enum doc_kind kind,
			      struct str body);
void doc_sync_on_unchanged(struct node *node, enum doc_kind kind);
void doc_sync_on_failure(struct node *node, enum doc_kind kind);
void doc_sync_on_timer(struct node *node, uint64_t kind);
/**
 * doc_sync_read_if_stale() - read the documents if the last reading is too old
 * @platform_age: age of the newest reading of the platform by any node,
 *                microseconds
 *
 * Called at each heartbeat; reads with a probability that depends on the number
 * of nodes.
 */
void doc_sync_read_if_stale(struct node *node, int64_t platform_age);
/** doc_sync_read_now() - read both documents now. */
void doc_sync_read_now(struct node *node);
/** doc_sync_behind() - whether a peer has a newer document than this node. */
bool doc_sync_behind(const struct node *node);
