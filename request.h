#pragma once

#include "error.h"

/**
 * DOC: requests of callers
 *
 * Parses the JSON bodies that callers send. An invalid body yields a typed
 * error that names the field.
 */

enum {
	REQUEST_BODY_MAX = 64 * 1024,
	QUESTION_TERMS_MAX = 1024,
	REQUEST_NAME_MAX = 64,
	QUESTION_MAX_INDEXES = 16,
	QUESTION_MAX_SHARDS = 8192,
};

/**
 * struct question_request - a question as sent by its caller, parsed
 * @customer: customer to which it is charged
 * @request_id: the caller's id, echoed in the answer
 * @terms: search terms, passed on to the targets
 * @indexes: indexes to search
 * @nindexes: number of @indexes
 * @shards: shard ids to search; all shards of the indexes when empty
 * @nshards: number of @shards
 * @deadline_us: the caller's deadline, 0 for the plan's
 */
struct question_request {
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
 * struct entry_request - an entry or a lookup as sent by its caller, parsed
 *
 * An entry is an action that must not run twice.
 *
 * @customer: customer to which it is charged
 * @request_id: the caller's id, echoed in the answer
 * @ticket: ticket issued by a node, empty when the caller has none yet
 * @index: index that the action changes
 * @key: key that selects the shard
 * @entry: the action, a JSON object, passed on to the target
 * @deadline_us: the caller's deadline, 0 for the plan's
 */
struct entry_request {
	struct str customer;
	struct str request_id;
	struct str ticket;
	struct str index;
	int64_t key;
	struct str entry;
	int64_t deadline_us;
};

/** request_parse_question() - parse the request for a question. */
int request_parse_question(struct str body, apr_pool_t *pool,
			   struct question_request *request, struct error *err);
/**
 * request_parse_entry() - parse the request for an entry or a lookup
 * @lookup: parse only customer, request_id and ticket
 */
int request_parse_entry(struct str body, bool lookup, apr_pool_t *pool,
			struct entry_request *request, struct error *err);
