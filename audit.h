#pragma once

#include "str.h"

/**
 * DOC: audit trail
 *
 * What changed, from what, to what, why and which version: the last lines in
 * a ring, all of them in the log, since a VM keeps nothing.
 */

enum {
	AUDIT_LINES = 512
};

struct audit {
	struct buf lines[AUDIT_LINES];
	size_t count;
};

/** audit_add() - @body: a JSON object; time and number are put before it. */
void audit_add(struct audit *audit, struct str body);
/** audit_json() - append an array, oldest first. */
void audit_json(const struct audit *audit, struct buf *out);
void audit_free(struct audit *audit);
