/*
 * Fake platform: publishes the lists and fleet documents, can be down or stale,
 * and counts calls.
 *
 *   fake-platform IP:PORT LISTS.json FLEET.json
 *   POST /publish/lists, /publish/fleet   publish the body
 *   GET /set?down=0|1&stale=0|1           change behaviour
 *   GET /book                             number of reads since the start
 */
#include <stdio.h>
#include <stdlib.h>

#include <apr_general.h>

#include "../config.h"
#include "../doc.h"
#include "../http.h"
#include "../xmalloc.h"

enum {
	WAITERS = 4096,
	BODY_MAX = DOC_MAX_BYTES + 4096
};

struct waiter {
	struct http_request *req;
	enum doc_kind kind;
	int64_t expires_at;
};

struct platform {
	struct loop *loop;
	struct buf current[DOC_KINDS];
	struct buf previous[DOC_KINDS];
	bool down;
	bool stale;
	struct waiter waiters[WAITERS];
	size_t nwaiters;
	uint64_t calls;
};

static void publish(struct platform *platform, enum doc_kind kind,
		    struct str body)
{
	platform->previous[kind].len = 0;
	buf_str_add(&platform->previous[kind],
		    buf_str(&platform->current[kind]));
	platform->current[kind].len = 0;
	buf_str_add(&platform->current[kind], body);
}

static struct str served_doc(struct platform *platform, enum doc_kind kind)
{
	bool old = platform->stale && platform->previous[kind].len;

	return buf_str(old ? &platform->previous[kind]
			   : &platform->current[kind]);
}

static void reply_to_waiters(struct platform *platform, enum doc_kind kind)
{
	for (size_t i = platform->nwaiters; i-- > 0;) {
		struct waiter w = platform->waiters[i];

		if (w.kind != kind)
			continue;
		platform->waiters[i] = platform->waiters[--platform->nwaiters];
		http_respond_json(w.req, 200, served_doc(platform, kind));
	}
}

static uint64_t query_hex(struct http_request *req, const char *key)
{
	struct str value = http_query_param(req, key);

	return value.len ? strtoull(value.ptr, NULL, 16) : 0;
}

static int64_t query_int(struct http_request *req, const char *key,
			 int64_t fallback)
{
	struct str value = http_query_param(req, key);

	return value.len ? strtoll(value.ptr, NULL, 10) : fallback;
}

static void serve_doc(struct platform *platform, struct http_request *req,
		      enum doc_kind kind)
{
	struct str body = served_doc(platform, kind);
	int64_t wait = query_int(req, "wait_ms", 0) * 1000;

	platform->calls++;
	if (platform->down) {
		http_abort(req);
	} else if (str_hash(body) != query_hex(req, "hash")) {
		http_respond_json(req, 200, body);
	} else if (wait <= 0 || platform->nwaiters == WAITERS) {
		http_respond_json(req, 304, STR(""));
	} else {
		platform->waiters[platform->nwaiters++] =
			(struct waiter){ req, kind, loop_now() + wait };
	}
}

static void set_behaviour(struct platform *platform, struct http_request *req)
{
	platform->down = query_int(req, "down", platform->down);
	platform->stale = query_int(req, "stale", platform->stale);
	if (!platform->down)
		return;
	while (platform->nwaiters)
		http_abort(platform->waiters[--platform->nwaiters].req);
}

static void on_request(void *ctx, struct http_request *req)
{
	struct platform *platform = ctx;
	struct buf path = { 0 };
	struct buf out = { 0 };

	for (int kind = 0; kind < DOC_KINDS; kind++) {
		const char *name = doc_name((enum doc_kind)kind);

		if (str_eq(req->path, STR("/lists")) && kind == DOC_LISTS) {
			serve_doc(platform, req, DOC_LISTS);
			buf_free(&path);
			return;
		}
		if (str_eq(req->path, STR("/fleet")) && kind == DOC_FLEET) {
			serve_doc(platform, req, DOC_FLEET);
			buf_free(&path);
			return;
		}
		buf_printf(&path, "/publish/%s", name);
		if (str_eq(req->path, buf_str(&path))) {
			publish(platform, (enum doc_kind)kind, req->body);
			reply_to_waiters(platform, (enum doc_kind)kind);
		}
		path.len = 0;
	}
	buf_free(&path);
	if (str_eq(req->path, STR("/set")))
		set_behaviour(platform, req);
	buf_printf(&out, "{\"calls\":%llu}",
		   (unsigned long long)platform->calls);
	http_respond_json(req, 200, buf_str(&out));
	buf_free(&out);
}

static void on_disconnect(void *ctx, struct http_request *req)
{
	struct platform *platform = ctx;

	for (size_t i = 0; i < platform->nwaiters; i++) {
		if (platform->waiters[i].req != req)
			continue;
		platform->waiters[i] = platform->waiters[--platform->nwaiters];
		return;
	}
}

static void expire_waiters(void *ctx)
{
	struct platform *platform = ctx;
	int64_t now = loop_now();

	for (size_t i = platform->nwaiters; i-- > 0;) {
		struct waiter w = platform->waiters[i];

		if (now < w.expires_at)
			continue;
		platform->waiters[i] = platform->waiters[--platform->nwaiters];
		http_respond_json(w.req, 304, STR(""));
	}
}

int main(int argc, char **argv)
{
	struct platform *platform = xcalloc(1, sizeof(*platform));
	struct caller_limits limits = http_default_limits(BODY_MAX);
	struct error err = { 0 };

	if (argc != 4) {
		fprintf(stderr, "usage: fake-platform IP:PORT LISTS FLEET\n");
		return 2;
	}
	apr_initialize();
	platform->loop = loop_create(NULL);
	if (file_read(argv[2], DOC_MAX_BYTES, &platform->current[DOC_LISTS],
		      &err) ||
	    file_read(argv[3], DOC_MAX_BYTES, &platform->current[DOC_FLEET],
		      &err) ||
	    !http_listen(platform->loop, str_of(argv[1]), &limits,
			 (struct http_handler){ on_request, on_disconnect,
						platform },
			 &err)) {
		fprintf(stderr, "fake-platform: %s\n", err.text);
		return 1;
	}
	loop_hook(platform->loop,
		  (struct loop_hook){ expire_waiters, NULL, platform });
	loop_run(platform->loop);
	return 0;
}
