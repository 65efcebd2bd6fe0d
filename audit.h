#pragma once

#include "str.h"

/**
 * DOC: audit trail
 *
 * Each line records what changed, its old and new state, the reason and the
 * version. The last lines are kept in a ring buffer; all of them are written to
 * the log, since a VM has no persistent storage.
 */

enum {
	AUDIT_LINES = 512
};

struct audit {
	struct buf lines[AUDIT_LINES];
	size_t count;
};

/**
 * audit_add() - append and log one line.
 * @body: a JSON object, to which number and time are prepended
 */
void audit_add(struct audit *audit, struct str body);
/** audit_json() - append the kept lines as a JSON array, oldest first. */
void audit_json(const struct audit *audit, struct buf *out);
void audit_free(struct audit *audit);
