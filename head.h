#pragma once

#include "flow.h"
#include "upstream.h"

/**
 * DOC: heads of requests and replies
 *
 * Between the HTTP libraries' headers and the reducer's types, with the names
 * of a dialect.
 */

/** head_keep() - a caller's header goes on to a target. */
bool head_keep(struct str name);
/** head_request() - head of a request to a target. */
void head_request(const struct dialect *dialect, const struct flow_effect *fx,
		  struct buf *out);
/** head_reply() - decode a target's reply; header lines go to @lines. */
void head_reply(const struct dialect *dialect,
		const struct upstream_reply *reply, struct flow_reply *out,
		struct buf *lines);
/** head_answer() - header lines of an answer to a caller. */
void head_answer(const struct dialect *dialect, const struct flow_effect *fx,
		 struct buf *out);
/** head_time_left() - microseconds of a caller's header, -1 when absent. */
int64_t head_time_left(struct str value);
/** head_dialect() - whose names head_keep() drops. */
void head_dialect(const struct dialect *dialect);
