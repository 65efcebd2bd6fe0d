#pragma once

#include "str.h"

/**
 * DOC: explanation of a request's outcome from the logs
 *
 * Collects the log lines of one request from several nodes, sorts them by
 * time, and explains the outcome in the last line.
 */

struct explain;

/** explain_create() - start with no lines; @id: id of the request. */
struct explain *explain_create(struct str id);
/**
 * explain_line() - add a log line
 *
 * Text before the JSON object is ignored, and so are lines without one and
 * lines that concern no request of interest.
 */
void explain_line(struct explain *explain, struct str line);
/**
 * explain_text() - append the lines and the explanation
 *
 * Return: number of log lines of the request.
 */
int explain_text(struct explain *explain, struct buf *out);
void explain_destroy(struct explain *explain);
