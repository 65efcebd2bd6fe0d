#include "sent_ids.h"

#include <stdlib.h>

#include "xmalloc.h"

enum {
	CAPACITY_MIN = 8,
};

static void remove_expired(struct sent_ids *ids, int64_t now)
{
	size_t kept = 0;

	for (size_t i = 0; i < ids->count; i++)
		if (ids->list[i].until >= now)
			ids->list[kept++] = ids->list[i];
	ids->count = kept;
}

static void grow(struct sent_ids *ids)
{
	ids->capacity = ids->capacity ? ids->capacity * 2 : CAPACITY_MIN;
	ids->list = xrealloc(ids->list, ids->capacity * sizeof(*ids->list));
}

void sent_ids_add(struct sent_ids *ids, struct str id, int64_t until,
		  int64_t now)
{
	if (ids->count == ids->capacity)
		remove_expired(ids, now);
	if (ids->count == SENT_IDS_MAX)
		return;
	if (ids->count == ids->capacity)
		grow(ids);
	ids->list[ids->count++] = (struct sent_id){ str_hash(id), until };
}

bool sent_ids_contain(const struct sent_ids *ids, struct str id, int64_t now)
{
	uint64_t key = str_hash(id);

	for (size_t i = 0; i < ids->count; i++)
		if (ids->list[i].key == key && ids->list[i].until >= now)
			return true;
	return false;
}

bool sent_ids_full(const struct sent_ids *ids)
{
	return ids->count == SENT_IDS_MAX;
}

void sent_ids_free(struct sent_ids *ids)
{
	free(ids->list);
	*ids = (struct sent_ids){ 0 };
}
