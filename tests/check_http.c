/*
 * Tests of the HTTP server over loopback sockets: each request is delivered
 * once and unchanged, or refused before it is delivered.
 */
#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <stdio.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include <check.h>

#include "../headers.h"
#include "../http.h"
#include "suite.h"

enum {
	FIRST_PORT = 30000,
	LAST_PORT = 30900,
	WAIT_US = 2000000,
	QUIET_US = 60000,
	HEADER_TIMEOUT_US = 150000,
	IDLE_TIMEOUT_US = 1000000,
	SENDING_US = 1500000,
	LARGE_BYTES = 3000000,
};

static const struct caller_limits small_limits = {
	.header_bytes = 100,
	.body_bytes = 8,
	.header_timeout_us = HEADER_TIMEOUT_US,
	.idle_timeout_us = IDLE_TIMEOUT_US,
};

/**
 * struct fixture - a server whose handler echoes requests, and a caller
 * @delivered: "METHOD URI BODY;" of each request
 * @held: the last request if the handler does not answer
 */
struct fixture {
	apr_pool_t *pool;
	struct loop *loop;
	struct http_server *server;
	struct buf delivered;
	struct http_request *held;
	bool holds;
	int gone;
	size_t padding;
	uint16_t port;
	int fd;
	struct buf received;
	bool closed;
};

static bool keep_all(struct str name)
{
	return !header_name_eq(name, STR("Host"));
}

static void on_request(void *ctx, struct http_request *req)
{
	struct fixture *f = ctx;
	struct buf body = { 0 };

	buf_printf(&f->delivered, "%.*s %.*s %.*s;", STR_ARG(req->method),
		   STR_ARG(req->uri), STR_ARG(req->body));
	f->held = req;
	if (f->holds)
		return;
	http_copy_headers(req, keep_all, &body);
	for (size_t i = 0; i < f->padding; i++)
		buf_add(&body, "x", 1);
	http_respond(req, 200, STR(""), buf_str(&body));
	buf_free(&body);
}

static void on_gone(void *ctx, struct http_request *req)
{
	struct fixture *f = ctx;

	(void)req;
	f->gone++;
}

static void connect_caller(struct fixture *f, uint16_t port)
{
	struct sockaddr_in sin = { .sin_family = AF_INET,
				   .sin_port = htons(port),
				   .sin_addr.s_addr = htonl(INADDR_LOOPBACK) };

	f->fd = socket(AF_INET, SOCK_STREAM, 0);
	ck_assert(!connect(f->fd, (struct sockaddr *)&sin, sizeof(sin)));
	fcntl(f->fd, F_SETFL, O_NONBLOCK);
}

static void set_up(struct fixture *f, const struct caller_limits *limits)
{
	struct http_handler handler = { on_request, on_gone, f };
	struct error err = { 0 };
	char addr[32];

	apr_pool_create(&f->pool, NULL);
	f->loop = loop_create(f->pool);
	for (f->port = FIRST_PORT; !f->server; f->port++) {
		ck_assert_uint_lt(f->port, LAST_PORT);
		snprintf(addr, sizeof(addr), "127.0.0.1:%u", f->port);
		f->server = http_listen(f->loop, str_of(addr), limits, handler,
					&err);
	}
	f->port--;
	connect_caller(f, f->port);
}

static void tear_down(struct fixture *f)
{
	if (f->fd >= 0)
		close(f->fd);
	http_destroy(f->server);
	loop_destroy(f->loop);
	buf_free(&f->delivered);
	buf_free(&f->received);
	apr_pool_destroy(f->pool);
}

static void receive(struct fixture *f)
{
	char bytes[65536];
	ssize_t got;

	while ((got = recv(f->fd, bytes, sizeof(bytes), 0)) > 0)
		buf_add(&f->received, bytes, (size_t)got);
	if (!got || errno != EAGAIN)
		f->closed = true;
}

/* Runs the server until the caller has received nothing for @quiet_us. */
static void run(struct fixture *f, int64_t quiet_us)
{
	int64_t end = loop_now() + WAIT_US;
	int64_t quiet_until = loop_now() + quiet_us;

	while (loop_now() < end && loop_now() < quiet_until && !f->closed) {
		size_t before = f->received.len;

		loop_step(f->loop);
		receive(f);
		if (f->received.len != before)
			quiet_until = loop_now() + quiet_us;
	}
}

static void send_text(struct fixture *f, const char *text)
{
	ssize_t len = (ssize_t)strlen(text);

	ck_assert_int_eq(send(f->fd, text, (size_t)len, MSG_NOSIGNAL), len);
}

/* Removes what differs from run to run. */
static void drop_dates(struct buf *text)
{
	buf_add(text, "", 1);
	for (;;) {
		char *date = strstr(text->ptr, "Date: ");
		char *end = date ? strstr(date, "\r\n") + 2 : NULL;

		if (!date)
			break;
		memmove(date, end, strlen(end) + 1);
	}
	text->len = strlen(text->ptr);
}

/**
 * struct exchange_case - what a caller sends, and what follows
 * @delivered: "METHOD URI BODY;" of each request delivered
 * @received: all the caller receives if it begins with "HTTP", else the status
 * @closes: the server then closes the connection
 */
struct exchange_case {
	const char *name;
	const char *sent;
	const char *delivered;
	const char *received;
	bool closes;
};

#define HOST "Host: h\r\n"
#define OK(length, body) \
	"HTTP/1.1 200 OK\r\nContent-Length: " length "\r\n\r\n" body
#define OK_CLOSE(length, body) \
	"HTTP/1.1 200 OK\r\nContent-Length: " length \
	"\r\nConnection: close\r\n\r\n" body

static const struct exchange_case exchange_cases[] = {
	{ "plain", "GET /a?b=c HTTP/1.1\r\n" HOST "\r\n", "GET /a?b=c ;",
	  OK("0", ""), false },
	{ "headers", "GET / HTTP/1.1\r\n" HOST "A: 1 \r\nb:2\r\nA:\r\n\r\n",
	  "GET / ;", OK("17", "A: 1\r\nb: 2\r\nA: \r\n"), false },
	{ "pipelined",
	  "GET /1 HTTP/1.1\r\n" HOST "\r\nGET /2 HTTP/1.1\r\n" HOST "\r\n",
	  "GET /1 ;GET /2 ;", OK("0", "") OK("0", ""), false },
	{ "length", "PUT / HTTP/1.1\r\n" HOST "Content-Length: 3\r\n\r\none",
	  "PUT / one;", OK("19", "Content-Length: 3\r\n"), false },
	{ "chunks and a trailer",
	  "PUT / HTTP/1.1\r\n" HOST "Transfer-Encoding: chunked\r\n\r\n"
	  "2;x=y\r\non\r\n1\r\ne\r\n0\r\nA: b\r\n\r\n",
	  "PUT / one;", OK("28", "Transfer-Encoding: chunked\r\n"), false },
	{ "as long as the limit",
	  "PUT / HTTP/1.1\r\n" HOST "Content-Length: 8\r\n\r\n12345678",
	  "PUT / 12345678;", OK("19", "Content-Length: 8\r\n"), false },
	{ "an unknown method", "X-QUERY / HTTP/1.1\r\n" HOST "\r\n",
	  "X-QUERY / ;", OK("0", ""), false },
	{ "an empty line before it", "\r\nGET / HTTP/1.1\r\n" HOST "\r\n",
	  "GET / ;", OK("0", ""), false },
	{ "HEAD", "HEAD / HTTP/1.1\r\n" HOST "A: 1\r\n\r\n", "HEAD / ;",
	  OK("6", ""), false },
	{ "offers an upgrade",
	  "GET / HTTP/1.1\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n"
	  "GET /2 HTTP/1.1\r\n\r\n",
	  "GET / ;GET /2 ;",
	  OK("33", "Connection: upgrade\r\nUpgrade: x\r\n") OK("0", ""),
	  false },
	{ "expects to continue",
	  "PUT / HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 1\r\n\r\n",
	  "", "HTTP/1.1 100 Continue\r\n\r\n", false },
	{ "expects to continue beyond the limit",
	  "PUT / HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 9\r\n\r\n",
	  "", "413", true },
	{ "closes", "GET / HTTP/1.1\r\nConnection: close\r\n\r\n", "GET / ;",
	  OK_CLOSE("19", "Connection: close\r\n"), true },
	{ "HTTP/1.0", "GET / HTTP/1.0\r\n\r\n", "GET / ;", OK_CLOSE("0", ""),
	  true },
	{ "HTTP/1.0, kept", "GET / HTTP/1.0\r\nConnection: keep-alive\r\n\r\n",
	  "GET / ;",
	  "HTTP/1.1 200 OK\r\nContent-Length: 24\r\n"
	  "Connection: keep-alive\r\n\r\nConnection: keep-alive\r\n",
	  false },
	{ "body over the limit",
	  "PUT / HTTP/1.1\r\n" HOST "Content-Length: 9\r\n\r\n123456789", "",
	  "413", true },
	{ "chunks over the limit",
	  "PUT / HTTP/1.1\r\n" HOST "Transfer-Encoding: chunked\r\n\r\n"
	  "9\r\n123456789\r\n0\r\n\r\n",
	  "", "413", true },
	{ "incomplete", "GET / HTTP/1.1\r\nHo", "", "", false },
	{ "space before a colon",
	  "PUT / HTTP/1.1\r\nContent-Length : 1\r\n\r\n1", "", "400", true },
	{ "two lengths",
	  "PUT / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n12",
	  "", "400", true },
	{ "length and chunks",
	  "PUT / HTTP/1.1\r\nContent-Length: 1\r\n"
	  "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
	  "", "400", true },
	{ "no version", "GET /\r\n\r\n", "", "400", true },
	{ "another protocol", "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", "", "400",
	  true },
	{ "no request", "\x16\x03\x01 hello\r\n\r\n", "", "400", true },
};

static void check_exchange(struct fixture *f, const struct exchange_case *c)
{
	char status[4] = { 0 };

	drop_dates(&f->received);
	buf_add(&f->delivered, "", 1);
	ck_assert_msg(!strcmp(f->delivered.ptr, c->delivered),
		      "%s: delivered %s", c->name, f->delivered.ptr);
	if (f->received.len > 12)
		memcpy(status, f->received.ptr + 9, 3);
	if (*c->received && *c->received != 'H')
		ck_assert_msg(!strcmp(status, c->received), "%s: received %s",
			      c->name, f->received.ptr);
	else
		ck_assert_msg(!strcmp(f->received.ptr, c->received),
			      "%s: received %s", c->name, f->received.ptr);
	ck_assert_msg(f->closed == c->closes, "%s: closed %d", c->name,
		      f->closed);
}

START_TEST(test_exchange)
{
	const struct exchange_case *c = &exchange_cases[_i];
	struct fixture f = { 0 };

	set_up(&f, &small_limits);
	send_text(&f, c->sent);
	run(&f, QUIET_US);
	check_exchange(&f, c);
	tear_down(&f);
}
END_TEST

/* A request that arrives in many pieces is the same request. */
START_TEST(test_exchange_byte_by_byte)
{
	const struct exchange_case *c = &exchange_cases[_i];
	struct fixture f = { 0 };

	set_up(&f, &small_limits);
	for (const char *at = c->sent; *at && !f.closed; at++) {
		if (send(f.fd, at, 1, MSG_NOSIGNAL) != 1)
			break;
		loop_step(f.loop);
		receive(&f);
	}
	run(&f, QUIET_US);
	check_exchange(&f, c);
	tear_down(&f);
}
END_TEST

/** struct status_line - what a caller gets for a status */
struct status_line {
	int status;
	const char *line;
};

static const struct status_line status_lines[] = {
	{ 200, "HTTP/1.1 200 OK\r\n" },
	{ 503, "HTTP/1.1 503 Service Unavailable\r\n" },
	{ 299, "HTTP/1.1 299 \r\n" },
	{ 599, "HTTP/1.1 599 \r\n" },
};

/* Statuses that have no phrase of their own came with "<unknown>". */
START_TEST(test_status_line)
{
	const struct status_line *c = &status_lines[_i];
	size_t len = strlen(c->line);
	struct fixture f = { .holds = true };

	set_up(&f, &small_limits);
	send_text(&f, "GET / HTTP/1.1\r\n\r\n");
	run(&f, QUIET_US);
	http_respond(f.held, c->status, STR(""), STR(""));
	run(&f, QUIET_US);
	ck_assert(f.received.len > len);
	ck_assert(!memcmp(f.received.ptr, c->line, len));
	tear_down(&f);
}
END_TEST

/* Headers that take too long are answered as not run, not dropped. */
START_TEST(test_slow_headers)
{
	struct fixture f = { 0 };

	set_up(&f, &small_limits);
	send_text(&f, "GET / HTTP/1.1\r\nHo");
	run(&f, 2 * HEADER_TIMEOUT_US);
	ck_assert(f.received.len > 12);
	ck_assert(!memcmp(f.received.ptr, "HTTP/1.1 408", 12));
	ck_assert(f.closed);
	tear_down(&f);
}
END_TEST

/* A caller that goes on sending after a refusal still gets the answer. */
START_TEST(test_refused_while_sending)
{
	struct fixture f = { 0 };
	char part[1000] = { 0 };

	set_up(&f, &small_limits);
	send_text(&f, "PUT / HTTP/1.1\r\nContent-Length: 90000\r\n\r\n");
	for (int64_t end = loop_now() + SENDING_US; loop_now() < end;) {
		ck_assert_int_gt(send(f.fd, part, sizeof(part), MSG_NOSIGNAL),
				 0);
		usleep(100000);
		loop_step(f.loop);
	}
	receive(&f);
	ck_assert_uint_gt(f.received.len, 12);
	ck_assert(!memcmp(f.received.ptr, "HTTP/1.1 413", 12));
	tear_down(&f);
}
END_TEST

/* An idle connection ends after the limit in force, also if that changes. */
START_TEST(test_idle_connection)
{
	struct caller_limits longer = small_limits;
	struct fixture f = { 0 };

	set_up(&f, &small_limits);
	longer.idle_timeout_us = 3 * IDLE_TIMEOUT_US;
	run(&f, IDLE_TIMEOUT_US * 4 / 5);
	ck_assert(!f.closed);
	http_set_limits(f.server, &longer);
	run(&f, IDLE_TIMEOUT_US);
	ck_assert(!f.closed);
	http_set_limits(f.server, &small_limits);
	run(&f, QUIET_US);
	ck_assert(f.closed);
	tear_down(&f);
}
END_TEST

/* A caller that leaves is reported, so that its request can be cancelled. */
START_TEST(test_caller_gone)
{
	struct fixture f = { .holds = true };

	set_up(&f, &small_limits);
	send_text(&f, "GET / HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\n");
	run(&f, QUIET_US);
	ck_assert_uint_eq(http_open_requests(f.server), 1);
	close(f.fd);
	f.fd = -1;
	for (int i = 0; i < 5; i++)
		loop_step(f.loop);
	ck_assert_int_eq(f.gone, 1);
	ck_assert_uint_eq(http_open_requests(f.server), 0);
	tear_down(&f);
}
END_TEST

/* An answer that its caller takes slowly arrives whole. */
START_TEST(test_large_answer)
{
	struct fixture f = { .padding = LARGE_BYTES };
	int64_t end;

	set_up(&f, &small_limits);
	send_text(&f, "GET / HTTP/1.1\r\n\r\n");
	for (int i = 0; i < 3; i++)
		loop_step(f.loop);
	end = loop_now() + WAIT_US;
	while (f.received.len < LARGE_BYTES && loop_now() < end)
		run(&f, QUIET_US);
	ck_assert_uint_gt(f.received.len, LARGE_BYTES);
	ck_assert(!f.closed);
	tear_down(&f);
}
END_TEST

/* Without descriptors the connection idle longest makes room for a caller. */
START_TEST(test_no_descriptors)
{
	struct fixture f = { 0 };
	struct rlimit limit;
	int first;

	set_up(&f, &small_limits);
	run(&f, QUIET_US);
	first = f.fd;
	connect_caller(&f, f.port);
	getrlimit(RLIMIT_NOFILE, &limit);
	limit.rlim_cur = (rlim_t)dup(f.fd);
	close((int)limit.rlim_cur);
	ck_assert(!setrlimit(RLIMIT_NOFILE, &limit));
	send_text(&f, "GET / HTTP/1.1\r\n\r\n");
	run(&f, QUIET_US);
	ck_assert_uint_gt(f.received.len, 12);
	ck_assert(!f.closed);
	ck_assert_int_eq(recv(first, &limit, 1, 0), 0);
	close(first);
	tear_down(&f);
}
END_TEST

/* Requests that were delivered are answered while the server is closing. */
START_TEST(test_closing)
{
	struct fixture f = { .holds = true };

	set_up(&f, &small_limits);
	send_text(&f, "GET / HTTP/1.1\r\n\r\n");
	run(&f, QUIET_US);
	http_set_closing(f.server, true);
	http_quiesce(f.server);
	http_respond_json(f.held, 200, STR("{}"));
	run(&f, QUIET_US);
	buf_add(&f.received, "", 1);
	ck_assert(strstr(f.received.ptr, "Connection: close\r\n"));
	ck_assert(strstr(f.received.ptr, "{}"));
	ck_assert(f.closed);
	tear_down(&f);
}
END_TEST

/** struct limit_case - size of a request's head, and the answer */
struct limit_case {
	int head_bytes;
	const char *status;
};

static const struct limit_case limit_cases[] = {
	{ 99, "200" },
	{ 100, "200" },
	{ 101, "431" },
	{ 5000, "431" },
};

/* The limit counts the request line, the headers and the empty line. */
START_TEST(test_head_limit)
{
	const struct limit_case *c = &limit_cases[_i];
	static const char start[] = "GET / HTTP/1.1\r\nA: ";
	struct fixture f = { 0 };
	struct buf text = { 0 };

	set_up(&f, &small_limits);
	buf_str_add(&text, STR(start));
	while ((int)text.len < c->head_bytes - 4)
		buf_add(&text, "x", 1);
	buf_add(&text, "\r\n\r\n", 5);
	send_text(&f, text.ptr);
	run(&f, QUIET_US);
	ck_assert_uint_gt(f.received.len, 12);
	ck_assert(!memcmp(f.received.ptr + 9, c->status, 3));
	ck_assert_int_eq(f.delivered.len > 0, !strcmp(c->status, "200"));
	buf_free(&text);
	tear_down(&f);
}
END_TEST

static void add_tests(TCase *tcase)
{
	int count = sizeof(exchange_cases) / sizeof(*exchange_cases);

	tcase_add_loop_test(tcase, test_exchange, 0, count);
	tcase_add_loop_test(tcase, test_exchange_byte_by_byte, 0, count);
	tcase_add_loop_test(tcase, test_head_limit, 0,
			    sizeof(limit_cases) / sizeof(*limit_cases));
	tcase_add_loop_test(
		tcase, test_status_line, 0,
		(int)(sizeof(status_lines) / sizeof(*status_lines)));
	tcase_add_test(tcase, test_slow_headers);
	tcase_add_test(tcase, test_refused_while_sending);
	tcase_add_test(tcase, test_idle_connection);
	tcase_add_test(tcase, test_caller_gone);
	tcase_add_test(tcase, test_large_answer);
	tcase_add_test(tcase, test_no_descriptors);
	tcase_add_test(tcase, test_closing);
}

int main(void)
{
	return suite_run("http", add_tests);
}
