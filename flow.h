#pragma once

#include "dialect.h"
#include "event.h"
#include "fingerprint.h"

/**
 * DOC: what goes into the tier's reducer and what comes out
 *
 * tier_reduce() takes one struct flow_event and appends struct flow_effect.
 * The shell in edge.c carries effects out and reports what came of them.
 */

enum flow_event_type {
	FLOW_TICK, /* time has passed */
	FLOW_REQUEST, /* a caller's request: id, request */
	FLOW_CALLER_GONE, /* the caller closed: id */
	FLOW_REPLY, /* of a target: id, reply */
	FLOW_STORE_REPLY, /* of the store: store */
	FLOW_MSG, /* from another node: from, incarnation, msg */
	FLOW_PEER_LOST, /* the connection to a node broke: from */
	FLOW_SETTINGS, /* the settings were read anew: settings */
	FLOW_STOP, /* planned stop */
	FLOW_EVENTS,
};

/**
 * struct flow_request - a caller's request, as it came
 * @uri: path and query
 * @headers: lines that a target gets unchanged, each with its line end
 * @caller: address that it came from, without a port
 * @time_left_us: how long the caller waits, -1 when it does not say
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
 * struct flow_reply - a target's reply, decoded
 * @result: how far it came
 * @signature: of the target; a success without one is none
 * @encoded: the body is not in the form that was asked for
 * @not_run: the target says that it did not run the request
 * @wrong_target: another target has this address, and did not run it either
 * @cold_us: the target says how long it stays cold, -1 when it does not
 * @running, @waiting: load that the target tells of, -1 when it does not
 * @headers: lines for the caller, each with its line end
 */
struct flow_reply {
	enum fetch_result result;
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

/** enum store_call - a call to the store */
enum store_call {
	STORE_RANGE, /* a page of the keys under a prefix */
	STORE_WATCH, /* changes since a revision */
};

/**
 * struct flow_store - what came of a call to the store
 * @ok: @reply holds what the store said
 * @why: what it failed of, for the log; unused when @ok
 * @unusable: the whole reply came and cannot be taken, being too large or no
 *            such reply; the same call would bring it again
 * @lost_history: the store no longer has the changes that were asked for
 */
struct flow_store {
	enum store_call call;
	bool ok;
	const char *why;
	bool unusable;
	bool lost_history;
	const struct store_reply *reply;
};

/**
 * struct flow_event - one input
 * @now: monotonic microseconds
 * @queued_us: a request or message may have waited this long before it was read
 * @sent_us: a message was sent then, by the sender's clock
 */
struct flow_event {
	enum flow_event_type type;
	int64_t now;
	uint64_t id;
	const struct flow_request *request;
	const struct flow_reply *reply;
	const struct flow_store *store;
	const struct vm_settings *settings;
	struct str from;
	uint64_t incarnation;
	const struct msg *msg;
	int64_t queued_us;
	int64_t sent_us;
};

enum flow_effect_type {
	FLOW_SEND, /* a request to a target */
	FLOW_CANCEL, /* nobody waits for it any more: id */
	FLOW_ANSWER, /* final answer to a caller */
	FLOW_STORE_CALL, /* a call to the store */
	FLOW_PEER_SEND, /* msg to the node at addr */
	FLOW_RESET_PEER, /* the connection to addr is silent: open a new one */
	FLOW_LOG, /* a line for the log: text */
	FLOW_READY, /* on: whether callers may be sent here */
	FLOW_LIMITS, /* what callers may send has changed: limits */
	FLOW_EXIT, /* the planned stop is complete */
};

/**
 * struct flow_effect - one output
 * @id: request to a target (FLOW_SEND, FLOW_CANCEL), caller (FLOW_ANSWER)
 * @addr: target or node
 * @request: FLOW_SEND: lives until tier_reap()
 * @expected: FLOW_SEND: id of the target that is meant
 * @time_left_us: FLOW_SEND: told to the target; FLOW_STORE_CALL: how long the
 * store may hold the call
 * @timeout_us: FLOW_SEND: the transfer is ended after this time;
 * FLOW_STORE_CALL: until the reply begins
 * @stall_us, @transfer_us: FLOW_STORE_CALL: a reply that has begun may pause
 * for so long at a time, and takes at most this long in all
 * @status, @headers, @body: FLOW_ANSWER; live until tier_reap()
 * @signatures: FLOW_ANSWER: of a merged answer
 * @missing: FLOW_ANSWER: shards left out of a merged answer
 * @merged: FLOW_ANSWER: is a merged answer
 * @retry_after_us: FLOW_ANSWER: 0 when the caller is not told
 * @prefix, @after, @revision: FLOW_STORE_CALL
 * @text, @severe: FLOW_LOG: the line; an operator has to look at it
 */
struct flow_effect {
	enum flow_effect_type type;
	uint64_t id;
	struct str addr;
	const struct flow_request *request;
	struct str expected;
	int64_t time_left_us;
	int64_t timeout_us;
	int64_t stall_us;
	int64_t transfer_us;
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

/** struct flow_effects - a growing list; strings live in @pool */
struct flow_effects {
	apr_pool_t *pool;
	struct flow_effect *list;
	size_t count;
	size_t cap;
};

/** flow_fingerprint() - of method, host, path, query and body. */
struct fingerprint flow_fingerprint(const struct flow_request *request);
void flow_effects_init(struct flow_effects *fx, apr_pool_t *parent);
struct flow_effect *flow_add(struct flow_effects *fx,
			     enum flow_effect_type type);
/** flow_clear() - empties the list and frees the strings. */
void flow_clear(struct flow_effects *fx);
void flow_effects_free(struct flow_effects *fx);
