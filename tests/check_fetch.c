/*
 * What the HTTP client library does by itself, and what is allowed of it.
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
	ROUNDS = 2000
};

/** struct closer - target that answers the first request, then reads and
 *  closes: its own book of whole requests that it has read */
struct closer {
	struct loop *loop;
	int listener;
	struct watch *watch;
	int reads;
	int replies;
};

struct conn {
	struct closer *closer;
	struct watch *watch;
	int fd;
};

static void on_conn(void *ctx, int events)
{
	static const char ok[] = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n"
				 "{}";
	struct conn *conn = ctx;
	char data[4096];
	ssize_t got = read(conn->fd, data, sizeof(data));

	(void)events;
	if (got > 0) {
		conn->closer->reads++;
		if (conn->closer->reads == 1) {
			conn->closer->replies++;
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
	struct closer *closer = ctx;
	struct conn *conn = calloc(1, sizeof(*conn));

	(void)events;
	conn->closer = closer;
	conn->fd = accept(closer->listener, NULL, NULL);
	conn->watch =
		loop_add(closer->loop, conn->fd, APR_POLLIN, on_conn, conn);
}

static uint16_t closer_listen(struct closer *closer)
{
	struct sockaddr_in sin = { .sin_family = AF_INET };
	socklen_t len = sizeof(sin);

	inet_pton(AF_INET, "127.0.0.1", &sin.sin_addr);
	closer->listener = socket(AF_INET, SOCK_STREAM, 0);
	ck_assert(!bind(closer->listener, (struct sockaddr *)&sin, len));
	ck_assert(!listen(closer->listener, 8));
	getsockname(closer->listener, (struct sockaddr *)&sin, &len);
	closer->watch = loop_add(closer->loop, closer->listener, APR_POLLIN,
				 on_accept, closer);
	return ntohs(sin.sin_port);
}

/* Lets the kept connections see their end, then stops listening. */
static void closer_end(struct closer *closer)
{
	for (int i = 0; i < 5; i++)
		loop_step(closer->loop);
	loop_del(closer->watch);
	close(closer->listener);
	loop_destroy(closer->loop);
}

static void on_done(void *ctx, uint64_t id, const struct fetch_reply *reply)
{
	struct fetch_reply *out = ctx;

	(void)id;
	*out = *reply;
	out->body = (struct str){ 0 };
	out->status = 1;
}

static struct fetch_reply post(struct closer *closer, struct fetcher *fetcher,
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
	for (int i = 0; i < ROUNDS && !reply.status; i++)
		loop_step(closer->loop);
	buf_free(&url);
	return reply;
}

/* A target reads a request on a kept connection and closes without a reply.
 * The library sends it again by itself: asked for two, the target reads three.
 * With "once", as entries are sent, it reads two, and the reply says that the
 * second may have run. */
START_TEST(test_resend)
{
	bool once = _i;
	struct closer closer = { 0 };
	struct fetcher *fetcher;
	struct fetch_reply reply;
	uint16_t port;

	closer.loop = loop_create(NULL);
	fetcher = fetcher_create(closer.loop, 4096);
	port = closer_listen(&closer);
	reply = post(&closer, fetcher, port, false);
	ck_assert_int_eq(reply.result, FETCH_OK);
	reply = post(&closer, fetcher, port, once);
	ck_assert_int_eq(reply.result, FETCH_BROKEN);
	ck_assert_int_eq(closer.reads, once ? 2 : 3);
	ck_assert_int_eq(reply.resent, once ? 0 : 1);
	fetcher_destroy(fetcher);
	closer_end(&closer);
}
END_TEST

/* Nobody listens: no byte was sent, so "not run" would be true. */
START_TEST(test_refused)
{
	struct closer closer = { 0 };
	struct fetcher *fetcher;
	struct fetch_reply reply;
	uint16_t port;

	closer.loop = loop_create(NULL);
	fetcher = fetcher_create(closer.loop, 4096);
	port = closer_listen(&closer);
	loop_del(closer.watch);
	close(closer.listener);
	reply = post(&closer, fetcher, port, true);
	ck_assert_int_eq(reply.result, FETCH_REFUSED);
	ck_assert_int_eq(closer.reads, 0);
	fetcher_destroy(fetcher);
	loop_destroy(closer.loop);
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
