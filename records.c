#include "records.h"

enum {
	/* Enough for most questions, though a route may have any limit. */
	INITIAL_CAPACITY = 64,
};

static void grow(struct records *records, size_t capacity)
{
	char *bytes = apr_palloc(records->pool, (capacity + 1) * RECORD_SIZE);

	if (records->count)
		memcpy(bytes, records->bytes, records->count * RECORD_SIZE);
	records->bytes = bytes;
	records->capacity = capacity;
}

void records_init(struct records *records, size_t limit, apr_pool_t *pool)
{
	*records = (struct records){ .pool = pool, .limit = limit };
	grow(records, limit < INITIAL_CAPACITY ? limit : INITIAL_CAPACITY);
}

static char *record_at(const struct records *records, size_t i)
{
	return records->bytes + i * RECORD_SIZE;
}

static void insert_record(struct records *records, const char *record)
{
	size_t position = records->count;
	size_t moved;

	while (position && memcmp(record_at(records, position - 1), record,
				  RECORD_SIZE) < 0)
		position--;
	if (position == records->limit)
		return;
	if (records->count < records->limit) {
		if (records->count == records->capacity)
			grow(records, 2 * records->capacity);
		records->count++;
	}
	moved = records->count - position - 1;
	memmove(record_at(records, position + 1), record_at(records, position),
		moved * RECORD_SIZE);
	memcpy(record_at(records, position), record, RECORD_SIZE);
}

void records_merge(struct records *records, struct str body)
{
	for (size_t i = 0; i + RECORD_SIZE <= body.len; i += RECORD_SIZE)
		insert_record(records, body.ptr + i);
}

struct str records_str(const struct records *records)
{
	return (struct str){ records->bytes, records->count * RECORD_SIZE };
}
