#pragma once

#include "str.h"

/**
 * DOC: request ids that a connection has carried
 *
 * A faulty target may send a reply once more, at any later time. It is told
 * from the reply to the request under way by its id, so a connection must not
 * carry the same id twice. An id is kept until its request can no longer be
 * sent again.
 */

enum {
	SENT_IDS_MAX = 1024,
};

/** struct sent_id - @until: the request is not sent after this time */
struct sent_id {
	uint64_t key;
	int64_t until;
};

struct sent_ids {
	struct sent_id *list;
	size_t count;
	size_t capacity;
};

/** sent_ids_add() - keep @id until the time @until; no more than SENT_IDS_MAX
 */
void sent_ids_add(struct sent_ids *ids, struct str id, int64_t until,
		  int64_t now);
bool sent_ids_contain(const struct sent_ids *ids, struct str id, int64_t now);
/** sent_ids_full() - whether a further id might be forgotten. */
bool sent_ids_full(const struct sent_ids *ids);
void sent_ids_free(struct sent_ids *ids);
