#pragma once

#include "str.h"

/**
 * DOC: from a request's id to its cause
 *
 * Gathers the lines of one request from the logs of several nodes, in order of
 * time, and says in a sentence what its last line means.
 */

struct explain;

/** explain_create() - @id: of the request */
struct explain *explain_create(struct str id);
/**
 * explain_line() - take a line of a log; what is no JSON object, or of another
 * request, is passed over. Text before the object is fine.
 */
void explain_line(struct explain *explain, struct str line);
/** explain_text() - append the story; returns the number of lines it has. */
int explain_text(struct explain *explain, struct buf *out);
void explain_destroy(struct explain *explain);
