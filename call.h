#pragma once

#include "budget.h"
#include "flow.h"
#include "latency.h"
#include "line.h"
#include "poison.h"
#include "rng.h"
#include "roster.h"
#include "timer.h"
#include "usual.h"

/**
 * DOC: calls and attempts
 *
 * A call is one request of a caller, from its arrival to its final answer. An
 * attempt is one sending of it, or of its part for one shard, to a target.
 * What a call does with replies and with time differs by its kind: merged over
 * shards (merge.c) or passed on to one target (forward.c).
 */

struct calls;
struct call;
struct gossip;
struct poison_news;

/**
 * struct attempt - a request under way to a target
 * @call: NULL when nobody waits for it any more
 * @part: index of the shard within the call
 * @usual: how long such replies take; @usual_us: when it was sent
 * @extra: not the first for its shard
 * @print, @round: of the request, for evidence against it
 * @served: its call has had a reply
 */
struct attempt {
	uint64_t id;
	struct call *call;
	size_t part;
	struct live_target *target;
	int64_t sent_at;
	struct usual *usual;
	double usual_us;
	bool extra;
	struct fingerprint print;
	int round;
	bool served;
	struct attempt *next; /* of the same call */
};

/**
 * struct call_kind - what a kind of call does
 * @begin: first sends
 * @replied: a reply to one of its attempts, which is no longer among them
 * @review: its time has come; sets call->review_at anew
 * @in_line: its parts wait in line for room at a target
 * @ended: nothing more is wanted of other nodes; may be NULL
 */
struct call_kind {
	const char *name;
	bool in_line;
	void (*begin)(struct calls *calls, struct call *call);
	void (*replied)(struct calls *calls, struct call *call,
			const struct attempt *attempt,
			const struct flow_reply *reply);
	void (*review)(struct calls *calls, struct call *call);
	void (*ended)(struct calls *calls, struct call *call);
};

/** enum send_result - whether an attempt was made */
enum send_result {
	SEND_DONE,
	SEND_NO_TARGET, /* none may be asked now */
	SEND_NO_BUDGET, /* hedges and retries have used up the bound */
	SEND_NO_TRIES, /* the route allows no more targets */
	SEND_HELD, /* suspect of crashing targets: it waits for a trial */
	SEND_BLOCKED, /* it must not be sent at all */
};

/** enum trial_state - leave to try a suspect request */
enum trial_state {
	TRIAL_NONE,
	TRIAL_ASKED,
	TRIAL_GRANTED,
	TRIAL_DENIED,
};

/**
 * struct trial - a call whose request is suspect
 * @until: the leave is waited for until then
 * @sends: made with that leave
 * @held: some send was held back
 */
struct trial {
	enum trial_state state;
	int64_t until;
	int sends;
	bool held;
};

enum {
	/* Targets of a shard that are kept in mind. */
	CALL_TRIES_MAX = 4,
	/* Sends of a shard: few targets reject so often in a row. */
	CALL_SENDS_MAX = 5,
};

/**
 * struct part - a shard of a merged call, or the one target of another
 * @tried: targets that had the request
 * @rejected: bits of those in @tried that did not run it and may be asked again
 * @nsent: how often it was sent
 * @open: attempts under way
 * @done: a good reply is in
 * @ran: some target may have run it
 * @batched: another node was asked for it and has not answered
 * @again: another node may have sent it already
 * @waits: it stands in line for room at a target
 * @held_by: why the last try at sending it was not made
 */
struct part {
	uint64_t service;
	uint64_t tried[CALL_TRIES_MAX];
	size_t ntried;
	unsigned int rejected;
	size_t nsent;
	int open;
	bool done;
	bool ran;
	bool batched;
	bool again;
	bool waits;
	enum send_result held_by;
};

/**
 * struct call - one request of a caller
 * @id: of the caller's request, or drawn here for another node's
 * @print: tells whether it has come before
 * @asker: node that asked on behalf of a caller, empty when a caller did
 * @asker_id: its id there
 * @usual: how long replies of its route take
 * @give_up_at: the caller, or its route, waits no longer
 * @soft_at: what is there is answered if it is enough
 * @review_at: next review; 0 when none is planned
 * @wanted, @nwanted: shards that @asker wants; all of them for a caller
 * @may_hand_on: @asker handed over a whole question, far shards included
 * @go: @asker knows that further targets are asked from here
 * @retry_share: this node's part of the free retries; 0: of all nodes alike
 * @tried: targets of each shard that @asker, or a node it asked, may have had
 * @batches: shards that other nodes were asked for
 * @handed: times that a whole question was handed over
 * @trial: of a suspect request
 * @served: some target has answered it
 * @abandoned: who asked wants it no more
 * @over: it has ended; freed once all effects are carried out
 * @state: of its kind
 */
struct call {
	uint64_t id;
	apr_pool_t *pool;
	struct flow_request request;
	struct fingerprint print;
	struct catalog *catalog;
	const struct route *route;
	const struct call_kind *kind;
	struct usual *usual;
	struct str asker;
	uint64_t asker_incarnation;
	uint64_t asker_id;
	int64_t start;
	int64_t give_up_at;
	int64_t soft_at;
	int64_t review_at;
	struct part *parts;
	size_t nparts;
	size_t ndone;
	struct attempt *attempts;
	uint16_t *wanted;
	size_t nwanted;
	bool may_hand_on;
	bool go;
	double retry_share;
	size_t tried;
	struct batch *batches;
	int handed;
	struct trial trial;
	bool served;
	bool abandoned;
	bool over;
	void *state;
	struct call *next_dead;
};

/**
 * struct calls - all calls of a node, and what they need
 * @without: mechanisms that are off
 * @now: of the event at hand
 * @fx: effects of the event at hand
 * @open: id -> struct call
 * @attempts: id -> struct attempt
 * @usual: hash of a route's name -> struct usual
 * @lines: service -> struct line
 * @dead: ended; freed by calls_reap()
 * @shards_kind: of calls that other nodes ask this one for
 */
struct calls {
	apr_pool_t *pool;
	uint32_t without;
	int64_t now;
	struct flow_effects *fx;
	struct roster *roster;
	struct budget *budget;
	struct timers timers;
	struct rng rng;
	apr_hash_t *open;
	apr_hash_t *attempts;
	apr_hash_t *usual;
	apr_hash_t *lines;
	uint64_t next_id;
	struct call *dead;
	size_t nopen;
	struct decision_log *dlog;
	struct gossip *gossip;
	struct poison *poison;
	struct poison_news *news;
	struct batch_book *batches;
	const struct call_kind *shards_kind;
};

/** call_has() - the mechanism is on. */
bool call_has(const struct calls *calls, enum mechanism mechanism);
void calls_init(struct calls *calls, apr_pool_t *pool, uint64_t seed);
void calls_destroy(struct calls *calls);
/** calls_reap() - free what ended; no effect may point there any more. */
void calls_reap(struct calls *calls);

/** call_create() - copies @request; not yet begun. */
struct call *call_create(struct calls *calls, uint64_t id,
			 const struct flow_request *request,
			 struct catalog *catalog, const struct route *route);
struct call *call_find(struct calls *calls, uint64_t id);
/** call_may_send() - a target is left that the route allows to ask. */
bool call_may_send(const struct call *call, const struct part *part);
/** call_send() - one more attempt for a part, to the best target left. */
enum send_result call_send(struct calls *calls, struct call *call, size_t part);
/** call_review_at() - plan the next review for @when, if that is earlier. */
void call_review_at(struct calls *calls, struct call *call, int64_t when);
/** call_served() - some target has answered it: it crashes none. */
void call_served(struct calls *calls, struct call *call);
/** call_replied() - a target replied; ends in the call's kind. */
void call_replied(struct calls *calls, uint64_t id,
		  const struct flow_reply *reply);
/** call_due() - a timer of @id has come. */
void call_due(struct calls *calls, const struct timer *due);

/**
 * struct final - the last word to a caller
 * @code: of an error of this node's own; 0 for a reply or a merged answer
 * @why: what led to it, for the log
 */
struct final {
	int status;
	struct str headers;
	struct str body;
	bool merged;
	struct str signatures;
	size_t missing;
	int64_t retry_after_us;
	const char *why;
};

/** call_answer() - give the final answer; the call ends. */
void call_answer(struct calls *calls, struct call *call,
		 const struct final *final);
/** call_spread() - @us less up to a quarter, so that not all return together */
int64_t call_spread(struct calls *calls, int64_t us);
/** call_refuse() - end with an error of this node's own. */
void call_refuse(struct calls *calls, struct call *call, int status,
		 const char *why, int64_t retry_after_us);
/** call_finish() - end without an answer to a caller: all has been said. */
void call_finish(struct calls *calls, struct call *call);
/** call_abandon() - the caller is gone: end without an answer. */
void call_abandon(struct calls *calls, struct call *call);
