#pragma once

#include <apr_hash.h>

#include "error.h"

/**
 * DOC: the documents that the platform publishes
 *
 * "lists" holds the operators' two lists, plans and allowances. "fleet" holds
 * failure domains, VMs, targets and the snapshots' partition maps. Parsing
 * depends on the bytes alone, never on the node or on what was in force, so
 * every node accepts or refuses the same document alike. Lists are as long as
 * DOC_MAX_BYTES allows: a bound below it would keep what the platform took from
 * force.
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
 * struct plan - what one plan may use, and how its questions are answered
 * @name: plan's name
 * @indexes: indexes that may be asked; @nindexes of them
 * @entries: indexes that may be written; @nentries of them
 * @rate: questions and entries a second, over the whole fleet
 * @burst: size of the token bucket
 * @soft_us: answer from here on once @coverage_floor is covered, microseconds
 * @deadline_us: final answer at the latest, microseconds
 * @coverage_floor: coverage, 0 to 1, that is enough at @soft_us
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

/** struct domain - a failure domain; @out when operators took it out */
struct domain {
	struct str name;
	bool out;
};

/** struct fleet_vm - a VM of the system, as the platform lists it */
struct fleet_vm {
	struct str addr; /* "ip:port" between nodes */
	uint64_t key; /* hash of addr */
	struct domain *domain;
	bool leaving;
};

/**
 * struct fleet_target - a leaf that answers leaf requests
 * @slots: requests that it works on at a time
 * @connections: connections that it takes, from all of its callers
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
 * @from: first key; @to: one past the last key
 * @weight: what it counts for in coverage
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
 * @refs: holders; an open question keeps the map that it began with
 * @snapshots: newest first
 */
struct fleet {
	apr_pool_t *pool;
	int refs;
	uint64_t version;
	uint64_t hash;
	struct domain *domains;
	size_t ndomains;
	apr_hash_t *by_name; /* of a failure domain -> struct domain */
	struct fleet_vm *vms;
	size_t nvms;
	struct fleet_target *targets;
	size_t ntargets;
	struct snapshot *snapshots;
	size_t nsnapshots;
};

const char *doc_name(enum doc_kind kind);

/** lists_parse() - judge a document; NULL and @err when it is refused. */
struct lists *lists_parse(struct str body, struct error *err);
void lists_free(struct lists *lists);
const struct plan *lists_plan(const struct lists *lists, struct str customer);

struct fleet *fleet_parse(struct str body, struct error *err);
struct fleet *fleet_ref(struct fleet *fleet);
void fleet_unref(struct fleet *fleet);
struct domain *fleet_domain(const struct fleet *fleet, struct str name);
/** snapshot_range() - shards of @index, which stand together; NULL if none. */
const struct shard *snapshot_range(const struct snapshot *snap,
				   struct str index, size_t *count);
/** plan_allows() - whether @index is among the plan's @entry or read rights */
bool plan_allows(const struct plan *plan, struct str index, bool entry);
