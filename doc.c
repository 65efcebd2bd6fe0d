#include "doc.h"

#include <stdio.h>

#include <apr_strings.h>

#include "json.h"

enum {
	MAX_SLOTS = 64,
	MAX_CONNECTIONS = 4096,
	MAX_DEADLINE_MS = 600000,
	JSON_PATH_SIZE = 64,
	US_PER_MS = 1000,
};

const char *doc_name(enum doc_kind kind)
{
	return kind == DOC_LISTS ? "lists" : "fleet";
}

bool plan_allows(const struct plan *plan, struct str index, bool entry)
{
	const struct str *list = entry ? plan->entries : plan->indexes;
	size_t count = entry ? plan->nentries : plan->nindexes;

	for (size_t i = 0; i < count; i++)
		if (str_eq(list[i], index))
			return true;
	return false;
}

static const char *const allowance_keys[] = {
	"plan",	   "indexes",	  "entries",	    "rate",	  "burst",
	"soft_ms", "deadline_ms", "coverage_floor", "extra_load", NULL
};

static void parse_allowance(struct json_input *in, const char *path,
			    struct lists *lists, json_t *obj, struct plan *plan)
{
	json_check_keys(in, path, obj, allowance_keys);
	plan->name = str_dup(lists->pool, json_get_string(in, path, obj, "plan",
							  DOC_NAME_MAX));
	plan->indexes = json_get_strings(in, path, obj, "indexes", lists->pool,
					 &plan->nindexes);
	plan->entries = json_get_strings(in, path, obj, "entries", lists->pool,
					 &plan->nentries);
	plan->rate = json_get_real_or(in, path, obj, "rate", 0.01, 1e7, 100);
	plan->burst = json_get_real_or(in, path, obj, "burst", 1, 1e7,
				       plan->rate > 1 ? plan->rate : 1);
	plan->deadline_us =
		json_get_int(in, path, obj, "deadline_ms", 1, MAX_DEADLINE_MS) *
		US_PER_MS;
	plan->soft_us =
		json_get_int_or(in, path, obj, "soft_ms", 1, MAX_DEADLINE_MS,
				plan->deadline_us / US_PER_MS) *
		US_PER_MS;
	plan->coverage_floor =
		json_get_real_or(in, path, obj, "coverage_floor", 0, 1, 1);
	plan->extra_load =
		json_get_real_or(in, path, obj, "extra_load", 0, 1, 0.05);
	if (plan->soft_us > plan->deadline_us)
		json_error_set(in, path, "soft_ms is over deadline_ms");
}

static struct plan *find_plan(apr_hash_t *names, struct str name)
{
	return apr_hash_get(names, name.ptr, (apr_ssize_t)name.len);
}

static void parse_allowances(struct json_input *in, struct lists *lists,
			     json_t *doc, apr_hash_t *names)
{
	json_t *list = json_get_array(in, "allowances", doc, "allowances",
				      JSON_UNBOUNDED);

	lists->nplans = list ? json_array_size(list) : 0;
	lists->plans = apr_pcalloc(lists->pool,
				   (lists->nplans + 1) * sizeof(struct plan));
	for (size_t i = 0; i < lists->nplans && !in->err.code; i++) {
		struct plan *plan = &lists->plans[i];
		char path[JSON_PATH_SIZE];

		snprintf(path, sizeof(path), "allowances[%zu]", i);
		parse_allowance(in, path, lists, json_array_get(list, i), plan);
		if (find_plan(names, plan->name))
			json_error_set(in, path, "plan \"%.*s\" stands twice",
				       STR_ARG(plan->name));
		apr_hash_set(names, plan->name.ptr, (apr_ssize_t)plan->name.len,
			     plan);
	}
}

static void parse_customer(struct json_input *in, const char *path,
			   struct lists *lists, json_t *obj, apr_hash_t *names)
{
	static const char *const keys[] = { "customer", "plan", NULL };

	json_check_keys(in, path, obj, keys);

	struct str customer =
		json_get_string(in, path, obj, "customer", DOC_NAME_MAX);
	struct str name = json_get_string(in, path, obj, "plan", DOC_NAME_MAX);

	if (in->err.code)
		return;

	struct plan *plan = find_plan(names, name);

	if (!plan) {
		json_error_set(in, path, "no allowance for plan \"%.*s\"",
			       STR_ARG(name));
		return;
	}
	customer = str_dup(lists->pool, customer);
	if (apr_hash_get(lists->customers, customer.ptr,
			 (apr_ssize_t)customer.len))
		json_error_set(in, path, "customer \"%.*s\" stands twice",
			       STR_ARG(customer));
	apr_hash_set(lists->customers, customer.ptr, (apr_ssize_t)customer.len,
		     plan);
}

static void parse_customers(struct json_input *in, struct lists *lists,
			    json_t *doc, apr_hash_t *names)
{
	json_t *list =
		json_get_array(in, "plans", doc, "plans", JSON_UNBOUNDED);
	size_t count = list ? json_array_size(list) : 0;

	for (size_t i = 0; i < count && !in->err.code; i++) {
		char path[JSON_PATH_SIZE];

		snprintf(path, sizeof(path), "plans[%zu]", i);
		parse_customer(in, path, lists, json_array_get(list, i), names);
	}
}

struct lists *lists_parse(struct str body, struct error *err)
{
	static const char *const keys[] = { "version", "plans", "allowances",
					    NULL };
	struct json_input in = { .file = "lists", .code = ERR_LIST };
	json_t *doc = body.len > DOC_MAX_BYTES ? NULL : json_parse(&in, body);
	struct lists *lists = NULL;
	apr_hash_t *names;
	apr_pool_t *pool;

	if (body.len > DOC_MAX_BYTES)
		json_error_set(&in, "size", "over %d bytes", DOC_MAX_BYTES);
	if (doc) {
		apr_pool_create(&pool, NULL);
		lists = apr_pcalloc(pool, sizeof(*lists));
		lists->pool = pool;
		lists->customers = hash_make(pool);
		lists->hash = str_hash(body);
		json_check_keys(&in, "top", doc, keys);
		lists->version = (uint64_t)json_get_int(
			&in, "top", doc, "version", 1, INT64_MAX);
		names = hash_make(pool);
		parse_allowances(&in, lists, doc, names);
		parse_customers(&in, lists, doc, names);
		json_decref(doc);
	}
	if (!in.err.code)
		return lists;
	*err = in.err;
	lists_free(lists);
	return NULL;
}

void lists_free(struct lists *lists)
{
	if (lists)
		apr_pool_destroy(lists->pool);
}

const struct plan *lists_plan(const struct lists *lists, struct str customer)
{
	if (!lists)
		return NULL;
	return apr_hash_get(lists->customers, customer.ptr,
			    (apr_ssize_t)customer.len);
}

struct domain *fleet_domain(const struct fleet *fleet, struct str name)
{
	return apr_hash_get(fleet->by_name, name.ptr, (apr_ssize_t)name.len);
}

/* Returns whether "state" is @other; it must be @ordinary or @other. */
static bool parse_state(struct json_input *in, const char *path, json_t *obj,
			const char *ordinary, const char *other)
{
	struct str state =
		json_get_string(in, path, obj, "state", DOC_NAME_MAX);

	if (str_eq(state, str_of(other)))
		return true;
	if (!str_eq(state, str_of(ordinary)))
		json_error_set(in, path, "state must be \"%s\" or \"%s\"",
			       ordinary, other);
	return false;
}

static void parse_domains(struct json_input *in, struct fleet *fleet,
			  json_t *doc)
{
	static const char *const keys[] = { "name", "state", NULL };
	json_t *list =
		json_get_array(in, "domains", doc, "domains", JSON_UNBOUNDED);
	size_t count = list ? json_array_size(list) : 0;

	fleet->domains =
		apr_pcalloc(fleet->pool, (count + 1) * sizeof(struct domain));
	for (size_t i = 0; i < count && !in->err.code; i++) {
		json_t *obj = json_array_get(list, i);
		struct domain *domain = &fleet->domains[i];
		char path[JSON_PATH_SIZE];

		snprintf(path, sizeof(path), "domains[%zu]", i);
		json_check_keys(in, path, obj, keys);

		struct str name =
			json_get_string(in, path, obj, "name", DOC_NAME_MAX);

		if (fleet_domain(fleet, name))
			json_error_set(in, path, "\"%.*s\" stands twice",
				       STR_ARG(name));
		domain->name = str_dup(fleet->pool, name);
		domain->out = parse_state(in, path, obj, "in", "out");
		apr_hash_set(fleet->by_name, domain->name.ptr,
			     (apr_ssize_t)domain->name.len, domain);
		fleet->ndomains = i + 1;
	}
}

static struct domain *parse_domain(struct json_input *in, const char *path,
				   struct fleet *fleet, json_t *obj)
{
	struct str name =
		json_get_string(in, path, obj, "domain", DOC_NAME_MAX);
	struct domain *domain = fleet_domain(fleet, name);

	if (!domain)
		json_error_set(in, path,
			       "failure domain \"%.*s\" is not listed",
			       STR_ARG(name));
	return domain;
}

static struct str parse_addr(struct json_input *in, const char *path,
			     struct fleet *fleet, json_t *obj)
{
	struct str addr =
		json_get_string(in, path, obj, "address", DOC_NAME_MAX);
	const char *colon = addr.len ? memchr(addr.ptr, ':', addr.len) : NULL;

	if (!colon || strspn(addr.ptr, "0123456789.:") < addr.len)
		json_error_set(in, path, "address must be \"ip:port\"");
	return str_dup(fleet->pool, addr);
}

/* A duplicate name or address would give one VM or target two owners. */
static void check_unique(struct json_input *in, const char *path,
			 apr_hash_t *seen, struct str name, void *value)
{
	if (in->err.code)
		return;
	if (apr_hash_get(seen, name.ptr, (apr_ssize_t)name.len))
		json_error_set(in, path, "\"%.*s\" stands twice",
			       STR_ARG(name));
	apr_hash_set(seen, name.ptr, (apr_ssize_t)name.len, value);
}

static void parse_vms(struct json_input *in, struct fleet *fleet, json_t *doc)
{
	static const char *const keys[] = { "address", "domain", "state",
					    NULL };
	json_t *list = json_get_array(in, "vms", doc, "vms", JSON_UNBOUNDED);
	size_t count = list ? json_array_size(list) : 0;
	apr_hash_t *seen = hash_make(fleet->pool);

	fleet->vms =
		apr_pcalloc(fleet->pool, (count + 1) * sizeof(struct fleet_vm));
	fleet->nvms = count;
	for (size_t i = 0; i < count && !in->err.code; i++) {
		json_t *obj = json_array_get(list, i);
		struct fleet_vm *vm = &fleet->vms[i];
		char path[JSON_PATH_SIZE];

		snprintf(path, sizeof(path), "vms[%zu]", i);
		json_check_keys(in, path, obj, keys);
		vm->addr = parse_addr(in, path, fleet, obj);
		vm->key = str_hash(vm->addr);
		vm->domain = parse_domain(in, path, fleet, obj);
		vm->leaving = parse_state(in, path, obj, "live", "leaving");
		check_unique(in, path, seen, vm->addr, vm);
	}
}

static void parse_targets(struct json_input *in, struct fleet *fleet,
			  json_t *doc, apr_hash_t *names)
{
	static const char *const keys[] = { "name",  "address", "domain",
					    "state", "slots",	"connections",
					    NULL };
	json_t *list =
		json_get_array(in, "targets", doc, "targets", JSON_UNBOUNDED);
	size_t count = list ? json_array_size(list) : 0;
	apr_hash_t *addrs = hash_make(fleet->pool);

	fleet->targets = apr_pcalloc(fleet->pool,
				     (count + 1) * sizeof(struct fleet_target));
	fleet->ntargets = count;
	for (size_t i = 0; i < count && !in->err.code; i++) {
		json_t *obj = json_array_get(list, i);
		struct fleet_target *target = &fleet->targets[i];
		char path[JSON_PATH_SIZE];

		snprintf(path, sizeof(path), "targets[%zu]", i);
		json_check_keys(in, path, obj, keys);
		target->name = str_dup(
			fleet->pool,
			json_get_string(in, path, obj, "name", DOC_NAME_MAX));
		target->key = str_hash(target->name);
		target->addr = parse_addr(in, path, fleet, obj);
		target->domain = parse_domain(in, path, fleet, obj);
		target->leaving = parse_state(in, path, obj, "live", "leaving");
		target->slots =
			(int)json_get_int(in, path, obj, "slots", 1, MAX_SLOTS);
		target->connections = (int)json_get_int(
			in, path, obj, "connections", 2, MAX_CONNECTIONS);
		check_unique(in, path, names, target->name, target);
		check_unique(in, path, addrs, target->addr, target);
	}
}

static void parse_replicas(struct json_input *in, const char *path, json_t *obj,
			   apr_hash_t *names, struct shard *shard)
{
	json_t *list =
		json_get_array(in, path, obj, "replicas", DOC_MAX_REPLICAS);
	size_t count = list ? json_array_size(list) : 0;

	for (size_t i = 0; i < count && !in->err.code; i++) {
		const char *name = json_string_value(json_array_get(list, i));
		struct fleet_target *target =
			name ? apr_hash_get(names, name, APR_HASH_KEY_STRING)
			     : NULL;

		if (!target) {
			json_error_set(in, path, "replica %zu is no target", i);
			return;
		}
		for (size_t j = 0; j < i; j++)
			if (shard->replicas[j] == target)
				json_error_set(in, path, "replica \"%s\" twice",
					       name);
		shard->replicas[i] = target;
	}
	shard->nreplicas = count;
}

static int compare_shards(const void *left, const void *right)
{
	const struct shard *a = left;
	const struct shard *b = right;
	size_t len = a->index.len < b->index.len ? a->index.len : b->index.len;
	int order = memcmp(a->index.ptr, b->index.ptr, len);

	if (order)
		return order;
	if (a->index.len != b->index.len)
		return a->index.len < b->index.len ? -1 : 1;
	return a->from < b->from ? -1 : a->from > b->from;
}

/*
 * Two shards that share a key would count its records twice, and an answer
 * would report more coverage than it has, so the whole document is refused.
 */
static void check_map(struct json_input *in, const char *path,
		      struct snapshot *snap, apr_pool_t *pool)
{
	apr_hash_t *ids = hash_make(pool);

	qsort(snap->shards, snap->nshards, sizeof(struct shard),
	      compare_shards);
	for (size_t i = 0; i < snap->nshards && !in->err.code; i++) {
		struct shard *shard = &snap->shards[i];
		struct shard *prev = i ? shard - 1 : NULL;

		if (prev && str_eq(prev->index, shard->index) &&
		    prev->to > shard->from)
			json_error_set(in, path, "shards %u and %u overlap",
				       prev->id, shard->id);
		if (apr_hash_get(ids, &shard->id, sizeof(shard->id)))
			json_error_set(in, path, "shard id %u stands twice",
				       shard->id);
		apr_hash_set(ids, &shard->id, sizeof(shard->id), shard);
	}
}

static void parse_shard(struct json_input *in, const char *path,
			struct fleet *fleet, json_t *obj, apr_hash_t *names,
			struct shard *shard)
{
	static const char *const keys[] = { "id",     "index",	  "from", "to",
					    "weight", "replicas", NULL };

	json_check_keys(in, path, obj, keys);
	shard->id = (uint32_t)json_get_int(in, path, obj, "id", 1, UINT32_MAX);
	shard->index =
		str_dup(fleet->pool,
			json_get_string(in, path, obj, "index", DOC_NAME_MAX));
	shard->from = json_get_int(in, path, obj, "from", INT64_MIN, INT64_MAX);
	shard->to = json_get_int(in, path, obj, "to", INT64_MIN, INT64_MAX);
	if (shard->to <= shard->from)
		json_error_set(in, path, "\"to\" must be above \"from\"");
	shard->weight =
		json_get_real_or(in, path, obj, "weight", 1e-9, 1e12, 1);
	parse_replicas(in, path, obj, names, shard);
}

static void parse_snapshot(struct json_input *in, const char *path,
			   struct fleet *fleet, json_t *obj, apr_hash_t *names,
			   struct snapshot *snap)
{
	static const char *const keys[] = { "version", "shards", NULL };

	json_check_keys(in, path, obj, keys);
	snap->version =
		(uint64_t)json_get_int(in, path, obj, "version", 1, INT64_MAX);

	json_t *list = json_get_array(in, path, obj, "shards", JSON_UNBOUNDED);

	snap->nshards = list ? json_array_size(list) : 0;
	snap->shards = apr_pcalloc(fleet->pool,
				   (snap->nshards + 1) * sizeof(struct shard));
	for (size_t i = 0; i < snap->nshards && !in->err.code; i++) {
		char shard_path[JSON_PATH_SIZE + 32];

		snprintf(shard_path, sizeof(shard_path), "%s.shards[%zu]", path,
			 i);
		parse_shard(in, shard_path, fleet, json_array_get(list, i),
			    names, &snap->shards[i]);
	}
	if (!in->err.code)
		check_map(in, path, snap, fleet->pool);
}

static void parse_snapshots(struct json_input *in, struct fleet *fleet,
			    json_t *doc, apr_hash_t *names)
{
	json_t *list = json_get_array(in, "snapshots", doc, "snapshots",
				      JSON_UNBOUNDED);
	size_t count = list ? json_array_size(list) : 0;

	fleet->nsnapshots = count;
	fleet->snapshots =
		apr_pcalloc(fleet->pool, (count + 1) * sizeof(struct snapshot));
	for (size_t i = 0; i < count && !in->err.code; i++) {
		char path[JSON_PATH_SIZE];

		snprintf(path, sizeof(path), "snapshots[%zu]", i);
		parse_snapshot(in, path, fleet, json_array_get(list, i), names,
			       &fleet->snapshots[i]);
		if (i && fleet->snapshots[i].version >=
				 fleet->snapshots[i - 1].version)
			json_error_set(in, path, "versions must go down");
	}
}

struct fleet *fleet_parse(struct str body, struct error *err)
{
	static const char *const keys[] = { "version", "domains",   "vms",
					    "targets", "snapshots", NULL };
	struct json_input in = { .file = "fleet", .code = ERR_LIST };
	json_t *doc = body.len > DOC_MAX_BYTES ? NULL : json_parse(&in, body);
	struct fleet *fleet = NULL;
	apr_pool_t *pool;

	if (body.len > DOC_MAX_BYTES)
		json_error_set(&in, "size", "over %d bytes", DOC_MAX_BYTES);
	if (doc) {
		apr_pool_create(&pool, NULL);
		fleet = apr_pcalloc(pool, sizeof(*fleet));
		fleet->pool = pool;
		fleet->refs = 1;
		fleet->hash = str_hash(body);
		fleet->by_name = hash_make(pool);

		apr_hash_t *names = hash_make(pool);

		json_check_keys(&in, "top", doc, keys);
		fleet->version = (uint64_t)json_get_int(
			&in, "top", doc, "version", 1, INT64_MAX);
		parse_domains(&in, fleet, doc);
		parse_vms(&in, fleet, doc);
		parse_targets(&in, fleet, doc, names);
		parse_snapshots(&in, fleet, doc, names);
		json_decref(doc);
	}
	if (!in.err.code)
		return fleet;
	*err = in.err;
	if (fleet)
		apr_pool_destroy(fleet->pool);
	return NULL;
}

struct fleet *fleet_ref(struct fleet *fleet)
{
	fleet->refs++;
	return fleet;
}

void fleet_unref(struct fleet *fleet)
{
	if (fleet && !--fleet->refs)
		apr_pool_destroy(fleet->pool);
}

const struct shard *snapshot_index_shards(const struct snapshot *snap,
					  struct str index, size_t *count)
{
	struct shard search_key = { .index = index, .from = INT64_MIN };
	size_t low = 0;
	size_t high = snap->nshards;

	while (low < high) {
		size_t mid = (low + high) / 2;

		if (compare_shards(&snap->shards[mid], &search_key) < 0)
			low = mid + 1;
		else
			high = mid;
	}
	*count = 0;
	while (low + *count < snap->nshards &&
	       str_eq(snap->shards[low + *count].index, index))
		++*count;
	return *count ? &snap->shards[low] : NULL;
}
