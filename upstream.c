#include "upstream.h"

#include <errno.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

#include <http_parser.h>

#include "os.h"
#include "timer.h"
#include "xmalloc.h"

enum {
	READ_SIZE = 32 * 1024,
	/* Of a reply's body, unless the request says otherwise. */
	REPLY_MAX = 4 * 1024 * 1024,
	/*
	 * A connection that takes no bytes for this long is dead: its peer has
	 * lost power or is cut off, and no reset will tell.
	 */
	SILENT_MS = 3000,
	/*
	 * Idle connections are closed this long after their last use unless the
	 * peer states its own time, and after IDLE_PART of that time if it
	 * does, so that no request meets the peer's close.
	 */
	IDLE_US = 1500000,
	IDLE_PART_NUM = 7,
	IDLE_PART_DEN = 10,
	SWEEP_US = 250000,
	/* An address without connections is forgotten after this long. */
	SITE_KEPT_US = 60000000,
};

/** struct span - a piece of conn.text, which may move while it grows */
struct span {
	size_t at;
	size_t len;
};

enum conn_state {
	CONN_OPENING,
	CONN_IDLE,
	CONN_BUSY,
};

/**
 * struct conn - one connection
 * @id, @echo_name, @echo, @no_body: of the request at hand; id 0: none
 * @out, @sent: bytes of it, and how many of them have left
 * @text: header names and values, then the body, of the reply at hand
 * @skip: the reply at hand belongs to an earlier request
 * @done: the reply at hand is whole
 * @fresh: no request has been answered on it
 * @leave: close it after this reply
 * @answer_by: the reply is given up then
 * @pause_us, @whole_by: each piece of it moves that on by so much, at most to
 *                       then; 0: it does not
 */
struct conn {
	struct upstream *up;
	struct site *site;
	struct conn *next;
	enum conn_state state;
	int fd;
	struct watch *watch;
	struct http_parser parser;
	uint64_t id;
	struct buf echo_name;
	struct buf echo;
	bool no_body;
	size_t reply_max;
	struct buf out;
	size_t sent;
	struct buf text;
	struct span names[UPSTREAM_HEADERS_MAX];
	struct span values[UPSTREAM_HEADERS_MAX];
	size_t nheaders;
	bool in_value;
	size_t body_at;
	bool skip;
	bool done;
	bool fresh;
	bool leave;
	int64_t idle_until;
	int64_t connect_by;
	int64_t answer_by;
	int64_t pause_us;
	int64_t whole_by;
};

/** struct site - an address and its connections */
struct site {
	struct str addr;
	uint64_t key;
	struct conn *conns;
	int64_t idle_us;
	int64_t used_at;
};

struct upstream {
	struct loop *loop;
	apr_pool_t *pool;
	struct upstream_handler handler;
	apr_hash_t *sites; /* hash of the address -> struct site */
	apr_hash_t *busy; /* request -> struct conn */
	struct timers timers;
	int64_t swept_at;
};

static const http_parser_settings parser_hooks;

struct str header_find(const struct header *headers, size_t count,
		       struct str name)
{
	for (size_t i = 0; i < count; i++)
		if (headers[i].name.len == name.len &&
		    !strncasecmp(headers[i].name.ptr, name.ptr, name.len))
			return headers[i].value;
	return (struct str){ 0 };
}

/* Life of a connection. */

static void conn_free(struct conn *conn)
{
	loop_del(conn->watch);
	close(conn->fd);
	buf_free(&conn->echo_name);
	buf_free(&conn->echo);
	buf_free(&conn->out);
	buf_free(&conn->text);
	free(conn);
}

static void conn_close(struct conn *conn)
{
	struct conn **at = &conn->site->conns;

	while (*at != conn)
		at = &(*at)->next;
	*at = conn->next;
	if (conn->id)
		apr_hash_set(conn->up->busy, &conn->id, sizeof(conn->id), NULL);
	conn_free(conn);
}

/* Ends the request at hand; the connection is closed. */
static void conn_fail(struct conn *conn, enum fetch_result result)
{
	struct upstream *up = conn->up;
	uint64_t id = conn->id;
	struct upstream_reply reply = { .result = result,
					.opened = conn->fresh };

	conn_close(conn);
	if (id)
		up->handler.done(up->handler.ctx, id, &reply);
}

static enum fetch_result broken(const struct conn *conn)
{
	return conn->sent ? FETCH_BROKEN : FETCH_REFUSED;
}

static struct str span_str(const struct conn *conn, struct span span)
{
	return (struct str){ conn->text.ptr + span.at, span.len };
}

/* Whole seconds of a "Keep-Alive: timeout=5" header, or 0. */
static int64_t keep_alive_us(struct str value)
{
	static const char key[] = "timeout=";

	for (size_t i = 0; i + sizeof(key) - 1 < value.len; i++)
		if (!strncasecmp(value.ptr + i, key, sizeof(key) - 1))
			return strtoll(value.ptr + i + sizeof(key) - 1, NULL,
				       10) *
			       1000000;
	return 0;
}

static void note_idle_time(struct conn *conn, const struct header *headers)
{
	struct str value =
		header_find(headers, conn->nheaders, STR("Keep-Alive"));
	int64_t us = value.len ? keep_alive_us(value) : 0;

	if (us)
		conn->site->idle_us = us * IDLE_PART_NUM / IDLE_PART_DEN;
}

static void reset_reply(struct conn *conn)
{
	conn->text.len = 0;
	conn->nheaders = 0;
	conn->in_value = false;
	conn->body_at = 0;
	conn->skip = false;
	conn->done = false;
	http_parser_init(&conn->parser, HTTP_RESPONSE);
	conn->parser.data = conn;
}

/* Hands the whole reply over, and keeps the connection if it is clean. */
static void conn_answer(struct conn *conn, bool keep)
{
	struct upstream *up = conn->up;
	struct header headers[UPSTREAM_HEADERS_MAX];
	struct buf text = conn->text;
	uint64_t id = conn->id;
	struct upstream_reply reply = {
		.result = FETCH_OK,
		.status = (int)conn->parser.status_code,
		.headers = headers,
		.nheaders = conn->nheaders,
		.body = { text.ptr + conn->body_at, text.len - conn->body_at },
		.opened = conn->fresh,
	};

	for (size_t i = 0; i < conn->nheaders; i++)
		headers[i] = (struct header){
			span_str(conn, conn->names[i]),
			span_str(conn, conn->values[i]),
		};
	note_idle_time(conn, headers);
	/* What is left of a long body must not precede the next request. */
	if (conn->sent < conn->out.len)
		keep = false;
	apr_hash_set(up->busy, &conn->id, sizeof(conn->id), NULL);
	conn->id = 0;
	conn->fresh = false;
	conn->text = (struct buf){ 0 };
	if (keep) {
		conn->state = CONN_IDLE;
		conn->idle_until = loop_now() + conn->site->idle_us;
		reset_reply(conn);
	} else {
		conn_close(conn);
	}
	up->handler.done(up->handler.ctx, id, &reply);
	buf_free(&text);
}

/* Parser. */

static int on_header_field(http_parser *parser, const char *at, size_t len)
{
	struct conn *conn = parser->data;

	if (conn->in_value || !conn->nheaders) {
		if (conn->nheaders == UPSTREAM_HEADERS_MAX)
			return 1;
		conn->names[conn->nheaders++] =
			(struct span){ conn->text.len, 0 };
		conn->values[conn->nheaders - 1] = (struct span){ 0 };
		conn->in_value = false;
	}
	conn->names[conn->nheaders - 1].len += len;
	buf_add(&conn->text, at, len);
	return 0;
}

static int on_header_value(http_parser *parser, const char *at, size_t len)
{
	struct conn *conn = parser->data;
	struct span *value = &conn->values[conn->nheaders - 1];

	if (!conn->in_value)
		*value = (struct span){ conn->text.len, 0 };
	conn->in_value = true;
	value->len += len;
	buf_add(&conn->text, at, len);
	return 0;
}

/*
 * A target may send a second reply to an earlier request, early or late. It
 * stands where the reply to this one is expected; only its echo tells.
 */
static bool is_foreign(struct conn *conn)
{
	for (size_t i = 0; i < conn->nheaders; i++) {
		struct str name = span_str(conn, conn->names[i]);

		if (name.len != conn->echo_name.len ||
		    strncasecmp(name.ptr, conn->echo_name.ptr, name.len))
			continue;
		return conn->echo.len &&
		       !str_eq(span_str(conn, conn->values[i]),
			       buf_str(&conn->echo));
	}
	return false;
}

static int on_headers_complete(http_parser *parser)
{
	struct conn *conn = parser->data;

	conn->body_at = conn->text.len;
	conn->skip = is_foreign(conn);
	return conn->no_body ? 1 : 0;
}

static int on_body(http_parser *parser, const char *at, size_t len)
{
	struct conn *conn = parser->data;

	if (conn->text.len - conn->body_at + len > conn->reply_max)
		return 1;
	buf_add(&conn->text, at, len);
	return 0;
}

static int on_message_complete(http_parser *parser)
{
	struct conn *conn = parser->data;

	conn->leave = !http_should_keep_alive(parser);
	if (parser->status_code / 100 == 1 || conn->skip) {
		conn->text.len = 0;
		conn->nheaders = 0;
		conn->in_value = false;
		conn->skip = false;
		return 0;
	}
	conn->done = true;
	http_parser_pause(parser, 1);
	return 0;
}

static const http_parser_settings parser_hooks = {
	.on_header_field = on_header_field,
	.on_header_value = on_header_value,
	.on_headers_complete = on_headers_complete,
	.on_body = on_body,
	.on_message_complete = on_message_complete,
};

/* Sockets. */

static void conn_write(struct conn *conn)
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
			conn_fail(conn, broken(conn));
			return;
		}
		loop_set(conn->watch, APR_POLLIN | APR_POLLOUT);
		return;
	}
	loop_set(conn->watch, APR_POLLIN);
}

static void conn_connected(struct conn *conn)
{
	int fault = 0;
	socklen_t len = sizeof(fault);

	getsockopt(conn->fd, SOL_SOCKET, SO_ERROR, &fault, &len);
	if (fault) {
		conn_fail(conn, FETCH_REFUSED);
		return;
	}
	if (!conn->id) {
		conn->state = CONN_IDLE;
		conn->idle_until = loop_now() + conn->site->idle_us;
		loop_set(conn->watch, APR_POLLIN);
		return;
	}
	conn->state = CONN_BUSY;
	conn_write(conn);
}

static void conn_eof(struct conn *conn)
{
	if (conn->state == CONN_BUSY) {
		/* A reply without a length ends with its connection. */
		http_parser_execute(&conn->parser, &parser_hooks, NULL, 0);
		if (conn->done) {
			conn_answer(conn, false);
			return;
		}
	}
	conn_fail(conn, broken(conn));
}

static void expect_more(struct conn *conn)
{
	if (!conn->pause_us)
		return;
	conn->answer_by = loop_now() + conn->pause_us;
	if (conn->answer_by > conn->whole_by)
		conn->answer_by = conn->whole_by;
}

static void conn_read(struct conn *conn)
{
	static char bytes[READ_SIZE];
	ssize_t got = recv(conn->fd, bytes, sizeof(bytes), 0);
	size_t used;

	if (got < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	if (got < 0) {
		conn_fail(conn, broken(conn));
		return;
	}
	if (!got) {
		conn_eof(conn);
		return;
	}
	/* Bytes that nobody asked for: what follows could be misread. */
	if (conn->state != CONN_BUSY) {
		conn_fail(conn, FETCH_REFUSED);
		return;
	}
	expect_more(conn);
	used = http_parser_execute(&conn->parser, &parser_hooks, bytes,
				   (size_t)got);
	if (conn->done) {
		conn_answer(conn, !conn->leave && used >= (size_t)got);
		return;
	}
	if (HTTP_PARSER_ERRNO(&conn->parser) != HPE_OK)
		conn_fail(conn, FETCH_MALFORMED);
}

static void on_conn(void *ctx, int events)
{
	struct conn *conn = ctx;

	if (conn->state == CONN_OPENING) {
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

/* Return: NULL when the system refuses a socket or the address is none. */
static struct conn *conn_open(struct upstream *up, struct site *site)
{
	struct sockaddr_in sin;
	int fd = os_socket(site->addr, SILENT_MS, &sin);
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
	conn->site = site;
	conn->fd = fd;
	conn->fresh = true;
	conn->state = CONN_OPENING;
	reset_reply(conn);
	conn->watch = loop_add(up->loop, fd, APR_POLLOUT, on_conn, conn);
	conn->next = site->conns;
	site->conns = conn;
	return conn;
}

static struct site *site_get(struct upstream *up, struct str addr)
{
	uint64_t key = str_hash(addr);
	struct site *site = apr_hash_get(up->sites, &key, sizeof(key));

	if (site)
		return site;
	site = xcalloc(1, sizeof(*site));
	site->addr = str_keep(addr);
	site->key = key;
	site->idle_us = IDLE_US;
	site->used_at = loop_now();
	apr_hash_set(up->sites, &site->key, sizeof(site->key), site);
	return site;
}

/*
 * A faulty target sends a second reply to a request, late, where the next one
 * is expected; its id tells it apart. A request that goes to the same target
 * again, as two merging nodes had it, has that id too: on the same connection
 * the spoilt reply would be taken for its own. So it goes over another one.
 */
static bool had_same_id(const struct conn *conn, struct str echo)
{
	return echo.len && str_eq(buf_str(&conn->echo), echo);
}

/*
 * The one used last is taken, so the others reach their idle time. It must not
 * hold unread bytes or an end that the loop has not seen yet.
 */
static struct conn *take_idle(struct site *site, struct str echo, int64_t now)
{
	struct conn *best = NULL;
	char byte;

	for (struct conn *conn = site->conns; conn; conn = conn->next) {
		if (conn->state != CONN_IDLE || conn->idle_until < now ||
		    had_same_id(conn, echo))
			continue;
		if (!best || conn->idle_until > best->idle_until)
			best = conn;
	}
	if (!best)
		return NULL;
	if (recv(best->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) >= 0 ||
	    errno != EAGAIN) {
		conn_close(best);
		return take_idle(site, echo, now);
	}
	return best;
}

void upstream_send(struct upstream *up, const struct upstream_request *req)
{
	int64_t now = loop_now();
	struct site *site = site_get(up, req->addr);
	struct conn *conn = take_idle(site, req->echo, now);

	if (!conn)
		conn = conn_open(up, site);
	if (!conn) {
		struct upstream_reply reply = { .result = FETCH_REFUSED };

		up->handler.done(up->handler.ctx, req->id, &reply);
		return;
	}
	conn->id = req->id;
	conn->no_body = req->no_body;
	conn->reply_max = req->reply_max ? req->reply_max : REPLY_MAX;
	conn->out.len = 0;
	conn->sent = 0;
	conn->echo.len = 0;
	conn->echo_name.len = 0;
	buf_str_add(&conn->echo, req->echo);
	buf_str_add(&conn->echo_name, req->echo_name);
	buf_str_add(&conn->out, req->head);
	buf_str_add(&conn->out, req->body);
	conn->connect_by = now + req->connect_us;
	conn->answer_by = now + req->timeout_us;
	conn->pause_us = req->pause_us;
	conn->whole_by = now + req->whole_us;
	apr_hash_set(up->busy, &conn->id, sizeof(conn->id), conn);
	timer_add(&up->timers, conn->answer_by, TIMER_JOB, conn->id);
	if (conn->state == CONN_OPENING) {
		timer_add(&up->timers, conn->connect_by, TIMER_JOB, conn->id);
		return;
	}
	conn->state = CONN_BUSY;
	conn_write(conn);
}

void upstream_cancel(struct upstream *up, uint64_t id)
{
	struct conn *conn = apr_hash_get(up->busy, &id, sizeof(id));

	if (conn)
		conn_close(conn);
}

void upstream_warm(struct upstream *up, struct str addr, int count)
{
	struct site *site = site_get(up, addr);
	int have = 0;

	for (struct conn *conn = site->conns; conn; conn = conn->next)
		if (conn->state != CONN_BUSY)
			have++;
	while (have++ < count) {
		struct conn *conn = conn_open(up, site);

		if (!conn)
			return;
		conn->connect_by = loop_now() + IDLE_US;
	}
}

/* Time. */

static void check_request(struct upstream *up, uint64_t id, int64_t now)
{
	struct conn *conn = apr_hash_get(up->busy, &id, sizeof(id));

	if (!conn)
		return;
	if (conn->state == CONN_OPENING && now >= conn->connect_by)
		conn_fail(conn, FETCH_REFUSED);
	else if (now >= conn->answer_by)
		conn_fail(conn, conn->sent ? FETCH_TIMEOUT : FETCH_REFUSED);
	else if (conn->pause_us && conn->state != CONN_OPENING)
		timer_add(&up->timers, conn->answer_by, TIMER_JOB, id);
}

static void sweep_site(struct site *site, int64_t now)
{
	struct conn *next;

	for (struct conn *conn = site->conns; conn; conn = next) {
		bool late = conn->state == CONN_OPENING && !conn->id &&
			    now >= conn->connect_by;

		next = conn->next;
		if (late ||
		    (conn->state == CONN_IDLE && now >= conn->idle_until))
			conn_close(conn);
	}
}

static void site_free(struct upstream *up, struct site *site)
{
	apr_hash_set(up->sites, &site->key, sizeof(site->key), NULL);
	str_free(site->addr);
	free(site);
}

static void sweep_idle(struct upstream *up, int64_t now)
{
	struct site *gone = NULL;
	apr_hash_index_t *it;

	if (now < up->swept_at + SWEEP_US)
		return;
	up->swept_at = now;
	for (it = apr_hash_first(NULL, up->sites); it; it = apr_hash_next(it)) {
		struct site *site = hash_value(it);

		sweep_site(site, now);
		if (site->conns)
			site->used_at = now;
		else if (now - site->used_at > SITE_KEPT_US)
			gone = site;
	}
	/* One a sweep: the table must not change while it is walked. */
	if (gone)
		site_free(up, gone);
}

static void run(void *ctx)
{
	struct upstream *up = ctx;
	int64_t now = loop_now();
	struct timer due;

	while (timer_pop(&up->timers, now, &due))
		check_request(up, due.id, now);
	sweep_idle(up, now);
}

static int64_t wait_us(void *ctx)
{
	struct upstream *up = ctx;
	int64_t next = timer_next(&up->timers);
	int64_t now = loop_now();

	if (next > up->swept_at + SWEEP_US)
		next = up->swept_at + SWEEP_US;
	return next > now ? next - now : 0;
}

struct upstream *upstream_create(struct loop *loop,
				 struct upstream_handler handler)
{
	struct upstream *up = xcalloc(1, sizeof(*up));

	apr_pool_create(&up->pool, NULL);
	up->loop = loop;
	up->handler = handler;
	up->sites = hash_make(up->pool);
	up->busy = hash_make(up->pool);
	loop_hook(loop, (struct loop_hook){ run, wait_us, up });
	return up;
}

void upstream_destroy(struct upstream *up)
{
	apr_hash_index_t *it;

	loop_unhook(up->loop, up);
	for (it = apr_hash_first(NULL, up->sites); it; it = apr_hash_next(it)) {
		struct site *site = hash_value(it);

		while (site->conns) {
			struct conn *conn = site->conns;

			site->conns = conn->next;
			conn_free(conn);
		}
		str_free(site->addr);
		free(site);
	}
	timers_free(&up->timers);
	apr_pool_destroy(up->pool);
	free(up);
}
