#pragma once

#include "doc.h"
#include "msg.h"

/**
 * DOC: what goes into the reducer and what comes out
 *
 * node_reduce() takes one struct event and appends struct effect. All that a
 * decision depends on is in the event or in the node's state; the shell in
 * serve.c only carries effects out and reports what came of them.
 */

enum event_type {
	EV_TICK, /* time has passed */
	EV_ASK, /* a caller's question: id, body */
	EV_TICKET, /* a caller asks for a ticket: id, body */
	EV_ENTRY, /* a caller's entry: id, body */
	EV_LOOKUP, /* a caller asks what became of an entry: id, body */
	EV_CALLER_GONE, /* the caller closed: id */
	EV_MSG, /* from another node: from, incarnation, msg */
	EV_PEER_LOST, /* the connection to a node broke: from */
	EV_FETCHED, /* a target's reply: id, fetched */
	EV_DOC, /* a platform's reading: doc, body */
	EV_DOC_UNCHANGED, /* the platform has nothing newer: doc */
	EV_DOC_FAILED, /* the platform did not answer: doc */
	EV_LEAVE, /* planned stop */
};

/** enum fetch_result - how far a request to a target came */
enum fetch_result {
	FETCH_OK, /* whole reply, parsed */
	FETCH_REFUSED, /* no byte was sent */
	FETCH_BROKEN, /* sent, then closed without a whole reply */
	FETCH_TIMEOUT, /* sent, no reply in time */
	FETCH_MALFORMED, /* whole reply that is not what was asked for */
};

/** fetch_result_text() - in words, for the log. */
const char *fetch_result_text(enum fetch_result result);

/**
 * struct fetch_response - a target's reply, parsed by the shell
 * @result: how far it came
 * @status: HTTP status
 * @boot: hash of the target's boot id, 0 when it was not given
 * @job: job number that the target echoed
 * @shard: shard that it answered for
 * @version: snapshot that it answered from
 * @load: requests that it says are in progress, -1 when not given
 * @draining: the target says that it is leaving
 * @resent: requests that the HTTP library sent again by itself
 * @body: rows (a JSON array) or the entry's result
 */
struct fetch_response {
	enum fetch_result result;
	int status;
	uint64_t boot;
	uint64_t job;
	uint32_t shard;
	uint64_t version;
	int load;
	bool draining;
	int resent;
	struct str body;
};

/**
 * struct event - one input of the reducer
 * @now: monotonic microseconds; never goes back
 */
struct event {
	enum event_type type;
	int64_t now;
	uint64_t id;
	struct str from;
	uint64_t incarnation;
	const struct msg *msg;
	const struct fetch_response *fetch_response;
	enum doc_kind doc;
	struct str body;
};

enum effect_type {
	FX_SEND, /* msg to the node at addr, incarnation (0: any) */
	FX_FETCH, /* request to a target */
	FX_READ_DOC, /* read a document from the platform */
	FX_ANSWER, /* final answer to a caller */
	FX_AUDIT, /* a line for the audit trail: body */
	FX_STOP, /* the planned stop is complete */
};

/** enum fetch_kind - what is asked of a target */
enum fetch_kind {
	FETCH_LEAF,
	FETCH_ENTRY,
	FETCH_CANCEL,
	FETCH_HEALTH,
};

/**
 * struct effect - one output of the reducer; strings live in the effects' pool
 * @id: caller (FX_ANSWER) or fetch (FX_FETCH)
 * @addr: node or target, "ip:port"
 * @wait_us: FX_READ_DOC: how long the platform may hold the call;
 *           FX_FETCH: time until the shell gives up

 * @status: FX_ANSWER: HTTP status
 * @text: FX_FETCH: terms
 */
struct effect {
	enum effect_type type;
	uint64_t id;
	struct str addr;
	uint64_t incarnation;
	struct msg msg;
	enum fetch_kind fetch;
	enum doc_kind doc;
	uint64_t version;
	uint64_t hash;
	uint64_t job;
	uint32_t shard;
	int64_t wait_us;

	int status;
	struct str name;
	struct str text;
	struct str body;
};

/** struct effects - a growing list; effects_clear() frees all at once */
struct effects {
	apr_pool_t *pool;
	struct effect *list;
	size_t count;
	size_t cap;
};

void effects_init(struct effects *fx, apr_pool_t *parent);
struct effect *effects_add(struct effects *fx, enum effect_type type);
void effects_clear(struct effects *fx);
void effects_free(struct effects *fx);
/** effects_dump() - one line an effect, for comparing replays. */
void effects_dump(const struct effects *fx, struct buf *out);
