#include "directory.h"

#include <stdlib.h>

#include "parcel.h"
#include "xmalloc.h"

enum {
	/*
	 * Connections of this node to a target, even where more nodes than that
	 * would share them: not all nodes use all targets at a time.
	 */
	NEAR_CONNS_LEAST = 2,
	FAR_CONNS_LEAST = 1,
	/*
	 * A deleted key is remembered so that older news of another node does
	 * not bring it back; nodes that are that far behind read all keys anew.
	 */
	KEPT_US = 60000000,
};

/*
 * Of a target's connections, all nodes together. When all VMs lose power their
 * targets hold the old connections until these have been idle for long, and
 * reset new ones beyond their cap. So half of them are used at most, that old
 * and new ones fit together.
 */
static const double CONNS_PART = 0.5;
/* What nodes of other failure domains may have of it; the rest is near ones'.
 */
static const double FAR_CONNS_PART = 0.64;

void directory_init(struct directory *dir, apr_pool_t *pool,
		    const struct dialect *dialect, struct roster *roster,
		    struct note_book *notes)
{
	*dir = (struct directory){ .pool = pool,
				   .dialect = dialect,
				   .roster = roster,
				   .notes = notes,
				   .nodes = 1 };
	dir->keys = hash_make(pool);
}

void directory_destroy(struct directory *dir)
{
	apr_hash_index_t *it;

	for (it = apr_hash_first(NULL, dir->keys); it; it = apr_hash_next(it)) {
		struct held_key *held = hash_value(it);

		str_free(held->key);
		str_free(held->value);
		free(held);
	}
	catalog_unref(dir->catalog);
}

static struct held_key *held_get(struct directory *dir, struct str key)
{
	struct held_key *held =
		apr_hash_get(dir->keys, key.ptr, (apr_ssize_t)key.len);

	if (held)
		return held;
	held = xcalloc(1, sizeof(*held));
	held->key = str_heap_dup(key);
	held->deleted = true;
	apr_hash_set(dir->keys, held->key.ptr, (apr_ssize_t)held->key.len,
		     held);
	return held;
}

static int cold_part(const struct directory *dir, double per_s)
{
	int all = (int)(per_s * dir->cold_factor) + dir->cold_extra;
	int mine = all / dir->nodes;

	return mine > 0 ? mine : 1;
}

struct conn_bound directory_conns(int max_conns, int near, int far)
{
	int all = (int)(max_conns * CONNS_PART);
	struct conn_bound bound = { .near = NEAR_CONNS_LEAST,
				    .far = FAR_CONNS_LEAST };
	int each;

	if (near <= 0)
		return bound;
	if (far > 0) {
		each = (int)(all * FAR_CONNS_PART) / far;
		bound.far = each > bound.far ? each : bound.far;
		all -= bound.far * far;
	}
	each = all / near;
	bound.near = each > bound.near ? each : bound.near;
	return bound;
}

void directory_bounds(struct directory *dir, int nodes, int near)
{
	dir->nodes = nodes > 0 ? nodes : 1;
	dir->near = near;
	for (size_t i = 0; dir->catalog && i < dir->catalog->nservices; i++) {
		const struct service *service = &dir->catalog->services[i];

		roster_cold_bound(dir->roster, service->key,
				  service->cold_per_s > 0
					  ? cold_part(dir, service->cold_per_s)
					  : 0);
		roster_conn_bound(dir->roster, service->key,
				  directory_conns(service->max_conns, dir->near,
						  dir->nodes - dir->near));
	}
}

void directory_pack(const struct directory *dir, uint64_t since,
		    struct buf *out)
{
	struct store_item *items =
		xcalloc(apr_hash_count(dir->keys) + 1, sizeof(*items));
	apr_hash_index_t *it;
	size_t count = 0;

	for (it = apr_hash_first(NULL, dir->keys); it; it = apr_hash_next(it)) {
		const struct held_key *held = hash_value(it);

		if (held->revision <= since)
			continue;
		items[count].key = held->key;
		items[count].revision = held->revision;
		items[count].deleted = held->deleted;
		if (!held->deleted)
			items[count].value = held->value;
		count++;
	}
	parcel_items(items, count, out);
	free(items);
}

static void take_catalog(struct directory *dir, struct catalog *catalog,
			 uint64_t revision, int64_t now)
{
	if (dir->catalog && dir->catalog->version >= catalog->version) {
		note_belief(dir->notes, now, "configuration passed over",
			    STR("all routes"),
			    "its version is not above the one in force",
			    catalog->version);
		catalog_unref(catalog);
		return;
	}
	catalog_unref(dir->catalog);
	dir->catalog = catalog;
	dir->catalog_at = revision;
	dir->notes->version = catalog->version;
	directory_bounds(dir, dir->nodes, dir->near);
	note_belief(dir->notes, now, "configuration", STR("all routes"),
		    "a newer version was published", catalog->version);
}

/*
 * The node goes on with the version before, which callers notice only by what
 * they are served: an operator must see it.
 */
static void refuse_catalog(struct directory *dir, const struct held_key *held,
			   const char *why, int64_t now)
{
	metric_add(&dir->notes->metrics, METRIC_CONFIGURATIONS_REFUSED);
	note_fault(dir->notes, now, "configuration refused", held->key, why,
		   held->revision);
}

static void take_fact(struct directory *dir, const struct held_key *held,
		      int64_t now)
{
	struct error err = { 0 };
	struct fact fact;
	apr_pool_t *pool;
	int code;

	apr_pool_create(&pool, dir->pool);
	code = dir->dialect->decode(held->key, held->value, &fact, pool, &err);
	if (fact.kind == FACT_CATALOG) {
		dir->seen_at = held->revision;
		dir->seen_bytes = held->value.len;
	}
	if (code && fact.kind == FACT_CATALOG) {
		refuse_catalog(dir, held, err.text, now);
	} else if (code) {
		note_belief(dir->notes, now, "unusable", held->key, err.text,
			    held->revision);
		/* An entry that cannot be read names no target to use. */
		if (fact.kind == FACT_TARGET && fact.target.id.len)
			roster_drop(dir->roster, fact.target.id, now);
	} else if (fact.kind == FACT_CATALOG) {
		take_catalog(dir, fact.catalog, held->revision, now);
	} else if (fact.kind == FACT_TARGET) {
		roster_put(dir->roster, &fact.target, now);
	} else if (fact.kind == FACT_DOMAIN_OUT) {
		roster_domain(dir->roster, fact.domain, true);
		note_belief(dir->notes, now, "failure domain out", fact.domain,
			    "operators took it out", held->revision);
	}
	apr_pool_destroy(pool);
}

static void take_end(struct directory *dir, const struct held_key *held,
		     int64_t now)
{
	struct error err = { 0 };
	struct fact fact;
	apr_pool_t *pool;

	apr_pool_create(&pool, dir->pool);
	/* Only the key matters; the value was the last one. */
	dir->dialect->decode(held->key, held->value, &fact, pool, &err);
	if (fact.kind == FACT_TARGET && fact.target.id.len) {
		roster_drop(dir->roster, fact.target.id, now);
		note_belief(dir->notes, now, "target gone", fact.target.id,
			    "its entry is gone", held->revision);
	} else if (fact.kind == FACT_DOMAIN_OUT) {
		roster_domain(dir->roster, fact.domain, false);
		note_belief(dir->notes, now, "failure domain in", fact.domain,
			    "operators took it back", held->revision);
	}
	catalog_unref(fact.catalog);
	apr_pool_destroy(pool);
}

static void apply_one(struct directory *dir, const struct store_item *item,
		      int64_t now)
{
	struct held_key *held;

	if (dir->dialect->kind(item->key) == FACT_NONE)
		return;
	held = held_get(dir, item->key);
	held->round = dir->round;
	if (item->revision <= held->revision)
		return;
	held->revision = item->revision;
	if (item->deleted) {
		if (!held->deleted)
			take_end(dir, held, now);
		held->deleted = true;
		held->deleted_at = now;
		return;
	}
	held->deleted = false;
	str_free(held->value);
	held->value = str_heap_dup(item->value);
	take_fact(dir, held, now);
}

void directory_apply(struct directory *dir, const struct store_item *items,
		     size_t count, int64_t now)
{
	for (size_t i = 0; i < count; i++)
		apply_one(dir, &items[i], now);
}

/*
 * A node that has just read the store knows no keys that went before. A peer
 * that was cut off from the store sends them as they were; taken, their targets
 * would be asked until the whole store is read once more.
 */
static bool is_gone(const struct directory *dir, const struct store_item *item)
{
	return item->revision <= dir->revision &&
	       !apr_hash_get(dir->keys, item->key.ptr,
			     (apr_ssize_t)item->key.len);
}

void directory_merge(struct directory *dir, const struct store_item *items,
		     size_t count, int64_t now)
{
	for (size_t i = 0; i < count; i++)
		if (!is_gone(dir, &items[i]))
			apply_one(dir, &items[i], now);
}

static struct held_key *find_gone(struct directory *dir, int64_t now)
{
	apr_hash_index_t *it;

	for (it = apr_hash_first(NULL, dir->keys); it; it = apr_hash_next(it)) {
		struct held_key *held = hash_value(it);

		if (held->deleted && held->deleted_at &&
		    now - held->deleted_at > KEPT_US)
			return held;
	}
	return NULL;
}

void directory_sweep(struct directory *dir, int64_t now)
{
	struct held_key *gone;

	while ((gone = find_gone(dir, now))) {
		apr_hash_set(dir->keys, gone->key.ptr,
			     (apr_ssize_t)gone->key.len, NULL);
		str_free(gone->key);
		str_free(gone->value);
		free(gone);
	}
}

void directory_round(struct directory *dir)
{
	dir->round++;
}

void directory_whole(struct directory *dir, uint64_t revision, int64_t now)
{
	apr_hash_index_t *it;

	for (it = apr_hash_first(NULL, dir->keys); it; it = apr_hash_next(it)) {
		struct held_key *held = hash_value(it);

		if (held->deleted || held->round == dir->round ||
		    held->revision > revision)
			continue;
		take_end(dir, held, now);
		held->deleted = true;
		held->deleted_at = now;
		held->revision = revision;
	}
	if (revision > dir->revision)
		dir->revision = revision;
}
