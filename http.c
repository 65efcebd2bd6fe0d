#include "http.h"

#include <arpa/inet.h>
#include <errno.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

#include <apr_escape.h>
#include <apr_ring.h>
#include <apr_time.h>

#include "http_parse.h"
#include "metric.h"
#include "os.h"
#include "xmalloc.h"

#define LOG_MODULE "http"
#include "log.h"

enum {
	READ_SIZE = 64 * 1024,
	/* Bytes of further requests that are read while one is served. */
	PIPELINED_MAX_BYTES = READ_SIZE,
	/* A body or an answer that does not move for this long is given up. */
	STALL_TIMEOUT_US = 120000000,
	/*
	 * A refused caller may still be sending. Closing with unread bytes
	 * resets the connection, and the caller may lose the answer, so the
	 * rest is read until the caller closes or is silent for this long.
	 */
	LINGER_US = 1000000,
	LOGGED_URI_BYTES = 80,
	DEFAULT_HEADER_BYTES = 64 * 1024,
	DEFAULT_TIMEOUT_US = 120000000,
};

/** enum conn_phase - what a connection waits for, in order of a request */
enum conn_phase {
	CONN_IDLE, /* the first byte of a request */
	CONN_HEAD,
	CONN_BODY,
	CONN_SERVED, /* the answer of the handler */
	CONN_ANSWERING, /* the caller, to take the answer */
	CONN_LINGERING, /* the caller, to close after a refusal */
	CONN_CLOSED, /* the end of the round, to be freed */
};

/**
 * struct http_conn - connection of a caller, and its request
 * @req: the request that is served
 * @link: in the list of the phase
 * @next_closed: in the list of closed connections
 * @since: time at which the phase began, or its last progress
 * @in: bytes that arrived behind the request that is served
 * @out, @sent: the answer, and the number of its bytes that were sent
 * @pool: decoded query parameters of the request; NULL if there are none
 * @used: a request was delivered before
 * @processing: input is being processed further up the stack
 * @closing: the connection ends with the answer
 * @refused: the answer came before the request was read
 */
struct http_conn {
	struct http_request req;
	APR_RING_ENTRY(http_conn) link;
	struct http_conn *next_closed;
	struct http_server *server;
	int fd;
	struct watch *watch;
	enum conn_phase phase;
	int64_t since;
	struct http_parse parse;
	struct buf in;
	struct buf out;
	size_t sent;
	apr_pool_t *pool;
	bool used;
	bool processing;
	bool closing;
	bool refused;
	struct in_addr ip;
	char ip_text[INET_ADDRSTRLEN];
};

APR_RING_HEAD(conn_ring, http_conn);

/**
 * struct http_server - a listener and its connections
 * @phases: connections of each phase, the one longest in it first
 * @closed: connections that end with the round
 * @connections: open connections
 * @refused: requests that were refused before they were delivered
 * @open_requests: connections with a request that is not answered yet
 * @date: value of the Date header at @date_s
 */
struct http_server {
	struct loop *loop;
	int fd;
	struct watch *watch;
	struct caller_limits limits;
	struct http_handler handler;
	struct conn_ring phases[CONN_CLOSED];
	struct http_conn *closed;
	size_t connections;
	uint64_t refused;
	size_t open_requests;
	bool closing;
	apr_int64_t date_s;
	char date[APR_RFC822_DATE_LEN];
};

static uint64_t last_request_id;

static struct http_conn *conn_of(struct http_request *req)
{
	return (struct http_conn *)req;
}

/* Life cycle of a connection. */

static bool has_request(enum conn_phase phase)
{
	return phase >= CONN_HEAD && phase <= CONN_ANSWERING;
}

/* Also called on progress within the phase, which restarts its timeout. */
static void set_phase(struct http_conn *conn, enum conn_phase phase)
{
	struct http_server *server = conn->server;

	server->open_requests -= has_request(conn->phase);
	server->open_requests += has_request(phase);
	APR_RING_REMOVE(conn, link);
	APR_RING_INSERT_TAIL(&server->phases[phase], conn, http_conn, link);
	conn->phase = phase;
	conn->since = loop_round_start(server->loop);
}

static void watch_conn(struct http_conn *conn)
{
	bool reads = conn->phase < CONN_SERVED ||
		     conn->phase == CONN_LINGERING ||
		     (conn->phase == CONN_SERVED &&
		      conn->in.len < PIPELINED_MAX_BYTES);
	bool writes = conn->phase == CONN_ANSWERING;

	loop_set_events(conn->watch,
			(reads ? APR_POLLIN : 0) | (writes ? APR_POLLOUT : 0));
}

static void end_request(struct http_conn *conn)
{
	if (conn->pool)
		apr_pool_destroy(conn->pool);
	conn->pool = NULL;
	http_parse_reset(&conn->parse);
	buf_free(&conn->out);
	conn->sent = 0;
}

static void watch_listener(struct http_server *server, bool accepts)
{
	if (server->watch)
		loop_set_events(server->watch, accepts ? APR_POLLIN : 0);
}

/* Freed at the end of the round: callers up the stack still use it. */
static void conn_close(struct http_conn *conn)
{
	struct http_server *server = conn->server;
	bool served = conn->phase == CONN_SERVED;

	if (conn->phase == CONN_CLOSED)
		return;
	loop_del(conn->watch);
	close(conn->fd);
	server->connections--;
	server->open_requests -= has_request(conn->phase);
	APR_RING_REMOVE(conn, link);
	conn->phase = CONN_CLOSED;
	conn->next_closed = server->closed;
	server->closed = conn;
	watch_listener(server, true);
	if (served && server->handler.gone)
		server->handler.gone(server->handler.ctx, &conn->req);
}

/* Answers. */

static void process_input(struct http_conn *conn, const char *bytes,
			  size_t len);

/* Continues with what the caller sent behind the last request. */
static void process_pipelined(struct http_conn *conn)
{
	struct buf in = conn->in;

	conn->in = (struct buf){ 0 };
	process_input(conn, in.ptr, in.len);
	buf_free(&in);
}

static void on_answered(struct http_conn *conn)
{
	if (conn->refused) {
		shutdown(conn->fd, SHUT_WR);
		set_phase(conn, CONN_LINGERING);
		return;
	}
	if (conn->closing) {
		conn_close(conn);
		return;
	}
	end_request(conn);
	set_phase(conn, CONN_IDLE);
	if (conn->in.len && !conn->processing)
		process_pipelined(conn);
}

static void conn_write(struct http_conn *conn)
{
	while (conn->sent < conn->out.len) {
		ssize_t n = send(conn->fd, conn->out.ptr + conn->sent,
				 conn->out.len - conn->sent, MSG_NOSIGNAL);

		if (n < 0 && errno == EINTR)
			continue;
		if (n < 0 && errno == EAGAIN)
			return;
		if (n < 0) {
			conn_close(conn);
			return;
		}
		conn->sent += (size_t)n;
		set_phase(conn, CONN_ANSWERING);
	}
	on_answered(conn);
}

static struct str date_now(struct http_server *server)
{
	apr_time_t now = apr_time_now();

	if (apr_time_sec(now) != server->date_s)
		apr_rfc822_date(server->date, now);
	server->date_s = apr_time_sec(now);
	return str_of(server->date);
}

static const char *reason_phrase(int status)
{
	switch (status) {
#define REASON_PHRASE(number, name, phrase) \
	case number: \
		return #phrase;
		HTTP_STATUS_MAP(REASON_PHRASE)
#undef REASON_PHRASE
	default:
		return "";
	}
}

static void write_head(struct http_conn *conn, int status, struct str headers,
		       size_t body_len)
{
	struct buf *out = &conn->out;

	buf_printf(out, "HTTP/1.1 %d %s\r\n", status, reason_phrase(status));
	header_add_line(out, STR("Date"), date_now(conn->server));
	buf_str_add(out, headers);
	if (status_has_body(status))
		buf_printf(out, "Content-Length: %zu\r\n", body_len);
	if (conn->closing)
		header_add_line(out, STR("Connection"), STR("close"));
	else if (conn->parse.http_1_0)
		header_add_line(out, STR("Connection"), STR("keep-alive"));
	buf_str_add(out, STR("\r\n"));
}

static void answer(struct http_conn *conn, int status, struct str headers,
		   struct str body)
{
	bool head_only = str_eq(buf_str(&conn->parse.method), STR("HEAD"));

	conn->closing = conn->refused || conn->server->closing ||
			!conn->parse.keep_alive;
	write_head(conn, status, headers, body.len);
	if (!head_only && status_has_body(status))
		buf_str_add(&conn->out, body);
	set_phase(conn, CONN_ANSWERING);
	conn_write(conn);
	if (conn->phase != CONN_CLOSED && !conn->processing)
		watch_conn(conn);
}

void http_respond(struct http_request *req, int status, struct str headers,
		  struct str body)
{
	struct http_conn *conn = conn_of(req);

	if (conn->phase == CONN_SERVED)
		answer(conn, status, headers, body);
}

void http_respond_json(struct http_request *req, int status, struct str body)
{
	http_respond(req, status, STR("Content-Type: application/json\r\n"),
		     body);
}

void http_abort(struct http_request *req)
{
	struct http_conn *conn = conn_of(req);

	if (conn->phase != CONN_SERVED)
		return;
	set_phase(conn, CONN_ANSWERING);
	conn_close(conn);
}

/* Input. */

static void describe_refusal(const struct caller_limits *limits, int code,
			     struct buf *out)
{
	if (code == ERR_HEADERS_TOO_LARGE)
		buf_printf(out, "request line and headers over %zu bytes",
			   limits->header_bytes);
	else if (code == ERR_TOO_LARGE)
		buf_printf(out, "body over %zu bytes", limits->body_bytes);
	else if (code == ERR_SLOW_REQUEST)
		buf_printf(out, "headers incomplete after %lld ms",
			   (long long)limits->header_timeout_us / 1000);
	else
		buf_str_add(out, STR("not a request in HTTP/1.1"));
}

/* Answers a request that was not delivered, and ends the connection. */
static void refuse(struct http_conn *conn, int code)
{
	struct str uri = buf_str(&conn->parse.uri);
	struct buf shown = { 0 };
	struct buf why = { 0 };
	struct buf body = { 0 };

	if (uri.len > LOGGED_URI_BYTES)
		uri.len = LOGGED_URI_BYTES;
	buf_printable_add(&shown, uri);
	describe_refusal(&conn->server->limits, code, &why);
	LOG_WARN("refused a request of %.*s for \"%.*s\": %.*s",
		 STR_ARG(http_client_ip(&conn->req)), STR_ARG(buf_str(&shown)),
		 STR_ARG(buf_str(&why)));
	buf_add(&why, "", 1);
	error_json(&body, code, why.ptr, 0);
	conn->server->refused++;
	conn->refused = true;
	answer(conn, error_info(code)->status,
	       STR("Content-Type: application/json\r\n"), buf_str(&body));
	buf_free(&body);
	buf_free(&why);
	buf_free(&shown);
}

static void deliver(struct http_conn *conn)
{
	struct http_server *server = conn->server;
	struct http_request *req = &conn->req;
	struct str uri = buf_str(&conn->parse.uri);
	const char *query = uri.len ? memchr(uri.ptr, '?', uri.len) : NULL;

	*req = (struct http_request){
		.id = ++last_request_id,
		.method = buf_str(&conn->parse.method),
		.uri = uri,
		.path = { uri.ptr,
			  query ? (size_t)(query - uri.ptr) : uri.len },
		.body = buf_str(&conn->parse.body),
		.first_on_connection = !conn->used,
		.server = server,
	};
	req->remaining_ms = str_parse_int(
		http_header(req, STR("X-Remaining-Ms")), INT32_MAX);
	conn->used = true;
	set_phase(conn, CONN_SERVED);
	server->handler.request(server->handler.ctx, req);
}

static enum conn_phase input_phase(const struct http_parse *parse)
{
	if (parse->state >= HTTP_PARSE_BODY)
		return CONN_BODY;
	return parse->method.len ? CONN_HEAD : CONN_IDLE;
}

/* The time for the headers runs from their first byte. */
static void on_progress(struct http_conn *conn)
{
	enum conn_phase phase = input_phase(&conn->parse);

	if (phase != conn->phase || phase == CONN_BODY)
		set_phase(conn, phase);
}

static void send_continue(struct http_conn *conn)
{
	static const char line[] = "HTTP/1.1 100 Continue\r\n\r\n";

	conn->parse.awaits_continue = false;
	if (send(conn->fd, line, sizeof(line) - 1, MSG_NOSIGNAL) !=
	    (ssize_t)sizeof(line) - 1)
		conn_close(conn);
}

static void process_input(struct http_conn *conn, const char *bytes, size_t len)
{
	const struct caller_limits *limits = &conn->server->limits;

	conn->processing = true;
	while (len && conn->phase < CONN_SERVED) {
		ssize_t used = http_parse(&conn->parse, limits, bytes, len);

		if (used < 0) {
			refuse(conn, (int)used);
			break;
		}
		bytes += used;
		len -= (size_t)used;
		on_progress(conn);
		if (conn->parse.state == HTTP_PARSE_DONE)
			deliver(conn);
		else if (conn->phase == CONN_BODY &&
			 conn->parse.awaits_continue)
			send_continue(conn);
	}
	conn->processing = false;
	if (conn->phase == CONN_CLOSED)
		return;
	if (conn->phase != CONN_LINGERING)
		buf_add(&conn->in, bytes, len);
	watch_conn(conn);
}

/* A caller that stops sending while it is answered may still read. */
static void on_eof(struct http_conn *conn)
{
	if (conn->phase != CONN_ANSWERING)
		conn_close(conn);
}

static void conn_read(struct http_conn *conn)
{
	static char bytes[READ_SIZE];
	ssize_t got = recv(conn->fd, bytes, sizeof(bytes), 0);

	if (got < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	if (got <= 0)
		on_eof(conn);
	else if (conn->phase == CONN_LINGERING)
		set_phase(conn, CONN_LINGERING);
	else
		process_input(conn, bytes, (size_t)got);
}

static void on_conn_event(void *ctx, int events)
{
	struct http_conn *conn = ctx;

	if (conn->phase == CONN_ANSWERING)
		conn_write(conn);
	else if (events & (APR_POLLIN | APR_POLLHUP | APR_POLLERR))
		conn_read(conn);
	if (conn->phase != CONN_CLOSED)
		watch_conn(conn);
}

/* Listener. */

static void conn_create(struct http_server *server, int fd,
			const struct sockaddr_in *from)
{
	struct http_conn *conn = xcalloc(1, sizeof(*conn));

	server->connections++;
	conn->server = server;
	conn->fd = fd;
	conn->ip = from->sin_addr;
	conn->since = loop_round_start(server->loop);
	http_parse_reset(&conn->parse);
	APR_RING_INSERT_TAIL(&server->phases[CONN_IDLE], conn, http_conn, link);
	conn->watch =
		loop_add(server->loop, fd, APR_POLLIN, on_conn_event, conn);
}

/*
 * Without descriptors no caller can connect, while kept connections hold them
 * unused: the one idle longest ends. If none is idle, nothing is accepted until
 * a connection ends.
 */
static bool free_descriptor(struct http_server *server)
{
	struct conn_ring *idle = &server->phases[CONN_IDLE];

	if (APR_RING_EMPTY(idle, http_conn, link)) {
		watch_listener(server, false);
		return false;
	}
	conn_close(APR_RING_FIRST(idle));
	return true;
}

static void on_accept(void *ctx, int events)
{
	struct http_server *server = ctx;
	/* Without descriptors accept4() fails even if no caller waits. */
	bool caller_waits = true;
	struct sockaddr_in from;

	(void)events;
	for (;;) {
		socklen_t len = sizeof(from);
		int fd = accept4(server->fd, (struct sockaddr *)&from, &len,
				 SOCK_NONBLOCK | SOCK_CLOEXEC);

		if (fd >= 0) {
			conn_create(server, fd, &from);
			caller_waits = false;
		} else if (errno == EMFILE || errno == ENFILE) {
			if (!caller_waits || !free_descriptor(server))
				return;
		} else if (errno != EINTR && errno != ECONNABORTED) {
			return;
		}
	}
}

static int64_t phase_timeout_us(const struct http_server *server,
				enum conn_phase phase)
{
	switch (phase) {
	case CONN_IDLE:
		return server->limits.idle_timeout_us;
	case CONN_HEAD:
		return server->limits.header_timeout_us;
	case CONN_BODY:
	case CONN_ANSWERING:
		return STALL_TIMEOUT_US;
	case CONN_LINGERING:
		return LINGER_US;
	default:
		return INT64_MAX;
	}
}

static void end_expired(struct http_server *server, enum conn_phase phase,
			int64_t now)
{
	struct conn_ring *ring = &server->phases[phase];
	int64_t timeout_us = phase_timeout_us(server, phase);

	while (!APR_RING_EMPTY(ring, http_conn, link) &&
	       now - APR_RING_FIRST(ring)->since >= timeout_us) {
		struct http_conn *conn = APR_RING_FIRST(ring);

		if (phase == CONN_HEAD)
			refuse(conn, ERR_SLOW_REQUEST);
		else
			conn_close(conn);
	}
}

static void free_closed(struct http_server *server)
{
	struct http_conn *next;

	for (struct http_conn *conn = server->closed; conn; conn = next) {
		next = conn->next_closed;
		end_request(conn);
		buf_free(&conn->in);
		free(conn);
	}
	server->closed = NULL;
}

static void run_server(void *ctx)
{
	struct http_server *server = ctx;
	int64_t now = loop_round_start(server->loop);

	for (enum conn_phase phase = 0; phase < CONN_CLOSED; phase++)
		end_expired(server, phase, now);
	free_closed(server);
}

struct caller_limits http_default_limits(size_t body_bytes)
{
	return (struct caller_limits){
		.header_bytes = DEFAULT_HEADER_BYTES,
		.body_bytes = body_bytes,
		.header_timeout_us = DEFAULT_TIMEOUT_US,
		.idle_timeout_us = DEFAULT_TIMEOUT_US,
	};
}

struct http_server *http_listen(struct loop *loop, struct str addr,
				const struct caller_limits *limits,
				struct http_handler handler, struct error *err)
{
	struct http_server *server;
	int fd = os_listen(addr, 0, SOMAXCONN);

	if (fd < 0) {
		error_set(err, ERR_IO, "cannot listen on %.*s: %s",
			  STR_ARG(addr), strerror(errno));
		return NULL;
	}
	server = xcalloc(1, sizeof(*server));
	server->loop = loop;
	server->fd = fd;
	server->limits = *limits;
	server->handler = handler;
	for (int phase = 0; phase < CONN_CLOSED; phase++)
		APR_RING_INIT(&server->phases[phase], http_conn, link);
	server->watch = loop_add(loop, fd, APR_POLLIN, on_accept, server);
	loop_hook(loop, (struct loop_hook){ run_server, NULL, server });
	return server;
}

void http_set_limits(struct http_server *server,
		     const struct caller_limits *limits)
{
	server->limits = *limits;
}

/* Of the request that is served. */

struct str http_client_ip(struct http_request *req)
{
	struct http_conn *conn = conn_of(req);

	if (!inet_ntop(AF_INET, &conn->ip, conn->ip_text,
		       sizeof(conn->ip_text)))
		return (struct str){ 0 };
	return str_of(conn->ip_text);
}

struct str http_header(struct http_request *req, struct str name)
{
	return headers_find(&conn_of(req)->parse.headers, name);
}

void http_copy_headers(struct http_request *req, bool (*keep)(struct str name),
		       struct buf *out)
{
	const struct headers *headers = &conn_of(req)->parse.headers;

	for (size_t i = 0; i < headers->count; i++) {
		struct header header = headers_at(headers, i);

		if (keep(header.name))
			header_add_line(out, header.name, header.value);
	}
}

/* Return: the undecoded value of @key in "?key=value&key=value", or empty. */
static struct str find_param(struct str query, struct str key)
{
	while (query.len) {
		const char *end = memchr(query.ptr, '&', query.len);
		size_t len = end ? (size_t)(end - query.ptr) : query.len;

		if (len > key.len && query.ptr[key.len] == '=' &&
		    !memcmp(query.ptr, key.ptr, key.len))
			return (struct str){ query.ptr + key.len + 1,
					     len - key.len - 1 };
		len += end ? 1 : 0;
		query.ptr += len;
		query.len -= len;
	}
	return (struct str){ 0 };
}

struct str http_query_param(struct http_request *req, const char *key)
{
	struct http_conn *conn = conn_of(req);
	struct str query = { req->uri.ptr + req->path.len,
			     req->uri.len - req->path.len };
	struct str value = { 0 };

	if (query.len)
		value = find_param((struct str){ query.ptr + 1, query.len - 1 },
				   str_of(key));
	if (!value.len)
		return value;
	if (!conn->pool)
		apr_pool_create(&conn->pool, NULL);
	value = str_dup(conn->pool, value);
	return str_of(apr_punescape_url(conn->pool, value.ptr, NULL, NULL, 1));
}

/* Stop. */

void http_set_closing(struct http_server *server, bool closing)
{
	server->closing = closing;
}

void http_quiesce(struct http_server *server)
{
	if (server->watch)
		loop_del(server->watch);
	server->watch = NULL;
}

void http_metrics(const struct http_server *server, struct buf *out)
{
	metric_gauge(out, "caller_connections", "open connections of callers",
		     server->connections);
	metric_counter(out, "refused_unread",
		       "requests beyond a limit, or not in HTTP/1.1",
		       server->refused);
}

size_t http_open_requests(const struct http_server *server)
{
	return server->open_requests;
}

void http_destroy(struct http_server *server)
{
	loop_unhook(server->loop, server);
	http_quiesce(server);
	for (int phase = 0; phase < CONN_CLOSED; phase++)
		while (!APR_RING_EMPTY(&server->phases[phase], http_conn, link))
			conn_close(APR_RING_FIRST(&server->phases[phase]));
	free_closed(server);
	close(server->fd);
	free(server);
}
