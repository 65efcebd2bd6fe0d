#pragma once

#include "event.h"

/**
 * DOC: HTTP interface of targets
 *
 * Builds the URLs of requests to targets and parses their replies. A reply that
 * is not a complete JSON object with the expected fields is malformed.
 */

/** target_url() - append the URL of the request that @fx describes. */
void target_url(const struct effect *fx, struct buf *out);
/**
 * target_parse_reply() - parse and check a reply
 * @body: bytes as received
 * @status: HTTP status
 * @rows: receives the rows or the entry's result
 */
void target_parse_reply(struct str body, int status,
			struct parsed_reply *parsed_reply, struct buf *rows);
