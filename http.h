#pragma once

#include "error.h"
#include "loop.h"

/**
 * DOC: HTTP server
 *
 * Runs libmicrohttpd in the event loop. The handler receives complete requests
 * and may answer them at once or later.
 */

struct http_server;

/**
 * struct http_request - a complete request that awaits its answer
 * @id: unique within the process
 * @method, @path, @body: as received
 * @uri: path and query of the request line
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

struct http_server *http_listen(struct loop *loop, struct str addr,
				size_t max_body, struct http_handler handler,
				struct error *err);
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
/** http_set_max_body() - limit of request bodies from now on, bytes. */
void http_set_max_body(struct http_server *server, size_t max_body);
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
