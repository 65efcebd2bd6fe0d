#pragma once

#include "event.h"

/**
 * DOC: the targets' HTTP interface
 *
 * URLs that a gate asks for, and the judging of what comes back. A reply that
 * is not a whole JSON object with the expected fields is malformed.
 */

/** target_url() - append the URL of the request that @fx describes. */
void target_url(const struct effect *fx, struct buf *out);
/**
 * target_reply() - judge a reply
 * @body: bytes as received; @rows gets the rows or the entry's result
 */
void target_reply(struct str body, int status, struct fetch_response *got,
		  struct buf *rows);
