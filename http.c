#include "http.h"

#include <arpa/inet.h>
#include <errno.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

#include <microhttpd.h>

#include "config.h"
#include "xmalloc.h"

enum {
	CONNECTION_MEMORY_BYTES = 32 * 1024,
	CONNECTIONS_MAX = 8192,
	IDLE_TIMEOUT_S = 120,
};

/** struct pending_request - a request and its state in MHD */
struct pending_request {
	struct http_request req;
	struct MHD_Connection *conn;
	struct buf body;
	struct watch *watch;
	int dup_fd;
	bool delivered;
	bool suspended;
	bool answered;
	bool aborted;
	bool too_large;
	int status;
	struct buf uri;
	char client_ip[INET_ADDRSTRLEN];
	struct buf answer_headers;
	struct buf answer_body;
};

struct http_server {
	struct loop *loop;
	struct MHD_Daemon *daemon;
	struct watch *watch;
	size_t max_body;
	struct http_handler handler;
	size_t open_requests;
	bool needs_run;
	bool closing;
	int quiesced_fd;
};

static uint64_t last_request_id;

static void unwatch_client(struct pending_request *p)
{
	if (!p->watch)
		return;
	loop_del(p->watch);
	close(p->dup_fd);
	p->watch = NULL;
}

static void resume_connection(struct pending_request *p)
{
	unwatch_client(p);
	if (!p->suspended)
		return;
	p->suspended = false;
	p->req.server->needs_run = true;
	MHD_resume_connection(p->conn);
}

void http_respond(struct http_request *req, int status, struct str headers,
		  struct str body)
{
	struct pending_request *p = (struct pending_request *)req;

	if (p->answered)
		return;
	p->answered = true;
	p->status = status;
	buf_str_add(&p->answer_headers, headers);
	buf_str_add(&p->answer_body, body);
	resume_connection(p);
}

void http_respond_json(struct http_request *req, int status, struct str body)
{
	http_respond(req, status, STR("Content-Type: application/json\r\n"),
		     body);
}

void http_abort(struct http_request *req)
{
	struct pending_request *p = (struct pending_request *)req;

	p->answered = true;
	p->aborted = true;
	resume_connection(p);
}

/*
 * MHD does not poll suspended connections. Without this watch a client that
 * closes would go unnoticed, and its requests to targets would not be
 * cancelled.
 */
static void on_client_readable(void *ctx, int events)
{
	struct pending_request *p = ctx;
	char byte;
	ssize_t got = recv(p->dup_fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);

	(void)events;
	if (got > 0) {
		unwatch_client(p);
		return;
	}
	if (got < 0 && (errno == EAGAIN || errno == EINTR))
		return;

	struct http_server *server = p->req.server;

	p->answered = true;
	p->aborted = true;
	if (server->handler.gone)
		server->handler.gone(server->handler.ctx, &p->req);
	resume_connection(p);
}

static void watch_client(struct pending_request *p)
{
	const union MHD_ConnectionInfo *info = MHD_get_connection_info(
		p->conn, MHD_CONNECTION_INFO_CONNECTION_FD);

	/* Duplicated, as MHD has its own descriptor in an epoll set already. */
	p->dup_fd = info ? dup(info->connect_fd) : -1;
	if (p->dup_fd < 0)
		return;
	p->watch = loop_add(p->req.server->loop, p->dup_fd, APR_POLLIN,
			    on_client_readable, p);
}

/* Parses "Name: value" lines in place, writing NULs over the separators. */
static void add_headers(struct MHD_Response *response, struct buf *lines)
{
	char *at = lines->ptr;
	char *end = at + lines->len;

	while (at < end) {
		char *eol = memchr(at, '\r', (size_t)(end - at));
		char *colon = memchr(at, ':', (size_t)(end - at));

		if (!eol || !colon || colon > eol)
			return;
		*eol = '\0';
		*colon = '\0';
		MHD_add_response_header(response, at, colon + 2);
		at = eol + 2;
	}
}

static enum MHD_Result queue_answer(struct pending_request *p)
{
	enum MHD_Result result;
	struct MHD_Response *response;

	if (p->aborted)
		return MHD_NO;
	response = MHD_create_response_from_buffer(
		p->answer_body.len, p->answer_body.ptr, MHD_RESPMEM_MUST_COPY);
	add_headers(response, &p->answer_headers);
	if (p->req.server->closing || p->too_large)
		MHD_add_response_header(response, "Connection", "close");
	result = MHD_queue_response(p->conn, (unsigned int)p->status, response);
	MHD_destroy_response(response);
	return result;
}

/* The socket context of a connection is a flag, set by its first request. */
static bool is_first_request(struct MHD_Connection *conn)
{
	const union MHD_ConnectionInfo *info = MHD_get_connection_info(
		conn, MHD_CONNECTION_INFO_SOCKET_CONTEXT);
	bool *used = info ? info->socket_context : NULL;
	bool first = used && !*used;

	if (used)
		*used = true;
	return first;
}

static void on_connection(void *ctx, struct MHD_Connection *conn, void **state,
			  enum MHD_ConnectionNotificationCode code)
{
	(void)ctx;
	(void)conn;
	if (code == MHD_CONNECTION_NOTIFY_STARTED) {
		*state = xcalloc(1, sizeof(bool));
		return;
	}
	free(*state);
	*state = NULL;
}

/* Called with the request line; MHD stores the return value as state. */
static void *on_request_line(void *ctx, const char *uri,
			     struct MHD_Connection *conn)
{
	struct http_server *server = ctx;
	struct pending_request *p = xcalloc(1, sizeof(*p));

	p->conn = conn;
	p->req.id = ++last_request_id;
	p->req.server = server;
	buf_str_add(&p->uri, str_of(uri));
	server->open_requests++;
	return p;
}

static void fill_request(struct pending_request *p, const char *method,
			 const char *path)
{
	const char *remaining = MHD_lookup_connection_value(
		p->conn, MHD_HEADER_KIND, "X-Remaining-Ms");

	p->req.method = str_of(method);
	p->req.path = str_of(path);
	p->req.uri = buf_str(&p->uri);
	p->req.first_on_connection = is_first_request(p->conn);
	p->req.remaining_ms = remaining ? strtoll(remaining, NULL, 10) : -1;
}

struct str http_client_ip(struct http_request *req)
{
	struct pending_request *p = (struct pending_request *)req;
	const union MHD_ConnectionInfo *info = MHD_get_connection_info(
		p->conn, MHD_CONNECTION_INFO_CLIENT_ADDRESS);
	const struct sockaddr_in *from =
		info ? (const struct sockaddr_in *)info->client_addr : NULL;

	if (!from || from->sin_family != AF_INET ||
	    !inet_ntop(AF_INET, &from->sin_addr, p->client_ip,
		       sizeof(p->client_ip)))
		return (struct str){ 0 };
	return str_of(p->client_ip);
}

struct str http_header(struct http_request *req, struct str name)
{
	struct pending_request *p = (struct pending_request *)req;

	return str_of(MHD_lookup_connection_value(p->conn, MHD_HEADER_KIND,
						  name.ptr));
}

/** struct header_copy - context of copy_header() */
struct header_copy {
	bool (*keep)(struct str name);
	struct buf *out;
};

static enum MHD_Result copy_header(void *ctx, enum MHD_ValueKind kind,
				   const char *name, const char *value)
{
	struct header_copy *copy = ctx;

	(void)kind;
	if (copy->keep(str_of(name)))
		buf_printf(copy->out, "%s: %s\r\n", name, value ? value : "");
	return MHD_YES;
}

void http_copy_headers(struct http_request *req, bool (*keep)(struct str name),
		       struct buf *out)
{
	struct pending_request *p = (struct pending_request *)req;
	struct header_copy copy = { keep, out };

	MHD_get_connection_values(p->conn, MHD_HEADER_KIND, copy_header, &copy);
}

void http_set_max_body(struct http_server *server, size_t max_body)
{
	server->max_body = max_body;
}

static void deliver_request(struct pending_request *p)
{
	struct http_server *server = p->req.server;

	p->delivered = true;
	if (p->too_large) {
		struct buf out = { 0 };

		error_json(&out, ERR_TOO_LARGE, "body", 0);
		http_respond_json(&p->req, error_info(ERR_TOO_LARGE)->status,
				  buf_str(&out));
		buf_free(&out);
		return;
	}
	p->req.body = buf_str(&p->body);
	server->handler.request(server->handler.ctx, &p->req);
}

static enum MHD_Result on_request(void *ctx, struct MHD_Connection *conn,
				  const char *path, const char *method,
				  const char *version, const char *data,
				  size_t *size, void **state)
{
	struct http_server *server = ctx;
	struct pending_request *p = *state;

	(void)version;
	if (!p->req.method.len) {
		fill_request(p, method, path);
		return MHD_YES;
	}
	if (*size) {
		if (p->body.len + *size > server->max_body)
			p->too_large = true;
		else
			buf_add(&p->body, data, *size);
		*size = 0;
		return MHD_YES;
	}
	if (!p->delivered)
		deliver_request(p);
	if (p->answered)
		return queue_answer(p);
	if (!p->suspended) {
		p->suspended = true;
		MHD_suspend_connection(conn);
		watch_client(p);
	}
	return MHD_YES;
}

static void on_request_completed(void *ctx, struct MHD_Connection *conn,
				 void **state,
				 enum MHD_RequestTerminationCode code)
{
	struct http_server *server = ctx;
	struct pending_request *p = *state;

	(void)conn;
	(void)code;
	if (!p)
		return;
	unwatch_client(p);
	if (p->delivered && !p->answered && server->handler.gone)
		server->handler.gone(server->handler.ctx, &p->req);
	buf_free(&p->body);
	buf_free(&p->uri);
	buf_free(&p->answer_headers);
	buf_free(&p->answer_body);
	free(p);
	server->open_requests--;
	*state = NULL;
}

static void run_daemon(void *ctx)
{
	struct http_server *server = ctx;
	MHD_UNSIGNED_LONG_LONG ms = 1;

	MHD_get_timeout(server->daemon, &ms);
	if (!server->needs_run && ms)
		return;
	/* Cleared first: connections resumed by MHD_run() need another run. */
	server->needs_run = false;
	MHD_run(server->daemon);
}

static void on_epoll_ready(void *ctx, int events)
{
	struct http_server *server = ctx;

	(void)events;
	server->needs_run = true;
}

static int64_t wait_us(void *ctx)
{
	struct http_server *server = ctx;
	MHD_UNSIGNED_LONG_LONG ms;

	if (server->needs_run)
		return 0;
	if (MHD_get_timeout(server->daemon, &ms) != MHD_YES)
		return -1;
	return (int64_t)ms * 1000;
}

struct http_server *http_listen(struct loop *loop, struct str addr,
				size_t max_body, struct http_handler handler,
				struct error *err)
{
	struct sockaddr_in sin = { .sin_family = AF_INET };
	struct http_server *server;
	char ip[INET_ADDRSTRLEN];
	uint16_t port;

	if (addr_split(addr, ip, sizeof(ip), &port)) {
		error_set(err, ERR_IO, "%.*s is not an \"ip:port\" address",
			  STR_ARG(addr));
		return NULL;
	}
	inet_pton(AF_INET, ip, &sin.sin_addr);
	sin.sin_port = htons(port);
	server = xcalloc(1, sizeof(*server));
	server->loop = loop;
	server->max_body = max_body;
	server->handler = handler;
	server->quiesced_fd = -1;
	server->daemon = MHD_start_daemon(
		MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, port, NULL, NULL,
		on_request, server, MHD_OPTION_SOCK_ADDR, &sin,
		MHD_OPTION_URI_LOG_CALLBACK, on_request_line, server,
		MHD_OPTION_NOTIFY_COMPLETED, on_request_completed, server,
		MHD_OPTION_NOTIFY_CONNECTION, on_connection, server,
		MHD_OPTION_CONNECTION_MEMORY_LIMIT,
		(size_t)CONNECTION_MEMORY_BYTES, MHD_OPTION_CONNECTION_LIMIT,
		(unsigned int)CONNECTIONS_MAX, MHD_OPTION_CONNECTION_TIMEOUT,
		(unsigned int)IDLE_TIMEOUT_S,
		MHD_OPTION_LISTENING_ADDRESS_REUSE, 1U, MHD_OPTION_END);
	if (!server->daemon) {
		error_set(err, ERR_IO, "cannot listen on %.*s: %s",
			  STR_ARG(addr), strerror(errno));
		free(server);
		return NULL;
	}

	const union MHD_DaemonInfo *info =
		MHD_get_daemon_info(server->daemon, MHD_DAEMON_INFO_EPOLL_FD);

	server->watch = loop_add(loop, info->epoll_fd, APR_POLLIN,
				 on_epoll_ready, server);
	loop_hook(loop, (struct loop_hook){ run_daemon, wait_us, server });
	return server;
}

struct str http_query_param(struct http_request *req, const char *key)
{
	struct pending_request *p = (struct pending_request *)req;

	return str_of(MHD_lookup_connection_value(p->conn,
						  MHD_GET_ARGUMENT_KIND, key));
}

void http_set_closing(struct http_server *server, bool closing)
{
	server->closing = closing;
}

void http_quiesce(struct http_server *server)
{
	if (server->quiesced_fd < 0)
		server->quiesced_fd = MHD_quiesce_daemon(server->daemon);
}

size_t http_open_requests(const struct http_server *server)
{
	return server->open_requests;
}

void http_destroy(struct http_server *server)
{
	loop_unhook(server->loop, server);
	loop_del(server->watch);
	MHD_stop_daemon(server->daemon);
	if (server->quiesced_fd >= 0)
		close(server->quiesced_fd);
	free(server);
}
