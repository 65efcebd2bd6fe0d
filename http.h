#pragma once

#include "catalog.h"
#include "error.h"
#include "loop.h"

/**
 * DOC: HTTP server
 *
 * The handler receives complete requests and may answer them at once or later.
 * What callers may send is bounded by the limits in force alone: whatever they
 * allow is delivered, and the rest is refused before it is. A request that was
 * delivered gets the answer of its handler, whatever the size of either.
 */

struct http_server;

/**
 * struct http_request - a complete request that awaits its answer
 * @id: unique within the process
 * @method, @body: as received
 * @uri: path and query of the request line
 * @path: @uri without its query
 * @first_on_connection: first request on its connection
 * @remaining_ms: value of the X-Remaining-Ms header, -1 if absent
 */
struct http_request {
	uint64_t id;
	struct str method;
	struct str path;
	struct str uri;
	struct str body;
	bool first_on_connection;
	int64_t remaining_ms;
	struct http_server *server;
};

/**
 * struct http_handler - callbacks of a server
 * @request: a complete request; answer it with http_respond_json() or
 *           http_respond(), now or later
 * @gone: the client closed before the answer; @req must not be answered
 */
struct http_handler {
	void (*request)(void *ctx, struct http_request *req);
	void (*gone)(void *ctx, struct http_request *req);
	void *ctx;
};

/** http_default_limits() - limits where no configuration states any. */
struct caller_limits http_default_limits(size_t body_bytes);
struct http_server *http_listen(struct loop *loop, struct str addr,
				const struct caller_limits *limits,
				struct http_handler handler, struct error *err);
/** http_set_limits() - limits of requests and connections from now on. */
void http_set_limits(struct http_server *server,
		     const struct caller_limits *limits);
void http_respond_json(struct http_request *req, int status, struct str body);
/**
 * http_respond() - answer a request.
 * @headers: header lines, "Name: value\r\n" each
 */
void http_respond(struct http_request *req, int status, struct str headers,
		  struct str body);
/** http_header() - value of a request header; empty if absent. */
struct str http_header(struct http_request *req, struct str name);
/** http_client_ip() - IP address of the client; empty if unknown. */
struct str http_client_ip(struct http_request *req);
/** http_copy_headers() - append the header lines that @keep accepts. */
void http_copy_headers(struct http_request *req, bool (*keep)(struct str name),
		       struct buf *out);
/** http_metrics() - append the numbers of connections and of refusals. */
void http_metrics(const struct http_server *server, struct buf *out);
/** http_abort() - close the connection without an answer. */
void http_abort(struct http_request *req);
/** http_query_param() - value of a query parameter; empty if absent. */
struct str http_query_param(struct http_request *req, const char *key);
/** http_set_closing() - send "Connection: close" with each answer. */
void http_set_closing(struct http_server *server, bool closing);
/** http_quiesce() - accept no further connections. */
void http_quiesce(struct http_server *server);
size_t http_open_requests(const struct http_server *server);
void http_destroy(struct http_server *server);
