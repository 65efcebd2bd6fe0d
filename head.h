#pragma once

#include "flow.h"
#include "upstream.h"

/**
 * DOC: heads of HTTP requests and replies
 *
 * Converts between HTTP headers and the reducer's types, with the header names
 * of a dialect.
 */

/** head_is_forwarded() - whether a caller's header is sent to targets. */
bool head_is_forwarded(struct str name);
/** head_write_request() - append the head of a request to a target. */
void head_write_request(const struct dialect *dialect,
			const struct flow_effect *fx, struct buf *out);
/** head_parse_reply() - decode a target's reply; append headers to @lines. */
void head_parse_reply(const struct dialect *dialect,
		      const struct upstream_reply *reply,
		      struct flow_reply *out, struct buf *lines);
/** head_write_answer() - append the headers of an answer to a caller. */
void head_write_answer(const struct dialect *dialect,
		       const struct flow_effect *fx, struct buf *out);
/**
 * head_parse_time_left() - decode the header with a caller's remaining time.
 *
 * Return: microseconds, or -1 if the header is absent or not a valid time.
 */
int64_t head_parse_time_left(struct str value);
/** head_set_dialect() - set the dialect whose headers are not forwarded. */
void head_set_dialect(const struct dialect *dialect);
