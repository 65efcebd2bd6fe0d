/*
 * Tests of connections to targets, against a scripted server on loopback:
 * faulty replies must be classified correctly, and no reply may be given to
 * another request.
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

/** struct script - what the server sends for its first two requests */
struct script {
	const char *name;
	const char *first;
	const char *second;
	bool close_after_first;
	bool reset_after_first;
	enum fetch_result result;
	int status;
	const char *body;
	bool reused; /* the second request uses the same connection */
	const char *second_body;
	bool same_id; /* the second request has the id of the first */
	size_t reply_max; /* limit of the first reply's body, 0: default */
};

#define REPLY(id, body) \
	"HTTP/1.1 200 OK\r\nRequest-Id: " id \
	"\r\nContent-Length: 3\r\n\r\n" body

#define OK_R1 "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n"

#define TEN_HEADERS \
	"A: 1\r\nA: 2\r\nA: 3\r\nA: 4\r\nA: 5\r\n" \
	"A: 6\r\nA: 7\r\nA: 8\r\nA: 9\r\nA: 0\r\n"

static const struct script scripts[] = {
	{ "complete", REPLY("r1", "one"), REPLY("r2", "two"), false, false,
	  FETCH_OK, 200, "one", true, "two", false, 0 },
	{ "chunked",
	  OK_R1 "Transfer-Encoding: chunked\r\n\r\n"
		"3\r\none\r\n0\r\n\r\n",
	  REPLY("r2", "two"), false, false, FETCH_OK, 200, "one", true, "two",
	  false, 0 },
	{ "chunked with a trailer",
	  OK_R1 "Transfer-Encoding: chunked\r\n\r\n"
		"3\r\none\r\n0\r\nX-Trailer: 1\r\n\r\n",
	  REPLY("r2", "two"), false, false, FETCH_OK, 200, "one", true, "two",
	  false, 0 },
	{ "after an interim reply",
	  "HTTP/1.1 100 Continue\r\n\r\n" REPLY("r1", "one"),
	  REPLY("r2", "two"), false, false, FETCH_OK, 200, "one", true, "two",
	  false, 0 },
	{ "ends with its connection", OK_R1 "\r\none", REPLY("r2", "two"), true,
	  false, FETCH_OK, 200, "one", false, "two", false, 0 },
	{ "ends with a reset", OK_R1 "\r\none", REPLY("r2", "two"), false, true,
	  FETCH_BROKEN, 0, "", false, "two", false, 0 },
	{ "cut short", OK_R1 "Content-Length: 9\r\n\r\none", REPLY("r2", "two"),
	  true, false, FETCH_BROKEN, 0, "", false, "two", false, 0 },
	{ "no reply, closed", "", REPLY("r2", "two"), true, false, FETCH_BROKEN,
	  0, "", false, "two", false, 0 },
	{ "not HTTP", "HELO there\r\n\r\n", REPLY("r2", "two"), false, false,
	  FETCH_MALFORMED, 0, "", false, "two", false, 0 },
	{ "silent", "", REPLY("r2", "two"), false, false, FETCH_TIMEOUT, 0, "",
	  false, "two", false, 0 },
	{ "announces the close",
	  OK_R1 "Connection: close\r\nContent-Length: 3\r\n\r\none",
	  REPLY("r2", "two"), false, false, FETCH_OK, 200, "one", false, "two",
	  false, 0 },
	{ "sent twice", REPLY("r1", "one") REPLY("r1", "one"),
	  REPLY("r2", "two"), false, false, FETCH_OK, 200, "one", false, "two",
	  false, 0 },
	{ "sent again before the next", REPLY("r1", "one"),
	  REPLY("r1", "one") REPLY("r2", "two"), false, false, FETCH_OK, 200,
	  "one", true, "two", false, 0 },
	{ "reply to another request first",
	  REPLY("r0", "old") REPLY("r1", "one"), REPLY("r2", "two"), false,
	  false, FETCH_OK, 200, "one", true, "two", false, 0 },
	{ "spaces behind the request's id", REPLY("r1 \t", "one"),
	  REPLY("r2", "two"), false, false, FETCH_OK, 200, "one", true, "two",
	  false, 0 },
	{ "an empty request's id is another one",
	  REPLY("", "old") REPLY("r1", "one"), REPLY("r2", "two"), false, false,
	  FETCH_OK, 200, "one", true, "two", false, 0 },
	{ "bytes like a reply, without an id, first",
	  "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n" REPLY("r1",
									"one"),
	  REPLY("r2", "two"), false, false, FETCH_OK, 200, "one", true, "two",
	  false, 0 },
	{ "nothing but a reply without an id",
	  "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n",
	  REPLY("r2", "two"), false, false, FETCH_TIMEOUT, 0, "", false, "two",
	  false, 0 },
	{ "\"not run\" without an id",
	  "HTTP/1.1 503 Full\r\nNot-Executed: 1\r\n"
	  "Content-Length: 0\r\n\r\n",
	  REPLY("r2", "two"), true, false, FETCH_BROKEN, 0, "", false, "two",
	  false, 0 },
	{ "many headers",
	  OK_R1 TEN_HEADERS TEN_HEADERS TEN_HEADERS TEN_HEADERS TEN_HEADERS
		  TEN_HEADERS TEN_HEADERS "Content-Length: 3\r\n\r\none",
	  REPLY("r2", "two"), false, false, FETCH_OK, 200, "one", true, "two",
	  false, 0 },
	{ "as long as the limit", REPLY("r1", "one"), REPLY("r2", "two"), false,
	  false, FETCH_OK, 200, "one", true, "two", false, 3 },
	{ "longer than the limit", REPLY("r1", "one"), REPLY("r2", "two"),
	  false, false, FETCH_MALFORMED, 0, "", false, "two", false, 2 },
	{ "no body, but a length of one",
	  "HTTP/1.1 204 No Content\r\nRequest-Id: r1\r\n"
	  "Content-Length: 3\r\n\r\n",
	  REPLY("r2", "two"), false, false, FETCH_OK, 204, "", false, "two",
	  false, 0 },
	{ "no body",
	  "HTTP/1.1 204 No Content\r\nRequest-Id: r1\r\n"
	  "Content-Length: 0\r\n\r\n",
	  REPLY("r2", "two"), false, false, FETCH_OK, 204, "", true, "two",
	  false, 0 },
	{ "not modified",
	  "HTTP/1.1 304 Not Modified\r\nRequest-Id: r1\r\n"
	  "Content-Length: 3\r\n\r\n",
	  REPLY("r2", "two"), false, false, FETCH_OK, 304, "", true, "two",
	  false, 0 },
	{ "status 000", "HTTP/1.1 000 OK\r\nRequest-Id: r1\r\n\r\n",
	  REPLY("r2", "two"), false, false, FETCH_MALFORMED, 0, "", false,
	  "two", false, 0 },
	{ "a blank in a field's name",
	  OK_R1 "X Foo: 1\r\nContent-Length: 3\r\n\r\none", REPLY("r2", "two"),
	  false, false, FETCH_MALFORMED, 0, "", false, "two", false, 0 },
	{ "the same request again", REPLY("r1", "one"), REPLY("r1", "two"),
	  false, false, FETCH_OK, 200, "one", false, "two", true, 0 },
};

/** struct slow_reply - a reply sent byte by byte, and the expected result */
struct slow_reply {
	int byte_interval_us; /* between two bytes */
	int count; /* Content-Length */
	int stop_after; /* bytes sent, 0: all */
	bool slow_allowed; /* the request sets read_timeout_us and
			      total_timeout_us */
	enum fetch_result result;
};

enum {
	PAUSE_US = 200000,
	WHOLE_US = 1200000,
};

static const struct slow_reply slow_reply_cases[] = {
	{ 60000, 3, 0, false, FETCH_OK },
	{ 60000, 12, 0, false, FETCH_TIMEOUT },
	{ 60000, 12, 0, true, FETCH_OK },
	{ 60000, 12, 6, true, FETCH_TIMEOUT },
	{ 60000, 30, 0, true, FETCH_TIMEOUT },
};

/**
 * struct repeat - requests between two sendings of the same one
 * @between: number of other requests
 * @pause_us: time before the second sending
 * @opened: the second sending needs a new connection
 */
struct repeat {
	const char *name;
	int between;
	int pause_us;
	bool opened;
};

static const struct repeat repeats[] = {
	{ "none between", 0, 0, true },
	{ "one between", 1, 0, true },
	{ "two between", 2, 0, true },
	{ "many between", 300, 0, true },
	{ "it cannot be sent again", 1, 1400000, false },
};

struct peer_conn;

/**
 * struct server - a scripted server, and the client under test
 * @accepted: number of connections accepted
 */
struct server {
	const struct script *script;
	const struct slow_reply *slow_reply;
	const struct repeat *repeat;
	int accepted;
	apr_pool_t *pool;
	struct loop *loop;
	struct upstream *upstream;
	int fd;
	struct watch *watch;
	struct peer_conn *conns;
	int requests;
	char addr[32];
};

/** struct peer_conn - a connection that the server accepted */
struct peer_conn {
	struct server *server;
	int number;
	int fd;
	struct watch *watch;
	int sent;
	int64_t next_at;
	struct peer_conn *next;
};

static void free_conn(struct peer_conn *conn)
{
	loop_del(conn->watch);
	close(conn->fd);
	free(conn);
}

static void close_conn(struct peer_conn *conn, bool reset)
{
	struct peer_conn **at = &conn->server->conns;
	struct linger now = { 1, 0 };

	while (*at != conn)
		at = &(*at)->next;
	*at = conn->next;
	if (reset)
		setsockopt(conn->fd, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
	free_conn(conn);
}

static void free_conns(struct peer_conn *conn)
{
	while (conn) {
		struct peer_conn *next = conn->next;

		free_conn(conn);
		conn = next;
	}
}

static void send_text(int fd, const char *text)
{
	send(fd, text, strlen(text), MSG_NOSIGNAL);
}

/*
 * Replies to the request that is sent twice are "old" and "new"; a copy of the
 * first one comes where the second is expected.
 */
static void reply_in_series(struct server *server, const struct peer_conn *conn)
{
	int number = server->requests++;
	int fd = conn->fd;
	char text[128];

	if (!number || number > server->repeat->between) {
		if (number && conn->number == 1)
			send_text(fd, REPLY("r0", "old"));
		send_text(fd, number ? REPLY("r0", "new") : REPLY("r0", "old"));
		return;
	}
	snprintf(text, sizeof(text),
		 "HTTP/1.1 200 OK\r\nRequest-Id: r%d\r\n"
		 "Content-Length: 3\r\n\r\nmid",
		 number);
	send_text(fd, text);
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
		close_conn(conn, false);
		return;
	}
	if (server->slow_reply) {
		int len = snprintf(bytes, sizeof(bytes),
				   "HTTP/1.1 200 OK\r\nContent-Length: %d"
				   "\r\n\r\n",
				   server->slow_reply->count);

		ck_assert_int_eq(send(conn->fd, bytes, (size_t)len, 0), len);
		conn->next_at =
			loop_now() + server->slow_reply->byte_interval_us;
		return;
	}
	if (server->repeat) {
		reply_in_series(server, conn);
		return;
	}
	first = !server->requests++;
	text = first ? server->script->first : server->script->second;
	if (*text)
		ck_assert_int_gt(send(conn->fd, text, strlen(text), 0), 0);
	if (first && server->script->reset_after_first) {
		usleep(20000);
		close_conn(conn, true);
	} else if (first && server->script->close_after_first) {
		close_conn(conn, false);
	}
}

static void send_byte(void *ctx)
{
	struct server *server = ctx;
	struct peer_conn *conn = server->conns;
	const struct slow_reply *slow_reply = server->slow_reply;
	int max;

	if (!conn || !slow_reply || !conn->next_at ||
	    loop_now() < conn->next_at)
		return;
	max = slow_reply->stop_after ? slow_reply->stop_after
				     : slow_reply->count;
	if (conn->sent == max)
		return;
	conn->sent++;
	conn->next_at += slow_reply->byte_interval_us;
	send(conn->fd, "x", 1, MSG_NOSIGNAL);
}

static int64_t send_byte_wait(void *ctx)
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
	conn->number = ++server->accepted;
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

/** struct outcome - a copy of a reply */
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
	if (reply->result == FETCH_OK)
		ck_assert(!headers_find(reply->headers, STR("X-Trailer")).ptr);
	snprintf(out->body, sizeof(out->body), "%.*s", STR_ARG(reply->body));
}

/* Starts the server of the case, and a client. */
static void setup(struct server *server)
{
	apr_pool_create(&server->pool, NULL);
	server->loop = loop_create(server->pool);
	listen_on_loopback(server);
	server->watch =
		loop_add(server->loop, server->fd, APR_POLLIN, on_conn, server);
	loop_hook(server->loop,
		  (struct loop_hook){ send_byte, send_byte_wait, server });
	server->upstream = upstream_create(
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

static void teardown(struct server *server)
{
	upstream_destroy(server->upstream);
	loop_unhook(server->loop, server);
	free_conns(server->conns);
	stop_listening(server);
	loop_destroy(server->loop);
	apr_pool_destroy(server->pool);
}

static struct upstream_request make_request(const char *addr, uint64_t id,
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

static void send_and_wait(struct server *server,
			  const struct upstream_request *request)
{
	int64_t until = loop_now() + WAIT_US;
	struct outcome *out = &outcomes[request->id];

	*out = (struct outcome){ 0 };
	upstream_send(server->upstream, request);
	while (!out->done && loop_now() < until)
		loop_step(server->loop);
	ck_assert(out->done);
}

START_TEST(test_script)
{
	const struct script *script = &scripts[_i];
	struct server server = { .script = script };
	struct upstream_request request;

	setup(&server);
	request = make_request(server.addr, 1, STR("r1"));
	request.reply_max = script->reply_max;
	send_and_wait(&server, &request);
	ck_assert_msg(outcomes[1].result == script->result, "%s: result %d",
		      script->name, (int)outcomes[1].result);
	ck_assert_int_eq(outcomes[1].status, script->status);
	ck_assert_str_eq(outcomes[1].body, script->body);
	request = make_request(server.addr, 2,
			       script->same_id ? STR("r1") : STR("r2"));
	send_and_wait(&server, &request);
	ck_assert_int_eq(outcomes[2].result, FETCH_OK);
	ck_assert_str_eq(outcomes[2].body, script->second_body);
	ck_assert_msg(outcomes[2].opened != script->reused, "%s: reuse",
		      script->name);
	teardown(&server);
}
END_TEST

/* A late copy of a reply answered the next sending of the same request. */
START_TEST(test_repeat_on_connection)
{
	const struct repeat *repeat = &repeats[_i];
	struct server server = { .repeat = repeat };
	struct upstream_request request;
	char id[16];

	setup(&server);
	for (int i = 0; i <= repeat->between + 1; i++) {
		bool last = i > repeat->between;

		snprintf(id, sizeof(id), "r%d", last ? 0 : i);
		request = make_request(server.addr, 1, str_of(id));
		usleep(last ? (useconds_t)repeat->pause_us : 0);
		send_and_wait(&server, &request);
		ck_assert_int_eq(outcomes[1].result, FETCH_OK);
		if (!last)
			ck_assert_int_eq(outcomes[1].opened, !i);
	}
	ck_assert_msg(outcomes[1].opened == repeat->opened, "%s: connection",
		      repeat->name);
	if (repeat->opened)
		ck_assert_str_eq(outcomes[1].body, "new");
	teardown(&server);
}
END_TEST

enum {
	MANY = 3,
	PART_BYTES = 40000,
};

/* Many large replies at a time took all memory of the process. */
START_TEST(test_memory_of_all_replies)
{
	static char part[PART_BYTES + 64] =
		"HTTP/1.1 200 OK\r\nContent-Length: 9000000\r\n\r\n";
	static const struct script script = { .first = part, .second = part };
	struct server server = { .script = &script };
	struct upstream_request request;
	int failed = 0;

	memset(part + strlen(part), 'x', PART_BYTES);
	setup(&server);
	upstream_set_memory(server.upstream, 2 * PART_BYTES + PART_BYTES / 2);
	for (int i = 0; i < MANY; i++) {
		outcomes[i + 1] = (struct outcome){ 0 };
		request = make_request(server.addr, (uint64_t)i + 1,
				       (struct str){ 0 });
		upstream_send(server.upstream, &request);
	}
	while (!outcomes[MANY].done || !outcomes[1].done || !outcomes[2].done)
		loop_step(server.loop);
	for (int i = 1; i <= MANY; i++)
		failed += outcomes[i].result == FETCH_MALFORMED;
	ck_assert_int_eq(failed, 1);
	teardown(&server);
}
END_TEST

/*
 * On a small VM's link a configuration of 1 MiB takes longer than the timeout
 * of a reply: every attempt was cancelled, and it was never read. A reply may
 * take longer while bytes keep arriving, but not if it stalls or never ends.
 */
START_TEST(test_slow_reply)
{
	const struct slow_reply *slow_reply = &slow_reply_cases[_i];
	struct server server = { .slow_reply = slow_reply };
	struct upstream_request request;

	setup(&server);
	request = make_request(server.addr, 1, (struct str){ 0 });
	if (slow_reply->slow_allowed) {
		request.read_timeout_us = PAUSE_US;
		request.total_timeout_us = WHOLE_US;
	}
	send_and_wait(&server, &request);
	ck_assert_int_eq(outcomes[1].result, slow_reply->result);
	teardown(&server);
}
END_TEST

/* A refused connection: no byte was sent, so the request has not run. */
START_TEST(test_refused)
{
	struct server server = { 0 };
	struct upstream_request request;

	setup(&server);
	stop_listening(&server);
	request = make_request(server.addr, 1, STR("r1"));
	send_and_wait(&server, &request);
	ck_assert_int_eq(outcomes[1].result, FETCH_REFUSED);
	teardown(&server);
}
END_TEST

static void ignore_events(void *ctx, int events)
{
	(void)ctx;
	(void)events;
}

/*
 * The process is paused for longer than a scheduling delay. Requests wait in
 * its sockets meanwhile, some on connections that are accepted one loop
 * iteration later: everything read in the first 100 ms may be as old as the
 * pause, but nothing after that.
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
	watch = loop_add(loop, ends[0], APR_POLLIN, ignore_events, NULL);
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

static void add_tests(TCase *tcase)
{
	tcase_add_loop_test(tcase, test_script, 0,
			    (int)(sizeof(scripts) / sizeof(*scripts)));
	tcase_add_loop_test(
		tcase, test_slow_reply, 0,
		(int)(sizeof(slow_reply_cases) / sizeof(*slow_reply_cases)));
	tcase_add_loop_test(tcase, test_repeat_on_connection, 0,
			    (int)(sizeof(repeats) / sizeof(*repeats)));
	tcase_add_test(tcase, test_memory_of_all_replies);
	tcase_add_test(tcase, test_refused);
	tcase_add_test(tcase, test_pause_is_noticed);
}

int main(void)
{
	return suite_run("upstream", add_tests);
}
