#pragma once

#include "str.h"

/**
 * DOC: fingerprints of requests
 *
 * A caller that retries sends the same request under a new id, usually to
 * another node. All nodes compute the same fingerprint for it.
 */

/**
 * struct fingerprint - identifies equal requests
 * @content: hash of everything but the id
 * @caller: hash of the caller
 */
struct fingerprint {
	uint64_t content[2];
	uint64_t caller;
};

/**
 * fingerprint_of() - compute a fingerprint.
 * @parts: everything that the request consists of but its id, in a fixed order
 */
struct fingerprint fingerprint_of(const struct str *parts, size_t count,
				  struct str caller);
