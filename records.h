#pragma once

#include "str.h"

/**
 * DOC: top-k merge of records
 *
 * A record is RECORD_SIZE bytes, compared byte by byte. Equal records are all
 * kept.
 */

enum {
	RECORD_SIZE = 16,
};

/**
 * struct records - the greatest records seen, in descending order
 * @bytes: buffer of @capacity records
 * @count: records in use
 * @capacity: allocated records
 * @limit: records to keep
 */
struct records {
	apr_pool_t *pool;
	char *bytes;
	size_t count;
	size_t capacity;
	size_t limit;
};

void records_init(struct records *records, size_t limit, apr_pool_t *pool);
/** records_merge() - merge the records of @body; ignore a partial last one. */
void records_merge(struct records *records, struct str body);
struct str records_str(const struct records *records);
