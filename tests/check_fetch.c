/*
 * Resending of requests by the HTTP client library, and how fetch restricts it.
 */
#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

#include <check.h>
#include <curl/curl.h>

#include "../fetch.h"
#include "reply_forms.h"
#include "suite.h"

enum {
	LOOP_STEPS_MAX = 2000,
	TIMEOUT_US = 500000,
	ENDLESS_TIMEOUT_US = 5000000,
	STREAM_PART_BYTES = 16 * 1024,
	STREAM_ROUND_BYTES = 256 * 1024,
	/* The largest head, and what the sockets of both sides hold. */
	ENDLESS_MAX_BYTES = 16 * 1024 * 1024,
};

/**
 * struct server - target that answers its first request only
 * @form: what it sends for each request, in place of that; may be empty
 * @byte_by_byte: @form is sent in that way
 * @unsent: what is left to be sent of @form
 * @open: connections
 * @fd: the last connection
 * @requests_read: requests that it has read
 *
 * It reads every later request and closes the connection without a reply.
 */
struct server {
	struct str form;
	bool byte_by_byte;
	struct str unsent;
	struct loop *loop;
	int listener;
	struct watch *watch;
	int open;
	int fd;
	int requests_read;
	int replies_sent;
};

struct conn {
	struct server *server;
	struct watch *watch;
	int fd;
};

/* Sends the next piece, if the caller has not closed. */
static void send_unsent(struct server *server)
{
	size_t piece = server->byte_by_byte ? 1 : server->unsent.len;

	if (!server->open || !server->unsent.len)
		return;
	if (send(server->fd, server->unsent.ptr, piece, MSG_NOSIGNAL) < 0)
		return;
	server->unsent.ptr += piece;
	server->unsent.len -= piece;
}

static void on_conn(void *ctx, int events)
{
	static const char ok[] = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n"
				 "{}";
	struct conn *conn = ctx;
	char data[4096];
	ssize_t len = read(conn->fd, data, sizeof(data));

	(void)events;
	if (len > 0 && conn->server->form.len) {
		conn->server->requests_read++;
		conn->server->unsent = conn->server->form;
		return;
	}
	if (len > 0) {
		conn->server->requests_read++;
		if (conn->server->requests_read == 1) {
			conn->server->replies_sent++;
			ck_assert(write(conn->fd, ok, sizeof(ok) - 1) > 0);
			return;
		}
	}
	conn->server->open--;
	loop_del(conn->watch);
	close(conn->fd);
	free(conn);
}

static void on_accept(void *ctx, int events)
{
	struct server *server = ctx;
	struct conn *conn = calloc(1, sizeof(*conn));
	int no_delay = 1;

	(void)events;
	server->open++;
	conn->server = server;
	conn->fd = accept(server->listener, NULL, NULL);
	server->fd = conn->fd;
	setsockopt(conn->fd, IPPROTO_TCP, TCP_NODELAY, &no_delay,
		   sizeof(no_delay));
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

/** struct outcome - a copy of a reply */
struct outcome {
	bool done;
	enum fetch_result result;
	int status;
	char body[32];
};

static void on_outcome(void *ctx, uint64_t id, const struct fetch_reply *reply)
{
	struct outcome *out = ctx;

	(void)id;
	out->done = true;
	out->result = reply->result;
	out->status = reply->status;
	snprintf(out->body, sizeof(out->body), "%.*s", STR_ARG(reply->body));
}

static void start_fetch(struct server *server, struct fetcher *fetcher,
			int64_t timeout_us, struct outcome *out)
{
	struct buf url = { 0 };

	buf_printf(&url, "http://127.0.0.1:%u/leaf", server_listen(server));
	fetch_start(fetcher, &(struct fetch_request){
				     .url = buf_str(&url),
				     .remaining_us = -1,
				     .timeout_us = timeout_us,
				     .done = on_outcome,
				     .ctx = out,
			     });
	buf_free(&url);
}

static void stop_fetch(struct server *server, struct fetcher *fetcher)
{
	fetcher_destroy(fetcher);
	while (server->open)
		loop_step(server->loop);
	loop_del(server->watch);
	close(server->listener);
	loop_destroy(server->loop);
}

static struct outcome fetch_form(struct str form, bool byte_by_byte)
{
	struct server server = { .form = form, .byte_by_byte = byte_by_byte };
	struct outcome out = { 0 };
	struct fetcher *fetcher;

	server.loop = loop_create(NULL);
	fetcher = fetcher_create(server.loop, 4096);
	start_fetch(&server, fetcher, TIMEOUT_US, &out);
	while (!out.done) {
		send_unsent(&server);
		loop_step(server.loop);
	}
	stop_fetch(&server, fetcher);
	return out;
}

/* This reader asks for no id, so that no reply is another request's. */
static bool names_another_request(const char *name)
{
	return strstr(name, "another request's");
}

/*
 * Cases that fail: libcurl shows neither a CR that ends no line nor what stands
 * about a chunk, and refuses two sound forms.
 */
static const char *const open_names[] = {
	"CR in place of the empty line",
	"0x01 in a chunk's extension",
	"CR in a chunk's extension",
	"a chunk that ends without CR",
	"HTTP/1.9",
	"may: empty lines first",
};

static bool is_open(const char *name)
{
	for (int i = 0; i < COUNT(open_names); i++)
		if (!strcmp(open_names[i], name))
			return true;
	return false;
}

static void check_broken(const struct broken *c)
{
	for (int byte_by_byte = 0; byte_by_byte < 2; byte_by_byte++) {
		struct outcome out = fetch_form(c->bytes, byte_by_byte);

		ck_assert_msg(out.result == FETCH_MALFORMED ||
				      out.result == FETCH_BROKEN,
			      "%s, by bytes: %d: result %d, status %d, \"%s\"",
			      c->name, byte_by_byte, (int)out.result,
			      out.status, out.body);
	}
}

static void check_broken_unless_open(const struct broken *c)
{
	if (!names_another_request(c->name) && !is_open(c->name))
		check_broken(c);
}

/* The library took status 0, and names with a blank, for an answer. */
START_TEST(test_broken_status_line)
{
	check_broken_unless_open(&broken_status_lines[_i]);
}
END_TEST

START_TEST(test_broken_field)
{
	check_broken_unless_open(&broken_fields[_i]);
}
END_TEST

START_TEST(test_broken_framing)
{
	check_broken_unless_open(&broken_framing[_i]);
}
END_TEST

static void check_sound(const struct sound *c)
{
	for (int byte_by_byte = 0; byte_by_byte < 2; byte_by_byte++) {
		struct outcome out = fetch_form(c->bytes, byte_by_byte);

		ck_assert_msg(out.result == FETCH_OK, "%s: result %d", c->name,
			      (int)out.result);
		ck_assert_int_eq(out.status, c->status);
		ck_assert_str_eq(out.body, c->body);
	}
}

START_TEST(test_sound)
{
	const struct sound *c = &sound[_i];

	if (!names_another_request(c->name) && !is_open(c->name) && !c->eof)
		check_sound(c);
}
END_TEST

static bool check_broken_named(const struct broken *table, int count,
			       const char *name)
{
	for (int i = 0; i < count; i++)
		if (!strcmp(table[i].name, name)) {
			check_broken(&table[i]);
			return true;
		}
	return false;
}

START_TEST(test_open)
{
	const char *name = open_names[_i];
	bool found =
		check_broken_named(broken_fields, COUNT(broken_fields), name) ||
		check_broken_named(broken_framing, COUNT(broken_framing), name);

	for (int i = 0; i < COUNT(sound); i++)
		if (!strcmp(sound[i].name, name)) {
			check_sound(&sound[i]);
			found = true;
		}
	ck_assert(found);
}
END_TEST

/** struct endless - bytes of a target that never ends its reply */
struct endless {
	const char *name;
	const char *first;
	const char *repeated;
};

static const struct endless endless[] = {
	{ "fields", OK_LINE, "A: b\r\n" },
	{ "a name", OK_LINE, "A" },
	{ "a value", OK_LINE "A: ", "b" },
	{ "a reason phrase", "HTTP/1.1 200 ", "OK" },
	{ "interim replies", "HTTP/1.1 100 Continue\r\n\r\n",
	  "HTTP/1.1 100 Continue\r\n\r\n" },
	{ "a body", HEAD "\r\n", "one" },
	{ "chunks", HEAD CHUNKED "\r\n", "3\r\none\r\n" },
	{ "trailer fields", HEAD CHUNKED "\r\n3\r\none\r\n0\r\n", "A: b\r\n" },
};

/* Sends what the connection takes. Return: bytes sent */
static size_t stream(const struct server *server, struct str part)
{
	size_t total = 0;
	ssize_t sent = 0;

	while (server->open && sent >= 0 && total < STREAM_ROUND_BYTES) {
		sent = send(server->fd, part.ptr, part.len,
			    MSG_NOSIGNAL | MSG_DONTWAIT);
		total += sent > 0 ? (size_t)sent : 0;
	}
	return total;
}

/* Trailer fields without end were taken until the timeout, in any number. */
START_TEST(test_endless)
{
	const struct endless *c = &endless[_i];
	struct server server = { 0 };
	struct outcome out = { 0 };
	struct buf part = { 0 };
	size_t total = 0;
	struct fetcher *fetcher;

	/* An empty line may come before a head. */
	buf_str_add(&part, str_of(c->first));
	server.form = buf_str(&part);
	server.loop = loop_create(NULL);
	fetcher = fetcher_create(server.loop, 4096);
	start_fetch(&server, fetcher, ENDLESS_TIMEOUT_US, &out);
	while (!out.done && !server.requests_read)
		loop_step(server.loop);
	send_unsent(&server);
	part.len = 0;
	while (part.len < STREAM_PART_BYTES)
		buf_str_add(&part, str_of(c->repeated));
	while (!out.done) {
		total += stream(&server, buf_str(&part));
		loop_step(server.loop);
	}
	ck_assert_msg(out.result == FETCH_MALFORMED ||
			      out.result == FETCH_BROKEN,
		      "%s: result %d after %zu bytes", c->name, (int)out.result,
		      total);
	ck_assert_msg(total < ENDLESS_MAX_BYTES, "%s: %zu bytes", c->name,
		      total);
	buf_free(&part);
	stop_fetch(&server, fetcher);
}
END_TEST

static void add_tests(TCase *tcase)
{
	tcase_add_loop_test(tcase, test_endless, 0, COUNT(endless));
	tcase_add_loop_test(tcase, test_broken_status_line, 0,
			    COUNT(broken_status_lines));
	tcase_add_loop_test(tcase, test_broken_field, 0, COUNT(broken_fields));
	tcase_add_loop_test(tcase, test_broken_framing, 0,
			    COUNT(broken_framing));
	tcase_add_loop_test(tcase, test_sound, 0, COUNT(sound));
	tcase_add_loop_test(tcase, test_resend, 0, 2);
	tcase_add_test(tcase, test_refused);
}

static void add_open_tests(TCase *tcase)
{
	tcase_add_loop_test(tcase, test_open, 0, COUNT(open_names));
}

/* With an argument, the cases that fail. */
int main(int argc, char **argv)
{
	(void)argv;
	curl_global_init(CURL_GLOBAL_DEFAULT);
	return suite_run("fetch", argc > 1 ? add_open_tests : add_tests);
}
