#include "upstream_conn.h"

#include <errno.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

#include "os.h"
#include "xmalloc.h"

enum {
	READ_SIZE = 32 * 1024,
	/*
	 * A peer that acknowledges no bytes for this long has lost power or is
	 * cut off from the network and sends no reset.
	 */
	USER_TIMEOUT_MS = 3000,
	/*
	 * If the peer states its own timeout in Keep-Alive, idle connections
	 * are closed after the given share of it, so that no request is sent
	 * while the peer closes.
	 */
	KEEP_ALIVE_SHARE_NUM = 7,
	KEEP_ALIVE_SHARE_DEN = 10,
	KEEP_ALIVE_MAX_S = 86400,
};

static void set_held(struct conn *conn, size_t held)
{
	conn->up->held += held - conn->held;
	conn->held = held;
}

void conn_free(struct conn *conn)
{
	set_held(conn, 0);
	loop_del(conn->watch);
	close(conn->fd);
	buf_free(&conn->out);
	reply_free(&conn->reply);
	sent_ids_free(&conn->carried);
	free(conn);
}

void conn_close(struct conn *conn)
{
	struct conn **at = &conn->endpoint->conns;

	while (*at != conn)
		at = &(*at)->next;
	*at = conn->next;
	if (conn->id)
		apr_hash_set(conn->up->in_flight, &conn->id, sizeof(conn->id),
			     NULL);
	conn_free(conn);
}

void conn_fail(struct conn *conn, enum fetch_result result)
{
	struct upstream *up = conn->up;
	uint64_t id = conn->id;
	struct upstream_reply reply = { .result = result,
					.conn = conn->number,
					.opened = conn->fresh };

	conn_close(conn);
	if (id)
		up->handler.done(up->handler.ctx, id, &reply);
}

static enum fetch_result broken_result(const struct conn *conn)
{
	return conn->sent ? FETCH_BROKEN : FETCH_REFUSED;
}

/* Timeout of a "Keep-Alive: timeout=5" header in microseconds, or 0. */
static int64_t keep_alive_us(struct str value)
{
	static const struct str key = { "timeout=", 8 };

	while (value.len > key.len) {
		if (!strncasecmp(value.ptr, key.ptr, key.len)) {
			value.ptr += key.len;
			value.len -= key.len;
			return str_parse_int(value, KEEP_ALIVE_MAX_S) * 1000000;
		}
		value.ptr++;
		value.len--;
	}
	return 0;
}

static void update_idle_timeout(struct conn *conn)
{
	struct str value =
		headers_find(&conn->reply.headers, STR("Keep-Alive"));
	int64_t us = value.len ? keep_alive_us(value) : 0;

	if (us > 0)
		conn->endpoint->idle_timeout_us =
			us * KEEP_ALIVE_SHARE_NUM / KEEP_ALIVE_SHARE_DEN;
}

/* Reports the complete reply; keeps the connection if it can be reused. */
static void conn_complete(struct conn *conn, bool keep)
{
	struct upstream *up = conn->up;
	/* The handler may reuse or close the connection. */
	struct headers headers = conn->reply.headers;
	struct buf body = conn->reply.body;
	uint64_t id = conn->id;
	struct upstream_reply reply = {
		.result = FETCH_OK,
		.status = (int)conn->reply.parser.status_code,
		.headers = &headers,
		.body = buf_str(&body),
		.conn = conn->number,
		.opened = conn->fresh,
	};

	update_idle_timeout(conn);
	/* The unsent rest of a long body must not precede the next request. */
	if (conn->sent < conn->out.len || sent_ids_full(&conn->carried))
		keep = false;
	apr_hash_set(up->in_flight, &conn->id, sizeof(conn->id), NULL);
	conn->id = 0;
	conn->fresh = false;
	conn->reply.headers = (struct headers){ 0 };
	conn->reply.body = (struct buf){ 0 };
	set_held(conn, 0);
	if (keep) {
		conn->state = CONN_IDLE;
		conn->idle_until = loop_now() + conn->endpoint->idle_timeout_us;
		reply_reset(&conn->reply);
	} else {
		conn_close(conn);
	}
	up->handler.done(up->handler.ctx, id, &reply);
	headers_free(&headers);
	buf_free(&body);
}

/* Sockets. */

void conn_write(struct conn *conn)
{
	while (conn->sent < conn->out.len) {
		ssize_t n = send(conn->fd, conn->out.ptr + conn->sent,
				 conn->out.len - conn->sent, MSG_NOSIGNAL);

		if (n > 0) {
			conn->sent += (size_t)n;
			continue;
		}
		if (errno == EINTR)
			continue;
		if (errno != EAGAIN) {
			conn_fail(conn, broken_result(conn));
			return;
		}
		loop_set_events(conn->watch, APR_POLLIN | APR_POLLOUT);
		return;
	}
	loop_set_events(conn->watch, APR_POLLIN);
}

static void conn_connected(struct conn *conn)
{
	int so_error = 0;
	socklen_t len = sizeof(so_error);

	getsockopt(conn->fd, SOL_SOCKET, SO_ERROR, &so_error, &len);
	if (so_error) {
		conn_fail(conn, FETCH_REFUSED);
		return;
	}
	if (!conn->id) {
		conn->state = CONN_IDLE;
		conn->idle_until = loop_now() + conn->endpoint->idle_timeout_us;
		loop_set_events(conn->watch, APR_POLLIN);
		return;
	}
	conn->state = CONN_BUSY;
	conn_write(conn);
}

static void conn_eof(struct conn *conn)
{
	if (conn->state == CONN_BUSY) {
		reply_eof(&conn->reply);
		if (conn->reply.done) {
			conn_complete(conn, false);
			return;
		}
	}
	conn_fail(conn, broken_result(conn));
}

static void extend_reply_deadline(struct conn *conn)
{
	if (!conn->read_timeout_us)
		return;
	conn->reply_deadline = loop_now() + conn->read_timeout_us;
	if (conn->reply_deadline > conn->total_deadline)
		conn->reply_deadline = conn->total_deadline;
}

static struct conn *largest_reply(const struct upstream *up)
{
	struct conn *largest = NULL;
	apr_hash_index_t *it;

	for (it = apr_hash_first(NULL, up->in_flight); it;
	     it = apr_hash_next(it)) {
		struct conn *conn = hash_value(it);

		if (!largest || conn->held > largest->held)
			largest = conn;
	}
	return largest;
}

/*
 * Each reply has a limit, but hundreds at a time could take all memory, and
 * with the process all callers would lose their requests.
 */
static void bound_memory(struct upstream *up)
{
	struct conn *largest;

	if (!up->held_max || up->held <= up->held_max)
		return;
	largest = largest_reply(up);
	if (!largest)
		return;
	up->counts.dropped++;
	conn_fail(largest, FETCH_MALFORMED);
}

static void conn_read(struct conn *conn)
{
	struct upstream *up = conn->up;
	static char bytes[READ_SIZE];
	ssize_t got = recv(conn->fd, bytes, sizeof(bytes), 0);
	ssize_t used;

	if (got < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	if (got < 0) {
		conn_fail(conn, broken_result(conn));
		return;
	}
	if (!got) {
		conn_eof(conn);
		return;
	}
	/* Unsolicited bytes: the next reply could be misread. */
	if (conn->state != CONN_BUSY) {
		conn_fail(conn, FETCH_REFUSED);
		return;
	}
	extend_reply_deadline(conn);
	used = reply_parse(&conn->reply, bytes, (size_t)got);
	up->counts.foreign_replies += conn->reply.skipped;
	conn->reply.skipped = 0;
	set_held(conn,
		 headers_size(&conn->reply.headers) + conn->reply.body.len);
	if (used < 0)
		conn_fail(conn, FETCH_MALFORMED);
	else if (conn->reply.done)
		conn_complete(conn, !conn->reply.closes_after && used == got);
	bound_memory(up);
}

static void on_conn_event(void *ctx, int events)
{
	struct conn *conn = ctx;

	if (conn->state == CONN_CONNECTING) {
		conn_connected(conn);
		return;
	}
	if (events & (APR_POLLIN | APR_POLLHUP | APR_POLLERR)) {
		conn_read(conn);
		return;
	}
	if (events & APR_POLLOUT)
		conn_write(conn);
}

struct conn *conn_open(struct upstream *up, struct endpoint *endpoint)
{
	struct sockaddr_in sin;
	int fd = os_socket(endpoint->addr, USER_TIMEOUT_MS, &sin);
	struct conn *conn;

	if (fd < 0)
		return NULL;
	if (connect(fd, (struct sockaddr *)&sin, sizeof(sin)) &&
	    errno != EINPROGRESS) {
		close(fd);
		return NULL;
	}
	conn = xcalloc(1, sizeof(*conn));
	conn->up = up;
	conn->endpoint = endpoint;
	conn->fd = fd;
	conn->fresh = true;
	conn->number = ++up->counts.opened;
	conn->state = CONN_CONNECTING;
	reply_reset(&conn->reply);
	conn->watch = loop_add(up->loop, fd, APR_POLLOUT, on_conn_event, conn);
	conn->next = endpoint->conns;
	endpoint->conns = conn;
	return conn;
}

bool conn_is_quiet(const struct conn *conn)
{
	char byte;

	return recv(conn->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0 &&
	       errno == EAGAIN;
}
