#include "batch.h"

#include <stdlib.h>

#include "decision_log.h"
#include "payload.h"
#include "xmalloc.h"

enum {
	/* The way to the other node and back, and its wait for a processor. */
	HOP_US = 3000,
	/* A node that did not answer gets no shards for this long. */
	REST_US = 500000,
	/* Time for the first word of a node that was asked as the second. */
	SILENT_LEAST_US = 25000,
	/* Without any word this long after a question its connection is dead.
	 */
	SILENT_US = 150000,
};

/* Ids of calls that other nodes asked for; those of callers are smaller. */
static const uint64_t asked_bit = 1ULL << 62;

void batch_book_init(struct batch_book *book, apr_pool_t *pool,
		     struct gossip *gossip, struct spread *spread)
{
	*book = (struct batch_book){ .gossip = gossip, .spread = spread };
	book->open = hash_make(pool);
}

static struct flow_effect *tell(struct calls *calls, struct str addr,
				uint64_t incarnation, uint32_t kind)
{
	struct flow_effect *fx = flow_add(calls->fx, FLOW_PEER_SEND);

	fx->addr = str_dup(calls->fx->pool, addr);
	fx->incarnation = incarnation;
	fx->msg.kind = kind;
	return fx;
}

/*
 * Between nodes shards are named by their place in the route. A call for
 * another node has places of its own, as it may be for a few of them only.
 */
static uint16_t *name_shards(const struct call *call, const uint16_t *parts,
			     size_t nparts)
{
	uint16_t *shards =
		apr_palloc(call->pool, (nparts + 1) * sizeof(*shards));

	for (size_t i = 0; i < nparts; i++)
		shards[i] = call->wanted ? call->wanted[parts[i]] : parts[i];
	return shards;
}

/* Return: the place in the call, or UINT16_MAX when it has no such shard. */
static uint16_t find_part(const struct call *call, uint16_t shard)
{
	if (!call->wanted)
		return shard;
	for (size_t i = 0; i < call->nwanted; i++)
		if (call->wanted[i] == shard)
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

/* Asking. */

void batch_send(struct calls *calls, struct call *call,
		struct member_info *member, const uint16_t *parts,
		size_t nparts, bool may_hand_on, size_t tried)
{
	struct flow_effect *fx = tell(calls, member->addr, 0, MSG_ASK);
	struct batch *batch = apr_pcalloc(call->pool, sizeof(*batch));
	struct buf body = { 0 };

	batch->id = ++calls->next_id;
	batch->call = call;
	batch->addr = str_dup(call->pool, member->addr);
	batch->sent_at = calls->now;
	batch->parts = apr_palloc(call->pool, nparts * sizeof(*parts));
	memcpy(batch->parts, parts, nparts * sizeof(*parts));
	batch->nparts = nparts;
	batch->tried = tried;
	batch->next = call->batches;
	call->batches = batch;
	apr_hash_set(calls->batches->open, &batch->id, sizeof(batch->id),
		     batch);
	metric_add(&calls->dlog->metrics, METRIC_BATCHES);
	member->in_flight++;
	if (!member->unanswered_since)
		member->unanswered_since = calls->now;
	payload_encode_request(&call->request, &body);
	fx->msg.id = batch->id;
	fx->msg.version = call->catalog->version;
	fx->msg.state = may_hand_on;
	fx->msg.attempt = (uint32_t)tried;
	fx->msg.remaining_us = call->give_up_at - calls->now;
	fx->msg.wait_us = calls->now - call->start + HOP_US;
	fx->msg.hash = call->print.content[0];
	fx->msg.hash2 = call->print.content[1];
	fx->msg.key = call->print.caller;
	fx->msg.body = str_dup(calls->fx->pool, buf_str(&body));
	fx->msg.name =
		pack_parts(calls, name_shards(call, parts, nparts), nparts);
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
	tell(calls, batch->addr, 0, MSG_ASK_CANCEL)->msg.id = batch->id;
	batch_close(calls, batch);
}

void batch_cancel_all(struct calls *calls, struct call *call)
{
	while (call->batches)
		batch_cancel(calls, call->batches);
}

/*
 * Connections may go silent for good, in either direction, without a reset. If
 * nothing at all has come from a node since it was first asked, both are opened
 * anew; a node that is merely slow keeps them, with what is under way there.
 */
static void rest(struct calls *calls, struct str addr)
{
	struct member_info *member = gossip_find(calls->batches->gossip, addr);
	struct flow_effect *fx;

	if (!member || calls->now < member->backoff_until)
		return;
	member->backoff_until = calls->now + REST_US;
	if (!member->unanswered_since ||
	    calls->now - member->unanswered_since < SILENT_US)
		return;
	decision_log_state(calls->dlog, calls->now, "node is late", addr,
			   "it has not answered for its shards", 0);
	fx = flow_add(calls->fx, FLOW_RESET_PEER);
	fx->addr = str_dup(calls->fx->pool, addr);
	tell(calls, addr, 0, MSG_RELINK);
}

/*
 * What a node has not answered for when it is lost, it may have sent once, and
 * a second time only if it was told that it may.
 */
static void batch_fail(struct calls *calls, struct batch *batch,
		       const char *why)
{
	struct call *call = batch->call;

	decision_log_batch_returned(calls->dlog, calls->now, call, batch->addr,
				    batch->nparts, why);
	batch_cancel(calls, batch);
	calls->batches->failed(calls, call, batch->parts, batch->nparts,
			       batch->tried + (batch->go ? 2 : 1));
}

/*
 * A node that has been heard of meanwhile is slow but at work on the shards:
 * asking their targets from here as well would ask too many of them.
 */
static bool is_silent(struct calls *calls, const struct batch *batch)
{
	const struct member_info *member =
		gossip_find(calls->batches->gossip, batch->addr);

	if (batch->replied || calls->now - batch->sent_at < SILENT_LEAST_US)
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

void batch_overdue(struct calls *calls, struct call *call)
{
	struct batch *batch;

	for (batch = call->batches; batch; batch = batch->next)
		if (!batch->replied)
			rest(calls, batch->addr);
	/* Failing one may end the call, and with it all the others. */
	while ((batch = find_silent(calls, call)))
		batch_fail(calls, batch, "no word of it in time");
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
 * Two nodes that both ask further targets of a shard would ask more of them
 * than its route allows. So a node first sends word and waits for this one's,
 * which from then on asks no more targets itself should the other be lost.
 */
static void grant(struct calls *calls, struct batch *batch)
{
	if (batch->go)
		return;
	batch->wants_go = true;
	if (batch->call->asker.len && !batch->call->go)
		return;
	batch->go = true;
	tell(calls, batch->addr, 0, MSG_ASK_GO)->msg.id = batch->id;
}

/* Every part of a reply must be one that this batch still waits for. */
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

/* Of each shard that the node did not answer for, however many it tells of. */
static size_t tries_used(const struct batch *batch, const struct msg *msg)
{
	if (!msg->ran)
		return batch->tried;
	return msg->attempt ? batch->tried + msg->attempt : CALL_TRIES_MAX;
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
			calls->dlog, calls->now, "unusable", from,
			"it answers for shards that it was not asked for",
			msg->version);
		batch_fail(calls, batch, "its answer is unusable");
		return;
	}
	batch->replied = true;
	if (!msg->state)
		grant(calls, batch);
	drop_parts(batch, parts, nparts);
	if (msg->state) {
		/* The last word; what is left will not come from there. */
		batch_close(calls, batch);
		if (nparts)
			calls->batches->replied(calls, call, parts, nparts,
						msg);
		if (batch->nparts && !call->over)
			calls->batches->failed(calls, call, batch->parts,
					       batch->nparts,
					       tries_used(batch, msg));
		return;
	}
	calls->batches->replied(calls, call, parts, nparts, msg);
}

/* Finds one open batch at @addr, as failing one may change the table. */
static struct batch *find_at(struct calls *calls, struct str addr)
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
	struct batch *batch = find_at(calls, addr);

	if (member)
		member->backoff_until = calls->now + REST_US;
	for (; batch; batch = find_at(calls, addr))
		batch_fail(calls, batch, "its connection broke");
}

/* Asked. */

static void refuse(struct calls *calls, struct str from, uint64_t incarnation,
		   uint64_t id)
{
	struct flow_effect *fx = tell(calls, from, incarnation, MSG_ASK_REPLY);

	fx->msg.id = id;
	fx->msg.state = 1;
}

static const struct route *route_of(struct catalog *catalog,
				    const struct msg *msg,
				    struct flow_request *request,
				    apr_pool_t *pool)
{
	size_t nparts = msg->name.len / sizeof(uint16_t);
	const struct route *route;

	/* Indexes of shards mean the same in the same version only. */
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

void batch_asked(struct calls *calls, struct catalog *catalog, struct str from,
		 uint64_t incarnation, const struct msg *msg, int64_t late_us)
{
	struct fingerprint print = { { msg->hash, msg->hash2 }, msg->key };
	int64_t remaining_us = msg->remaining_us - late_us;
	struct flow_request request;
	const struct route *route;
	struct call *call;
	apr_pool_t *pool;

	apr_pool_create(&pool, calls->pool);
	route = route_of(catalog, msg, &request, pool);
	/*
	 * A connection that was cut, or a node that was frozen, brings
	 * questions of seconds ago: nobody waits for them, and targets must not
	 * work on. One that is suspect here, and was not yet where it came
	 * from, is tried there.
	 */
	if (!route || remaining_us <= 0 ||
	    poison_verdict(calls->poison, &print) != POISON_NONE) {
		refuse(calls, from, incarnation, msg->id);
		apr_pool_destroy(pool);
		return;
	}
	request.time_left_us = remaining_us;
	call = call_create(calls, asked_bit | ++calls->next_id, &request,
			   catalog, route);
	call->print = print;
	call->start -= msg->wait_us + late_us;
	call->give_up_at = calls->now + remaining_us;
	call->asker = str_dup(call->pool, from);
	call->asker_incarnation = incarnation;
	call->asker_id = msg->id;
	call->nwanted = msg->name.len / sizeof(uint16_t);
	call->wanted = apr_palloc(call->pool, msg->name.len + 1);
	memcpy(call->wanted, msg->name.ptr, msg->name.len);
	call->may_hand_on = msg->state;
	call->tried =
		msg->attempt < CALL_TRIES_MAX ? msg->attempt : CALL_TRIES_MAX;
	call->kind = calls->shards_kind;
	call->kind->begin(calls, call);
	apr_pool_destroy(pool);
}

/* The call that the node at @from knows by @id, or NULL. */
static struct call *find_asked(struct calls *calls, struct str from,
			       uint64_t id)
{
	apr_hash_index_t *it;

	for (it = apr_hash_first(NULL, calls->open); it;
	     it = apr_hash_next(it)) {
		struct call *call = hash_value(it);

		if (call->asker_id == id && str_eq(call->asker, from))
			return call;
	}
	return NULL;
}

void batch_cancelled(struct calls *calls, struct str from,
		     const struct msg *msg)
{
	struct call *call = find_asked(calls, from, msg->id);

	if (call)
		call_abandon(calls, call);
}

void batch_on_go(struct calls *calls, struct str from, const struct msg *msg)
{
	struct call *call = find_asked(calls, from, msg->id);

	if (!call || call->go)
		return;
	call->go = true;
	for (struct batch *batch = call->batches; batch; batch = batch->next)
		if (batch->wants_go)
			grant(calls, batch);
	call->kind->review(calls, call);
}

/*
 * A suspect request goes back to the node that has its caller before all tries
 * are used: were it harmless, that node can go on with it after a trial.
 */
static uint32_t tries_told(const struct calls *calls, const struct call *call)
{
	size_t most = call->tried + 1;

	if (poison_verdict(calls->poison, &call->print) == POISON_NONE)
		return 0;
	for (size_t i = 0; i < call->nparts; i++)
		if (call->parts[i].ntried > most)
			most = call->parts[i].ntried;
	return (uint32_t)(most - call->tried);
}

void batch_tell(struct calls *calls, const struct call *call,
		const uint16_t *parts, size_t nparts, struct str records,
		struct str signatures, bool last)
{
	struct flow_effect *fx = tell(calls, call->asker,
				      call->asker_incarnation, MSG_ASK_REPLY);

	fx->msg.id = call->asker_id;
	fx->msg.state = last;
	fx->msg.ran = true;
	fx->msg.attempt = last ? tries_told(calls, call) : 0;
	fx->msg.name = pack_parts(calls, parts, nparts);
	fx->msg.body = str_dup(calls->fx->pool, records);
	fx->msg.text = str_dup(calls->fx->pool, signatures);
}
