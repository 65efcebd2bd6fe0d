#pragma once

#include "doc.h"
#include "msg.h"

/**
 * DOC: events and effects of the node's reducer
 *
 * node_reduce() processes one struct event and appends the resulting struct
 * effect. Decisions depend only on the event and on the node's state. The I/O
 * layer in serve.c executes effects and reports their results as events.
 */

enum event_type {
	EV_TICK, /* time has passed */
	EV_QUESTION, /* a caller's question: id, body */
	EV_TICKET, /* a caller requests a ticket: id, body */
	EV_ENTRY, /* a caller's entry: id, body */
	EV_LOOKUP, /* a caller requests the outcome of an entry: id, body */
	EV_CALLER_GONE, /* the caller closed: id */
	EV_MSG, /* a message from another node: from, incarnation, msg */
	EV_PEER_LOST, /* the connection to a node failed: from */
	EV_FETCH_DONE, /* a target's reply: id, parsed_reply */
	EV_DOC, /* a document from the platform: doc, body */
	EV_DOC_UNCHANGED, /* the platform has nothing newer: doc */
	EV_DOC_FAILED, /* the platform did not reply: doc */
	EV_DRAIN, /* a planned stop begins */
};

/** enum fetch_result - outcome of a request to a target */
enum fetch_result {
	FETCH_OK, /* complete, valid reply */
	FETCH_REFUSED, /* no byte was sent */
	FETCH_BROKEN, /* sent, then closed before the reply was complete */
	FETCH_TIMEOUT, /* sent, no reply in time */
	FETCH_MALFORMED, /* the reply is invalid */
};

/** fetch_result_text() - description for the log. */
const char *fetch_result_text(enum fetch_result result);

/**
 * struct parsed_reply - a target's reply, parsed by the I/O layer
 * @result: outcome of the transfer
 * @status: HTTP status
 * @boot: hash of the target's boot id, 0 if not given
 * @job: job number echoed by the target
 * @shard: shard that the reply is for
 * @version: version of the snapshot that the reply is from
 * @load: number of requests in progress at the target, -1 if not given
 * @draining: the target reports that it is leaving
 * @resent: number of times that the HTTP library resent the request itself
 * @body: rows (a JSON array) or the entry's result
 */
struct parsed_reply {
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
 * @now: monotonic microseconds
 */
struct event {
	enum event_type type;
	int64_t now;
	uint64_t id;
	struct str from;
	uint64_t incarnation;
	const struct msg *msg;
	const struct parsed_reply *parsed_reply;
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

/** enum fetch_kind - kind of a request to a target */
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
 * @wait_us: FX_READ_DOC: maximum time that the platform may delay its reply;
 *           FX_FETCH: timeout
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

/** struct effects - growing list of effects; strings live in @pool */
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
/** effects_dump() - append one line per effect, for comparing replays. */
void effects_dump(const struct effects *fx, struct buf *out);
