#pragma once

#include "balancer.h"
#include "decision_log.h"
#include "flow.h"

/**
 * DOC: local replica of the store's keys
 *
 * Holds the keys that this program uses, each with the revision of its last
 * change. Changes may therefore arrive from the store or from other nodes and
 * in any order. A key never goes back to an older revision.
 *
 * A list of keys that exist says nothing of those that were deleted before it
 * was made, so a replica also knows since when it holds each deletion. A node
 * that is behind by more than that gets all keys, and deletes the others.
 */

/**
 * struct directory - replica of the store's keys and the state derived from it
 * @dialect: format of keys and values
 * @balancer: updated with the published targets
 * @catalog: configuration in force, NULL before the first
 * @catalog_revision: revision of the store at which @catalog was published
 * @seen_revision, @seen_bytes: revision and size of the last configuration
 *                              read, whether or not it was accepted
 * @revision: store revision up to which this replica is complete
 * @history_start: deletions after this revision are all held as tombstones, up
 *                 to @revision
 * @read_at: time as of which this replica is complete: of the newest reading of
 *           the store, by this node or another
 * @call_failed_at: when a call to the store last failed, at this node or
 * another
 * @drain_us, @heartbeat_us: see struct vm_settings
 * @synced: other nodes have sent all keys up to @revision
 * @scan, @scan_began_at: number and start of the current scan of all keys
 * @list: number of the last list of all keys from another node
 * @cold_factor, @cold_extra: see struct vm_settings
 * @nodes: nodes that share the targets' limits
 * @near_nodes: those of them in this failure domain; 0 while the membership
 *              may still be incomplete
 */
struct directory {
	apr_pool_t *pool;
	const struct dialect *dialect;
	struct balancer *balancer;
	struct decision_log *decision_log;
	apr_hash_t *keys;
	struct catalog *catalog;
	uint64_t catalog_revision;
	uint64_t seen_revision;
	size_t seen_bytes;
	uint64_t revision;
	uint64_t history_start;
	int64_t read_at;
	int64_t call_failed_at;
	int64_t drain_us;
	int64_t heartbeat_us;
	bool synced;
	uint64_t scan;
	int64_t scan_began_at;
	uint64_t list;
	double cold_factor;
	int cold_extra;
	int nodes;
	int near_nodes;
};

/** struct cached_key - replica of one key; deleted keys stay as tombstones */
struct cached_key {
	struct str key;
	struct str value;
	uint64_t revision;
	bool deleted;
	int64_t deleted_at;
	uint64_t scan; /* last scan of all keys that returned it */
	uint64_t list; /* last list of all keys that contained it */
};

/**
 * struct key_list - keys that a node passes on
 * @since: the list holds all changes after this revision, deletions included;
 *         0: it holds all keys, and those that are not in it do not exist
 * @revision: revision up to which it is complete
 * @history_start: that of the replica it was made from
 * @read_at: time as of which it is complete
 */
struct key_list {
	uint64_t since;
	uint64_t revision;
	uint64_t history_start;
	int64_t read_at;
	struct store_item *items;
	size_t count;
};

void directory_init(struct directory *dir, apr_pool_t *pool,
		    const struct dialect *dialect, struct balancer *balancer,
		    struct decision_log *decision_log);
void directory_destroy(struct directory *dir);
/** directory_apply() - apply the store's changes since @revision. */
void directory_apply(struct directory *dir, const struct store_reply *reply,
		     int64_t now);
/**
 * directory_merge() - apply a list from another node's replica.
 *
 * The other node may lag behind.
 *
 * Return: whether this replica is then complete up to the list's revision;
 * otherwise changes before the list are missing, or the list is older.
 */
bool directory_merge(struct directory *dir, const struct key_list *list,
		     int64_t now);
/** directory_on_failed_call() - a call to the store failed at @when. */
void directory_on_failed_call(struct directory *dir, int64_t when);
/** directory_begin_scan() - start a scan of all keys of the store. */
void directory_begin_scan(struct directory *dir, int64_t now);
/** directory_apply_page() - apply a part of the current scan. */
void directory_apply_page(struct directory *dir, const struct store_reply *page,
			  int64_t now);
/** directory_end_scan() - delete the keys that the scan did not return. */
void directory_end_scan(struct directory *dir, uint64_t revision, int64_t now);
/** directory_set_nodes() - recompute this node's shares of targets' limits. */
void directory_set_nodes(struct directory *dir, int nodes, int near_nodes);
/**
 * directory_conn_limits() - this node's share of a target's connections.
 * @max_conns: connection limit of the target, over all nodes
 * @near_nodes: nodes in the target's failure domain that use it; 0 if not
 *              known yet, which gives the minimum
 * @far_nodes: nodes in other failure domains that use it
 */
struct conn_limit directory_conn_limits(int max_conns, int near_nodes,
					int far_nodes);
/** directory_sweep() - remove expired tombstones. */
void directory_sweep(struct directory *dir, int64_t now);
/**
 * directory_encode() - append the changes after revision @since, or all keys if
 * the deletions since then are not all held.
 *
 * Return: @since, or 0 for all keys.
 */
uint64_t directory_encode(const struct directory *dir, uint64_t since,
			  struct buf *out);
