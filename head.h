#pragma once

#include "flow.h"
#include "upstream.h"

/**
 * DOC: heads of requests and replies
 *
 * Between the HTTP libraries' headers and the reducer's types, with the names
 * of a dialect.
 */

/** head_is_forwarded() - a caller's header goes on to a target. */
bool head_is_forwarded(struct str name);
/** head_write_request() - head of a request to a target. */
void head_write_request(const struct dialect *dialect,
			const struct flow_effect *fx, struct buf *out);
/** head_parse_reply() - decode a target's reply; header lines go to @lines. */
void head_parse_reply(const struct dialect *dialect,
		      const struct upstream_reply *reply,
		      struct flow_reply *out, struct buf *lines);
/** head_write_answer() - header lines of an answer to a caller. */
void head_write_answer(const struct dialect *dialect,
		       const struct flow_effect *fx, struct buf *out);
/** head_parse_time_left() - microseconds of a caller's header, -1 when absent.
 */
int64_t head_parse_time_left(struct str value);
/** head_set_dialect() - whose names head_is_forwarded() drops. */
void head_set_dialect(const struct dialect *dialect);
