#include "records.h"

enum {
	/* Most questions want no more; a route may ask for any number. */
	ROOM_FIRST = 64,
};

static void grow(struct records *records, size_t room)
{
	char *bytes = apr_palloc(records->pool, (room + 1) * RECORD_SIZE);

	if (records->count)
		memcpy(bytes, records->bytes, records->count * RECORD_SIZE);
	records->bytes = bytes;
	records->room = room;
}

void records_init(struct records *records, size_t cap, apr_pool_t *pool)
{
	*records = (struct records){ .pool = pool, .cap = cap };
	grow(records, cap < ROOM_FIRST ? cap : ROOM_FIRST);
}

static char *at(const struct records *records, size_t i)
{
	return records->bytes + i * RECORD_SIZE;
}

static void take_one(struct records *records, const char *record)
{
	size_t place = records->count;
	size_t moved;

	while (place && memcmp(at(records, place - 1), record, RECORD_SIZE) < 0)
		place--;
	if (place == records->cap)
		return;
	if (records->count < records->cap) {
		if (records->count == records->room)
			grow(records, 2 * records->room);
		records->count++;
	}
	moved = records->count - place - 1;
	memmove(at(records, place + 1), at(records, place),
		moved * RECORD_SIZE);
	memcpy(at(records, place), record, RECORD_SIZE);
}

void records_take(struct records *records, struct str body)
{
	for (size_t i = 0; i + RECORD_SIZE <= body.len; i += RECORD_SIZE)
		take_one(records, body.ptr + i);
}

struct str records_str(const struct records *records)
{
	return (struct str){ records->bytes, records->count * RECORD_SIZE };
}
