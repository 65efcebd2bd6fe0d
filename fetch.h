#pragma once

#include "event.h"
#include "loop.h"

/**
 * DOC: HTTP client
 *
 * libcurl's multi interface in the event loop. Connections are kept and
 * reused, except for requests that must not be repeated.
 */

struct fetcher;

/**
 * struct fetch_reply - what came of it
 * @result: FETCH_OK, FETCH_REFUSED, FETCH_BROKEN or FETCH_TIMEOUT
 * @resent: times that the library sent it again by itself
 */
struct fetch_reply {
	enum fetch_result result;
	int status;
	int resent;
	struct str body;
};

/**
 * struct fetch_request - a request to a target or the platform
 * @url: whole URL
 * @post: body of a POST; a GET when its ptr is NULL
 * @remaining_us: told to the receiver, -1 for no such header
 * @timeout_us: the transfer is ended after this time
 * @max_body: a larger reply is malformed; 0 for the fetcher's own limit
 * @once: never sent twice: fresh connection, no resending
 * @done: called once, unless the fetcher is destroyed before
 */
struct fetch_request {
	struct str url;
	struct str post;
	int64_t remaining_us;
	int64_t timeout_us;
	size_t max_body;
	bool once;
	void (*done)(void *ctx, uint64_t id, const struct fetch_reply *reply);
	void *ctx;
	uint64_t id;
};

struct fetcher *fetcher_create(struct loop *loop, size_t max_body);
/** fetch_start() - strings are copied. */
void fetch_start(struct fetcher *fetcher, const struct fetch_request *request);
void fetcher_destroy(struct fetcher *fetcher);
