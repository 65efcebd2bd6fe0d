#pragma once

#include "member.h"

/**
 * DOC: configuration
 *
 * Two documents, each ordered by (version, hash): an older one is never taken.
 * A few nodes, by rendezvous, hold a watch on the platform; the rest learn of
 * a new version from heartbeats and fetch the body from the peer that told
 * them. Everyone also reads the platform now and then, with jitter.
 */

/**
 * struct synced_doc - one of the two documents
 * @body: bytes of the one in force, for peers; on the heap
 * @version, @hash: of the one in force, 0 when there is none
 * @refused_hash: hash of the last refused body, so it is judged once
 * @reading: a read of the platform is under way, begun at @read_started_at
 * @peer_fetch_until: a peer was asked for the body; ask another after this time
 * @offered_version: highest version that a peer offered
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
	bool joined;
	int64_t join_not_before; /* earliest end of the join */
	int64_t join_deadline; /* latest end, once a candidate is there */
};

void doc_sync_init(struct node *node);
void doc_sync_destroy(struct node *node);
void doc_sync_on_offer(struct node *node, const struct vm *vm,
		       enum doc_kind kind, uint64_t version, uint64_t hash);
void doc_sync_on_request(struct node *node, struct str from,
			 uint64_t incarnation, const struct msg *msg);
void doc_sync_on_peer_doc(struct node *node, const struct msg *msg);
void doc_sync_on_platform_doc(struct node *node, enum doc_kind kind,
			      struct str body);
void doc_sync_on_unchanged(struct node *node, enum doc_kind kind);
void doc_sync_on_failure(struct node *node, enum doc_kind kind);
void doc_sync_on_timer(struct node *node, uint64_t kind);
/** doc_sync_read_if_stale() - once a heartbeat: read, by chance, if nobody has
 * of late. */
void doc_sync_read_if_stale(struct node *node, int64_t platform_age);
/** doc_sync_read_now() - read both documents at once (after a pause). */
void doc_sync_read_now(struct node *node);
/** doc_sync_behind() - a peer has a newer document than is in force here. */
bool doc_sync_behind(const struct node *node);
