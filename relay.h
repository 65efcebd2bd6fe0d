#pragma once

#include "gossip.h"
#include "reader.h"

/**
 * DOC: relay of the store's items between nodes
 *
 * One node of each failure domain reads the store for the others there, so that
 * the number of calls to the store grows with domains and not with nodes. A
 * node without updates for some time reads the store itself. If the store does
 * not answer it, it requests the items from a node with a newer revision.
 */

/**
 * struct relay - state of the relay
 * @relayed_revision: items up to this revision were sent to the domain
 * @requested_at: time of the last request for items
 * @started_at: start of the process
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

/**
 * relay_init() - initialize the relay.
 * @first_start: all VMs are new, and no caller waits yet
 */
void relay_init(struct relay *relay, struct gossip *gossip,
		struct reader *reader, struct flow_effects *fx,
		bool first_start, int64_t now);
/** relay_tick() - decide whether this node reads; request items if stale. */
void relay_tick(struct relay *relay, int64_t now);
/** relay_on_read() - relay what this node has read, as the root of the tree. */
void relay_on_read(struct relay *relay, int64_t now);
/** relay_on_items() - merge and relay items that another node sent. */
void relay_on_items(struct relay *relay, struct str from, const struct msg *msg,
		    int64_t now);
/** relay_on_request() - send another node the items that it lacks. */
void relay_on_request(struct relay *relay, struct str from,
		      const struct msg *msg, int64_t now);
/** relay_wake_at() - latest time at which relay_tick() is due. */
int64_t relay_wake_at(const struct relay *relay, int64_t now);
