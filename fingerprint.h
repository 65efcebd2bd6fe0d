#pragma once

#include "flow.h"

/**
 * DOC: which requests are the same one
 *
 * A caller who tries again sends the same request under a new id, mostly to
 * another node. Its fingerprint is alike on all nodes.
 */

/**
 * struct fingerprint - a request without its id
 * @content: of method, host, path, query and body
 * @caller: of who sent it
 */
struct fingerprint {
	uint64_t content[2];
	uint64_t caller;
};

struct fingerprint fingerprint_of(const struct flow_request *request);
