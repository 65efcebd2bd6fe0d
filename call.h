#pragma once

#include "balancer.h"
#include "baseline.h"
#include "budget.h"
#include "flow.h"
#include "latency.h"
#include "poison.h"
#include "rng.h"
#include "timer.h"
#include "wait_queue.h"

/**
 * DOC: calls and attempts
 *
 * A call is one request of a caller from its arrival to its final answer. An
 * attempt is one request sent to a target for a call, or for one shard of a
 * call. How a call handles replies and timers depends on its kind: merged over
 * shards (merge.c) or forwarded to one target (forward.c).
 */

struct calls;
struct call;
struct gossip;
struct poison_sync;
struct cold_share;

/**
 * struct attempt - an in-flight request to a target
 * @call: NULL once the attempt is orphaned: its reply is no longer needed
 * @part: index of the shard within the call
 * @baseline: baseline latency of this kind of request
 * @baseline_us: value of @baseline when the attempt was sent
 * @extra: not the first attempt for its shard
 * @fingerprint: fingerprint of the request, for crash evidence
 * @round: evidence round of the request when the attempt was sent
 * @served: the call had been served when the attempt was orphaned
 */
struct attempt {
	uint64_t id;
	struct call *call;
	size_t part;
	struct live_target *target;
	int64_t sent_at;
	struct baseline *baseline;
	double baseline_us;
	bool extra;
	struct fingerprint fingerprint;
	int round;
	bool served;
	struct attempt *next; /* next attempt of the same call */
};

/**
 * struct call_kind - operations of a kind of call
 * @may_queue: parts wait in a queue when no target has capacity
 * @begin: sends the first attempts
 * @replied: handles the reply to an attempt, already unlinked from the call
 * @review: handles the review timer and schedules the next review
 * @ended: cancels work delegated to other nodes; may be NULL
 */
struct call_kind {
	const char *name;
	bool may_queue;
	void (*begin)(struct calls *calls, struct call *call);
	void (*replied)(struct calls *calls, struct call *call,
			const struct attempt *attempt,
			const struct flow_reply *reply);
	void (*review)(struct calls *calls, struct call *call);
	void (*ended)(struct calls *calls, struct call *call);
};

/** enum send_result - whether an attempt was sent, or why not */
enum send_result {
	SEND_DONE,
	SEND_NO_TARGET, /* no target is available now */
	SEND_NO_BUDGET, /* the retry budget is used up */
	SEND_NO_ATTEMPTS, /* attempts of the shard are exhausted */
	SEND_HELD, /* suspected of crashing targets, waits for a trial */
	SEND_BLOCKED, /* blocked: must not be sent */
};

/** enum lease_state - state of the lease for a trial */
enum lease_state {
	LEASE_NONE,
	LEASE_REQUESTED,
	LEASE_GRANTED,
	LEASE_DENIED,
};

/**
 * struct trial - trial of a suspect request
 * @lease_reply_deadline: when a pending lease request expires
 * @nattempts: attempts sent with the lease that ran, or may still run
 * @idle_since: when the lease was granted, or its last run ended
 * @held: at least one attempt was held back
 */
struct trial {
	enum lease_state lease;
	int64_t lease_reply_deadline;
	int nattempts;
	int64_t idle_since;
	bool held;
};

enum {
	/* Targets recorded as tried, per shard. */
	CALL_TARGETS_MAX = 4,
	/* Attempts per shard: few targets reject this often in a row. */
	CALL_ATTEMPTS_MAX = 5,
};

/**
 * struct part - one shard of a merged call, or the single part of a forwarded
 *               call
 * @service: service whose targets serve it
 * @tried: keys of targets that were sent the request
 * @rejected: bitmask over @tried: targets that rejected the request without
 *            running it and may be sent it again
 * @nattempts: number of attempts sent
 * @open: number of attempts in flight
 * @done: a good reply has arrived
 * @ran: a target may have run the request
 * @delegated: delegated to another node that has not answered for it
 * @sent_elsewhere: another node may already have sent it to a target
 * @queued: waits in the queue of its service for a target with capacity
 * @last_send_result: result of the last call_send()
 */
struct part {
	uint64_t service;
	uint64_t tried[CALL_TARGETS_MAX];
	size_t ntried;
	unsigned int rejected;
	size_t nattempts;
	int open;
	bool done;
	bool ran;
	bool delegated;
	bool sent_elsewhere;
	bool queued;
	enum send_result last_send_result;
};

/**
 * struct call - one request of a caller
 * @id: id of the caller's request, or generated here for another node's batch
 * @fingerprint: fingerprint that identifies repeats of the request
 * @kind: operations of its kind
 * @baseline: baseline latency of its route
 * @origin: address of the node that delegated it; empty for a request
 *          of a caller of this node
 * @origin_incarnation: incarnation of that node
 * @origin_id: id of the batch at that node
 * @deadline: timeout of the caller or of the route, whichever is earlier
 * @soft_deadline: a partial answer is sent from then on if coverage suffices
 * @next_review_at: time of the next review, 0 if none is scheduled
 * @requested_shards: indexes of the shards that @origin delegated, NULL for all
 *                    shards of the route
 * @nrequested: number of shards in @requested_shards
 * @may_delegate: @origin delegated a whole question: this node may delegate
 *                shards of other failure domains in turn
 * @retries_granted: @origin has sent the retry grant: this node may send each
 *                   shard to further targets
 * @retry_share: this node's share of the extra retries
 * @ntried: number of targets per shard that other nodes may already have used
 * @batches: open batches of shards that were delegated to other nodes
 * @delegations: how often the whole question was delegated
 * @trial: trial of a suspect request
 * @unproven: must be answered by one target before the others get it
 * @served: some target has answered it
 * @abandoned: the caller or @origin no longer waits for it
 * @finished: it has ended and is freed by calls_reap()
 * @state: private state of its kind
 */
struct call {
	uint64_t id;
	apr_pool_t *pool;
	struct flow_request request;
	struct fingerprint fingerprint;
	struct catalog *catalog;
	const struct route *route;
	const struct call_kind *kind;
	struct baseline *baseline;
	struct str origin;
	uint64_t origin_incarnation;
	uint64_t origin_id;
	int64_t start;
	int64_t deadline;
	int64_t soft_deadline;
	int64_t next_review_at;
	struct part *parts;
	size_t nparts;
	size_t ndone;
	struct attempt *attempts;
	uint16_t *requested_shards;
	size_t nrequested;
	bool may_delegate;
	bool retries_granted;
	double retry_share;
	size_t ntried;
	struct batch *batches;
	int delegations;
	struct trial trial;
	bool unproven;
	bool served;
	bool abandoned;
	bool finished;
	void *state;
	struct call *next_ended;
};

/**
 * struct calls - all calls of a node and the modules they use
 * @without: bit set of disabled mechanisms
 * @canaries: new merged calls are unproven, see trial.h
 * @now: time of the current event
 * @ends_at: all calls are answered by then, because this node stops; INT64_MAX
 *           while no stop is planned
 * @fx: effects of the current event
 * @open: id -> struct call
 * @attempts: id -> struct attempt
 * @baselines: hash of the route name -> struct baseline
 * @wait_queues: service -> struct wait_queue
 * @ended_calls: ended calls, freed by calls_reap()
 * @delegated_call_kind: kind of the calls that other nodes delegate to this one
 */
struct calls {
	apr_pool_t *pool;
	uint32_t without;
	bool canaries;
	int64_t now;
	int64_t ends_at;
	struct flow_effects *fx;
	struct balancer *balancer;
	struct budget *budget;
	struct timers timers;
	struct rng rng;
	apr_hash_t *open;
	apr_hash_t *attempts;
	apr_hash_t *baselines;
	apr_hash_t *wait_queues;
	uint64_t next_id;
	struct call *ended_calls;
	size_t nopen;
	struct decision_log *decision_log;
	struct gossip *gossip;
	struct poison *poison;
	struct poison_sync *poison_sync;
	struct cold_share *cold_share;
	struct batch_table *batches;
	const struct call_kind *delegated_call_kind;
};

/** calls_mechanism_enabled() - whether a mechanism is enabled. */
bool calls_mechanism_enabled(const struct calls *calls,
			     enum mechanism mechanism);
void calls_init(struct calls *calls, apr_pool_t *pool, uint64_t seed);
void calls_destroy(struct calls *calls);
/** calls_reap() - free ended calls; no effect may point to them any more. */
void calls_reap(struct calls *calls);

/** call_create() - create a call, not yet started, with a copy of @request. */
struct call *call_create(struct calls *calls, uint64_t id,
			 const struct flow_request *request,
			 struct catalog *catalog, const struct route *route);
struct call *call_find(struct calls *calls, uint64_t id);
/**
 * calls_accept() - whether a call of @route can meet its goal before this node
 * stops.
 */
bool calls_accept(const struct calls *calls, const struct route *route);
/** call_ends_at() - when the call is answered with what there is. */
int64_t call_ends_at(const struct calls *calls, const struct call *call);
/** call_end_reason() - why the call ends at call_ends_at(). */
const char *call_end_reason(const struct calls *calls, const struct call *call);
/** call_may_send() - whether the limits on attempts allow another for @part. */
bool call_may_send(const struct call *call, const struct part *part);
/** call_send() - send an attempt for shard @index to the best target left. */
enum send_result call_send(struct calls *calls, struct call *call,
			   size_t index);
/** call_schedule_review() - review at @when, unless an earlier one is due. */
void call_schedule_review(struct calls *calls, struct call *call, int64_t when);
/**
 * call_mark_served() - record that a target has answered.
 *
 * Clears the request of the suspicion that it crashes targets.
 */
void call_mark_served(struct calls *calls, struct call *call);
/** call_on_reply() - handle the reply to the attempt @id. */
void call_on_reply(struct calls *calls, uint64_t id,
		   const struct flow_reply *reply);
/** call_on_timer() - handle an expired timer of a call or an attempt. */
void call_on_timer(struct calls *calls, const struct timer *due);

/**
 * struct final - final answer to a call
 * @merged: merged from shards by this node
 * @signatures: signatures of the merged parts
 * @missing: number of shards that the answer lacks
 * @why: reason, for the log
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

/** call_answer() - send the final answer and end the call. */
void call_answer(struct calls *calls, struct call *call,
		 const struct final *final);
/**
 * call_jitter() - shorten @us by up to a quarter to spread callers' retries.
 */
int64_t call_jitter(struct calls *calls, int64_t us);
/** call_refuse() - end the call with an error generated by this node. */
void call_refuse(struct calls *calls, struct call *call, int status,
		 const char *why, int64_t retry_after_us);
/** call_finish() - end the call without an answer to a caller. */
void call_finish(struct calls *calls, struct call *call);
/** call_abandon() - end the call without an answer: nobody waits for it. */
void call_abandon(struct calls *calls, struct call *call);
