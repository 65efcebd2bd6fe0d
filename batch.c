#include "batch.h"

#include <stdlib.h>

#include "decision_log.h"
#include "payload.h"
#include "xmalloc.h"

enum {
	/* Round trip to the other node, with its wait for a processor. */
	HOP_RTT_US = 3000,
	/* A node that did not answer gets no batches for this long. */
	BACKOFF_US = 500000,
	/* Minimum time for a first reply, also of the second node queried. */
	SILENT_MIN_US = 25000,
	/* A connection without any message this long after a batch is dead. */
	CONN_DEAD_US = 150000,
};

/* Set in ids of delegated calls; ids of callers' requests are smaller. */
static const uint64_t delegated_call_bit = 1ULL << 62;

void batch_table_init(struct batch_table *table, apr_pool_t *pool,
		      struct gossip *gossip, struct placement *placement)
{
	*table = (struct batch_table){ .gossip = gossip,
				       .placement = placement };
	table->open = hash_make(pool);
}

static struct flow_effect *queue_msg(struct calls *calls, struct str addr,
				     uint64_t incarnation, uint32_t kind)
{
	struct flow_effect *fx = flow_add(calls->fx, FLOW_PEER_SEND);

	fx->addr = str_dup(calls->fx->pool, addr);
	fx->incarnation = incarnation;
	fx->msg.kind = kind;
	return fx;
}

/*
 * Messages identify shards by their index in the route. A call for another node
 * may cover only some shards of the route, so its parts have other indexes.
 */
static uint16_t *shard_indexes(const struct call *call, const uint16_t *parts,
			       size_t nparts)
{
	uint16_t *shards =
		apr_palloc(call->pool, (nparts + 1) * sizeof(*shards));

	for (size_t i = 0; i < nparts; i++)
		shards[i] = call->requested_shards
				    ? call->requested_shards[parts[i]]
				    : parts[i];
	return shards;
}

/* Return: index of the part in the call, UINT16_MAX if it lacks the shard. */
static uint16_t find_part(const struct call *call, uint16_t shard)
{
	if (!call->requested_shards)
		return shard;
	for (size_t i = 0; i < call->nrequested; i++)
		if (call->requested_shards[i] == shard)
			return (uint16_t)i;
	return UINT16_MAX;
}

static struct str pack_parts(struct calls *calls, const uint16_t *parts,
			     size_t nparts)
{
	return str_dup(
		calls->fx->pool,
		(struct str){ (const char *)parts, nparts * sizeof(*parts) });
}

/* Node that delegates shards. */

void batch_send(struct calls *calls, struct call *call,
		struct member_info *member, const uint16_t *parts,
		size_t nparts, bool may_delegate, size_t ntried)
{
	struct flow_effect *fx = queue_msg(calls, member->addr, 0, MSG_ASK);
	struct batch *batch = apr_pcalloc(call->pool, sizeof(*batch));
	struct buf body = { 0 };

	batch->id = ++calls->next_id;
	batch->call = call;
	batch->addr = str_dup(call->pool, member->addr);
	batch->sent_at = calls->now;
	batch->parts = apr_palloc(call->pool, nparts * sizeof(*parts));
	memcpy(batch->parts, parts, nparts * sizeof(*parts));
	batch->nparts = nparts;
	batch->ntried = ntried;
	batch->next = call->batches;
	call->batches = batch;
	apr_hash_set(calls->batches->open, &batch->id, sizeof(batch->id),
		     batch);
	metric_add(&calls->decision_log->metrics, METRIC_BATCHES);
	member->in_flight++;
	if (!member->unanswered_since)
		member->unanswered_since = calls->now;
	payload_encode_request(&call->request, &body);
	fx->msg.id = batch->id;
	fx->msg.version = call->catalog->version;
	fx->msg.state = may_delegate;
	fx->msg.attempt = (uint32_t)ntried;
	fx->msg.remaining_us = call->deadline - calls->now;
	fx->msg.wait_us = calls->now - call->start + HOP_RTT_US;
	fx->msg.hash = call->fingerprint.content[0];
	fx->msg.hash2 = call->fingerprint.content[1];
	fx->msg.key = call->fingerprint.caller;
	fx->msg.body = str_dup(calls->fx->pool, buf_str(&body));
	fx->msg.name =
		pack_parts(calls, shard_indexes(call, parts, nparts), nparts);
	buf_free(&body);
}

static void batch_close(struct calls *calls, struct batch *batch)
{
	struct member_info *member =
		gossip_find(calls->batches->gossip, batch->addr);
	struct batch **at = &batch->call->batches;

	while (*at != batch)
		at = &(*at)->next;
	*at = batch->next;
	apr_hash_set(calls->batches->open, &batch->id, sizeof(batch->id), NULL);
	if (member && member->in_flight)
		member->in_flight--;
}

static void batch_cancel(struct calls *calls, struct batch *batch)
{
	queue_msg(calls, batch->addr, 0, MSG_ASK_CANCEL)->msg.id = batch->id;
	batch_close(calls, batch);
}

void batch_cancel_all(struct calls *calls, struct call *call)
{
	while (call->batches)
		batch_cancel(calls, call->batches);
}

/*
 * A connection may stop delivering in either direction without a reset. If
 * nothing was received from a node for CONN_DEAD_US after a batch, the
 * connections in both directions are reopened. A node that is only slow keeps
 * them, with the messages in flight.
 */
static void back_off(struct calls *calls, struct str addr)
{
	struct member_info *member = gossip_find(calls->batches->gossip, addr);
	struct flow_effect *fx;

	if (!member || calls->now < member->backoff_until)
		return;
	member->backoff_until = calls->now + BACKOFF_US;
	if (!member->unanswered_since ||
	    calls->now - member->unanswered_since < CONN_DEAD_US)
		return;
	decision_log_state(calls->decision_log, calls->now, "node is late",
			   addr, "no reply to its batches", 0);
	fx = flow_add(calls->fx, FLOW_RESET_PEER);
	fx->addr = str_dup(calls->fx->pool, addr);
	queue_msg(calls, addr, 0, MSG_RELINK);
}

/*
 * A failed node may have sent each unanswered shard to one target, and to a
 * second one only if it received the retry grant.
 */
static void batch_fail(struct calls *calls, struct batch *batch,
		       const char *why)
{
	struct call *call = batch->call;

	decision_log_batch_failed(calls->decision_log, calls->now, call,
				  batch->addr, batch->nparts, why);
	batch_cancel(calls, batch);
	calls->batches->failed(calls, call, batch->parts, batch->nparts,
			       batch->ntried +
				       (batch->retries_granted ? 2 : 1));
}

/*
 * A node that has sent any message since the batch is slow but still works on
 * its shards: querying their targets from here too would be too many requests.
 */
static bool is_silent(struct calls *calls, const struct batch *batch)
{
	const struct member_info *member =
		gossip_find(calls->batches->gossip, batch->addr);

	if (batch->replied || calls->now - batch->sent_at < SILENT_MIN_US)
		return false;
	return !member || (member->unanswered_since &&
			   member->unanswered_since <= batch->sent_at);
}

static struct batch *find_silent(struct calls *calls, const struct call *call)
{
	for (struct batch *batch = call->batches; batch; batch = batch->next)
		if (is_silent(calls, batch))
			return batch;
	return NULL;
}

void batch_fail_overdue(struct calls *calls, struct call *call)
{
	struct batch *batch;

	for (batch = call->batches; batch; batch = batch->next)
		if (!batch->replied)
			back_off(calls, batch->addr);
	/* Failing one batch may end the call and close all others. */
	while ((batch = find_silent(calls, call)))
		batch_fail(calls, batch, "no reply within the timeout");
}

static void drop_parts(struct batch *batch, const uint16_t *parts,
		       size_t nparts)
{
	size_t kept = 0;

	for (size_t i = 0; i < batch->nparts; i++) {
		bool done = false;

		for (size_t j = 0; j < nparts; j++)
			done = done || parts[j] == batch->parts[i];
		if (!done)
			batch->parts[kept++] = batch->parts[i];
	}
	batch->nparts = kept;
}

/*
 * If two nodes both queried more targets of a shard, they could exceed the
 * number that its route allows. So a node first sends an interim reply and
 * waits for the retry grant; once that is sent, this node queries no further
 * targets if the other one is lost.
 */
static void grant_retries(struct calls *calls, struct batch *batch)
{
	if (batch->retries_granted)
		return;
	batch->wants_retry_grant = true;
	if (batch->call->origin.len && !batch->call->retries_granted)
		return;
	batch->retries_granted = true;
	queue_msg(calls, batch->addr, 0, MSG_ASK_GO)->msg.id = batch->id;
}

/* Return: the batch still waits for every one of @parts. */
static bool is_awaited(const struct batch *batch, const uint16_t *parts,
		       size_t nparts)
{
	for (size_t j = 0; j < nparts; j++) {
		bool found = false;

		for (size_t i = 0; i < batch->nparts; i++)
			found = found || batch->parts[i] == parts[j];
		if (!found)
			return false;
	}
	return true;
}

/* Return: targets that may have received each of the unanswered shards. */
static size_t count_tried_targets(const struct batch *batch,
				  const struct msg *msg)
{
	if (!msg->ran)
		return batch->ntried;
	return msg->attempt ? batch->ntried + msg->attempt : CALL_TARGETS_MAX;
}

void batch_on_reply(struct calls *calls, struct str from, const struct msg *msg)
{
	struct batch *batch =
		apr_hash_get(calls->batches->open, &msg->id, sizeof(msg->id));
	size_t nparts = msg->name.len / sizeof(uint16_t);
	uint16_t *parts;
	struct call *call;

	if (!batch || !str_eq(batch->addr, from))
		return;
	call = batch->call;
	parts = apr_palloc(call->pool, msg->name.len + 1);
	if (msg->name.len)
		memcpy(parts, msg->name.ptr, msg->name.len);
	for (size_t i = 0; i < nparts; i++)
		parts[i] = find_part(call, parts[i]);
	if (!is_awaited(batch, parts, nparts)) {
		decision_log_state(
			calls->decision_log, calls->now, "unusable", from,
			"its reply is for shards that were not requested",
			msg->version);
		batch_fail(calls, batch, "its reply is unusable");
		return;
	}
	batch->replied = true;
	if (!msg->state)
		grant_retries(calls, batch);
	drop_parts(batch, parts, nparts);
	if (msg->state) {
		/* This is the last reply: remaining shards have failed. */
		batch_close(calls, batch);
		if (nparts)
			calls->batches->replied(calls, call, parts, nparts,
						msg);
		if (batch->nparts && !call->finished)
			calls->batches->failed(calls, call, batch->parts,
					       batch->nparts,
					       count_tried_targets(batch, msg));
		return;
	}
	calls->batches->replied(calls, call, parts, nparts, msg);
}

/* Returns one batch at a time, as failing it may change the table. */
static struct batch *find_batch_to(struct calls *calls, struct str addr)
{
	apr_hash_index_t *it;

	for (it = apr_hash_first(NULL, calls->batches->open); it;
	     it = apr_hash_next(it)) {
		struct batch *batch = hash_value(it);

		if (str_eq(batch->addr, addr))
			return batch;
	}
	return NULL;
}

void batch_on_lost(struct calls *calls, struct str addr)
{
	struct member_info *member = gossip_find(calls->batches->gossip, addr);
	struct batch *batch = find_batch_to(calls, addr);

	if (member)
		member->backoff_until = calls->now + BACKOFF_US;
	for (; batch; batch = find_batch_to(calls, addr))
		batch_fail(calls, batch, "its connection broke");
}

/* Node that the shards are delegated to. */

static void send_refusal(struct calls *calls, struct str from,
			 uint64_t incarnation, uint64_t id)
{
	struct flow_effect *fx =
		queue_msg(calls, from, incarnation, MSG_ASK_REPLY);

	fx->msg.id = id;
	fx->msg.state = 1;
}

static const struct route *resolve_route(struct catalog *catalog,
					 const struct msg *msg,
					 struct flow_request *request,
					 apr_pool_t *pool)
{
	size_t nparts = msg->name.len / sizeof(uint16_t);
	const struct route *route;

	/* Indexes of shards are only valid within one version. */
	if (!catalog || catalog->version != msg->version ||
	    payload_decode_request(msg->body, pool, request))
		return NULL;
	route = catalog_find_route(catalog, request->host, request->uri);
	if (!route)
		return NULL;
	for (size_t i = 0; i < nparts; i++) {
		uint16_t part;

		memcpy(&part, msg->name.ptr + i * sizeof(part), sizeof(part));
		if (part >= route->nshards)
			return NULL;
	}
	return route;
}

void batch_on_request(struct calls *calls, struct catalog *catalog,
		      struct str from, uint64_t incarnation,
		      const struct msg *msg, int64_t delay_us)
{
	struct fingerprint fingerprint = { { msg->hash, msg->hash2 },
					   msg->key };
	int64_t remaining_us = msg->remaining_us - delay_us;
	struct flow_request request;
	const struct route *route;
	struct call *call;
	apr_pool_t *pool;

	apr_pool_create(&pool, calls->pool);
	route = resolve_route(catalog, msg, &request, pool);
	/*
	 * After a connection was interrupted or a node was paused, requests
	 * arrive that are seconds old. Nobody waits for them, so targets must
	 * not run them. A request that is suspect here, but not yet at its
	 * origin, is refused too: the origin runs its trial.
	 */
	if (!route || remaining_us <= 0 || !calls_accept(calls, route) ||
	    poison_verdict(calls->poison, &fingerprint) != POISON_NONE) {
		send_refusal(calls, from, incarnation, msg->id);
		apr_pool_destroy(pool);
		return;
	}
	request.time_left_us = remaining_us;
	call = call_create(calls, delegated_call_bit | ++calls->next_id,
			   &request, catalog, route);
	call->fingerprint = fingerprint;
	call->start -= msg->wait_us + delay_us;
	call->deadline = calls->now + remaining_us;
	call->origin = str_dup(call->pool, from);
	call->origin_incarnation = incarnation;
	call->origin_id = msg->id;
	call->nrequested = msg->name.len / sizeof(uint16_t);
	call->requested_shards = apr_palloc(call->pool, msg->name.len + 1);
	memcpy(call->requested_shards, msg->name.ptr, msg->name.len);
	call->may_delegate = msg->state;
	call->ntried = msg->attempt < CALL_TARGETS_MAX ? msg->attempt
						       : CALL_TARGETS_MAX;
	call->kind = calls->delegated_call_kind;
	call->kind->begin(calls, call);
	apr_pool_destroy(pool);
}

/*
 * A node that restarts counts its ids anew, so that the incarnation tells its
 * calls from those of the process before.
 *
 * Return: the call to which the node at @from gave @id, or NULL.
 */
static struct call *find_delegated_call(struct calls *calls, struct str from,
					uint64_t incarnation, uint64_t id)
{
	apr_hash_index_t *it;

	for (it = apr_hash_first(NULL, calls->open); it;
	     it = apr_hash_next(it)) {
		struct call *call = hash_value(it);

		if (call->origin_id == id &&
		    call->origin_incarnation == incarnation &&
		    str_eq(call->origin, from))
			return call;
	}
	return NULL;
}

void batch_on_cancel(struct calls *calls, struct str from, uint64_t incarnation,
		     const struct msg *msg)
{
	struct call *call =
		find_delegated_call(calls, from, incarnation, msg->id);

	if (call)
		call_abandon(calls, call);
}

void batch_on_retry_grant(struct calls *calls, struct str from,
			  uint64_t incarnation, const struct msg *msg)
{
	struct call *call =
		find_delegated_call(calls, from, incarnation, msg->id);

	if (!call || call->retries_granted)
		return;
	call->retries_granted = true;
	for (struct batch *batch = call->batches; batch; batch = batch->next)
		if (batch->wants_retry_grant)
			grant_retries(calls, batch);
	call->kind->review(calls, call);
}

/*
 * A suspect request is returned to its origin before all attempts are used, so
 * that the origin can continue with it if a trial shows it harmless.
 */
static uint32_t tried_targets_to_report(const struct calls *calls,
					const struct call *call)
{
	size_t max_tried = call->ntried + 1;

	if (poison_verdict(calls->poison, &call->fingerprint) == POISON_NONE)
		return 0;
	for (size_t i = 0; i < call->nparts; i++)
		if (call->parts[i].ntried > max_tried)
			max_tried = call->parts[i].ntried;
	return (uint32_t)(max_tried - call->ntried);
}

void batch_send_reply(struct calls *calls, const struct call *call,
		      const uint16_t *parts, size_t nparts, struct str records,
		      struct str signatures, bool last)
{
	struct flow_effect *fx = queue_msg(
		calls, call->origin, call->origin_incarnation, MSG_ASK_REPLY);

	fx->msg.id = call->origin_id;
	fx->msg.state = last;
	fx->msg.ran = true;
	fx->msg.attempt = last ? tried_targets_to_report(calls, call) : 0;
	fx->msg.name = pack_parts(calls, parts, nparts);
	fx->msg.body = str_dup(calls->fx->pool, records);
	fx->msg.text = str_dup(calls->fx->pool, signatures);
}
