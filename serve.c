#include "serve.h"

#include <errno.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <unistd.h>

#include "audit.h"
#include "fetch.h"
#include "http.h"
#include "member.h"
#include "node.h"
#include "os.h"
#include "peer.h"
#include "request.h"
#include "status.h"
#include "target.h"
#include "xmalloc.h"

#define LOG_MODULE "serve"
#include "log.h"

/**
 * DOC: I/O around the reducer
 *
 * Turns I/O into events and performs the effects that node_reduce() returns.
 * Effects are collected and performed at the end of each event loop round, so
 * that messages to the same node share a frame. No decisions are made here.
 */

enum {
	TARGET_TIMEOUT_SLACK_US = 2000000,
	TARGET_REPLY_MAX = 256 * 1024,
	DOC_TIMEOUT_SLACK_US = 2000000,
	FLUSH_ROUNDS = 20,
	FLUSH_TIMEOUT_US = 2000000,
};

struct server {
	const struct config *config;
	struct loop *loop;
	apr_pool_t *pool;
	struct node *node;
	struct effects fx;
	struct peers *peers;
	struct fetcher *fetcher;
	struct http_server *callers;
	struct http_server *operators;
	struct audit audit;
	apr_hash_t *requests; /* id -> struct http_request */
	struct watch *signals;
	int signal_fd;
	size_t platform_index[DOC_KINDS];
};

static void dispatch(struct server *s, struct event event)
{
	event.now = loop_now();
	node_reduce(s->node, &event, &s->fx);
}

/* Targets. */

/** struct fetch_ctx - context of an open request to a target */
struct fetch_ctx {
	struct server *server;
	enum fetch_kind kind;
};

static void on_fetch_done(void *ctx, uint64_t id,
			  const struct fetch_reply *reply)
{
	struct fetch_ctx *fetch_ctx = ctx;
	struct parsed_reply parsed_reply = { .result = reply->result,
					     .status = reply->status,
					     .resent = reply->resent,
					     .load = -1 };
	struct buf rows = { 0 };

	if (reply->result == FETCH_OK)
		target_parse_reply(reply->body, reply->status, &parsed_reply,
				   &rows);
	if (fetch_ctx->kind != FETCH_CANCEL)
		dispatch(fetch_ctx->server,
			 (struct event){ .type = EV_FETCH_DONE,
					 .id = id,
					 .parsed_reply = &parsed_reply });
	buf_free(&rows);
	free(fetch_ctx);
}

static void start_fetch(struct server *s, const struct effect *fx)
{
	struct fetch_ctx *fetch_ctx = xmalloc(sizeof(*fetch_ctx));
	struct buf url = { 0 };
	struct fetch_request request = {
		.remaining_us = fx->wait_us,
		.timeout_us = fx->wait_us + TARGET_TIMEOUT_SLACK_US,
		.max_body = TARGET_REPLY_MAX,
		.once = fx->fetch == FETCH_ENTRY,
		.done = on_fetch_done,
		.ctx = fetch_ctx,
		.id = fx->id,
	};

	*fetch_ctx = (struct fetch_ctx){ s, fx->fetch };
	target_url(fx, &url);
	request.url = buf_str(&url);
	if (fx->fetch == FETCH_ENTRY)
		request.post = fx->body;
	if (fx->fetch == FETCH_HEALTH)
		request.timeout_us = fx->wait_us;
	fetch_start(s->fetcher, &request);
	buf_free(&url);
}

/* Platform. */

static void on_doc(void *ctx, uint64_t id, const struct fetch_reply *reply)
{
	struct server *s = ctx;
	struct event event = { .type = EV_DOC_FAILED,
			       .doc = (enum doc_kind)id };

	if (reply->result == FETCH_OK && reply->status == 200) {
		event.type = EV_DOC;
		event.body = reply->body;
	} else if (reply->result == FETCH_OK && reply->status == 304) {
		event.type = EV_DOC_UNCHANGED;
	} else {
		s->platform_index[id]++;
	}
	dispatch(s, event);
}

static void start_doc_read(struct server *s, const struct effect *fx)
{
	const struct config *config = s->config;
	struct str addr = config->platforms[s->platform_index[fx->doc] %
					    config->nplatforms];
	struct buf url = { 0 };

	buf_printf(&url, "http://%.*s/%s?after=%llu&hash=%llx&wait_ms=%lld",
		   STR_ARG(addr), doc_name(fx->doc),
		   (unsigned long long)fx->version,
		   (unsigned long long)fx->hash, (long long)fx->wait_us / 1000);

	struct fetch_request request = {
		.url = buf_str(&url),
		.remaining_us = -1,
		.timeout_us = fx->wait_us + DOC_TIMEOUT_SLACK_US,
		.done = on_doc,
		.ctx = s,
		.id = fx->doc,
	};

	fetch_start(s->fetcher, &request);
	buf_free(&url);
}

/* Effects. */

static void send_answer(struct server *s, const struct effect *fx)
{
	uint64_t id = fx->id;
	struct http_request *req = apr_hash_get(s->requests, &id, sizeof(id));

	if (!req)
		return;
	apr_hash_set(s->requests, &req->id, sizeof(req->id), NULL);
	http_respond_json(req, fx->status, fx->body);
}

static void perform_effect(struct server *s, const struct effect *fx)
{
	switch (fx->type) {
	case FX_SEND:
		peers_send(s->peers, fx->addr, fx->incarnation, &fx->msg);
		break;
	case FX_FETCH:
		start_fetch(s, fx);
		break;
	case FX_READ_DOC:
		start_doc_read(s, fx);
		break;
	case FX_ANSWER:
		send_answer(s, fx);
		break;
	case FX_AUDIT:
		audit_add(&s->audit, fx->body);
		break;
	case FX_STOP:
		loop_stop(s->loop);
		break;
	}
}

static void perform_effects(void *ctx)
{
	struct server *s = ctx;
	size_t done = 0;

	if (loop_now() >= node_wake_at(s->node))
		dispatch(s, (struct event){ .type = EV_TICK });
	while (done < s->fx.count) {
		while (done < s->fx.count) {
			struct effect fx = s->fx.list[done++];

			perform_effect(s, &fx);
		}
		/* Lost connections cause events, which can add effects. */
		peers_flush(s->peers);
	}
	effects_clear(&s->fx);
	log_flush();
}

static int64_t wait_us(void *ctx)
{
	struct server *s = ctx;
	int64_t left = node_wake_at(s->node) - loop_now();

	return left > 0 ? left : 0;
}

/* Nodes. */

static void on_frame(void *ctx, const struct frame *frame)
{
	struct server *s = ctx;

	for (size_t i = 0; i < frame->count; i++)
		dispatch(s,
			 (struct event){ .type = EV_MSG,
					 .from = frame->from,
					 .incarnation = frame->from_incarnation,
					 .msg = &frame->msgs[i] });
}

static void on_peer_lost(void *ctx, struct str addr)
{
	dispatch(ctx, (struct event){ .type = EV_PEER_LOST, .from = addr });
}

static void on_bad_frame(void *ctx, const struct error *err)
{
	struct server *s = ctx;

	s->node->counters[CNT_BAD_FRAMES]++;
	LOG_WARN("%s; closed the connection", err->text);
}

/* Callers. */

static void reply_error(struct http_request *req, int code, const char *text)
{
	struct buf out = { 0 };

	error_json(&out, code, text, 0);
	http_respond_json(req, error_info(code)->status, buf_str(&out));
	buf_free(&out);
}

static void reply_health(struct server *s, struct http_request *req)
{
	bool live =
		member_state(s->node) == VM_LIVE && !member_isolated(s->node);

	http_respond_json(req, live ? 200 : 503,
			  live ? STR("{\"state\":\"live\"}")
			       : STR("{\"state\":\"not ready\"}"));
}

/** struct caller_path - a path of the callers' HTTP interface */
struct caller_path {
	const char *path;
	enum event_type type;
};

static const struct caller_path caller_paths[] = {
	{ "/v1/questions", EV_QUESTION },
	{ "/v1/tickets", EV_TICKET },
	{ "/v1/entries", EV_ENTRY },
	{ "/v1/lookups", EV_LOOKUP },
};

static void on_caller_request(void *ctx, struct http_request *req)
{
	struct server *s = ctx;

	if (str_eq(req->path, STR("/health"))) {
		reply_health(s, req);
		return;
	}
	for (size_t i = 0; i < sizeof(caller_paths) / sizeof(*caller_paths);
	     i++) {
		if (!str_eq(req->path, str_of(caller_paths[i].path)))
			continue;
		if (!str_eq(req->method, STR("POST"))) {
			reply_error(req, ERR_BAD_REQUEST, "use POST");
			return;
		}
		apr_hash_set(s->requests, &req->id, sizeof(req->id), req);
		dispatch(s, (struct event){ .type = caller_paths[i].type,
					    .id = req->id,
					    .body = req->body });
		return;
	}
	reply_error(req, ERR_NOT_FOUND, "no such path");
}

static void on_caller_gone(void *ctx, struct http_request *req)
{
	struct server *s = ctx;

	if (!apr_hash_get(s->requests, &req->id, sizeof(req->id)))
		return;
	apr_hash_set(s->requests, &req->id, sizeof(req->id), NULL);
	dispatch(s, (struct event){ .type = EV_CALLER_GONE, .id = req->id });
}

/* Operators. */

static void begin_drain(struct server *s)
{
	http_set_closing(s->callers, true);
	dispatch(s, (struct event){ .type = EV_DRAIN });
}

static void on_operator_request(void *ctx, struct http_request *req)
{
	struct server *s = ctx;
	struct buf out = { 0 };

	if (str_eq(req->path, STR("/status"))) {
		status_json(s->node, &out);
	} else if (str_eq(req->path, STR("/audit"))) {
		audit_json(&s->audit, &out);
	} else if (str_eq(req->path, STR("/counters"))) {
		status_counters_json(s->node, &out);
	} else if (str_eq(req->path, STR("/drain")) &&
		   str_eq(req->method, STR("POST"))) {
		begin_drain(s);
		buf_str_add(&out, STR("{\"state\":\"leaving\"}"));
	} else {
		reply_error(req, ERR_NOT_FOUND,
			    "GET /status, /audit, /counters or POST /drain");
		return;
	}
	http_respond_json(req, 200, buf_str(&out));
	buf_free(&out);
}

static void on_signal(void *ctx, int events)
{
	struct server *s = ctx;
	int number = os_signal_read(s->signal_fd);

	(void)events;
	if (!number)
		return;
	/* A second signal has no effect on a planned stop. */
	LOG_INFO("signal %d: planned stop", number);
	begin_drain(s);
}

static void watch_signals(struct server *s)
{
	static const int numbers[] = { SIGTERM, SIGINT };

	s->signal_fd = os_signalfd(numbers, sizeof(numbers) / sizeof(*numbers));
	s->signals = loop_add(s->loop, s->signal_fd, APR_POLLIN, on_signal, s);
}

/* Start and stop. */

static int listen_all(struct server *s, uint64_t incarnation, struct error *err)
{
	const struct config *config = s->config;
	struct caller_limits limits = http_default_limits(REQUEST_BODY_MAX);

	s->peers = peers_create(s->loop, config->peer, incarnation,
				(struct peer_handler){ on_frame, on_peer_lost,
						       on_bad_frame, s },
				err);
	if (!s->peers)
		return err->code;
	s->callers = http_listen(
		s->loop, config->callers, &limits,
		(struct http_handler){ on_caller_request, on_caller_gone, s },
		err);
	if (!s->callers)
		return err->code;
	s->operators = http_listen(
		s->loop, config->operators, &limits,
		(struct http_handler){ on_operator_request, NULL, s }, err);
	return s->operators ? 0 : err->code;
}

static void start_node(struct server *s, uint64_t incarnation)
{
	const struct config *config = s->config;
	struct node_options opt = {
		.addr = config->peer,
		.domain = config->domain,
		.incarnation = incarnation,
		.seed = os_random(),
		.peers = config->peers,
		.npeers = config->npeers,
		.max_open = config->max_open,
		.drain_us = config->drain_us,
	};

	s->node = node_create(&opt, loop_now(), &s->fx);
	loop_hook(s->loop, (struct loop_hook){ perform_effects, wait_us, s });
}

/* Waits until the answers to callers have been written to the sockets. */
static void flush_answers(struct server *s)
{
	int64_t until = loop_now() + FLUSH_TIMEOUT_US;

	http_quiesce(s->callers);
	for (int i = 0; i < FLUSH_ROUNDS; i++)
		loop_step(s->loop);
	while (http_open_requests(s->callers) && loop_now() < until)
		loop_step(s->loop);
}

static void server_destroy(struct server *s)
{
	if (s->operators)
		http_destroy(s->operators);
	if (s->callers)
		http_destroy(s->callers);
	if (s->peers)
		peers_destroy(s->peers);
	if (s->fetcher)
		fetcher_destroy(s->fetcher);
	if (s->node)
		node_destroy(s->node);
	if (s->signals) {
		loop_del(s->signals);
		close(s->signal_fd);
	}
	loop_destroy(s->loop);
	effects_free(&s->fx);
	audit_free(&s->audit);
	apr_pool_destroy(s->pool);
}

int serve(const struct config *config)
{
	struct server s = { .config = config };
	uint64_t incarnation = os_random();
	struct error err = { 0 };
	int code;

	apr_pool_create(&s.pool, NULL);
	effects_init(&s.fx, s.pool);
	s.requests = hash_make(s.pool);
	s.loop = loop_create(s.pool);
	s.fetcher = fetcher_create(s.loop, DOC_MAX_BYTES + REQUEST_BODY_MAX);
	code = listen_all(&s, incarnation, &err);
	if (!code) {
		watch_signals(&s);
		start_node(&s, incarnation);
		LOG_INFO("serving callers on %.*s", STR_ARG(config->callers));
		loop_run(s.loop);
		flush_answers(&s);
		LOG_INFO("stopped");
	} else {
		LOG_ERR("%s; %s", err.text, error_info(code)->remedy);
	}
	server_destroy(&s);
	return code ? 1 : 0;
}
