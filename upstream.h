#pragma once

#include "event.h"
#include "loop.h"
#include "reply.h"

/**
 * DOC: HTTP connections to targets and to the store
 *
 * Connections are kept and reused, one request at a time on each. Nothing is
 * ever sent twice: what came of a request is reported, and the reducer decides.
 */

struct upstream;

/**
 * struct upstream_request - what to send, and where
 * @id: unique; names the request in upstream_cancel() and the reply
 * @addr: "ip:port"
 * @head: request line and headers, with the empty line that ends them
 * @echo_name, @echo: header of the reply that must hold @echo; a reply with
 *                    another value belongs to an earlier request and is
 *                    skipped. Not checked when @echo is empty or absent there
 * @no_body: the reply has no body whatever its head says
 * @reply_max: bytes of a reply's body that are taken, 0 for the default
 * @connect_us, @timeout_us: until a connection stands, until the whole reply
 * @pause_us, @whole_us: where not 0, @timeout_us ends with the reply's first
 *                       bytes; from then on it may pause for @pause_us at a
 *                       time, and take @whole_us in all
 */
struct upstream_request {
	uint64_t id;
	struct str addr;
	struct str head;
	struct str body;
	struct str echo_name;
	struct str echo;
	bool no_body;
	size_t reply_max;
	int64_t connect_us;
	int64_t timeout_us;
	int64_t pause_us;
	int64_t whole_us;
};

/**
 * struct upstream_reply - what came of it
 * @result: FETCH_REFUSED only when no byte was sent
 * @opened: a new connection was opened for it
 */
struct upstream_reply {
	enum fetch_result result;
	int status;
	const struct header *headers;
	size_t nheaders;
	struct str body;
	bool opened;
};

struct upstream_handler {
	void (*done)(void *ctx, uint64_t id,
		     const struct upstream_reply *reply);
	void *ctx;
};

struct upstream *upstream_create(struct loop *loop,
				 struct upstream_handler handler);
/** upstream_send() - strings are copied; the handler is called once, later. */
void upstream_send(struct upstream *up, const struct upstream_request *req);
/** upstream_cancel() - close its connection; the handler is not called. */
void upstream_cancel(struct upstream *up, uint64_t id);
/** upstream_warm() - open connections until @count to @addr stand idle. */
void upstream_warm(struct upstream *up, struct str addr, int count);
void upstream_destroy(struct upstream *up);
