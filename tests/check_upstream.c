/*
 * Connections to targets, against a scripted server on loopback: what faulty
 * targets send must be told apart, and must never reach another request.
 */
#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

#include <check.h>

#include "../upstream.h"
#include "suite.h"

enum {
	WAIT_US = 3000000,
	TIMEOUT_US = 300000,
};

/** struct script - what the server sends for its first and second request */
struct script {
	const char *name;
	const char *first;
	const char *second;
	bool close_after_first;
	bool reset_after_first;
	enum fetch_result result;
	int status;
	const char *body;
	bool reused; /* the second request goes over the same connection */
	const char *second_body;
	bool same_id; /* as the first request */
	size_t reply_max; /* bytes that are taken of the first reply */
};

#define REPLY(id, body) \
	"HTTP/1.1 200 OK\r\nRequest-Id: " id \
	"\r\nContent-Length: 3\r\n\r\n" body

static const struct script scripts[] = {
	{ "whole", REPLY("r1", "one"), REPLY("r2", "two"), false, false,
	  FETCH_OK, 200, "one", true, "two", false, 0 },
	{ "chunked",
	  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	  "3\r\none\r\n0\r\n\r\n",
	  REPLY("r2", "two"), false, false, FETCH_OK, 200, "one", true, "two",
	  false, 0 },
	{ "after an interim reply",
	  "HTTP/1.1 100 Continue\r\n\r\n" REPLY("r1", "one"),
	  REPLY("r2", "two"), false, false, FETCH_OK, 200, "one", true, "two",
	  false, 0 },
	{ "ends with its connection", "HTTP/1.1 200 OK\r\n\r\none",
	  REPLY("r2", "two"), true, false, FETCH_OK, 200, "one", false, "two",
	  false, 0 },
	{ "ends with a reset", "HTTP/1.1 200 OK\r\n\r\none", REPLY("r2", "two"),
	  false, true, FETCH_BROKEN, 0, "", false, "two", false, 0 },
	{ "cut short", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\none",
	  REPLY("r2", "two"), true, false, FETCH_BROKEN, 0, "", false, "two",
	  false, 0 },
	{ "no reply, closed", "", REPLY("r2", "two"), true, false, FETCH_BROKEN,
	  0, "", false, "two", false, 0 },
	{ "no HTTP", "HELO there\r\n\r\n", REPLY("r2", "two"), false, false,
	  FETCH_MALFORMED, 0, "", false, "two", false, 0 },
	{ "silent", "", REPLY("r2", "two"), false, false, FETCH_TIMEOUT, 0, "",
	  false, "two", false, 0 },
	{ "announces its end",
	  "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 3\r\n\r\none",
	  REPLY("r2", "two"), false, false, FETCH_OK, 200, "one", false, "two",
	  false, 0 },
	{ "sent twice", REPLY("r1", "one") REPLY("r1", "one"),
	  REPLY("r2", "two"), false, false, FETCH_OK, 200, "one", false, "two",
	  false, 0 },
	{ "sent again before the next", REPLY("r1", "one"),
	  REPLY("r1", "one") REPLY("r2", "two"), false, false, FETCH_OK, 200,
	  "one", true, "two", false, 0 },
	{ "of another request first", REPLY("r0", "old") REPLY("r1", "one"),
	  REPLY("r2", "two"), false, false, FETCH_OK, 200, "one", true, "two",
	  false, 0 },
	{ "as long as is taken", REPLY("r1", "one"), REPLY("r2", "two"), false,
	  false, FETCH_OK, 200, "one", true, "two", false, 3 },
	{ "longer than is taken", REPLY("r1", "one"), REPLY("r2", "two"), false,
	  false, FETCH_MALFORMED, 0, "", false, "two", false, 2 },
	{ "the same request again", REPLY("r1", "one"), REPLY("r1", "two"),
	  false, false, FETCH_OK, 200, "one", false, "two", true, 0 },
};

/** struct pieces - a reply that comes a byte at a time, and what becomes of it
 */
struct pieces {
	int gap_us; /* between its bytes */
	int count; /* bytes that come; the head states as many */
	int stop_after; /* no more come then, 0: all come */
	bool may_take_long; /* asked for with a pause and a whole time */
	enum fetch_result result;
};

enum {
	PAUSE_US = 200000,
	WHOLE_US = 1200000,
};

static const struct pieces piece_cases[] = {
	{ 60000, 3, 0, false, FETCH_OK },
	{ 60000, 12, 0, false, FETCH_TIMEOUT },
	{ 60000, 12, 0, true, FETCH_OK },
	{ 60000, 12, 6, true, FETCH_TIMEOUT },
	{ 60000, 30, 0, true, FETCH_TIMEOUT },
};

struct peer_conn;

/** struct server - accepts, and answers requests in turn */
struct server {
	const struct script *script;
	const struct pieces *pieces;
	apr_pool_t *pool;
	struct loop *loop;
	struct upstream *up;
	int fd;
	struct watch *watch;
	struct peer_conn *conns;
	int requests;
	char addr[32];
};

/** struct peer_conn - a connection that the server took */
struct peer_conn {
	struct server *server;
	int fd;
	struct watch *watch;
	int sent;
	int64_t next_at;
	struct peer_conn *next;
};

static void drop(struct peer_conn *conn)
{
	loop_del(conn->watch);
	close(conn->fd);
	free(conn);
}

static void end(struct peer_conn *conn, bool reset)
{
	struct peer_conn **at = &conn->server->conns;
	struct linger now = { 1, 0 };

	while (*at != conn)
		at = &(*at)->next;
	*at = conn->next;
	if (reset)
		setsockopt(conn->fd, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
	drop(conn);
}

static void drop_all(struct peer_conn *conn)
{
	while (conn) {
		struct peer_conn *next = conn->next;

		drop(conn);
		conn = next;
	}
}

static void on_data(void *ctx, int events)
{
	struct peer_conn *conn = ctx;
	struct server *server = conn->server;
	const char *text;
	char bytes[4096];
	bool first;

	(void)events;
	if (recv(conn->fd, bytes, sizeof(bytes), 0) <= 0) {
		end(conn, false);
		return;
	}
	if (server->pieces) {
		int len = snprintf(bytes, sizeof(bytes),
				   "HTTP/1.1 200 OK\r\nContent-Length: %d"
				   "\r\n\r\n",
				   server->pieces->count);

		ck_assert_int_eq(send(conn->fd, bytes, (size_t)len, 0), len);
		conn->next_at = loop_now() + server->pieces->gap_us;
		return;
	}
	first = !server->requests++;
	text = first ? server->script->first : server->script->second;
	if (*text)
		ck_assert_int_gt(send(conn->fd, text, strlen(text), 0), 0);
	if (first && server->script->reset_after_first) {
		usleep(20000);
		end(conn, true);
	} else if (first && server->script->close_after_first) {
		end(conn, false);
	}
}

static void send_piece(void *ctx)
{
	struct server *server = ctx;
	struct peer_conn *conn = server->conns;
	const struct pieces *pieces = server->pieces;
	int most;

	if (!conn || !pieces || !conn->next_at || loop_now() < conn->next_at)
		return;
	most = pieces->stop_after ? pieces->stop_after : pieces->count;
	if (conn->sent == most)
		return;
	conn->sent++;
	conn->next_at += pieces->gap_us;
	send(conn->fd, "x", 1, MSG_NOSIGNAL);
}

static int64_t piece_wait(void *ctx)
{
	(void)ctx;
	return 5000;
}

static void on_conn(void *ctx, int events)
{
	struct server *server = ctx;
	struct peer_conn *conn = calloc(1, sizeof(*conn));

	(void)events;
	conn->server = server;
	conn->fd = accept(server->fd, NULL, NULL);
	conn->watch =
		loop_add(server->loop, conn->fd, APR_POLLIN, on_data, conn);
	conn->next = server->conns;
	server->conns = conn;
}

static void listen_on_loopback(struct server *server)
{
	struct sockaddr_in sin = { .sin_family = AF_INET };
	socklen_t len = sizeof(sin);

	sin.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	server->fd = socket(AF_INET, SOCK_STREAM, 0);
	ck_assert_int_eq(bind(server->fd, (struct sockaddr *)&sin, len), 0);
	ck_assert_int_eq(listen(server->fd, 8), 0);
	getsockname(server->fd, (struct sockaddr *)&sin, &len);
	snprintf(server->addr, sizeof(server->addr), "127.0.0.1:%u",
		 ntohs(sin.sin_port));
}

/** struct outcome - a reply, copied */
struct outcome {
	bool done;
	enum fetch_result result;
	int status;
	char body[32];
	bool opened;
};

static struct outcome outcomes[4];

static void on_done(void *ctx, uint64_t id, const struct upstream_reply *reply)
{
	struct outcome *out = &outcomes[id];

	(void)ctx;
	out->done = true;
	out->result = reply->result;
	out->status = reply->status;
	out->opened = reply->opened;
	snprintf(out->body, sizeof(out->body), "%.*s", STR_ARG(reply->body));
}

/* A server as the case says, and a client of it. */
static void begin(struct server *server)
{
	apr_pool_create(&server->pool, NULL);
	server->loop = loop_create(server->pool);
	listen_on_loopback(server);
	server->watch =
		loop_add(server->loop, server->fd, APR_POLLIN, on_conn, server);
	loop_hook(server->loop,
		  (struct loop_hook){ send_piece, piece_wait, server });
	server->up = upstream_create(
		server->loop, (struct upstream_handler){ on_done, NULL });
}

static void stop_listening(struct server *server)
{
	if (!server->watch)
		return;
	loop_del(server->watch);
	close(server->fd);
	server->watch = NULL;
}

static void finish(struct server *server)
{
	upstream_destroy(server->up);
	loop_unhook(server->loop, server);
	drop_all(server->conns);
	stop_listening(server);
	loop_destroy(server->loop);
	apr_pool_destroy(server->pool);
}

static struct upstream_request request_of(const char *addr, uint64_t id,
					  struct str echo)
{
	return (struct upstream_request){
		.id = id,
		.addr = str_of(addr),
		.head = STR("GET / HTTP/1.1\r\nHost: h\r\n\r\n"),
		.echo_name = STR("Request-Id"),
		.echo = echo,
		.connect_timeout_us = TIMEOUT_US,
		.timeout_us = TIMEOUT_US,
	};
}

static void ask_for(struct server *server,
		    const struct upstream_request *request)
{
	int64_t until = loop_now() + WAIT_US;
	struct outcome *out = &outcomes[request->id];

	*out = (struct outcome){ 0 };
	upstream_send(server->up, request);
	while (!out->done && loop_now() < until)
		loop_step(server->loop);
	ck_assert(out->done);
}

START_TEST(test_script)
{
	const struct script *script = &scripts[_i];
	struct server server = { .script = script };
	struct upstream_request request;

	begin(&server);
	request = request_of(server.addr, 1, STR("r1"));
	request.reply_max = script->reply_max;
	ask_for(&server, &request);
	ck_assert_msg(outcomes[1].result == script->result, "%s: result %d",
		      script->name, (int)outcomes[1].result);
	ck_assert_int_eq(outcomes[1].status, script->status);
	ck_assert_str_eq(outcomes[1].body, script->body);
	request = request_of(server.addr, 2,
			     script->same_id ? STR("r1") : STR("r2"));
	ask_for(&server, &request);
	ck_assert_int_eq(outcomes[2].result, FETCH_OK);
	ck_assert_str_eq(outcomes[2].body, script->second_body);
	ck_assert_msg(outcomes[2].opened != script->reused, "%s: reuse",
		      script->name);
	finish(&server);
}
END_TEST

/*
 * A configuration of a MiB takes a small VM's link longer than the call may
 * wait for an answer: given up each time, it was never read. Bytes that keep
 * coming are waited for; a reply that stops, or never ends, is not.
 */
START_TEST(test_reply_in_pieces)
{
	const struct pieces *pieces = &piece_cases[_i];
	struct server server = { .pieces = pieces };
	struct upstream_request request;

	begin(&server);
	request = request_of(server.addr, 1, (struct str){ 0 });
	if (pieces->may_take_long) {
		request.read_timeout_us = PAUSE_US;
		request.total_timeout_us = WHOLE_US;
	}
	ask_for(&server, &request);
	ck_assert_int_eq(outcomes[1].result, pieces->result);
	finish(&server);
}
END_TEST

/* Nobody listens: not a byte has left, so the request has not run. */
START_TEST(test_refused)
{
	struct server server = { 0 };
	struct upstream_request request;

	begin(&server);
	stop_listening(&server);
	request = request_of(server.addr, 1, STR("r1"));
	ask_for(&server, &request);
	ck_assert_int_eq(outcomes[1].result, FETCH_REFUSED);
	finish(&server);
}
END_TEST

static void nothing(void *ctx, int events)
{
	(void)ctx;
	(void)events;
}

/*
 * The process is paused for longer than a scheduler's delay. Callers' requests
 * wait in its sockets, some on connections that are accepted a round later: all
 * that is read in the first tenth of a second may be that old, nothing after.
 */
START_TEST(test_pause_is_noticed)
{
	struct loop *loop;
	struct watch *watch;
	apr_pool_t *pool;
	int ends[2];

	apr_pool_create(&pool, NULL);
	loop = loop_create(pool);
	ck_assert_int_eq(pipe(ends), 0);
	ck_assert_int_eq(write(ends[1], "x", 1), 1);
	watch = loop_add(loop, ends[0], APR_POLLIN, nothing, NULL);
	loop_step(loop);
	ck_assert_int_eq(loop_pause_us(loop), 0);
	usleep(700000);
	loop_step(loop);
	ck_assert_int_ge(loop_pause_us(loop), 500000);
	loop_step(loop);
	ck_assert_int_ge(loop_pause_us(loop), 500000);
	usleep(150000);
	loop_step(loop);
	ck_assert_int_eq(loop_pause_us(loop), 0);
	loop_del(watch);
	close(ends[0]);
	close(ends[1]);
	loop_destroy(loop);
	apr_pool_destroy(pool);
}
END_TEST

static void add(TCase *tcase)
{
	tcase_add_loop_test(tcase, test_script, 0,
			    (int)(sizeof(scripts) / sizeof(*scripts)));
	tcase_add_loop_test(tcase, test_reply_in_pieces, 0,
			    (int)(sizeof(piece_cases) / sizeof(*piece_cases)));
	tcase_add_test(tcase, test_refused);
	tcase_add_test(tcase, test_pause_is_noticed);
}

int main(void)
{
	return suite_run("upstream", add);
}
