#pragma once

#include "sent_ids.h"
#include "timer.h"
#include "upstream.h"

/**
 * DOC: one connection to a target or the store
 *
 * Sends a request, reads its reply and reports the outcome to the handler.
 * Internal to upstream.c, which chooses the connection of each request.
 */

enum conn_state {
	CONN_CONNECTING,
	CONN_IDLE,
	CONN_BUSY,
};

/**
 * struct conn - one connection
 * @number: for the log, see struct upstream_reply
 * @id: id of the request in flight, 0 if there is none
 * @out, @sent: bytes of the request, and number of them sent
 * @reply: reply to the request in flight, as far as received
 * @held: memory of @reply
 * @carried: ids of the requests that were sent on this connection
 * @fresh: no reply has been received on this connection
 * @reply_deadline: the request fails at this time
 * @read_timeout_us: each read extends @reply_deadline to this much from now,
 *                   but not beyond @total_deadline; 0: reads do not extend it
 */
struct conn {
	struct upstream *up;
	struct endpoint *endpoint;
	struct conn *next;
	uint64_t number;
	enum conn_state state;
	int fd;
	struct watch *watch;
	uint64_t id;
	struct buf out;
	size_t sent;
	struct reply reply;
	size_t held;
	struct sent_ids carried;
	bool fresh;
	int64_t idle_until;
	int64_t connect_deadline;
	int64_t reply_deadline;
	int64_t read_timeout_us;
	int64_t total_deadline;
};

/** struct endpoint - address and its connections */
struct endpoint {
	struct str addr;
	uint64_t key;
	struct conn *conns;
	int64_t idle_timeout_us;
	int64_t last_used_at;
};

/** struct upstream_counts - since the start of the process */
struct upstream_counts {
	uint64_t opened;
	uint64_t foreign_replies; /* skipped: they belong to other requests */
	uint64_t replaced; /* closed: they had carried the request before */
	uint64_t dropped; /* replies that failed for want of memory */
};

struct upstream {
	struct loop *loop;
	apr_pool_t *pool;
	struct upstream_handler handler;
	apr_hash_t *endpoints; /* hash of the address -> struct endpoint */
	apr_hash_t *in_flight; /* request id -> struct conn */
	struct timers timers;
	int64_t last_sweep_at;
	size_t held;
	size_t held_max;
	struct upstream_counts counts;
};

/** conn_open() - begin to connect; NULL without a socket or a valid address. */
struct conn *conn_open(struct upstream *up, struct endpoint *endpoint);
/** conn_write() - send what is left of the request. */
void conn_write(struct conn *conn);
/** conn_is_quiet() - whether no bytes and no end of stream are unread. */
bool conn_is_quiet(const struct conn *conn);
/** conn_fail() - close the connection and fail its request, if any. */
void conn_fail(struct conn *conn, enum fetch_result result);
/** conn_close() - close the connection without calling the handler. */
void conn_close(struct conn *conn);
/** conn_free() - the same, without unlinking it from its endpoint. */
void conn_free(struct conn *conn);
