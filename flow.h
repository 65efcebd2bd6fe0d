#pragma once

#include "dialect.h"
#include "event.h"
#include "fingerprint.h"

/**
 * DOC: events and effects of the tier's reducer
 *
 * tier_reduce() processes one struct flow_event and appends the resulting
 * struct flow_effect. The I/O layer in edge.c executes effects and reports
 * their results as events.
 */

enum flow_event_type {
	FLOW_TICK, /* time has passed */
	FLOW_REQUEST, /* a caller's request: id, request */
	FLOW_CALLER_GONE, /* the caller closed: id */
	FLOW_REPLY, /* a target's reply: id, reply */
	FLOW_STORE_REPLY, /* the store's reply: store */
	FLOW_MSG, /* a message from another node: from, incarnation, msg */
	FLOW_PEER_LOST, /* the connection to a node failed: from */
	FLOW_SETTINGS, /* the settings were reloaded: settings */
	FLOW_STOP, /* planned stop */
	FLOW_EVENTS,
};

/**
 * struct flow_request - a caller's request
 * @uri: path and query
 * @headers: header lines to forward unchanged, each with its line end
 * @caller: caller's address without the port
 * @time_left_us: time until the caller's deadline, -1 if not stated
 */
struct flow_request {
	struct str method;
	struct str uri;
	struct str host;
	struct str request_id;
	struct str headers;
	struct str body;
	struct str caller;
	int64_t time_left_us;
};

/**
 * struct flow_reply - a target's decoded reply
 * @result: outcome of the transfer
 * @conn: number of the connection, for the log; 0 for none
 * @signature: target's signature; without one a success status is not valid
 * @encoded: the body has an encoding that was not requested
 * @not_run: the target states that it did not run the request
 * @wrong_target: another target has this address; it did not run the request
 * @cold_us: time until the target is warm, -1 if not stated
 * @running, @waiting: load of the target, -1 if not stated
 * @headers: header lines for the caller, each with its line end
 */
struct flow_reply {
	enum fetch_result result;
	uint64_t conn;
	int status;
	struct str signature;
	bool encoded;
	bool not_run;
	bool wrong_target;
	int64_t cold_us;
	int running;
	int waiting;
	struct str headers;
	struct str body;
};

/** enum store_call - kind of a call to the store */
enum store_call {
	STORE_RANGE, /* a page of the keys under a prefix */
	STORE_WATCH, /* changes since a revision */
};

/**
 * struct flow_store_reply - result of a call to the store
 * @ok: the call succeeded; @reply is set
 * @why: cause of a failure, for the log
 * @unusable: the store did reply, but the reply is too large or malformed; the
 *            same call would return it again
 * @lost_history: the store no longer has the requested changes
 */
struct flow_store_reply {
	enum store_call call;
	bool ok;
	const char *why;
	bool unusable;
	bool lost_history;
	const struct store_reply *reply;
};

/**
 * struct flow_event - one input of the reducer
 * @now: monotonic microseconds
 * @queued_us: longest time that a request or message may have waited
 * @sent_us: time at which a message was sent, by the sender's clock
 */
struct flow_event {
	enum flow_event_type type;
	int64_t now;
	uint64_t id;
	const struct flow_request *request;
	const struct flow_reply *reply;
	const struct flow_store_reply *store;
	const struct vm_settings *settings;
	struct str from;
	uint64_t incarnation;
	const struct msg *msg;
	int64_t queued_us;
	int64_t sent_us;
};

enum flow_effect_type {
	FLOW_SEND, /* a request to a target */
	FLOW_CANCEL, /* cancel the request to a target: id */
	FLOW_ANSWER, /* final answer to a caller */
	FLOW_STORE_CALL, /* a call to the store */
	FLOW_PEER_SEND, /* msg to the node at addr */
	FLOW_RESET_PEER, /* replace the silent connection to addr */
	FLOW_LOG, /* a line for the log: text */
	FLOW_READY, /* whether callers may be sent here: ready */
	FLOW_LIMITS, /* the limits of callers' requests changed: limits */
	FLOW_EXIT, /* the planned stop is complete */
};

/**
 * struct flow_effect - one output of the reducer
 * @id: request to a target (FLOW_SEND, FLOW_CANCEL), caller (FLOW_ANSWER)
 * @addr: target or node
 * @request: FLOW_SEND: lives until tier_reap()
 * @expected: FLOW_SEND: id of the intended target
 * @time_left_us: FLOW_SEND: remaining time to state to the target;
 *                FLOW_STORE_CALL: how long the store may hold the call
 * @timeout_us: FLOW_SEND: timeout of the transfer; FLOW_STORE_CALL: timeout
 *              until the reply begins
 * @read_timeout_us: FLOW_STORE_CALL: longest pause in a reply that has begun
 * @total_timeout_us: FLOW_STORE_CALL: timeout of the whole reply
 * @status, @headers, @body: FLOW_ANSWER; live until tier_reap()
 * @signatures: FLOW_ANSWER: signatures of the parts of a merged answer
 * @missing: FLOW_ANSWER: number of shards left out of a merged answer
 * @merged: FLOW_ANSWER: this is a merged answer
 * @retry_after_us: FLOW_ANSWER: when the caller may retry, 0 if not stated
 * @call, @prefix, @after, @revision: FLOW_STORE_CALL
 * @text: FLOW_LOG: the line
 * @severe: FLOW_LOG: log it as an error, because it needs an operator
 * @ready: FLOW_READY
 */
struct flow_effect {
	enum flow_effect_type type;
	uint64_t id;
	struct str addr;
	const struct flow_request *request;
	struct str expected;
	int64_t time_left_us;
	int64_t timeout_us;
	int64_t read_timeout_us;
	int64_t total_timeout_us;
	int status;
	struct str headers;
	struct str body;
	struct str signatures;
	size_t missing;
	bool merged;
	int64_t retry_after_us;
	enum store_call call;
	struct str prefix;
	struct str after;
	uint64_t revision;
	uint64_t incarnation;
	struct msg msg;
	struct str text;
	bool severe;
	bool ready;
	struct caller_limits limits;
};

/** struct flow_effects - growing list of effects; strings live in @pool */
struct flow_effects {
	apr_pool_t *pool;
	struct flow_effect *list;
	size_t count;
	size_t cap;
};

/**
 * flow_fingerprint() - fingerprint of the method, host, path, query, body and
 * caller.
 */
struct fingerprint flow_fingerprint(const struct flow_request *request);
void flow_effects_init(struct flow_effects *fx, apr_pool_t *parent);
struct flow_effect *flow_add(struct flow_effects *fx,
			     enum flow_effect_type type);
/** flow_clear() - empty the list and free the strings. */
void flow_clear(struct flow_effects *fx);
void flow_effects_free(struct flow_effects *fx);
