/*
 * Resending of requests by the HTTP client library, and how fetch restricts it.
 */
#include <arpa/inet.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

#include <check.h>
#include <curl/curl.h>

#include "../fetch.h"
#include "suite.h"

enum {
	LOOP_STEPS_MAX = 2000
};

/**
 * struct server - target that answers its first request only
 * @requests_read: requests that it has read
 *
 * It reads every later request and closes the connection without a reply.
 */
struct server {
	struct loop *loop;
	int listener;
	struct watch *watch;
	int requests_read;
	int replies_sent;
};

struct conn {
	struct server *server;
	struct watch *watch;
	int fd;
};

static void on_conn(void *ctx, int events)
{
	static const char ok[] = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n"
				 "{}";
	struct conn *conn = ctx;
	char data[4096];
	ssize_t len = read(conn->fd, data, sizeof(data));

	(void)events;
	if (len > 0) {
		conn->server->requests_read++;
		if (conn->server->requests_read == 1) {
			conn->server->replies_sent++;
			ck_assert(write(conn->fd, ok, sizeof(ok) - 1) > 0);
			return;
		}
	}
	loop_del(conn->watch);
	close(conn->fd);
	free(conn);
}

static void on_accept(void *ctx, int events)
{
	struct server *server = ctx;
	struct conn *conn = calloc(1, sizeof(*conn));

	(void)events;
	conn->server = server;
	conn->fd = accept(server->listener, NULL, NULL);
	conn->watch =
		loop_add(server->loop, conn->fd, APR_POLLIN, on_conn, conn);
}

static uint16_t server_listen(struct server *server)
{
	struct sockaddr_in sin = { .sin_family = AF_INET };
	socklen_t len = sizeof(sin);

	inet_pton(AF_INET, "127.0.0.1", &sin.sin_addr);
	server->listener = socket(AF_INET, SOCK_STREAM, 0);
	ck_assert(!bind(server->listener, (struct sockaddr *)&sin, len));
	ck_assert(!listen(server->listener, 8));
	getsockname(server->listener, (struct sockaddr *)&sin, &len);
	server->watch = loop_add(server->loop, server->listener, APR_POLLIN,
				 on_accept, server);
	return ntohs(sin.sin_port);
}

/* Lets kept-alive connections detect their end, then stops listening. */
static void server_stop(struct server *server)
{
	for (int i = 0; i < 5; i++)
		loop_step(server->loop);
	loop_del(server->watch);
	close(server->listener);
	loop_destroy(server->loop);
}

static void on_done(void *ctx, uint64_t id, const struct fetch_reply *reply)
{
	struct fetch_reply *out = ctx;

	(void)id;
	*out = *reply;
	out->body = (struct str){ 0 };
	out->status = 1;
}

static struct fetch_reply post(struct server *server, struct fetcher *fetcher,
			       uint16_t port, bool once)
{
	struct fetch_reply reply = { 0 };
	struct buf url = { 0 };

	buf_printf(&url, "http://127.0.0.1:%u/entry", port);
	fetch_start(fetcher, &(struct fetch_request){
				     .url = buf_str(&url),
				     .post = STR("{}"),
				     .remaining_us = 1000000,
				     .timeout_us = 5000000,
				     .once = once,
				     .done = on_done,
				     .ctx = &reply,
			     });
	for (int i = 0; i < LOOP_STEPS_MAX && !reply.status; i++)
		loop_step(server->loop);
	buf_free(&url);
	return reply;
}

/* A target reads a request on a kept-alive connection and closes without a
 * reply. The library resends it on its own, so the target reads three requests
 * for two. With "once", as entries are sent, it reads two, and the result
 * FETCH_BROKEN means that the second may have run. */
START_TEST(test_resend)
{
	bool once = _i;
	struct server server = { 0 };
	struct fetcher *fetcher;
	struct fetch_reply reply;
	uint16_t port;

	server.loop = loop_create(NULL);
	fetcher = fetcher_create(server.loop, 4096);
	port = server_listen(&server);
	reply = post(&server, fetcher, port, false);
	ck_assert_int_eq(reply.result, FETCH_OK);
	reply = post(&server, fetcher, port, once);
	ck_assert_int_eq(reply.result, FETCH_BROKEN);
	ck_assert_int_eq(server.requests_read, once ? 2 : 3);
	ck_assert_int_eq(reply.resent, once ? 0 : 1);
	fetcher_destroy(fetcher);
	server_stop(&server);
}
END_TEST

/* Nothing listens on the port: no byte was sent, so "not run" is correct. */
START_TEST(test_refused)
{
	struct server server = { 0 };
	struct fetcher *fetcher;
	struct fetch_reply reply;
	uint16_t port;

	server.loop = loop_create(NULL);
	fetcher = fetcher_create(server.loop, 4096);
	port = server_listen(&server);
	loop_del(server.watch);
	close(server.listener);
	reply = post(&server, fetcher, port, true);
	ck_assert_int_eq(reply.result, FETCH_REFUSED);
	ck_assert_int_eq(server.requests_read, 0);
	fetcher_destroy(fetcher);
	loop_destroy(server.loop);
}
END_TEST

static void add_tests(TCase *tcase)
{
	tcase_add_loop_test(tcase, test_resend, 0, 2);
	tcase_add_test(tcase, test_refused);
}

int main(void)
{
	curl_global_init(CURL_GLOBAL_DEFAULT);
	return suite_run("fetch", add_tests);
}
