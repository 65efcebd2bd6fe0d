#include "fetch.h"

#include <stdio.h>
#include <stdlib.h>

#include <curl/curl.h>

#include "reply.h"
#include "xmalloc.h"

enum {
	MAX_HOST_CONNECTIONS = 8,
	MAX_CACHED_CONNECTIONS = 2048,
	MAX_IDLE_HANDLES = 256,
	CONNECT_TIMEOUT_MS = 2000,
	URL_MAX = 8192,
};

/**
 * struct transfer - a request in flight; its curl handle is reused
 * @head: checks the head and the trailer fields of the reply
 * @malformed: the reply is not acceptable
 */
struct transfer {
	struct fetcher *fetcher;
	struct fetch_request request;
	CURL *easy;
	struct curl_slist *headers;
	struct buf post;
	struct reply head;
	struct buf body;
	int sent;
	bool malformed;
	struct transfer *next;
	struct transfer *prev;
};

struct fetcher {
	struct loop *loop;
	CURLM *multi;
	size_t max_body;
	int64_t timer_at;
	struct transfer *open;
	struct transfer *idle;
	size_t nidle;
};

static void finish_transfers(struct fetcher *fetcher);

static void handle_socket_events(void *ctx, int events, int fd)
{
	struct fetcher *fetcher = ctx;
	int flags = 0;
	int running;

	if (events & APR_POLLIN)
		flags |= CURL_CSELECT_IN;
	if (events & APR_POLLOUT)
		flags |= CURL_CSELECT_OUT;
	if (events & (APR_POLLERR | APR_POLLHUP))
		flags |= CURL_CSELECT_ERR;
	curl_multi_socket_action(fetcher->multi, fd, flags, &running);
}

/** struct socket - a socket that is watched for curl */
struct socket {
	struct fetcher *fetcher;
	struct watch *watch;
	int fd;
};

static void on_socket_event(void *ctx, int events)
{
	struct socket *sock = ctx;

	handle_socket_events(sock->fetcher, events, sock->fd);
}

static int socket_cb(CURL *easy, curl_socket_t fd, int what, void *ctx,
		     void *sock_ctx)
{
	struct fetcher *fetcher = ctx;
	struct socket *sock = sock_ctx;
	int events = 0;

	(void)easy;
	if (what == CURL_POLL_REMOVE) {
		if (sock) {
			loop_del(sock->watch);
			curl_multi_assign(fetcher->multi, fd, NULL);
			free(sock);
		}
		return 0;
	}
	if (what & CURL_POLL_IN)
		events |= APR_POLLIN;
	if (what & CURL_POLL_OUT)
		events |= APR_POLLOUT;
	if (sock) {
		loop_set_events(sock->watch, events);
		return 0;
	}
	sock = xcalloc(1, sizeof(*sock));
	sock->fetcher = fetcher;
	sock->fd = fd;
	sock->watch =
		loop_add(fetcher->loop, fd, events, on_socket_event, sock);
	curl_multi_assign(fetcher->multi, fd, sock);
	return 0;
}

static int timer_cb(CURLM *multi, long ms, void *ctx)
{
	struct fetcher *fetcher = ctx;

	(void)multi;
	fetcher->timer_at = ms < 0 ? -1 : loop_now() + ms * 1000;
	return 0;
}

static int64_t wait_us(void *ctx)
{
	struct fetcher *fetcher = ctx;

	if (fetcher->timer_at < 0)
		return -1;

	int64_t left = fetcher->timer_at - loop_now();

	return left > 0 ? left : 0;
}

static void process_transfers(void *ctx)
{
	struct fetcher *fetcher = ctx;
	int running;

	if (fetcher->timer_at >= 0 && loop_now() >= fetcher->timer_at) {
		fetcher->timer_at = -1;
		curl_multi_socket_action(fetcher->multi, CURL_SOCKET_TIMEOUT, 0,
					 &running);
	}
	finish_transfers(fetcher);
}

struct fetcher *fetcher_create(struct loop *loop, size_t max_body)
{
	struct fetcher *fetcher = xcalloc(1, sizeof(*fetcher));
	CURLM *multi;

	/*
	 * Not in main(): a node that does not use curl would spend half of its
	 * start-up time here.
	 */
	curl_global_init(CURL_GLOBAL_DEFAULT);
	multi = curl_multi_init();

	fetcher->loop = loop;
	fetcher->multi = multi;
	fetcher->max_body = max_body;
	fetcher->timer_at = -1;
	curl_multi_setopt(multi, CURLMOPT_SOCKETFUNCTION, socket_cb);
	curl_multi_setopt(multi, CURLMOPT_SOCKETDATA, fetcher);
	curl_multi_setopt(multi, CURLMOPT_TIMERFUNCTION, timer_cb);
	curl_multi_setopt(multi, CURLMOPT_TIMERDATA, fetcher);
	curl_multi_setopt(multi, CURLMOPT_MAX_HOST_CONNECTIONS,
			  (long)MAX_HOST_CONNECTIONS);
	curl_multi_setopt(multi, CURLMOPT_MAXCONNECTS,
			  (long)MAX_CACHED_CONNECTIONS);
	loop_hook(loop,
		  (struct loop_hook){ process_transfers, wait_us, fetcher });
	return fetcher;
}

static size_t write_cb(char *data, size_t size, size_t count, void *ctx)
{
	struct transfer *t = ctx;

	size_t limit = t->request.max_body ? t->request.max_body
					   : t->fetcher->max_body;

	if (t->body.len + size * count > limit) {
		t->malformed = true;
		return 0;
	}
	buf_add(&t->body, data, size * count);
	return size * count;
}

/*
 * curl takes 999 for a status and any bytes for the name of a header, and keeps
 * headers for as long as they come.
 */
static size_t header_cb(char *data, size_t size, size_t count, void *ctx)
{
	struct transfer *t = ctx;
	struct str line = { data, size * count };

	t->malformed = !reply_parse_line(&t->head, line);
	return t->malformed ? 0 : line.len;
}

/*
 * curl resends a request by itself when a reused connection closes before the
 * reply. The target may have read the first request, and an entry would run
 * twice. curl calls this before each send; the second one is aborted.
 */
static int prereq_cb(void *ctx, char *ip, char *local_ip, int port,
		     int local_port)
{
	struct transfer *t = ctx;

	(void)ip;
	(void)local_ip;
	(void)port;
	(void)local_port;
	if (t->request.once && t->sent)
		return CURL_PREREQFUNC_ABORT;
	t->sent++;
	reply_reset(&t->head);
	return CURL_PREREQFUNC_OK;
}

static struct transfer *transfer_acquire(struct fetcher *fetcher)
{
	struct transfer *t = fetcher->idle;

	if (t) {
		fetcher->idle = t->next;
		fetcher->nidle--;
		curl_easy_reset(t->easy);
	} else {
		t = xcalloc(1, sizeof(*t));
		t->easy = curl_easy_init();
	}
	t->fetcher = fetcher;
	t->sent = 0;
	t->malformed = false;
	t->head.no_body = true;
	t->body.len = 0;
	t->post.len = 0;
	t->prev = NULL;
	t->next = fetcher->open;
	if (t->next)
		t->next->prev = t;
	fetcher->open = t;
	return t;
}

static void transfer_free(struct transfer *t)
{
	curl_easy_cleanup(t->easy);
	curl_slist_free_all(t->headers);
	reply_free(&t->head);
	buf_free(&t->body);
	buf_free(&t->post);
	free(t);
}

static void transfer_release(struct transfer *t)
{
	struct fetcher *fetcher = t->fetcher;

	if (t->prev)
		t->prev->next = t->next;
	else
		fetcher->open = t->next;
	if (t->next)
		t->next->prev = t->prev;
	curl_slist_free_all(t->headers);
	t->headers = NULL;
	/* A faulty target's headers are large, and idle handles are many. */
	reply_free(&t->head);
	if (fetcher->nidle >= MAX_IDLE_HANDLES) {
		transfer_free(t);
		return;
	}
	t->next = fetcher->idle;
	fetcher->idle = t;
	fetcher->nidle++;
}

static void add_headers(struct transfer *t)
{
	char line[64];

	if (t->request.remaining_us >= 0) {
		snprintf(line, sizeof(line), "X-Remaining-Ms: %lld",
			 (long long)t->request.remaining_us / 1000);
		t->headers = curl_slist_append(t->headers, line);
	}
	if (t->request.post.ptr) {
		t->headers = curl_slist_append(
			t->headers, "Content-Type: application/json");
		t->headers = curl_slist_append(t->headers, "Expect:");
	}
	curl_easy_setopt(t->easy, CURLOPT_HTTPHEADER, t->headers);
}

void fetch_start(struct fetcher *fetcher, const struct fetch_request *request)
{
	struct transfer *t = transfer_acquire(fetcher);
	CURL *easy = t->easy;
	char url[URL_MAX];

	t->request = *request;
	snprintf(url, sizeof(url), "%.*s", STR_ARG(request->url));
	curl_easy_setopt(easy, CURLOPT_URL, url);
	curl_easy_setopt(easy, CURLOPT_PRIVATE, t);
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(easy, CURLOPT_PROXY, "");
	curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http");
	curl_easy_setopt(easy, CURLOPT_HTTP_VERSION,
			 (long)CURL_HTTP_VERSION_1_1);
	curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS,
			 (long)CONNECT_TIMEOUT_MS);
	curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS,
			 (long)(request->timeout_us / 1000 + 1));
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, write_cb);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, t);
	curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, header_cb);
	curl_easy_setopt(easy, CURLOPT_HEADERDATA, t);
	curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, prereq_cb);
	curl_easy_setopt(easy, CURLOPT_PREREQDATA, t);
	if (request->once) {
		curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
		curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, 1L);
	}
	if (request->post.ptr) {
		buf_str_add(&t->post, request->post);
		curl_easy_setopt(easy, CURLOPT_POST, 1L);
		curl_easy_setopt(easy, CURLOPT_POSTFIELDS,
				 t->post.ptr ? t->post.ptr : "");
		curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE,
				 (long)t->post.len);
	}
	add_headers(t);
	curl_multi_add_handle(fetcher->multi, easy);
}

static enum fetch_result transfer_result(const struct transfer *t,
					 CURLcode code)
{
	if (code == CURLE_OK)
		return FETCH_OK;
	if (!t->sent)
		return FETCH_REFUSED;
	if (code == CURLE_OPERATION_TIMEDOUT)
		return FETCH_TIMEOUT;
	if (t->malformed)
		return FETCH_MALFORMED;
	return FETCH_BROKEN;
}

static void finish_transfers(struct fetcher *fetcher)
{
	CURLMsg *msg;
	int left;

	while ((msg = curl_multi_info_read(fetcher->multi, &left))) {
		struct transfer *t;
		long status = 0;

		if (msg->msg != CURLMSG_DONE)
			continue;

		CURLcode code = msg->data.result;

		curl_easy_getinfo(msg->easy_handle, CURLINFO_PRIVATE, &t);
		curl_easy_getinfo(msg->easy_handle, CURLINFO_RESPONSE_CODE,
				  &status);
		curl_multi_remove_handle(fetcher->multi, t->easy);

		struct fetch_reply reply = {
			.result = transfer_result(t, code),
			.status = (int)status,
			.resent = t->sent > 1 ? t->sent - 1 : 0,
			.body = buf_str(&t->body),
		};

		t->request.done(t->request.ctx, t->request.id, &reply);
		transfer_release(t);
	}
}

void fetcher_destroy(struct fetcher *fetcher)
{
	struct transfer *next;

	for (struct transfer *t = fetcher->open; t; t = next) {
		next = t->next;
		curl_multi_remove_handle(fetcher->multi, t->easy);
		transfer_free(t);
	}
	for (struct transfer *t = fetcher->idle; t; t = next) {
		next = t->next;
		transfer_free(t);
	}
	curl_multi_cleanup(fetcher->multi);
	curl_global_cleanup();
	loop_unhook(fetcher->loop, fetcher);
	free(fetcher);
}
