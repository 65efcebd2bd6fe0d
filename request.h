#pragma once

#include "error.h"

/**
 * DOC: callers' requests
 *
 * Parsing of the JSON bodies that callers send. Every fault is a typed error
 * that names the field.
 */

enum {
	REQUEST_BODY_MAX = 64 * 1024,
	QUERY_TERMS_MAX = 1024,
	REQUEST_NAME_MAX = 64,
	QUERY_MAX_INDEXES = 16,
	QUERY_MAX_SHARDS = 8192,
};

/**
 * struct query - a question
 * @customer: who pays for it
 * @request_id: the caller's own id, echoed
 * @terms: search terms, passed on to the targets
 * @indexes: what to search
 * @shards: ids to restrict it to; all of the indexes' shards when empty
 * @deadline_us: the caller's deadline, 0 for the plan's
 */
struct query {
	struct str customer;
	struct str request_id;
	struct str terms;
	struct str *indexes;
	size_t nindexes;
	uint32_t *shards;
	size_t nshards;
	int64_t deadline_us;
};

/**
 * struct entry - an action that must not run twice
 * @ticket: as a node issued it; empty when the caller has none yet
 * @index: where it goes; @key: which shard
 * @entry: the action, a JSON object, passed on to the target
 */
struct entry {
	struct str customer;
	struct str request_id;
	struct str ticket;
	struct str index;
	int64_t key;
	struct str entry;
	int64_t deadline_us;
};

int query_parse(struct str body, apr_pool_t *pool, struct query *query,
		struct error *err);
/** entry_parse() - @lookup: only customer, request_id and ticket. */
int entry_parse(struct str body, bool lookup, apr_pool_t *pool,
		struct entry *entry, struct error *err);
