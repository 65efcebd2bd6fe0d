#include "directory.h"

#include <stdlib.h>

#include "payload.h"
#include "xmalloc.h"

enum {
	/*
	 * Minimum connections from this node to a target, even if the sum over
	 * all nodes exceeds the limit: not all nodes use all targets at once.
	 */
	NEAR_CONNS_MIN = 2,
	FAR_CONNS_MIN = 1,
	/*
	 * Tombstones keep a lagging node's older items from restoring a deleted
	 * key. Nodes that lag by more than this are sent all keys.
	 */
	TOMBSTONE_TTL_US = 60000000,
	/* Entries of live targets are back this long after the store's return.
	 */
	ENTRY_LAPSE_US = 2000000,
	/*
	 * Entries are removed after three heartbeats of silence. A target
	 * writes up to a heartbeat before the store fails, so in less than two
	 * none lapses.
	 */
	LAPSE_HEARTBEATS = 2,
	/* For a request to reach a target that has left. */
	DRAIN_MARGIN_US = 500000,
};

/*
 * Fraction of a target's connection limit that all nodes use together. When
 * all VMs lose power, targets keep the old connections until an idle timeout
 * and reset new ones above the limit. Using at most half of it leaves room for
 * old and new connections at the same time.
 */
static const double CONNS_FRACTION = 0.5;
/* Fraction of that for nodes in other failure domains than the target's. */
static const double FAR_CONNS_FRACTION = 0.64;

void directory_init(struct directory *dir, apr_pool_t *pool,
		    const struct dialect *dialect, struct balancer *balancer,
		    struct decision_log *decision_log)
{
	*dir = (struct directory){ .pool = pool,
				   .dialect = dialect,
				   .balancer = balancer,
				   .decision_log = decision_log,
				   .call_failed_at = INT64_MIN / 2,
				   .nodes = 1 };
	dir->keys = hash_make(pool);
}

void directory_destroy(struct directory *dir)
{
	apr_hash_index_t *it;

	for (it = apr_hash_first(NULL, dir->keys); it; it = apr_hash_next(it)) {
		struct cached_key *cached = hash_value(it);

		str_free(cached->key);
		str_free(cached->value);
		free(cached);
	}
	catalog_unref(dir->catalog);
}

static struct cached_key *cached_key_find(const struct directory *dir,
					  struct str key)
{
	return apr_hash_get(dir->keys, key.ptr, (apr_ssize_t)key.len);
}

static struct cached_key *cached_key_get(struct directory *dir, struct str key)
{
	struct cached_key *cached = cached_key_find(dir, key);

	if (cached)
		return cached;
	cached = xcalloc(1, sizeof(*cached));
	cached->key = str_heap_dup(key);
	cached->deleted = true;
	apr_hash_set(dir->keys, cached->key.ptr, (apr_ssize_t)cached->key.len,
		     cached);
	return cached;
}

static int cold_limit(const struct directory *dir, double per_s)
{
	return (int)(per_s * dir->cold_factor) + dir->cold_extra;
}

struct conn_limit directory_conn_limits(int max_conns, int near_nodes,
					int far_nodes)
{
	int total = (int)(max_conns * CONNS_FRACTION);
	struct conn_limit limit = { .near = NEAR_CONNS_MIN,
				    .far = FAR_CONNS_MIN };
	int per_node;

	if (near_nodes <= 0)
		return limit;
	if (far_nodes > 0) {
		per_node = (int)(total * FAR_CONNS_FRACTION) / far_nodes;
		limit.far = per_node > limit.far ? per_node : limit.far;
		total -= limit.far * far_nodes;
	}
	per_node = total / near_nodes;
	limit.near = per_node > limit.near ? per_node : limit.near;
	return limit;
}

void directory_set_nodes(struct directory *dir, int nodes, int near_nodes)
{
	dir->nodes = nodes > 0 ? nodes : 1;
	dir->near_nodes = near_nodes;
	for (size_t i = 0; dir->catalog && i < dir->catalog->nservices; i++) {
		const struct service *service = &dir->catalog->services[i];

		balancer_set_cold_limit(
			dir->balancer, service->key,
			service->cold_per_s > 0
				? cold_limit(dir, service->cold_per_s)
				: 0);
		balancer_set_conn_limit(
			dir->balancer, service->key,
			directory_conn_limits(service->max_conns,
					      dir->near_nodes,
					      dir->nodes - dir->near_nodes));
	}
}

uint64_t directory_encode(const struct directory *dir, uint64_t since,
			  struct buf *out)
{
	struct store_item *items =
		xcalloc(apr_hash_count(dir->keys) + 1, sizeof(*items));
	apr_hash_index_t *it;
	size_t count = 0;

	if (since < dir->history_start)
		since = 0;
	for (it = apr_hash_first(NULL, dir->keys); it; it = apr_hash_next(it)) {
		const struct cached_key *cached = hash_value(it);

		if (cached->revision <= since)
			continue;
		items[count].key = cached->key;
		items[count].revision = cached->revision;
		items[count].deleted = cached->deleted;
		if (!cached->deleted)
			items[count].value = cached->value;
		count++;
	}
	payload_encode_items(items, count, out);
	free(items);
	return since;
}

static void apply_catalog(struct directory *dir, struct catalog *catalog,
			  uint64_t revision, int64_t now)
{
	if (dir->catalog && dir->catalog->version >= catalog->version) {
		decision_log_state(dir->decision_log, now,
				   "configuration passed over",
				   STR("all routes"),
				   "its version is not above the one in force",
				   catalog->version);
		catalog_unref(catalog);
		return;
	}
	catalog_unref(dir->catalog);
	dir->catalog = catalog;
	dir->catalog_revision = revision;
	dir->decision_log->version = catalog->version;
	directory_set_nodes(dir, dir->nodes, dir->near_nodes);
	decision_log_state(dir->decision_log, now, "configuration",
			   STR("all routes"), "a newer version was published",
			   catalog->version);
}

/*
 * The node keeps the previous version. Callers see no error, so this is logged
 * as one for operators.
 */
static void reject_catalog(struct directory *dir,
			   const struct cached_key *cached, const char *why,
			   int64_t now)
{
	metric_add(&dir->decision_log->metrics, METRIC_CONFIGURATIONS_REFUSED);
	decision_log_error(dir->decision_log, now, "configuration refused",
			   cached->key, why, cached->revision);
}

static void apply_record(struct directory *dir, const struct cached_key *cached,
			 int64_t now)
{
	struct error err = { 0 };
	struct store_record record;
	apr_pool_t *pool;
	int code;

	apr_pool_create(&pool, dir->pool);
	code = dir->dialect->decode(cached->key, cached->value, &record, pool,
				    &err);
	if (record.kind == STORE_RECORD_CATALOG) {
		dir->seen_revision = cached->revision;
		dir->seen_bytes = cached->value.len;
	}
	if (code && record.kind == STORE_RECORD_CATALOG) {
		reject_catalog(dir, cached, err.text, now);
	} else if (code) {
		decision_log_state(dir->decision_log, now, "unusable",
				   cached->key, err.text, cached->revision);
		/* A target with an invalid entry must not be used. */
		if (record.kind == STORE_RECORD_TARGET && record.target.id.len)
			balancer_unpublish(dir->balancer, record.target.id, 0,
					   now);
	} else if (record.kind == STORE_RECORD_CATALOG) {
		apply_catalog(dir, record.catalog, cached->revision, now);
	} else if (record.kind == STORE_RECORD_TARGET) {
		balancer_publish(dir->balancer, &record.target, now);
	} else if (record.kind == STORE_RECORD_DOMAIN_OUT) {
		balancer_set_domain(dir->balancer, record.domain, true);
		decision_log_state(dir->decision_log, now, "failure domain out",
				   record.domain, "operators took it out",
				   cached->revision);
	}
	apr_pool_destroy(pool);
}

void directory_on_failed_call(struct directory *dir, int64_t when)
{
	if (when > dir->call_failed_at)
		dir->call_failed_at = when;
}

static void update_read_at(struct directory *dir, int64_t read_at)
{
	if (read_at <= dir->read_at)
		return;
	dir->read_at = read_at;
	dir->decision_log->read_at = read_at;
}

/*
 * Entries of live targets lapse while the store is away, and such a target must
 * stay in use until its entry is back. An entry that was removed for good looks
 * the same. The store was away only if nobody had read it for longer than
 * entries live without a heartbeat: a failed call, here or at another node,
 * does not tell. After shorter failures a target is used for as long as any
 * target that leaves may be, reckoned from the last reading that had its entry:
 * the removal is no older than that, however late this node learns of it.
 *
 * @read_at: time of the reading in which the entry is missing
 */
static int64_t lapse_end(const struct directory *dir, int64_t read_at)
{
	if (read_at - dir->call_failed_at > ENTRY_LAPSE_US)
		return 0;
	if (read_at - dir->read_at >= LAPSE_HEARTBEATS * dir->heartbeat_us)
		return read_at + ENTRY_LAPSE_US;
	return dir->read_at + dir->drain_us - DRAIN_MARGIN_US;
}

static void unpublish(struct directory *dir, struct str id, uint64_t revision,
		      int64_t read_at, int64_t now)
{
	int64_t used_until = lapse_end(dir, read_at);

	balancer_unpublish(dir->balancer, id, used_until, now);
	decision_log_state(dir->decision_log, now, "target gone", id,
			   used_until > now
				   ? "its entry is gone and may have lapsed"
				   : "its entry is gone",
			   revision);
}

/* @read_at: time of the reading in which the key is missing */
static void apply_deletion(struct directory *dir,
			   const struct cached_key *cached, int64_t read_at,
			   int64_t now)
{
	struct error err = { 0 };
	struct store_record record;
	apr_pool_t *pool;

	apr_pool_create(&pool, dir->pool);
	/* Only the key matters; the value is the last one before deletion. */
	dir->dialect->decode(cached->key, cached->value, &record, pool, &err);
	if (record.kind == STORE_RECORD_TARGET && record.target.id.len) {
		unpublish(dir, record.target.id, cached->revision, read_at,
			  now);
	} else if (record.kind == STORE_RECORD_DOMAIN_OUT) {
		balancer_set_domain(dir->balancer, record.domain, false);
		decision_log_state(dir->decision_log, now, "failure domain in",
				   record.domain, "operators took it back",
				   cached->revision);
	}
	catalog_unref(record.catalog);
	apr_pool_destroy(pool);
}

static void delete_key(struct directory *dir, struct cached_key *cached,
		       uint64_t revision, int64_t read_at, int64_t now)
{
	cached->revision = revision;
	if (!cached->deleted)
		apply_deletion(dir, cached, read_at, now);
	cached->deleted = true;
	cached->deleted_at = now;
}

/*
 * A source that is older than this replica, such as a node that was cut off or
 * a reply that was under way, still holds keys that were deleted meanwhile. A
 * replica that got all keys may have no tombstones of these; if they were
 * applied, requests would go to their targets for good. Nothing is lost: what
 * such a source knows up to this replica's revision is known here.
 */
static bool is_outdated(const struct directory *dir,
			const struct store_item *item, uint64_t as_of)
{
	return as_of < dir->revision && item->revision <= dir->revision;
}

/** struct source - state of the store that keys were taken from */
struct source {
	uint64_t revision;
	int64_t read_at;
};

/* Return: the key as it is now, or NULL if it is not held. */
static struct cached_key *apply_item(struct directory *dir,
				     const struct store_item *item,
				     const struct source *source, int64_t now)
{
	struct cached_key *cached;

	if (dir->dialect->kind(item->key) == STORE_RECORD_NONE)
		return NULL;
	if (is_outdated(dir, item, source->revision))
		return cached_key_find(dir, item->key);
	cached = cached_key_get(dir, item->key);
	if (item->revision <= cached->revision)
		return cached;
	if (item->deleted) {
		delete_key(dir, cached, item->revision, source->read_at, now);
		return cached;
	}
	cached->revision = item->revision;
	cached->deleted = false;
	str_free(cached->value);
	cached->value = str_heap_dup(item->value);
	apply_record(dir, cached, now);
	return cached;
}

void directory_apply(struct directory *dir, const struct store_reply *reply,
		     int64_t now)
{
	struct source source = { reply->revision, now };

	for (size_t i = 0; i < reply->count; i++)
		apply_item(dir, &reply->items[i], &source, now);
	if (reply->revision > dir->revision)
		dir->revision = reply->revision;
	update_read_at(dir, now);
}

/* Deletes the keys that were missing among all keys of @source. */
static void delete_missing(struct directory *dir,
			   bool (*is_present)(const struct directory *dir,
					      const struct cached_key *cached),
			   const struct source *source, int64_t now)
{
	apr_hash_index_t *it;

	for (it = apr_hash_first(NULL, dir->keys); it; it = apr_hash_next(it)) {
		struct cached_key *cached = hash_value(it);

		if (!cached->deleted && cached->revision <= source->revision &&
		    !is_present(dir, cached))
			delete_key(dir, cached, source->revision,
				   source->read_at, now);
	}
}

static bool in_list(const struct directory *dir,
		    const struct cached_key *cached)
{
	return cached->list == dir->list;
}

static void merge_items(struct directory *dir, const struct key_list *list,
			const struct source *source, int64_t now)
{
	dir->list++;
	for (size_t i = 0; i < list->count; i++) {
		struct cached_key *cached =
			apply_item(dir, &list->items[i], source, now);

		/* An old tombstone does not speak for the key's newer value. */
		if (cached && !list->items[i].deleted)
			cached->list = dir->list;
	}
}

/*
 * A node that scanned the store after a key was deleted has no tombstone of it.
 * It once passed on such a table as changes, and the nodes that took it went on
 * to use the deleted target for good, as no later change would name it. So a
 * table that does not reach back to this replica's revision comes whole, and
 * what is not in it is deleted here too.
 */
bool directory_merge(struct directory *dir, const struct key_list *list,
		     int64_t now)
{
	struct source source = { list->revision, list->read_at };

	merge_items(dir, list, &source, now);
	if (list->since > dir->revision || list->revision < dir->revision)
		return false;
	if (!list->since)
		delete_missing(dir, in_list, &source, now);
	if (dir->revision < list->history_start)
		dir->history_start = list->history_start;
	dir->revision = list->revision;
	update_read_at(dir, list->read_at);
	return true;
}

static struct cached_key *find_expired_tombstone(struct directory *dir,
						 int64_t now)
{
	apr_hash_index_t *it;

	for (it = apr_hash_first(NULL, dir->keys); it; it = apr_hash_next(it)) {
		struct cached_key *cached = hash_value(it);

		if (cached->deleted && cached->deleted_at &&
		    now - cached->deleted_at > TOMBSTONE_TTL_US)
			return cached;
	}
	return NULL;
}

void directory_sweep(struct directory *dir, int64_t now)
{
	struct cached_key *expired;

	while ((expired = find_expired_tombstone(dir, now))) {
		apr_hash_set(dir->keys, expired->key.ptr,
			     (apr_ssize_t)expired->key.len, NULL);
		if (dir->history_start < expired->revision)
			dir->history_start = expired->revision;
		str_free(expired->key);
		str_free(expired->value);
		free(expired);
	}
}

void directory_begin_scan(struct directory *dir, int64_t now)
{
	dir->scan++;
	dir->scan_began_at = now;
}

static bool in_scan(const struct directory *dir,
		    const struct cached_key *cached)
{
	return cached->scan == dir->scan;
}

/* Keys that other nodes send meanwhile are not marked: they may be deleted. */
void directory_apply_page(struct directory *dir, const struct store_reply *page,
			  int64_t now)
{
	struct source source = { page->revision, now };

	for (size_t i = 0; i < page->count; i++) {
		struct cached_key *cached =
			apply_item(dir, &page->items[i], &source, now);

		if (cached)
			cached->scan = dir->scan;
	}
}

void directory_end_scan(struct directory *dir, uint64_t revision, int64_t now)
{
	struct source source = { revision, dir->scan_began_at };

	delete_missing(dir, in_scan, &source, now);
	update_read_at(dir, dir->scan_began_at);
	if (revision <= dir->revision)
		return;
	dir->history_start = revision;
	dir->revision = revision;
}
