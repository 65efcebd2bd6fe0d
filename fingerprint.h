#pragma once

#include "str.h"

/**
 * DOC: which requests are the same one
 *
 * A caller who tries again sends the same request under a new id, mostly to
 * another node. Its fingerprint is alike on all nodes.
 */

/**
 * struct fingerprint - a request without its id
 * @content: of all that is asked
 * @caller: of who sent it
 */
struct fingerprint {
	uint64_t content[2];
	uint64_t caller;
};

/** fingerprint_of() - @parts: all that is asked, in a fixed order. */
struct fingerprint fingerprint_of(const struct str *parts, size_t count,
				  struct str caller);
