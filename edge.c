#include "edge.h"

#include <errno.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/stat.h>
#include <unistd.h>

#include <apr_strings.h>
#include <apr_time.h>

#include "config.h"
#include "head.h"
#include "http.h"
#include "os.h"
#include "peer.h"
#include "tier.h"
#include "upstream.h"
#include "xmalloc.h"

#define LOG_MODULE "edge"
#include "log.h"

enum {
	SETTINGS_MAX_BYTES = 256 * 1024,
	/*
	 * Apply until a configuration sets limits. Every request is refused
	 * until then, to be sent again, and so must be those that a
	 * configuration may allow.
	 */
	EARLY_HEADER_MAX_BYTES = 1024 * 1024,
	EARLY_BODY_MAX_BYTES = 4 * 1024 * 1024,
	/* Of health checks and the metrics. */
	BODY_MAX_BYTES = 64 * 1024,
	/* Limit of a page of the store, besides its largest value. */
	STORE_PAGE_MAX_BYTES = 4 * 1024 * 1024,
	/* A value is up to this many times its decoded size on the wire. */
	VALUE_ENCODING_FACTOR = 2,
	/*
	 * A running target accepts within a few ms, one without power never
	 * does. Nothing has been sent before the connection is established, so
	 * the request can safely go to another target.
	 */
	CONNECT_TIMEOUT_US = 150000,
	/* The settings file may change without a signal, so it is polled. */
	SETTINGS_POLL_INTERVAL_US = 1000000,
	/* Time for the last answers to reach the sockets. */
	FLUSH_TIMEOUT_US = 1500000,
	/* The process ends before it is killed after its grace period. */
	FLUSH_GRACE_NUM = 95,
	FLUSH_GRACE_DEN = 100,
	MB = 1024 * 1024,
	/* Part of the process's memory for replies under way. */
	REPLIES_MEMORY_DIVISOR = 4,
	/* Input may have arrived unread during a round longer than this. */
	LONG_ROUND_US = 2000,
	/* Callers notice a round this long; at most one a second is logged. */
	SLOW_ROUND_US = 15000,
	SLOW_ROUND_LOG_INTERVAL_US = 1000000,
};

/* Set in the ids of calls to the store, clear in those of attempts. */
static const uint64_t store_id_bit = 1ULL << 63;

struct edge {
	const struct dialect *dialect;
	apr_pool_t *pool;
	struct loop *loop;
	struct vm_settings settings;
	struct timespec settings_mtime;
	int64_t settings_checked_at;
	struct tier *tier;
	struct flow_effects fx;
	bool applying_effects;
	struct upstream *upstream;
	struct peers *peers;
	struct http_server *callers;
	struct http_server *health;
	struct http_server *metrics;
	apr_hash_t *requests; /* id -> struct http_request */
	enum store_call store_call;
	uint64_t store_id;
	bool ready;
	bool tick_deferred;
	int event_counts[FLOW_EVENTS];
	int64_t slow_round_logged_at;
	int signal_fd;
	struct watch *signals;
	/* End of a planned stop; 0 while none is planned. */
	int64_t flush_until;
};

static void apply_effects(struct edge *edge);

static void dispatch(struct edge *edge, struct flow_event event)
{
	event.now = loop_now();
	edge->event_counts[event.type]++;
	tier_reduce(edge->tier, &event, &edge->fx);
	/* Effects may dispatch events; the outer call applies theirs too. */
	if (!edge->applying_effects)
		apply_effects(edge);
}

/* Targets and the store. */

static const char *decode_store_reply(const struct edge *edge, struct str body,
				      struct store_reply *out, apr_pool_t *pool)
{
	const struct dialect *dialect = edge->dialect;
	struct error err = { 0 };
	int code = edge->store_call == STORE_RANGE
			   ? dialect->range_reply(body, out, pool, &err)
			   : dialect->watch_reply(body, out, pool, &err);

	if (!code)
		return NULL;
	LOG_WARN("%s; %s", err.text, error_info(code)->remedy);
	return "its reply cannot be read";
}

static void on_store_reply(struct edge *edge,
			   const struct upstream_reply *reply)
{
	struct store_reply decoded;
	struct flow_store_reply store = { .call = edge->store_call,
					  .reply = &decoded };
	apr_pool_t *pool;

	apr_pool_create(&pool, edge->pool);
	if (reply->result != FETCH_OK)
		store.why = fetch_result_text(reply->result);
	else if (reply->status == 200)
		store.why =
			decode_store_reply(edge, reply->body, &decoded, pool);
	else
		store.why = reply->status == 429 ? "too many calls"
						 : "it serves none now";
	store.unusable = reply->result == FETCH_MALFORMED ||
			 (reply->status == 200 && store.why);
	store.lost_history = reply->result == FETCH_OK && reply->status == 410;
	store.ok = !store.why;
	dispatch(edge, (struct flow_event){ .type = FLOW_STORE_REPLY,
					    .store = &store });
	apr_pool_destroy(pool);
}

static void on_upstream_reply(void *ctx, uint64_t id,
			      const struct upstream_reply *reply)
{
	struct edge *edge = ctx;
	struct flow_reply decoded;
	struct buf lines = { 0 };

	if (id & store_id_bit) {
		on_store_reply(edge, reply);
		return;
	}
	head_parse_reply(edge->dialect, reply, &decoded, &lines);
	dispatch(edge, (struct flow_event){ .type = FLOW_REPLY,
					    .id = id,
					    .reply = &decoded });
	buf_free(&lines);
}

static void send_to_target(struct edge *edge, const struct flow_effect *fx)
{
	struct buf head = { 0 };
	struct upstream_request request = {
		.id = fx->id,
		.addr = fx->addr,
		.body = fx->request->body,
		.echo_name = edge->dialect->names.request_id,
		.echo = fx->request->request_id,
		.signature_name = edge->dialect->names.signature,
		.no_body = str_eq(fx->request->method, STR("HEAD")),
		.connect_timeout_us = CONNECT_TIMEOUT_US,
		.timeout_us = fx->timeout_us,
	};

	head_write_request(edge->dialect, fx, &head);
	request.head = buf_str(&head);
	upstream_send(edge->upstream, &request);
	buf_free(&head);
}

static void read_store(struct edge *edge, const struct flow_effect *fx)
{
	struct buf head = { 0 };
	struct upstream_request request = {
		.id = store_id_bit | ++edge->store_id,
		.addr = edge->settings.store_addr,
		.reply_max =
			STORE_PAGE_MAX_BYTES +
			VALUE_ENCODING_FACTOR * edge->settings.store_value_max,
		.connect_timeout_us = fx->timeout_us,
		.timeout_us = fx->timeout_us,
		.read_timeout_us = fx->read_timeout_us,
		.total_timeout_us = fx->total_timeout_us,
	};

	buf_str_add(&head, STR("GET "));
	if (fx->call == STORE_RANGE)
		edge->dialect->range_uri(fx->prefix, fx->after, &head);
	else
		edge->dialect->watch_uri(fx->revision, fx->time_left_us, &head);
	buf_printf(&head, " HTTP/1.1\r\nHost: %.*s\r\n\r\n",
		   STR_ARG(edge->settings.store_addr));
	request.head = buf_str(&head);
	edge->store_call = fx->call;
	upstream_send(edge->upstream, &request);
	buf_free(&head);
}

/* Callers. */

static void answer_caller(struct edge *edge, const struct flow_effect *fx)
{
	uint64_t id = fx->id;
	struct http_request *req =
		apr_hash_get(edge->requests, &id, sizeof(id));
	struct buf lines = { 0 };

	if (!req)
		return;
	apr_hash_set(edge->requests, &req->id, sizeof(req->id), NULL);
	head_write_answer(edge->dialect, fx, &lines);
	http_respond(req, fx->status, buf_str(&lines), fx->body);
	buf_free(&lines);
}

static void on_caller_request(void *ctx, struct http_request *req)
{
	struct edge *edge = ctx;
	const struct header_names *names = &edge->dialect->names;
	struct buf lines = { 0 };
	struct flow_request request = {
		.method = req->method,
		.uri = req->uri,
		.host = http_header(req, STR("Host")),
		.request_id = http_header(req, names->request_id),
		.body = req->body,
		.caller = http_client_ip(req),
		.time_left_us = head_parse_time_left(
			http_header(req, names->time_left)),
	};

	http_copy_headers(req, head_is_forwarded, &lines);
	request.headers = buf_str(&lines);
	apr_hash_set(edge->requests, &req->id, sizeof(req->id), req);
	dispatch(edge,
		 (struct flow_event){ .type = FLOW_REQUEST,
				      .id = req->id,
				      .request = &request,
				      .queued_us = loop_pause_us(edge->loop) });
	buf_free(&lines);
}

static void on_caller_gone(void *ctx, struct http_request *req)
{
	struct edge *edge = ctx;

	if (!apr_hash_get(edge->requests, &req->id, sizeof(req->id)))
		return;
	apr_hash_set(edge->requests, &req->id, sizeof(req->id), NULL);
	dispatch(edge, (struct flow_event){ .type = FLOW_CALLER_GONE,
					    .id = req->id });
}

static void on_health_request(void *ctx, struct http_request *req)
{
	struct edge *edge = ctx;

	http_respond_json(req, edge->ready ? 200 : 503, STR("{}"));
}

static void on_metrics_request(void *ctx, struct http_request *req)
{
	struct edge *edge = ctx;
	struct buf out = { 0 };

	tier_metrics(edge->tier, &out);
	http_metrics(edge->callers, &out);
	upstream_metrics(edge->upstream, &out);
	http_respond(req, 200, STR("Content-Type: text/plain\r\n"),
		     buf_str(&out));
	buf_free(&out);
}

/* Other nodes. */

static void on_frame(void *ctx, const struct frame *frame)
{
	struct edge *edge = ctx;
	struct flow_event event = {
		.type = FLOW_MSG,
		.from = frame->from,
		.incarnation = frame->from_incarnation,
		.queued_us = loop_pause_us(edge->loop),
		.sent_us = frame->sent_us,
	};

	for (size_t i = 0; i < frame->count; i++) {
		event.msg = &frame->msgs[i];
		dispatch(edge, event);
	}
}

static void on_peer_lost(void *ctx, struct str addr)
{
	dispatch(ctx,
		 (struct flow_event){ .type = FLOW_PEER_LOST, .from = addr });
}

static void on_bad_frame(void *ctx, const struct error *err)
{
	(void)ctx;
	LOG_WARN("%s; closed the connection", err->text);
}

/* Effects. */

static void apply_effect(struct edge *edge, const struct flow_effect *fx)
{
	switch (fx->type) {
	case FLOW_SEND:
		send_to_target(edge, fx);
		break;
	case FLOW_CANCEL:
		upstream_cancel(edge->upstream, fx->id);
		break;
	case FLOW_ANSWER:
		answer_caller(edge, fx);
		break;
	case FLOW_STORE_CALL:
		read_store(edge, fx);
		break;
	case FLOW_PEER_SEND:
		peers_send(edge->peers, fx->addr, fx->incarnation, &fx->msg);
		break;
	case FLOW_RESET_PEER:
		peers_reset(edge->peers, fx->addr);
		break;
	case FLOW_LOG:
		log_json(fx->severe ? LOG_CLASS_ERROR : LOG_CLASS_INFO, "tier",
			 fx->text);
		break;
	case FLOW_READY:
		edge->ready = fx->ready;
		break;
	case FLOW_LIMITS:
		http_set_limits(edge->callers, &fx->limits);
		break;
	case FLOW_EXIT:
		loop_stop(edge->loop);
		break;
	}
}

static void apply_effects(struct edge *edge)
{
	size_t done = 0;

	edge->applying_effects = true;
	while (done < edge->fx.count) {
		while (done < edge->fx.count) {
			struct flow_effect fx = edge->fx.list[done++];

			apply_effect(edge, &fx);
		}
		/*
		 * Encodes queued messages while their strings are valid. A
		 * connection that turns out to be broken adds an event, which
		 * can add effects.
		 */
		peers_flush(edge->peers);
	}
	edge->applying_effects = false;
	flow_clear(&edge->fx);
	tier_reap(edge->tier);
}

/* Settings. */

static int load_settings(struct edge *edge, struct vm_settings *out,
			 struct error *err)
{
	const char *path = getenv(edge->dialect->settings_variable);
	struct buf text = { 0 };
	struct stat st;
	int code;

	if (!path)
		return error_set(err, ERR_SETTINGS, "%s is not set",
				 edge->dialect->settings_variable);
	if (!stat(path, &st))
		edge->settings_mtime = st.st_mtim;
	code = file_read(path, SETTINGS_MAX_BYTES, &text, err);
	if (!code)
		code = edge->dialect->settings(buf_str(&text), out, edge->pool,
					       err);
	buf_free(&text);
	return code;
}

static void bound_replies(struct edge *edge)
{
	upstream_set_memory(edge->upstream, (size_t)edge->settings.memory_mb *
						    MB /
						    REPLIES_MEMORY_DIVISOR);
}

static void reload_settings(struct edge *edge, const char *why)
{
	struct vm_settings settings;
	struct error err = { 0 };

	/* A half-written file must not stop a running node. */
	if (load_settings(edge, &settings, &err)) {
		LOG_ERR("settings not reloaded, previous ones kept: %s; %s",
			err.text, error_info(err.code)->remedy);
		return;
	}
	LOG_INFO("settings reloaded: %s", why);
	edge->settings = settings;
	bound_replies(edge);
	dispatch(edge, (struct flow_event){ .type = FLOW_SETTINGS,
					    .settings = &edge->settings });
}

static void poll_settings(struct edge *edge, int64_t now)
{
	const char *path = getenv(edge->dialect->settings_variable);
	struct stat st;

	if (now < edge->settings_checked_at + SETTINGS_POLL_INTERVAL_US)
		return;
	edge->settings_checked_at = now;
	if (!path || stat(path, &st))
		return;
	if (st.st_mtim.tv_sec != edge->settings_mtime.tv_sec ||
	    st.st_mtim.tv_nsec != edge->settings_mtime.tv_nsec)
		reload_settings(edge, "the file changed");
}

static void on_signal(void *ctx, int events)
{
	struct edge *edge = ctx;
	int number = os_signal_read(edge->signal_fd);

	(void)events;
	if (!number)
		return;
	if (number == SIGHUP) {
		reload_settings(edge, "SIGHUP");
		return;
	}
	LOG_INFO("signal %d: planned stop", number);
	http_set_closing(edge->callers, true);
	if (!edge->flush_until)
		edge->flush_until = loop_now() - loop_pause_us(edge->loop) +
				    edge->settings.grace_us * FLUSH_GRACE_NUM /
					    FLUSH_GRACE_DEN;
	dispatch(edge,
		 (struct flow_event){ .type = FLOW_STOP,
				      .queued_us = loop_pause_us(edge->loop) });
}

static void watch_signals(struct edge *edge)
{
	static const int numbers[] = { SIGTERM, SIGINT, SIGHUP };

	edge->signal_fd =
		os_signalfd(numbers, sizeof(numbers) / sizeof(*numbers));
	edge->signals = loop_add(edge->loop, edge->signal_fd, APR_POLLIN,
				 on_signal, edge);
}

/* Main loop. */

/*
 * A stalled node answers late for reasons that cannot be seen in any request:
 * it did not get the processor, or it had too much to do in one round.
 */
static void log_slow_round(struct edge *edge)
{
	int64_t now = loop_now();
	int64_t elapsed_us = now - loop_round_start(edge->loop);

	if (elapsed_us >= SLOW_ROUND_US &&
	    now - edge->slow_round_logged_at > SLOW_ROUND_LOG_INTERVAL_US) {
		edge->slow_round_logged_at = now;
		LOG_WARN("a round took %lld ms: %d requests, %d replies, "
			 "%d of the store, %d messages",
			 (long long)elapsed_us / 1000,
			 edge->event_counts[FLOW_REQUEST],
			 edge->event_counts[FLOW_REPLY],
			 edge->event_counts[FLOW_STORE_REPLY],
			 edge->event_counts[FLOW_MSG]);
	}
	memset(edge->event_counts, 0, sizeof(edge->event_counts));
}

/*
 * Replies that arrived during a long round are still unread after it. They are
 * read before the timers run, so that no reply that has arrived is treated as
 * late. The tick is deferred only once, as otherwise a busy node would never
 * run its timers.
 */
static bool defer_tick(struct edge *edge, int64_t now)
{
	bool defer = !edge->tick_deferred &&
		     now - loop_round_start(edge->loop) > LONG_ROUND_US;

	edge->tick_deferred = defer;
	return defer;
}

static void on_round(void *ctx)
{
	struct edge *edge = ctx;
	int64_t now = loop_now();

	if (now >= tier_wake_at(edge->tier) && !defer_tick(edge, now))
		dispatch(edge, (struct flow_event){ .type = FLOW_TICK });
	log_flush();
	poll_settings(edge, now);
	log_slow_round(edge);
}

static int64_t wait_us(void *ctx)
{
	struct edge *edge = ctx;
	int64_t left_us = tier_wake_at(edge->tier) - loop_now();

	return left_us > 0 ? left_us : 0;
}

static struct str own_addr(struct edge *edge, uint16_t port)
{
	return str_of(apr_psprintf(edge->pool, "%.*s:%u",
				   STR_ARG(edge->settings.ip), port));
}

static int listen_all(struct edge *edge, uint16_t metrics_port,
		      uint64_t incarnation, struct error *err)
{
	struct http_handler callers = { on_caller_request, on_caller_gone,
					edge };
	struct http_handler health = { on_health_request, NULL, edge };
	struct http_handler metrics = { on_metrics_request, NULL, edge };
	struct caller_limits limits = http_default_limits(BODY_MAX_BYTES);
	struct caller_limits early = http_default_limits(EARLY_BODY_MAX_BYTES);

	early.header_bytes = EARLY_HEADER_MAX_BYTES;
	edge->peers = peers_create(
		edge->loop, own_addr(edge, edge->settings.peer_port),
		incarnation,
		(struct peer_handler){ on_frame, on_peer_lost, on_bad_frame,
				       edge },
		err);
	if (!edge->peers)
		return err->code;
	edge->callers = http_listen(edge->loop, edge->settings.caller_addr,
				    &early, callers, err);
	if (!edge->callers)
		return err->code;
	edge->health = http_listen(edge->loop, edge->settings.ready_addr,
				   &limits, health, err);
	if (!edge->health)
		return err->code;
	if (!metrics_port)
		return 0;
	edge->metrics = http_listen(edge->loop, own_addr(edge, metrics_port),
				    &limits, metrics, err);
	return edge->metrics ? 0 : err->code;
}

static int start(struct edge *edge, const struct edge_options *opt,
		 struct error *err)
{
	struct tier_options tier = { .dialect = edge->dialect,
				     .settings = &edge->settings,
				     .incarnation = os_random() >> 1 | 1,
				     .seed = os_random(),
				     .wall_ms =
					     apr_time_as_msec(apr_time_now()),
				     .without = opt->without };
	int code;

	/*
	 * First of all: the settings may change while they are read, and the
	 * signal for that would end the process.
	 */
	watch_signals(edge);
	code = load_settings(edge, &edge->settings, err);
	if (code)
		return code;
	log_set_node(edge->settings.name);
	code = listen_all(edge, opt->metrics_port, tier.incarnation, err);
	if (code)
		return code;
	edge->upstream = upstream_create(
		edge->loop,
		(struct upstream_handler){ on_upstream_reply, edge });
	bound_replies(edge);
	edge->tier = tier_create(&tier, loop_now(), &edge->fx);
	loop_hook(edge->loop, (struct loop_hook){ on_round, wait_us, edge });
	return 0;
}

/*
 * Answers that are left to write, and requests of which a part has arrived, get
 * some time. New requests are refused, so that they do not keep the process
 * until it is killed.
 */
static void flush_answers(struct edge *edge)
{
	int64_t deadline = loop_now() + FLUSH_TIMEOUT_US;

	if (edge->flush_until && edge->flush_until < deadline)
		deadline = edge->flush_until;
	while (http_open_requests(edge->callers) && loop_now() < deadline)
		loop_step(edge->loop);
}

static void destroy(struct edge *edge)
{
	if (edge->metrics)
		http_destroy(edge->metrics);
	if (edge->health)
		http_destroy(edge->health);
	if (edge->callers)
		http_destroy(edge->callers);
	if (edge->peers)
		peers_destroy(edge->peers);
	if (edge->upstream)
		upstream_destroy(edge->upstream);
	if (edge->tier)
		tier_destroy(edge->tier);
	if (edge->signals) {
		loop_del(edge->signals);
		close(edge->signal_fd);
	}
	loop_destroy(edge->loop);
	flow_effects_free(&edge->fx);
	apr_pool_destroy(edge->pool);
}

int edge_run(const struct edge_options *opt)
{
	struct edge edge = { .dialect = opt->dialect };
	struct error err = { 0 };
	int code;

	head_set_dialect(opt->dialect);
	apr_pool_create(&edge.pool, NULL);
	flow_effects_init(&edge.fx, edge.pool);
	edge.requests = hash_make(edge.pool);
	edge.loop = loop_create(edge.pool);
	code = start(&edge, opt, &err);
	if (!code) {
		LOG_INFO("serving callers on %.*s",
			 STR_ARG(edge.settings.caller_addr));
		loop_run(edge.loop);
		flush_answers(&edge);
		LOG_INFO("stopped");
	} else {
		LOG_ERR("%s; %s", err.text, error_info(code)->remedy);
	}
	destroy(&edge);
	return code ? 1 : 0;
}
