#pragma once

#include "str.h"

/**
 * DOC: the greatest records of many parts
 *
 * A record is RECORD_SIZE bytes, compared byte by byte. Equal ones all count.
 */

enum {
	RECORD_SIZE = 16,
};

/**
 * struct records - the greatest @limit records seen, greatest first
 * @bytes: @capacity x RECORD_SIZE, the first @count in use
 */
struct records {
	apr_pool_t *pool;
	char *bytes;
	size_t count;
	size_t capacity;
	size_t limit;
};

void records_init(struct records *records, size_t limit, apr_pool_t *pool);
/** records_merge() - a part's body; a remainder that is no record is left. */
void records_merge(struct records *records, struct str body);
struct str records_str(const struct records *records);
