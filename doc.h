#pragma once

#include <apr_hash.h>

#include "error.h"

/**
 * DOC: documents published by the platform
 *
 * "lists" holds the operators' two lists, plans and allowances. "fleet" holds
 * failure domains, VMs, targets and the snapshots' partition maps. Parsing
 * depends on the bytes alone, not on the node or on the document in force, so
 * all nodes accept or refuse the same documents. Arrays are bounded by
 * DOC_MAX_BYTES alone: a lower bound would refuse documents that the platform
 * has accepted.
 */

enum doc_kind {
	DOC_LISTS,
	DOC_FLEET,
	DOC_KINDS,
};

enum {
	DOC_MAX_BYTES = 1024 * 1024,
	DOC_NAME_MAX = 64,
	DOC_MAX_REPLICAS = 8,
};

/**
 * struct plan - rights, quota and deadlines of one plan
 * @name: name of the plan
 * @indexes: indexes that may be read
 * @nindexes: number of @indexes
 * @entries: indexes that may be written
 * @nentries: number of @entries
 * @rate: questions and entries per second, over the whole fleet
 * @burst: size of the token bucket
 * @soft_us: soft deadline, microseconds: from here on a question is answered as
 *           soon as its coverage reaches @coverage_floor
 * @deadline_us: final deadline of a question, microseconds
 * @coverage_floor: coverage, 0 to 1, that suffices after @soft_us
 * @extra_load: hedges and retries per needed leaf request, 0 to 1
 */
struct plan {
	struct str name;
	struct str *indexes;
	size_t nindexes;
	struct str *entries;
	size_t nentries;
	double rate;
	double burst;
	int64_t soft_us;
	int64_t deadline_us;
	double coverage_floor;
	double extra_load;
};

/** struct lists - an accepted "lists" document, immutable */
struct lists {
	apr_pool_t *pool;
	uint64_t version;
	uint64_t hash;
	apr_hash_t *customers; /* name -> struct plan */
	struct plan *plans;
	size_t nplans;
};

/**
 * struct domain - a failure domain
 * @out: taken out by operators
 */
struct domain {
	struct str name;
	bool out;
};

/** struct fleet_vm - a VM in the platform's list */
struct fleet_vm {
	struct str addr; /* "ip:port" for traffic between nodes */
	uint64_t key; /* hash of addr */
	struct domain *domain;
	bool leaving;
};

/**
 * struct fleet_target - a target, which serves leaf requests
 * @key: hash of @name
 * @slots: maximum number of concurrent requests
 * @connections: maximum number of connections, from all callers together
 */
struct fleet_target {
	struct str name;
	uint64_t key;
	struct str addr;
	struct domain *domain;
	bool leaving;
	int slots;
	int connections;
};

/**
 * struct shard - one range of an index in one snapshot
 * @from: first key
 * @to: one past the last key
 * @weight: weight in the coverage of an answer
 */
struct shard {
	uint32_t id;
	struct str index;
	int64_t from;
	int64_t to;
	double weight;
	struct fleet_target *replicas[DOC_MAX_REPLICAS];
	size_t nreplicas;
};

/** struct snapshot - one version of all indexes and its partition map */
struct snapshot {
	uint64_t version;
	struct shard *shards;
	size_t nshards;
};

/**
 * struct fleet - an accepted "fleet" document, immutable
 * @refs: reference count; an open question keeps the map that it started with
 * @snapshots: newest first
 */
struct fleet {
	apr_pool_t *pool;
	int refs;
	uint64_t version;
	uint64_t hash;
	struct domain *domains;
	size_t ndomains;
	apr_hash_t *by_name; /* name of a failure domain -> struct domain */
	struct fleet_vm *vms;
	size_t nvms;
	struct fleet_target *targets;
	size_t ntargets;
	struct snapshot *snapshots;
	size_t nsnapshots;
};

const char *doc_name(enum doc_kind kind);

/**
 * lists_parse() - parse and validate a "lists" document
 *
 * Return: the lists, or NULL with @err when the document is refused.
 */
struct lists *lists_parse(struct str body, struct error *err);
void lists_free(struct lists *lists);
const struct plan *lists_plan(const struct lists *lists, struct str customer);

/**
 * fleet_parse() - parse and validate a "fleet" document
 *
 * Return: the fleet, or NULL with @err when the document is refused.
 */
struct fleet *fleet_parse(struct str body, struct error *err);
struct fleet *fleet_ref(struct fleet *fleet);
void fleet_unref(struct fleet *fleet);
struct domain *fleet_domain(const struct fleet *fleet, struct str name);
/**
 * snapshot_index_shards() - find the shards of @index, which are contiguous
 * @count: receives their number
 *
 * Return: the first one, or NULL when there is none.
 */
const struct shard *snapshot_index_shards(const struct snapshot *snap,
					  struct str index, size_t *count);
/**
 * plan_allows() - whether the plan grants a right on @index
 * @entry: true for the right to write entries, false for the right to read
 */
bool plan_allows(const struct plan *plan, struct str index, bool entry);
