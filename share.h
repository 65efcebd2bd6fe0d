#pragma once

#include "gossip.h"
#include "reader.h"

/**
 * DOC: items of the store, from node to node
 *
 * One node of a failure domain reads the store for the others there, so
 * calls to the store grow with domains, not with nodes. A node that has not
 * heard for a while reads by itself; one that the store turns away learns from
 * any node that knows more.
 */

/**
 * struct share - the state of that
 * @pushed: revision up to which the domain was sent items
 * @asked_at: when more was last asked for
 * @started_at: of the process
 * @first_start: all VMs are new
 */
struct share {
	struct gossip *gossip;
	struct reader *reader;
	struct directory *dir;
	struct flow_effects *fx;
	uint64_t pushed;
	int64_t asked_at;
	int64_t started_at;
	bool first_start;
};

/** share_init() - @first_start: all VMs are new, and no caller waits yet. */
void share_init(struct share *share, struct gossip *gossip,
		struct reader *reader, struct flow_effects *fx,
		bool first_start, int64_t now);
/** share_tick() - decide whether this node reads; ask others for more. */
void share_tick(struct share *share, int64_t now);
/** share_read() - the store has answered this node. */
void share_read(struct share *share, int64_t now);
/** share_items() - items that another node has read. */
void share_items(struct share *share, struct str from, const struct msg *msg,
		 int64_t now);
/** share_wanted() - another node asks for what it does not know. */
void share_wanted(struct share *share, struct str from, const struct msg *msg,
		  int64_t now);
/** share_wake_at() - when share_tick() is due at the latest. */
int64_t share_wake_at(const struct share *share, int64_t now);
