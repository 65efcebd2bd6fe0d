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
 * struct conf_doc - one of the two documents
 * @body: bytes of the one in force, for peers; on the heap
 * @version, @hash: of the one in force, 0 when there is none
 * @refused: hash of the last refused body, so it is judged once
 * @reading: a read of the platform is under way, begun at @read_at
 * @asked_until: a peer was asked for the body; ask another after this time
 * @behind: highest version that a peer offered
 */
struct conf_doc {
	struct buf body;
	uint64_t version;
	uint64_t hash;
	uint64_t refused;
	uint64_t stale;
	bool reading;
	int64_t read_at;
	int failures;
	int64_t asked_until;
	uint64_t behind;
};

struct conf {
	struct conf_doc docs[DOC_KINDS];
	struct buf candidate[DOC_KINDS];
	bool joined;
	int64_t join_at; /* earliest end of the join */
	int64_t join_by; /* latest end, once a candidate is there */
};

void conf_init(struct node *node);
void conf_destroy(struct node *node);
void conf_offered(struct node *node, const struct vm *vm, enum doc_kind kind,
		  uint64_t version, uint64_t hash);
void conf_asked(struct node *node, struct str from, uint64_t incarnation,
		const struct msg *msg);
void conf_peer_doc(struct node *node, const struct msg *msg);
void conf_platform_doc(struct node *node, enum doc_kind kind, struct str body);
void conf_platform_same(struct node *node, enum doc_kind kind);
void conf_platform_failed(struct node *node, enum doc_kind kind);
void conf_timer(struct node *node, uint64_t kind);
/** conf_look() - once a heartbeat: read, by chance, if nobody has of late. */
void conf_look(struct node *node, int64_t fresh_age);
/** conf_read_now() - read both documents at once (after a pause). */
void conf_read_now(struct node *node);
/** conf_behind() - a peer has a newer document than is in force here. */
bool conf_behind(const struct node *node);
