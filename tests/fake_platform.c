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

static void publish(struct platform *p, enum doc_kind kind, struct str body)
{
	p->previous[kind].len = 0;
	buf_str_add(&p->previous[kind], buf_str(&p->current[kind]));
	p->current[kind].len = 0;
	buf_str_add(&p->current[kind], body);
}

static struct str served_doc(struct platform *p, enum doc_kind kind)
{
	bool old = p->stale && p->previous[kind].len;

	return buf_str(old ? &p->previous[kind] : &p->current[kind]);
}

static void reply_to_waiters(struct platform *p, enum doc_kind kind)
{
	for (size_t i = p->nwaiters; i-- > 0;) {
		struct waiter w = p->waiters[i];

		if (w.kind != kind)
			continue;
		p->waiters[i] = p->waiters[--p->nwaiters];
		http_respond_json(w.req, 200, served_doc(p, kind));
	}
}

static uint64_t query_hex(struct http_request *req, const char *key)
{
	struct str value = http_query(req, key);

	return value.len ? strtoull(value.ptr, NULL, 16) : 0;
}

static int64_t query_int(struct http_request *req, const char *key,
			 int64_t fallback)
{
	struct str value = http_query(req, key);

	return value.len ? strtoll(value.ptr, NULL, 10) : fallback;
}

static void serve_doc(struct platform *p, struct http_request *req,
		      enum doc_kind kind)
{
	struct str body = served_doc(p, kind);
	int64_t wait = query_int(req, "wait_ms", 0) * 1000;

	p->calls++;
	if (p->down) {
		http_abort(req);
	} else if (str_hash(body) != query_hex(req, "hash")) {
		http_respond_json(req, 200, body);
	} else if (wait <= 0 || p->nwaiters == WAITERS) {
		http_respond_json(req, 304, STR(""));
	} else {
		p->waiters[p->nwaiters++] =
			(struct waiter){ req, kind, loop_now() + wait };
	}
}

static void set_behaviour(struct platform *p, struct http_request *req)
{
	p->down = query_int(req, "down", p->down);
	p->stale = query_int(req, "stale", p->stale);
	if (!p->down)
		return;
	while (p->nwaiters)
		http_abort(p->waiters[--p->nwaiters].req);
}

static void on_request(void *ctx, struct http_request *req)
{
	struct platform *p = ctx;
	struct buf out = { 0 };

	for (int kind = 0; kind < DOC_KINDS; kind++) {
		const char *name = doc_name((enum doc_kind)kind);

		if (str_eq(req->path, STR("/lists")) && kind == DOC_LISTS) {
			serve_doc(p, req, DOC_LISTS);
			return;
		}
		if (str_eq(req->path, STR("/fleet")) && kind == DOC_FLEET) {
			serve_doc(p, req, DOC_FLEET);
			return;
		}
		if (req->path.len > 9 && !strcmp(req->path.ptr + 9, name)) {
			publish(p, (enum doc_kind)kind, req->body);
			reply_to_waiters(p, (enum doc_kind)kind);
		}
	}
	if (str_eq(req->path, STR("/set")))
		set_behaviour(p, req);
	buf_printf(&out, "{\"calls\":%llu}", (unsigned long long)p->calls);
	http_respond_json(req, 200, buf_str(&out));
	buf_free(&out);
}

static void on_disconnect(void *ctx, struct http_request *req)
{
	struct platform *p = ctx;

	for (size_t i = 0; i < p->nwaiters; i++) {
		if (p->waiters[i].req != req)
			continue;
		p->waiters[i] = p->waiters[--p->nwaiters];
		return;
	}
}

static void expire_waiters(void *ctx)
{
	struct platform *p = ctx;
	int64_t now = loop_now();

	for (size_t i = p->nwaiters; i-- > 0;) {
		struct waiter w = p->waiters[i];

		if (now < w.expires_at)
			continue;
		p->waiters[i] = p->waiters[--p->nwaiters];
		http_respond_json(w.req, 304, STR(""));
	}
}

int main(int argc, char **argv)
{
	struct platform *p = xcalloc(1, sizeof(*p));
	struct error err = { 0 };

	if (argc != 4) {
		fprintf(stderr, "usage: fake-platform IP:PORT LISTS FLEET\n");
		return 2;
	}
	apr_initialize();
	p->loop = loop_create(NULL);
	if (file_read(argv[2], DOC_MAX_BYTES, &p->current[DOC_LISTS], &err) ||
	    file_read(argv[3], DOC_MAX_BYTES, &p->current[DOC_FLEET], &err) ||
	    !http_listen(p->loop, str_of(argv[1]), BODY_MAX,
			 (struct http_handler){ on_request, on_disconnect, p },
			 &err)) {
		fprintf(stderr, "fake-platform: %s\n", err.text);
		return 1;
	}
	loop_hook(p->loop, (struct loop_hook){ expire_waiters, NULL, p });
	loop_run(p->loop);
	return 0;
}
