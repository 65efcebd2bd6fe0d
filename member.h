#pragma once

#include "node.h"

/**
 * DOC: membership
 *
 * Each node sends heartbeats to all other nodes that are listed by the
 * platform, named in its settings, or have sent it a heartbeat. A VM may be a
 * gate (gate.h) while its heartbeats are fresh, they report it as live, and
 * neither the platform nor the operators have taken it out. The platform's list
 * lags behind the heartbeats, so the stricter of the two applies.
 */

enum vm_state {
	VM_STARTING,
	VM_LIVE,
	VM_LEAVING,
};

/** Heartbeat period, and time without one after which a VM counts as lost. */
#define HEARTBEAT_PERIOD_US 250000
#define HEARTBEAT_TIMEOUT_US 1000000
/**
 * A longer gap between events means that the process was paused. The others may
 * count it as lost after this time, as its last heartbeat may have been sent
 * one period before and may have been late.
 */
#define PAUSE_THRESHOLD_US (HEARTBEAT_TIMEOUT_US - 2 * HEARTBEAT_PERIOD_US)
/** Age of the last platform reading above which a node may be isolated. */
#define PLATFORM_STALE_US 3000000

/**
 * struct vm - a member VM, including this one
 * @key: hash of @addr
 * @listed: in the platform's list
 * @listed_leaving: in the platform's list as leaving
 * @domain_out: its failure domain has been taken out
 * @incarnation: of its last heartbeat, 0 before the first
 * @heartbeat_at: time of its last heartbeat, INT64_MIN when it counts as lost
 * @last_seen_at: time of its last heartbeat, or when it was added
 * @departed: its last heartbeat reported it as leaving
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

/** struct membership - the VMs, and whether the view of them is current */
struct membership {
	apr_pool_t *pool;
	apr_hash_t *by_key;
	struct vm **vms; /* [0] is this node */
	size_t count;
	size_t cap;
	uint64_t epoch; /* number of the view; incremented on each change */
	int64_t platform_read_at; /* newest reading reported by any node */
	bool view_confirmed; /* false after a pause until confirmed */
	int64_t paused_at; /* when the last pause was detected */
	bool view_reply_received; /* documents may still be missing */
	uint64_t nonce; /* of the probe that confirms the view */
	bool isolated; /* updated at each heartbeat */
};

void member_init(struct node *node);
void member_destroy(struct node *node);
void member_on_heartbeat_timer(struct node *node);
void member_on_heartbeat(struct node *node, struct str from,
			 uint64_t incarnation, const struct msg *msg);
/** member_on_probe() - reply to a PROBE with a heartbeat. */
void member_on_probe(struct node *node, struct str from, uint64_t incarnation,
		     const struct msg *msg);
void member_on_peer_lost(struct node *node, struct str addr);
void member_on_fleet_changed(struct node *node);
void member_set_state(struct node *node, enum vm_state state);
enum vm_state member_state(const struct node *node);
/**
 * member_on_pause() - mark the view as unconfirmed after a pause of the process
 * @gap: duration of the pause, microseconds
 */
void member_on_pause(struct node *node, int64_t gap);
/** member_on_platform_read() - record a current reply of the platform. */
void member_on_platform_read(struct node *node);
/** member_on_view_timeout() - confirm the view if no reply has arrived. */
void member_on_view_timeout(struct node *node, uint64_t nonce);
/** member_on_docs_updated() - confirm the view if only they were missing. */
void member_on_docs_updated(struct node *node);
bool member_view_confirmed(const struct node *node);
/** member_isolated() - whether this node may have missed a change. */
bool member_isolated(const struct node *node);
struct vm *member_find(const struct node *node, uint64_t key);
/** member_reachable() - whether the heartbeats of @vm are fresh. */
bool member_reachable(const struct node *node, const struct vm *vm);
/** member_usable() - whether @vm is reachable, live and not taken out. */
bool member_usable(const struct node *node, const struct vm *vm);
/**
 * member_owner() - usable VM with the highest rendezvous weight for @key
 * @domain: failure domain whose VMs are preferred, may be empty
 *
 * Return: the VM, or NULL when none is usable.
 */
struct vm *member_owner(const struct node *node, uint64_t key,
			struct str domain);
/** member_rank() - number of usable VMs that outweigh this one for @key. */
size_t member_rank(const struct node *node, uint64_t key);
/** member_usable_count() - number of usable VMs, but at least 1. */
size_t member_usable_count(const struct node *node);
/** member_probe() - request an immediate heartbeat from the node at @addr. */
void member_probe(struct node *node, struct str addr);
