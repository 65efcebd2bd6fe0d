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
 * struct relay - the state of that
 * @relayed_revision: revision up to which the domain was sent items
 * @requested_at: when more was last asked for
 * @started_at: of the process
 * @first_start: all VMs are new
 */
struct relay {
	struct gossip *gossip;
	struct reader *reader;
	struct directory *dir;
	struct flow_effects *fx;
	uint64_t relayed_revision;
	int64_t requested_at;
	int64_t started_at;
	bool first_start;
};

/** relay_init() - @first_start: all VMs are new, and no caller waits yet. */
void relay_init(struct relay *relay, struct gossip *gossip,
		struct reader *reader, struct flow_effects *fx,
		bool first_start, int64_t now);
/** relay_tick() - decide whether this node reads; ask others for more. */
void relay_tick(struct relay *relay, int64_t now);
/** relay_on_read() - the store has answered this node. */
void relay_on_read(struct relay *relay, int64_t now);
/** relay_on_items() - items that another node has read. */
void relay_on_items(struct relay *relay, struct str from, const struct msg *msg,
		    int64_t now);
/** relay_on_request() - another node asks for what it does not know. */
void relay_on_request(struct relay *relay, struct str from,
		      const struct msg *msg, int64_t now);
/** relay_wake_at() - when relay_tick() is due at the latest. */
int64_t relay_wake_at(const struct relay *relay, int64_t now);
