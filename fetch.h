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
 * struct fetch_reply - outcome of a request
 * @result: FETCH_OK if there is a reply, or how the request failed
 * @status: HTTP status, 0 when none was received
 * @resent: number of times that libcurl sent the request again
 * @body: body of the reply
 */
struct fetch_reply {
	enum fetch_result result;
	int status;
	int resent;
	struct str body;
};

/**
 * struct fetch_request - a request to a target or the platform
 * @url: absolute URL
 * @post: body of a POST; a GET when its ptr is NULL
 * @remaining_us: value of the X-Remaining-Ms header, -1 for none
 * @timeout_us: the transfer is aborted after this time
 * @max_body: larger replies are malformed; 0 for the fetcher's default
 * @once: at most once: sent on a new connection and never resent
 * @done: called once, unless the fetcher is destroyed before
 * @ctx: passed to @done
 * @id: passed to @done
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

/**
 * fetcher_create() - create an HTTP client in the event loop
 * @max_body: default limit of the size of a reply
 */
struct fetcher *fetcher_create(struct loop *loop, size_t max_body);
/** fetch_start() - start a request; strings are copied. */
void fetch_start(struct fetcher *fetcher, const struct fetch_request *request);
void fetcher_destroy(struct fetcher *fetcher);
