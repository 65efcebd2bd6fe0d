#pragma once

#include "node.h"

/**
 * DOC: membership
 *
 * Each node sends heartbeats to all others it knows of (listed by the
 * platform, named in its settings, or heard from). A VM may be a gate while
 * its heartbeats are fresh, it says that it is live, and neither the platform
 * nor the operators take it out: the list lags, heartbeats tell sooner, and
 * the stricter of the two wins.
 */

enum vm_state {
	VM_STARTING,
	VM_LIVE,
	VM_LEAVING,
};

/** Heartbeat period, and silence after which a VM is taken for dead. */
#define HEARTBEAT_PERIOD_US 250000
#define HEARTBEAT_TIMEOUT_US 1000000
/** A gap between events that means the process was paused. */
#define PAUSE_THRESHOLD_US 1000000
/** Age of the platform's view from which isolation is considered. */
#define PLATFORM_STALE_US 3000000

/**
 * struct vm - another VM, or this one
 * @listed: the platform's list has it; @listed_leaving as leaving
 * @incarnation: of its last heartbeat, 0 before the first
 * @heartbeat_at: time of its last heartbeat, INT64_MIN when it counts as lost
 * @departed: it said that it is leaving before it fell silent
 */
struct vm {
	uint64_t key;
	struct str addr;
	struct str domain;
	bool listed;
	bool listed_leaving;
	bool domain_out;
	uint64_t incarnation;
	int64_t heartbeat_at;
	int64_t last_seen_at;
	enum vm_state state;
	bool departed;
};

struct member {
	apr_pool_t *pool;
	apr_hash_t *by_key;
	struct vm **vms; /* [0] is this node */
	size_t count;
	size_t cap;
	uint64_t epoch; /* raised whenever the usable set changes */
	int64_t platform_read_at; /* newest platform reading known to anyone
				     heard */
	bool view_confirmed; /* false after a pause until confirmed */
	int64_t paused_at; /* when the last pause was noticed */
	bool view_answered; /* somebody answered since; documents may lack */
	uint64_t nonce; /* probe that confirms the view */
	bool isolated; /* judged at each heartbeat */
};

void member_init(struct node *node);
void member_destroy(struct node *node);
void member_heartbeat(struct node *node);
void member_on_heartbeat(struct node *node, struct str from,
			 uint64_t incarnation, const struct msg *msg);
/** member_on_probe() - answer a PROBE with a heartbeat at once. */
void member_on_probe(struct node *node, struct str from, uint64_t incarnation,
		     const struct msg *msg);
void member_lost(struct node *node, struct str addr);
void member_fleet_changed(struct node *node);
void member_set_state(struct node *node, enum vm_state state);
enum vm_state member_state(const struct node *node);
/** member_paused() - the process slept; distrust the view until confirmed. */
void member_paused(struct node *node, int64_t gap);
/** member_platform_read() - the platform answered with what is in force. */
void member_platform_read(struct node *node);
/** member_view_timeout() - nobody confirmed the view in time. */
void member_view_timeout(struct node *node, uint64_t nonce);
/** member_docs_updated() - documents changed: the view may be whole again. */
void member_docs_updated(struct node *node);
bool member_view_confirmed(const struct node *node);
/** member_isolated() - cut off: a change may have passed this node by. */
bool member_isolated(const struct node *node);
struct vm *member_find(const struct node *node, uint64_t key);
/** member_reachable() - its heartbeats are fresh, whatever its state. */
bool member_reachable(const struct node *node, const struct vm *vm);
bool member_usable(const struct node *node, const struct vm *vm);
/** member_owner() - VM with the highest rendezvous weight for @key, among
 *  those of @domain when any is usable; NULL when none is. */
struct vm *member_owner(const struct node *node, uint64_t key,
			struct str domain);
/** member_rank() - how many usable VMs go before this one for @key. */
size_t member_rank(const struct node *node, uint64_t key);
size_t member_count(const struct node *node);
/** member_probe() - ask the node at @addr for a heartbeat at once. */
void member_probe(struct node *node, struct str addr);
