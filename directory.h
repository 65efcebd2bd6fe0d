#pragma once

#include "flow.h"
#include "decision_log.h"
#include "roster.h"

/**
 * DOC: what is published, as this node knows it
 *
 * A copy of the store's keys that matter here, each with the revision of its
 * last change, so it does not matter whether a change comes from the store or
 * from another node, nor in which order. Nothing goes back to an older
 * revision.
 */

/**
 * struct directory - the copy, and what it says
 * @catalog: newest configuration, NULL before the first
 * @catalog_revision: revision of the store at which @catalog was published
 * @seen_revision, @seen_bytes: revision and size of the newest configuration
 * that was read, whether it could be taken or not
 * @revision: of the store when it was last read whole or in order
 * @read_at: when the store, or a node that had just read it, was last heard
 * @synced: other nodes have sent all keys up to @revision
 * @dialect: how keys and values are spelled
 * @nodes, @near: nodes that share bounds, and those in this failure domain; 0
 *                while others may not have been heard of yet
 */
struct directory {
	apr_pool_t *pool;
	const struct dialect *dialect;
	struct roster *roster;
	struct decision_log *dlog;
	apr_hash_t *keys;
	struct catalog *catalog;
	uint64_t catalog_revision;
	uint64_t seen_revision;
	size_t seen_bytes;
	uint64_t revision;
	int64_t read_at;
	bool synced;
	uint64_t scan;
	double cold_factor;
	int cold_extra;
	int nodes;
	int near;
};

/** struct cached_key - a key as it is known */
struct cached_key {
	struct str key;
	struct str value;
	uint64_t revision;
	bool deleted;
	int64_t deleted_at;
	uint64_t scan; /* read of the whole store that saw it last */
};

void directory_init(struct directory *dir, apr_pool_t *pool,
		    const struct dialect *dialect, struct roster *roster,
		    struct decision_log *dlog);
void directory_destroy(struct directory *dir);
/** directory_apply() - take items that are newer than what is held. */
void directory_apply(struct directory *dir, const struct store_item *items,
		     size_t count, int64_t now);
/**
 * directory_merge() - the same of items that another node holds
 *
 * That one may be behind: what this node would know, and does not, is gone.
 */
void directory_merge(struct directory *dir, const struct store_item *items,
		     size_t count, int64_t now);
/** directory_begin_scan() - a read of the whole store begins. */
void directory_begin_scan(struct directory *dir);
/** directory_end_scan() - it is complete: keys that it did not show are gone.
 */
void directory_end_scan(struct directory *dir, uint64_t revision, int64_t now);
/** directory_set_nodes() - this node's parts of targets' bounds. */
void directory_set_nodes(struct directory *dir, int nodes, int near);
/**
 * directory_conn_limits() - this node's part of a target's connections
 * @max_conns: that the target takes of all nodes together
 * @near, @far: nodes that use it from its failure domain and from elsewhere;
 *              @near of 0: not known yet, the least is used
 */
struct conn_bound directory_conn_limits(int max_conns, int near, int far);
/** directory_sweep() - forget keys that were deleted long ago. */
void directory_sweep(struct directory *dir, int64_t now);
/** directory_encode() - all that changed after revision @since. */
void directory_encode(const struct directory *dir, uint64_t since,
		      struct buf *out);
