#include "upstream.h"

#include <stdlib.h>

#include "metric.h"
#include "upstream_conn.h"
#include "xmalloc.h"

enum {
	/* Largest reply body, unless the request sets another limit. */
	REPLY_BODY_MAX_BYTES = 4 * 1024 * 1024,
	/* Idle connections are closed this long after their last use. */
	IDLE_TIMEOUT_US = 1500000,
	SWEEP_INTERVAL_US = 250000,
	/* A request may be sent again for a little longer than its timeout. */
	RESEND_SLACK_US = 1000000,
	/* An endpoint without connections is removed after this long. */
	ENDPOINT_RETENTION_US = 60000000,
};

static struct endpoint *endpoint_get(struct upstream *up, struct str addr)
{
	uint64_t key = str_hash(addr);
	struct endpoint *endpoint =
		apr_hash_get(up->endpoints, &key, sizeof(key));

	if (endpoint)
		return endpoint;
	endpoint = xcalloc(1, sizeof(*endpoint));
	endpoint->addr = str_heap_dup(addr);
	endpoint->key = key;
	endpoint->idle_timeout_us = IDLE_TIMEOUT_US;
	endpoint->last_used_at = loop_now();
	apr_hash_set(up->endpoints, &endpoint->key, sizeof(endpoint->key),
		     endpoint);
	return endpoint;
}

/*
 * A faulty target sends a second reply to a request, at any time and in place
 * of the reply to a later one; it is recognised by its request id. On a
 * connection that has carried the same id before, a late "not run" would be
 * taken for the reply to the new sending, which the target runs all the same.
 */
static bool has_carried(const struct conn *conn, struct str echo, int64_t now)
{
	return echo.len && sent_ids_contain(&conn->carried, echo, now);
}

/*
 * Finds the most recently used connection, so that the others reach their idle
 * timeout.
 * @carried: whether it may, and must, have carried the same request before
 */
static struct conn *find_idle(const struct endpoint *endpoint, struct str echo,
			      bool carried, int64_t now)
{
	struct conn *best = NULL;

	for (struct conn *conn = endpoint->conns; conn; conn = conn->next) {
		if (conn->state != CONN_IDLE || conn->idle_until < now ||
		    (best && conn->idle_until <= best->idle_until) ||
		    has_carried(conn, echo, now) != carried)
			continue;
		best = conn;
	}
	return best;
}

static struct conn *take_idle(struct endpoint *endpoint, struct str echo,
			      int64_t now)
{
	struct conn *conn;

	while ((conn = find_idle(endpoint, echo, false, now))) {
		if (conn_is_quiet(conn))
			return conn;
		conn_close(conn);
	}
	return NULL;
}

/*
 * Makes room for a new connection where idle ones must not carry the request
 * again: the target resets connections above its limit.
 */
static void close_carrier(struct endpoint *endpoint, struct str echo,
			  int64_t now)
{
	struct conn *conn = find_idle(endpoint, echo, true, now);

	if (!conn)
		return;
	conn->up->counts.replaced++;
	conn_close(conn);
}

static struct conn *take_conn(struct upstream *up, struct endpoint *endpoint,
			      struct str echo, int64_t now)
{
	struct conn *conn = take_idle(endpoint, echo, now);

	if (conn)
		return conn;
	close_carrier(endpoint, echo, now);
	return conn_open(up, endpoint);
}

static void prepare_reply(struct reply *reply,
			  const struct upstream_request *req)
{
	reply->no_body = req->no_body;
	reply->body_max =
		req->reply_max ? req->reply_max : REPLY_BODY_MAX_BYTES;
	reply->echo.len = 0;
	reply->echo_name.len = 0;
	reply->signature_name.len = 0;
	buf_str_add(&reply->echo, req->echo);
	buf_str_add(&reply->signature_name, req->signature_name);
	buf_str_add(&reply->echo_name, req->echo_name);
}

void upstream_send(struct upstream *up, const struct upstream_request *req)
{
	int64_t now = loop_now();
	struct endpoint *endpoint = endpoint_get(up, req->addr);
	struct conn *conn = take_conn(up, endpoint, req->echo, now);

	if (!conn) {
		struct upstream_reply reply = { .result = FETCH_REFUSED };

		up->handler.done(up->handler.ctx, req->id, &reply);
		return;
	}
	conn->id = req->id;
	conn->out.len = 0;
	conn->sent = 0;
	prepare_reply(&conn->reply, req);
	if (req->echo.len)
		sent_ids_add(&conn->carried, req->echo,
			     now + req->timeout_us + RESEND_SLACK_US, now);
	buf_str_add(&conn->out, req->head);
	buf_str_add(&conn->out, req->body);
	conn->connect_deadline = now + req->connect_timeout_us;
	conn->reply_deadline = now + req->timeout_us;
	conn->read_timeout_us = req->read_timeout_us;
	conn->total_deadline = now + req->total_timeout_us;
	apr_hash_set(up->in_flight, &conn->id, sizeof(conn->id), conn);
	timer_add(&up->timers, conn->reply_deadline, TIMER_JOB, conn->id);
	if (conn->state == CONN_CONNECTING) {
		timer_add(&up->timers, conn->connect_deadline, TIMER_JOB,
			  conn->id);
		return;
	}
	conn->state = CONN_BUSY;
	conn_write(conn);
}

void upstream_cancel(struct upstream *up, uint64_t id)
{
	struct conn *conn = apr_hash_get(up->in_flight, &id, sizeof(id));

	if (conn)
		conn_close(conn);
}

void upstream_warm(struct upstream *up, struct str addr, int count)
{
	struct endpoint *endpoint = endpoint_get(up, addr);
	int available = 0;

	for (struct conn *conn = endpoint->conns; conn; conn = conn->next)
		if (conn->state != CONN_BUSY)
			available++;
	while (available++ < count) {
		struct conn *conn = conn_open(up, endpoint);

		if (!conn)
			return;
		conn->connect_deadline = loop_now() + IDLE_TIMEOUT_US;
	}
}

/* Timeouts. */

static void check_deadlines(struct upstream *up, uint64_t id, int64_t now)
{
	struct conn *conn = apr_hash_get(up->in_flight, &id, sizeof(id));

	if (!conn)
		return;
	if (conn->state == CONN_CONNECTING && now >= conn->connect_deadline)
		conn_fail(conn, FETCH_REFUSED);
	else if (now >= conn->reply_deadline)
		conn_fail(conn, conn->sent ? FETCH_TIMEOUT : FETCH_REFUSED);
	else if (conn->read_timeout_us && conn->state != CONN_CONNECTING)
		timer_add(&up->timers, conn->reply_deadline, TIMER_JOB, id);
}

static void sweep_endpoint(struct endpoint *endpoint, int64_t now)
{
	struct conn *next;

	for (struct conn *conn = endpoint->conns; conn; conn = next) {
		bool expired = conn->state == CONN_CONNECTING && !conn->id &&
			       now >= conn->connect_deadline;

		next = conn->next;
		if (expired ||
		    (conn->state == CONN_IDLE && now >= conn->idle_until))
			conn_close(conn);
	}
}

static void endpoint_free(struct upstream *up, struct endpoint *endpoint)
{
	apr_hash_set(up->endpoints, &endpoint->key, sizeof(endpoint->key),
		     NULL);
	str_free(endpoint->addr);
	free(endpoint);
}

static void sweep_idle(struct upstream *up, int64_t now)
{
	struct endpoint *stale = NULL;
	apr_hash_index_t *it;

	if (now < up->last_sweep_at + SWEEP_INTERVAL_US)
		return;
	up->last_sweep_at = now;
	for (it = apr_hash_first(NULL, up->endpoints); it;
	     it = apr_hash_next(it)) {
		struct endpoint *endpoint = hash_value(it);

		sweep_endpoint(endpoint, now);
		if (endpoint->conns)
			endpoint->last_used_at = now;
		else if (now - endpoint->last_used_at > ENDPOINT_RETENTION_US)
			stale = endpoint;
	}
	/* One per sweep: the table must not change while it is iterated. */
	if (stale)
		endpoint_free(up, stale);
}

static void run_timers(void *ctx)
{
	struct upstream *up = ctx;
	int64_t now = loop_now();
	struct timer due;

	while (timer_pop(&up->timers, now, &due))
		check_deadlines(up, due.id, now);
	sweep_idle(up, now);
}

static int64_t wait_us(void *ctx)
{
	struct upstream *up = ctx;
	int64_t next = timer_next(&up->timers);
	int64_t now = loop_now();

	if (next > up->last_sweep_at + SWEEP_INTERVAL_US)
		next = up->last_sweep_at + SWEEP_INTERVAL_US;
	return next > now ? next - now : 0;
}

void upstream_set_memory(struct upstream *up, size_t bytes)
{
	up->held_max = bytes;
}

void upstream_metrics(const struct upstream *up, struct buf *out)
{
	metric_counter(out, "connections_opened", "to targets and the store",
		       up->counts.opened);
	metric_counter(out, "foreign_replies",
		       "replies that belonged to another request of their "
		       "connection, skipped",
		       up->counts.foreign_replies);
	metric_counter(out, "connections_replaced",
		       "idle connections closed as they had carried the "
		       "request that is sent again",
		       up->counts.replaced);
	metric_counter(out, "replies_dropped",
		       "replies that failed as all together took too much "
		       "memory",
		       up->counts.dropped);
	metric_gauge(out, "replies_bytes", "memory of replies under way",
		     up->held);
}

struct upstream *upstream_create(struct loop *loop,
				 struct upstream_handler handler)
{
	struct upstream *up = xcalloc(1, sizeof(*up));

	apr_pool_create(&up->pool, NULL);
	up->loop = loop;
	up->handler = handler;
	up->endpoints = hash_make(up->pool);
	up->in_flight = hash_make(up->pool);
	loop_hook(loop, (struct loop_hook){ run_timers, wait_us, up });
	return up;
}

void upstream_destroy(struct upstream *up)
{
	apr_hash_index_t *it;

	loop_unhook(up->loop, up);
	for (it = apr_hash_first(NULL, up->endpoints); it;
	     it = apr_hash_next(it)) {
		struct endpoint *endpoint = hash_value(it);

		while (endpoint->conns) {
			struct conn *conn = endpoint->conns;

			endpoint->conns = conn->next;
			conn_free(conn);
		}
		str_free(endpoint->addr);
		free(endpoint);
	}
	timers_free(&up->timers);
	apr_pool_destroy(up->pool);
	free(up);
}
