#pragma once

#include "event.h"
#include "loop.h"
#include "reply.h"

/**
 * DOC: HTTP connections to targets and to the store
 *
 * Connections are kept alive and reused, with one request at a time on each.
 * Requests are never retried here: the outcome is reported, and the reducer
 * decides whether to retry.
 */

struct upstream;

/**
 * struct upstream_request - a request and its destination
 * @id: unique; identifies the request in upstream_cancel() and in the handler
 * @addr: "ip:port"
 * @head: request line and headers, including the empty line at their end
 * @echo_name, @echo: name and expected value of a reply header that echoes the
 *                    request's id; a reply with another value, or without it,
 *                    is skipped. If @echo is empty, so is one with the header
 * @signature_name: name of a reply header that signs it; may be empty. A reply
 *                  with two different ones is none
 * @no_body: the reply has no body, whatever its headers state
 * @reply_max: largest reply body accepted, bytes; 0 for the default
 * @connect_timeout_us: timeout of the connection attempt
 * @timeout_us: timeout of the complete reply
 * @read_timeout_us: if not 0, @timeout_us applies only until the first bytes of
 *                   the reply; after them, this limits each gap between reads
 * @total_timeout_us: if @read_timeout_us is not 0, limit from sending to the
 *                    complete reply
 */
struct upstream_request {
	uint64_t id;
	struct str addr;
	struct str head;
	struct str body;
	struct str echo_name;
	struct str echo;
	struct str signature_name;
	bool no_body;
	size_t reply_max;
	int64_t connect_timeout_us;
	int64_t timeout_us;
	int64_t read_timeout_us;
	int64_t total_timeout_us;
};

/**
 * struct upstream_reply - outcome of a request
 * @result: FETCH_REFUSED only if no byte was sent
 * @headers: set with FETCH_OK only
 * @conn: number of the connection, unique in this process; 0 for none
 * @opened: a new connection was opened for the request
 */
struct upstream_reply {
	enum fetch_result result;
	int status;
	const struct headers *headers;
	struct str body;
	uint64_t conn;
	bool opened;
};

struct upstream_handler {
	void (*done)(void *ctx, uint64_t id,
		     const struct upstream_reply *reply);
	void *ctx;
};

struct upstream *upstream_create(struct loop *loop,
				 struct upstream_handler handler);
/**
 * upstream_send() - send a request; strings are copied.
 *
 * The handler is called once, possibly before this returns, unless the request
 * is cancelled.
 */
void upstream_send(struct upstream *up, const struct upstream_request *req);
/** upstream_cancel() - close the connection without calling the handler. */
void upstream_cancel(struct upstream *up, uint64_t id);
/**
 * upstream_set_memory() - limit the memory of all replies under way.
 * @bytes: the largest reply fails beyond this; 0 for no limit
 */
void upstream_set_memory(struct upstream *up, size_t bytes);
/** upstream_warm() - open connections to @addr until @count are idle. */
void upstream_warm(struct upstream *up, struct str addr, int count);
/** upstream_metrics() - append the counters of connections. */
void upstream_metrics(const struct upstream *up, struct buf *out);
void upstream_destroy(struct upstream *up);
