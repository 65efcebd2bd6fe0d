#include "mesh.h"

#include <stdio.h>
#include <stdlib.h>

#include "../front.h"
#include "../member.h"
#include "../wire.h"
#include "../xmalloc.h"

enum delivery_kind {
	DELIVER_FRAME,
	DELIVER_TICK,
	DELIVER_DOC,
	DELIVER_REQUEST, /* a request reaches its target */
	DELIVER_SERVICE_DONE, /* a target has finished a request */
	DELIVER_REPLY, /* a target's reply reaches the node */
	DELIVER_PEER_LOST,
	DELIVER_CALL,
};

/** struct delivery - scheduled event */
struct delivery {
	int64_t at;
	uint64_t seq;
	enum delivery_kind kind;
	int node;
	uint64_t incarnation; /* of the receiving node; 0 matches any */
	int from;
	enum doc_kind doc;
	enum event_type event;
	uint64_t id; /* of the request, or index of the answer */
	struct buf bytes;
};

/** struct request - request to a target, and later its reply */
struct request {
	uint64_t number;
	uint64_t fetch_id; /* id of the FX_FETCH effect */
	uint64_t job;
	int node;
	uint64_t incarnation;
	enum fetch_kind kind;
	struct mesh_target *target;
	uint32_t shard;
	uint64_t version;
	struct buf terms;
	struct buf body;
	uint64_t boot; /* boot id of the target when it was sent */
	int64_t timeout_at; /* when the shell would report a timeout */
	bool running;
	struct parsed_reply fetched;
	struct buf rows;
};

enum {
	RESTART_US = 50000, /* no connections are accepted meanwhile */
	FETCH_GRACE_US = 2000000
};

static bool is_earlier(const struct delivery *a, const struct delivery *b)
{
	return a->at != b->at ? a->at < b->at : a->seq < b->seq;
}

static void swap(struct delivery *a, struct delivery *b)
{
	struct delivery tmp = *a;

	*a = *b;
	*b = tmp;
}

static void push(struct mesh *mesh, struct delivery delivery)
{
	size_t i = mesh->count++;

	if (mesh->count > mesh->cap) {
		mesh->cap = mesh->cap ? mesh->cap * 2 : 1024;
		mesh->heap =
			xrealloc(mesh->heap, mesh->cap * sizeof(*mesh->heap));
	}
	delivery.seq = mesh->seq++;
	mesh->heap[i] = delivery;
	while (i && is_earlier(&mesh->heap[i], &mesh->heap[(i - 1) / 2])) {
		swap(&mesh->heap[i], &mesh->heap[(i - 1) / 2]);
		i = (i - 1) / 2;
	}
}

static struct delivery pop(struct mesh *mesh)
{
	struct delivery first = mesh->heap[0];
	size_t i = 0;

	mesh->heap[0] = mesh->heap[--mesh->count];
	for (;;) {
		size_t least = i;

		for (size_t c = 2 * i + 1; c <= 2 * i + 2; c++)
			if (c < mesh->count &&
			    is_earlier(&mesh->heap[c], &mesh->heap[least]))
				least = c;
		if (least == i)
			return first;
		swap(&mesh->heap[i], &mesh->heap[least]);
		i = least;
	}
}

static bool chance(struct mesh *mesh, int per_mille)
{
	return per_mille && (int)rng_below(&mesh->rng, 1000) < per_mille;
}

static int64_t network_delay(struct mesh *mesh, struct str from, struct str to)
{
	int64_t us = mesh->latency_us;

	if (!str_eq(from, to))
		us += mesh->far_us;
	if (mesh->jitter_us)
		us += (int64_t)rng_below(&mesh->rng, (uint64_t)mesh->jitter_us);
	return us;
}

/* Delay between a front in a random failure domain and another process. */
static int64_t front_network_delay(struct mesh *mesh)
{
	bool same_domain = rng_below(&mesh->rng, mesh->fleet->ndomains) == 0;

	return mesh->latency_us + (same_domain ? 0 : mesh->far_us);
}

static int node_index(const struct mesh *mesh, struct str addr)
{
	for (int i = 0; i < mesh->nnodes; i++)
		if (str_eq(addr, str_of(mesh->nodes[i].addr)))
			return i;
	return -1;
}

/* Targets. */

static struct request *request_find(struct mesh *mesh, uint64_t number)
{
	return apr_hash_get(mesh->requests, &number, sizeof(number));
}

static void request_free(struct mesh *mesh, struct request *request)
{
	apr_hash_set(mesh->requests, &request->number, sizeof(request->number),
		     NULL);
	buf_free(&request->terms);
	buf_free(&request->body);
	buf_free(&request->rows);
	free(request);
}

static void send_reply(struct mesh *mesh, struct request *request)
{
	struct mesh_node *node = &mesh->nodes[request->node];

	request->fetched.boot = request->target->boot;
	request->fetched.load = request->target->busy;
	request->fetched.draining = request->target->draining;
	request->fetched.job = request->job;

	int64_t delay_us = network_delay(
		mesh, request->target->config->domain->name, node->opt.domain);

	if (mesh->permits && request->kind == FETCH_LEAF)
		delay_us = front_network_delay(mesh);
	push(mesh, (struct delivery){ .at = mesh->now + delay_us,
				      .kind = DELIVER_REPLY,
				      .node = request->node,
				      .incarnation = request->incarnation,
				      .id = request->number });
}

static void finish_request(struct mesh *mesh, struct request *request,
			   enum fetch_result result, int status)
{
	request->fetched.result = result;
	request->fetched.status = status;
	send_reply(mesh, request);
}

static void count_run(struct mesh *mesh, const struct request *request)
{
	uint64_t key = str_hash(buf_str(&request->body));
	uint64_t *pair = apr_hash_get(mesh->runs, &key, sizeof(key));

	if (!pair) {
		pair = apr_pcalloc(mesh->pool, 2 * sizeof(*pair));
		pair[0] = key;
		apr_hash_set(mesh->runs, &pair[0], sizeof(key), pair);
	}
	pair[1]++;
}

uint64_t mesh_entry_runs(struct mesh *mesh, const char *entry)
{
	uint64_t key = str_hash(str_of(entry));
	uint64_t *pair = apr_hash_get(mesh->runs, &key, sizeof(key));

	return pair ? pair[1] : 0;
}

static void start_service(struct mesh *mesh, struct request *request)
{
	struct mesh_target *target = request->target;
	int64_t mean =
		target->service_us ? target->service_us : mesh->service_us;
	int64_t time =
		mean / 2 + (int64_t)rng_below(&mesh->rng, (uint64_t)mean + 1);

	if (chance(mesh, mesh->straggle_pm))
		time *= mesh->straggle_factor;
	request->running = true;
	target->busy++;
	target->started++;
	target->last_start = mesh->now;
	if (target->busy > target->peak)
		target->peak = target->busy;
	if (mesh->now < target->cold_until) {
		time *= 3;
		if (target->busy > target->peak_cold)
			target->peak_cold = target->busy;
	}
	if (request->kind == FETCH_ENTRY)
		count_run(mesh, request);
	push(mesh, (struct delivery){ .at = mesh->now + time,
				      .kind = DELIVER_SERVICE_DONE,
				      .id = request->number });
}

/* A cold target over its limit crashes: all its running requests break. */
static void crash_overloaded(struct mesh *mesh, struct mesh_target *target)
{
	target->overruns++;
	mesh_cold(mesh, target);
}

void mesh_cold(struct mesh *mesh, struct mesh_target *target)
{
	apr_hash_index_t *it;

	target->boot = rng_next(&mesh->rng) | 1;
	target->up_at = mesh->now + RESTART_US;
	target->cold_until = target->up_at + mesh->cold_us;
	target->busy = 0;
	target->queue_len = 0;
	for (it = apr_hash_first(mesh->pool, mesh->requests); it;
	     it = apr_hash_next(it)) {
		void *value;

		apr_hash_this(it, NULL, NULL, &value);

		struct request *request = value;

		if (request->target == target && request->running) {
			request->running = false;
			finish_request(mesh, request, FETCH_BROKEN, 0);
		}
	}
}

static void cancel(struct mesh *mesh, struct mesh_target *target, int node,
		   uint64_t job)
{
	for (apr_hash_index_t *it = apr_hash_first(mesh->pool, mesh->requests);
	     it; it = apr_hash_next(it)) {
		void *value;

		apr_hash_this(it, NULL, NULL, &value);

		struct request *request = value;

		if (request->target != target || request->node != node ||
		    request->job != job || !request->running ||
		    request->kind != FETCH_LEAF)
			continue;
		request->running = false;
		target->busy--;
		finish_request(mesh, request, FETCH_OK, 499);
		return;
	}
}

static void start_queued(struct mesh *mesh, struct mesh_target *target)
{
	while (target->queue_len && target->busy < target->config->slots) {
		struct request *request = request_find(mesh, target->queue[0]);

		target->queue_len--;
		memmove(target->queue, target->queue + 1,
			(size_t)target->queue_len * sizeof(uint64_t));
		if (request)
			start_service(mesh, request);
	}
}

static void target_receive(struct mesh *mesh, struct request *request)
{
	struct mesh_target *target = request->target;
	bool cold = mesh->now < target->cold_until;

	if (target->hangs) {
		if (request->kind == FETCH_CANCEL) {
			request_free(mesh, request);
			return;
		}
		request->fetched.result = FETCH_TIMEOUT;
		target->started += request->kind != FETCH_HEALTH;
		push(mesh,
		     (struct delivery){ .at = request->timeout_at,
					.kind = DELIVER_REPLY,
					.node = request->node,
					.incarnation = request->incarnation,
					.id = request->number });
	} else if (request->kind == FETCH_CANCEL) {
		cancel(mesh, target, request->node, request->job);
		start_queued(mesh, target);
		request_free(mesh, request);
	} else if (target->dead || mesh->now < target->up_at) {
		finish_request(mesh, request, FETCH_REFUSED, 0);
	} else if (request->kind == FETCH_HEALTH) {
		finish_request(mesh, request, FETCH_OK, 200);
	} else if (target->closes_without_run && request->kind == FETCH_ENTRY) {
		finish_request(mesh, request, FETCH_BROKEN, 0);
	} else if (request->boot != target->boot) {
		/* It was in flight on a connection to the old process. */
		finish_request(mesh, request, FETCH_BROKEN, 0);
	} else if (target->draining) {
		finish_request(mesh, request, FETCH_OK, 503);
	} else if (request->kind == FETCH_LEAF &&
		   target->lacks == request->version) {
		finish_request(mesh, request, FETCH_OK, 409);
	} else if (cold && target->busy >= mesh->cold_max_inflight) {
		if (target->busy + 1 > target->peak_cold)
			target->peak_cold = target->busy + 1;
		request->running = false;
		crash_overloaded(mesh, target);
		finish_request(mesh, request, FETCH_BROKEN, 0);
	} else if (target->busy < target->config->slots) {
		start_service(mesh, request);
	} else if (target->queue_len < 64) {
		target->queue[target->queue_len++] = request->number;
	} else {
		finish_request(mesh, request, FETCH_OK, 503);
	}
}

static bool is_deadly(const struct request *request)
{
	return request->kind == FETCH_LEAF &&
	       str_eq(buf_str(&request->terms), STR(MESH_DEADLY));
}

static void service_done(struct mesh *mesh, struct request *request)
{
	struct mesh_target *target = request->target;

	if (!request->running)
		return;
	if (is_deadly(request)) {
		mesh->crashes++;
		mesh_cold(mesh, target);
		return;
	}
	request->running = false;
	target->busy--;
	start_queued(mesh, target);
	if (target->closes_after_run) {
		finish_request(mesh, request, FETCH_BROKEN, 0);
		return;
	}
	if (request->kind == FETCH_ENTRY && target->never_replies) {
		finish_request(mesh, request, FETCH_TIMEOUT, 0);
		return;
	}
	request->fetched.shard = request->shard;
	request->fetched.version = target->reply_version ? target->reply_version
							 : request->version;
	if (request->kind == FETCH_ENTRY)
		buf_printf(&request->rows, "{\"recorded\":true}");
	else
		buf_printf(&request->rows,
			   "[{\"shard\":%u,\"version\":%llu,"
			   "\"terms\":\"%.*s\"}]",
			   request->shard,
			   (unsigned long long)request->fetched.version,
			   STR_ARG(buf_str(&request->terms)));
	finish_request(mesh, request, FETCH_OK, 200);
}

static void deliver_reply(struct mesh *mesh, struct request *request)
{
	struct parsed_reply fetched = request->fetched;

	fetched.body = buf_str(&request->rows);
	mesh_feed(mesh, request->node,
		  (struct event){ .type = EV_FETCH_DONE,
				  .id = request->fetch_id,
				  .parsed_reply = &fetched });
	request_free(mesh, request);
}

/* Effects. */

static void do_fetch(struct mesh *mesh, int i, const struct effect *fx)
{
	struct mesh_node *node = &mesh->nodes[i];
	struct request *request = xcalloc(1, sizeof(*request));
	struct mesh_target *target = NULL;

	for (size_t t = 0; t < mesh->ntargets; t++)
		if (str_eq(mesh->targets[t].config->addr, fx->addr))
			target = &mesh->targets[t];
	if (!target)
		abort();
	request->number = ++mesh->seq;
	request->fetch_id = fx->id;
	request->job = fx->job;
	request->node = i;
	request->incarnation = node->opt.incarnation;
	request->kind = fx->fetch;
	request->target = target;
	request->boot = target->boot;
	request->timeout_at = mesh->now + fx->wait_us +
			      (fx->fetch == FETCH_HEALTH ? 0 : FETCH_GRACE_US);
	request->shard = fx->shard;
	request->version = fx->version;
	buf_str_add(&request->terms, fx->text);
	buf_str_add(&request->body, fx->body);
	apr_hash_set(mesh->requests, &request->number, sizeof(request->number),
		     request);
	int64_t delay_us = network_delay(mesh, node->opt.domain,
					 target->config->domain->name);

	if (mesh->permits && request->kind == FETCH_LEAF)
		delay_us =
			front_network_delay(mesh) + front_network_delay(mesh);
	push(mesh, (struct delivery){ .at = mesh->now + delay_us,
				      .kind = DELIVER_REQUEST,
				      .id = request->number });
}

static void do_send(struct mesh *mesh, int i, const struct effect *fx)
{
	struct mesh_node *node = &mesh->nodes[i];
	int to = node_index(mesh, fx->addr);
	struct msg msg = fx->msg;
	struct frame frame = {
		.from = str_of(node->addr),
		.from_incarnation = node->opt.incarnation,
		.to_incarnation = fx->incarnation,
		.msgs = &msg,
		.count = 1,
	};
	int copies = chance(mesh, mesh->dup_pm) ? 2 : 1;

	if (to < 0 || mesh->cut[i][to] || chance(mesh, mesh->drop_pm))
		return;
	if (!mesh->nodes[to].up) {
		push(mesh,
		     (struct delivery){ .at = mesh->now + mesh->latency_us,
					.kind = DELIVER_PEER_LOST,
					.node = i,
					.incarnation = node->opt.incarnation,
					.from = to });
		return;
	}
	while (copies--) {
		int64_t delay_us = network_delay(mesh, node->opt.domain,
						 mesh->nodes[to].opt.domain);

		/* The front has the reply already, see @permits. */
		if (mesh->permits && msg.kind == MSG_LEAF_REPLY)
			delay_us = 0;

		struct delivery delivery = {
			.at = mesh->now + delay_us,
			.kind = DELIVER_FRAME,
			.node = to,
			.from = i,
		};

		frame_encode(&frame, &delivery.bytes);
		push(mesh, delivery);
	}
}

static void do_read_doc(struct mesh *mesh, int i, const struct effect *fx)
{
	struct mesh_node *node = &mesh->nodes[i];

	push(mesh, (struct delivery){ .at = mesh->now + mesh->latency_us +
					    (fx->wait_us ? fx->wait_us : 0),
				      .kind = DELIVER_DOC,
				      .node = i,
				      .incarnation = node->opt.incarnation,
				      .doc = fx->doc });
}

static void do_answer(struct mesh *mesh, const struct effect *fx)
{
	struct mesh_answer *answer = &mesh->answers[fx->id];

	answer->count++;
	answer->at = mesh->now;
	answer->status = fx->status;
	buf_str_add(&answer->body, fx->body);
}

static void apply_effects(struct mesh *mesh, int i)
{
	struct mesh_node *node = &mesh->nodes[i];

	for (size_t n = 0; n < node->fx.count; n++) {
		const struct effect *fx = &node->fx.list[n];

		switch (fx->type) {
		case FX_SEND:
			do_send(mesh, i, fx);
			break;
		case FX_FETCH:
			do_fetch(mesh, i, fx);
			break;
		case FX_READ_DOC:
			do_read_doc(mesh, i, fx);
			break;
		case FX_ANSWER:
			do_answer(mesh, fx);
			break;
		case FX_STOP:
			node->stopped = true;
			break;
		case FX_AUDIT:
			break;
		}
	}
	if (mesh->trace)
		effects_dump(&node->fx, mesh->trace);
	effects_clear(&node->fx);
	if (node->stopped)
		mesh_kill(mesh, i);
}

static void schedule_tick(struct mesh *mesh, int i)
{
	struct mesh_node *node = &mesh->nodes[i];
	int64_t at = node_wake_at(node->node);

	if (at < mesh->now)
		at = mesh->now;
	if (node->tick_at > mesh->now && node->tick_at <= at)
		return;
	node->tick_at = at;
	push(mesh, (struct delivery){ .at = at,
				      .kind = DELIVER_TICK,
				      .node = i,
				      .incarnation = node->opt.incarnation });
}

void mesh_feed(struct mesh *mesh, int i, struct event event)
{
	struct mesh_node *node = &mesh->nodes[i];

	if (!node->up)
		return;
	event.now = mesh->now;
	node_reduce(node->node, &event, &node->fx);
	for (int kind = 0; kind < DOC_KINDS; kind++) {
		const struct node *n = node->node;
		uint64_t version = kind == DOC_LISTS
					   ? (n->lists ? n->lists->version : 0)
					   : (n->fleet ? n->fleet->version : 0);

		/* Invariant, checked after every event. */
		if (version < node->doc_versions[kind])
			mesh->fault = "a document's version decreased";
		node->doc_versions[kind] = version;
	}
	apply_effects(mesh, i);
	if (node->up)
		schedule_tick(mesh, i);
}

/* Running. */

static void deliver_frame(struct mesh *mesh, struct delivery *delivery)
{
	struct mesh_node *node = &mesh->nodes[delivery->node];
	struct frame frame;
	struct error err;

	if (frame_decode(buf_str(&delivery->bytes), &frame, &err) <= 0)
		abort();
	if (!frame.to_incarnation ||
	    frame.to_incarnation == node->opt.incarnation)
		mesh_feed(mesh, delivery->node,
			  (struct event){ .type = EV_MSG,
					  .from = frame.from,
					  .incarnation = frame.from_incarnation,
					  .msg = &frame.msgs[0] });
	frame_free(&frame);
}

static struct str platform_doc(const struct mesh *mesh,
			       const struct delivery *delivery)
{
	const struct mesh_node *node = &mesh->nodes[delivery->node];
	const struct buf *docs =
		node->reads_stale_docs ? mesh->old_docs : mesh->docs;

	return buf_str(&docs[delivery->doc]);
}

static void deliver_doc(struct mesh *mesh, const struct delivery *delivery)
{
	struct mesh_node *node = &mesh->nodes[delivery->node];
	struct str body = delivery->bytes.len ? buf_str(&delivery->bytes)
					      : platform_doc(mesh, delivery);
	struct event event = { .doc = delivery->doc, .body = body };
	const struct node *n = node->node;
	uint64_t hash = delivery->doc == DOC_LISTS
				? (n->lists ? n->lists->hash : 0)
				: (n->fleet ? n->fleet->hash : 0);

	event.type = hash == str_hash(body) ? EV_DOC_UNCHANGED : EV_DOC;
	if (mesh->platform_down || node->platform_cut)
		event.type = EV_DOC_FAILED;
	mesh_feed(mesh, delivery->node, event);
}

static bool deliver_to_node(struct mesh *mesh, struct delivery *delivery)
{
	struct mesh_node *node = &mesh->nodes[delivery->node];

	if (!node->up || (delivery->incarnation &&
			  delivery->incarnation != node->opt.incarnation))
		return false;
	/* A resumed process finds in its sockets what arrived during the
	 * pause, with the content of that time. */
	if (mesh->now < node->paused_until) {
		if (delivery->kind == DELIVER_DOC && !delivery->bytes.len)
			buf_str_add(&delivery->bytes,
				    platform_doc(mesh, delivery));
		delivery->at = node->paused_until;
		push(mesh, *delivery);
		return true;
	}
	switch (delivery->kind) {
	case DELIVER_FRAME:
		deliver_frame(mesh, delivery);
		break;
	case DELIVER_TICK:
		node->tick_at = 0;
		mesh_feed(mesh, delivery->node,
			  (struct event){ .type = EV_TICK });
		break;
	case DELIVER_DOC:
		deliver_doc(mesh, delivery);
		break;
	case DELIVER_CALL:
		mesh_feed(mesh, delivery->node,
			  (struct event){ .type = delivery->event,
					  .id = delivery->id,
					  .body = buf_str(&delivery->bytes) });
		break;
	default:
		mesh_feed(mesh, delivery->node,
			  (struct event){
				  .type = EV_PEER_LOST,
				  .from = str_of(
					  mesh->nodes[delivery->from].addr) });
		break;
	}
	return false;
}

static bool deliver_request(struct mesh *mesh, struct delivery *delivery)
{
	struct request *request = request_find(mesh, delivery->id);
	struct mesh_node *node;

	if (!request)
		return false;
	if (delivery->kind == DELIVER_REQUEST) {
		target_receive(mesh, request);
	} else if (delivery->kind == DELIVER_SERVICE_DONE) {
		service_done(mesh, request);
	} else {
		node = &mesh->nodes[request->node];
		if (!node->up ||
		    node->opt.incarnation != request->incarnation) {
			request_free(mesh, request);
		} else if (mesh->now < node->paused_until) {
			delivery->at = node->paused_until;
			push(mesh, *delivery);
			return true;
		} else {
			deliver_reply(mesh, request);
		}
	}
	return false;
}

void mesh_run(struct mesh *mesh, int64_t us)
{
	int64_t until = mesh->now + us;

	while (mesh->count && mesh->heap[0].at <= until) {
		struct delivery delivery = pop(mesh);
		bool requeued;

		mesh->now = delivery.at > mesh->now ? delivery.at : mesh->now;
		if (delivery.kind == DELIVER_REQUEST ||
		    delivery.kind == DELIVER_SERVICE_DONE ||
		    delivery.kind == DELIVER_REPLY)
			requeued = deliver_request(mesh, &delivery);
		else
			requeued = deliver_to_node(mesh, &delivery);
		if (!requeued)
			buf_free(&delivery.bytes);
	}
	mesh->now = until;
}

size_t mesh_call(struct mesh *mesh, int i, enum event_type type,
		 const char *body)
{
	size_t id = mesh->nanswers++;

	if (id >= MESH_ANSWERS_MAX)
		abort();
	mesh->answers[id].asked_at = mesh->now;
	mesh->answers[id].node = i;
	mesh->answers[id].node_up = mesh->nodes[i].up;
	struct delivery call = { .at = mesh->now,
				 .kind = DELIVER_CALL,
				 .node = i,
				 .event = type,
				 .id = id };

	buf_str_add(&call.bytes, str_of(body));
	if (!deliver_to_node(mesh, &call))
		buf_free(&call.bytes);
	return id;
}

/* Operations and faults. */

void mesh_publish(struct mesh *mesh, enum doc_kind kind, const char *body)
{
	mesh->old_docs[kind].len = 0;
	buf_str_add(&mesh->old_docs[kind], buf_str(&mesh->docs[kind]));
	mesh->docs[kind].len = 0;
	buf_str_add(&mesh->docs[kind], str_of(body));
}

void mesh_start(struct mesh *mesh, int i)
{
	struct mesh_node *node = &mesh->nodes[i];

	node->opt.incarnation = rng_next(&mesh->rng) | 1;
	node->opt.seed = rng_next(&mesh->rng);
	node->up = true;
	node->stopped = false;
	node->paused_until = 0;
	node->tick_at = 0;
	memset(node->doc_versions, 0, sizeof(node->doc_versions));
	effects_init(&node->fx, NULL);
	node->node = node_create(&node->opt, mesh->now, &node->fx);
	apply_effects(mesh, i);
	schedule_tick(mesh, i);
}

void mesh_start_all(struct mesh *mesh)
{
	for (int i = 0; i < mesh->nnodes; i++)
		mesh_start(mesh, i);
	mesh_run(mesh, 4000000);
}

void mesh_kill(struct mesh *mesh, int i)
{
	struct mesh_node *node = &mesh->nodes[i];

	if (!node->up)
		return;
	node->up = false;
	node_destroy(node->node);
	effects_free(&node->fx);
	for (int j = 0; j < mesh->nnodes; j++)
		if (j != i && mesh->nodes[j].up && !mesh->cut[i][j])
			push(mesh,
			     (struct delivery){
				     .at = mesh->now + mesh->latency_us,
				     .kind = DELIVER_PEER_LOST,
				     .node = j,
				     .incarnation =
					     mesh->nodes[j].opt.incarnation,
				     .from = i });
}

void mesh_pause(struct mesh *mesh, int i, int64_t us)
{
	mesh->nodes[i].paused_until = mesh->now + us;
}

void mesh_cut(struct mesh *mesh, int a, int b, bool cut)
{
	mesh->cut[a][b] = cut;
	mesh->cut[b][a] = cut;
}

struct mesh_target *mesh_target(struct mesh *mesh, const char *name)
{
	for (size_t i = 0; i < mesh->ntargets; i++)
		if (str_eq(mesh->targets[i].config->name, str_of(name)))
			return &mesh->targets[i];
	abort();
}

struct mesh *mesh_create(uint64_t seed, const struct mesh_layout *layout,
			 char *lists)
{
	char *fleet = mesh_fleet(layout);
	struct mesh *mesh = xcalloc(1, sizeof(*mesh));
	struct error err;

	apr_pool_create(&mesh->pool, NULL);
	mesh->runs = apr_hash_make(mesh->pool);
	mesh->requests = apr_hash_make(mesh->pool);
	mesh->answers = xcalloc(MESH_ANSWERS_MAX, sizeof(*mesh->answers));
	mesh->now = 1000000;
	mesh->rng.seed = seed;
	mesh->latency_us = 200;
	mesh->service_us = 3000;
	mesh->cold_us = 1000000;
	mesh->cold_max_inflight = 1;
	mesh->nnodes = layout->nodes;
	mesh_publish(mesh, DOC_LISTS, lists);
	mesh_publish(mesh, DOC_FLEET, fleet);
	mesh->fleet = fleet_parse(str_of(fleet), &err);
	free(fleet);
	free(lists);
	if (!mesh->fleet)
		abort();
	mesh->ntargets = mesh->fleet->ntargets;
	for (size_t i = 0; i < mesh->ntargets; i++) {
		mesh->targets[i].config = &mesh->fleet->targets[i];
		mesh->targets[i].boot = rng_next(&mesh->rng) | 1;
		mesh->targets[i].lacks = UINT64_MAX;
	}
	for (int i = 0; i < layout->nodes; i++) {
		struct mesh_node *node = &mesh->nodes[i];

		snprintf(node->addr, sizeof(node->addr), "127.0.0.1:%d",
			 7000 + i);
		node->opt = (struct node_options){
			.addr = str_of(node->addr),
			.domain = mesh->fleet
					  ->domains[(size_t)i %
						    mesh->fleet->ndomains]
					  .name,
			.max_open = 1000,
			.drain_us = 30000000,
		};
	}
	return mesh;
}

void mesh_destroy(struct mesh *mesh)
{
	for (int i = 0; i < mesh->nnodes; i++)
		mesh_kill(mesh, i);
	for (size_t i = 0; i < mesh->count; i++)
		buf_free(&mesh->heap[i].bytes);
	for (;;) {
		apr_hash_index_t *it = apr_hash_first(NULL, mesh->requests);
		void *value;

		if (!it)
			break;
		apr_hash_this(it, NULL, NULL, &value);
		request_free(mesh, value);
	}
	for (size_t i = 0; i < mesh->nanswers; i++)
		buf_free(&mesh->answers[i].body);
	for (int i = 0; i < DOC_KINDS; i++) {
		buf_free(&mesh->docs[i]);
		buf_free(&mesh->old_docs[i]);
	}
	fleet_unref(mesh->fleet);
	free(mesh->heap);
	free(mesh->answers);
	apr_pool_destroy(mesh->pool);
	free(mesh);
}

/* Documents. */

static void add_shards(const struct mesh_layout *layout, int parts,
		       struct buf *out)
{
	for (int i = 0; i < layout->targets * parts; i++) {
		int first = i / parts;

		buf_printf(out,
			   "%s{\"id\":%d,\"index\":\"orders\",\"from\":%d,"
			   "\"to\":%d,\"weight\":1,\"replicas\":[",
			   i ? "," : "", i + 1 + (parts - 1) * 1000,
			   i * 100 / parts, (i + 1) * 100 / parts);
		for (int r = 0; r < layout->replicas; r++)
			buf_printf(out, "%s\"t%d\"", r ? "," : "",
				   (first + r) % layout->targets);
		buf_str_add(out, STR("]}"));
	}
}

char *mesh_fleet(const struct mesh_layout *layout)
{
	uint64_t newest = layout->snapshot ? layout->snapshot : 2;
	struct buf out = { 0 };

	buf_printf(&out, "{\"version\":%llu,\"domains\":[",
		   (unsigned long long)layout->version);
	for (int i = 0; i < layout->domains; i++)
		buf_printf(&out, "%s{\"name\":\"d%d\",\"state\":\"%s\"}",
			   i ? "," : "", i,
			   i == layout->out_domain ? "out" : "in");
	buf_str_add(&out, STR("],\"vms\":["));
	for (int i = 0; i < layout->nodes; i++)
		buf_printf(&out,
			   "%s{\"address\":\"127.0.0.1:%d\","
			   "\"domain\":\"d%d\",\"state\":\"live\"}",
			   i ? "," : "", 7000 + i, i % layout->domains);
	buf_str_add(&out, STR("],\"targets\":["));
	for (int i = 0; i < layout->targets; i++)
		buf_printf(&out,
			   "%s{\"name\":\"t%d\",\"address\":"
			   "\"127.0.0.1:%d\",\"domain\":\"d%d\","
			   "\"state\":\"%s\",\"slots\":%d,"
			   "\"connections\":25}",
			   i ? "," : "", i, 8000 + i, i % layout->domains,
			   i == layout->leaving_target ? "leaving" : "live",
			   layout->slots);
	buf_printf(&out, "],\"snapshots\":[{\"version\":%llu,\"shards\":[",
		   (unsigned long long)newest);
	add_shards(layout, layout->split ? 2 : 1, &out);
	buf_printf(&out, "]},{\"version\":%llu,\"shards\":[",
		   (unsigned long long)newest - 1);
	add_shards(layout, 1, &out);
	buf_str_add(&out, STR("]}]}"));
	buf_add(&out, "", 1);
	return out.ptr;
}

struct mesh_layout mesh_layout(int nodes, int domains, int targets)
{
	return (struct mesh_layout){ .version = 1,
				     .nodes = nodes,
				     .domains = domains,
				     .targets = targets,
				     .replicas = 2,
				     .slots = 2,
				     .out_domain = -1,
				     .leaving_target = -1,
				     .snapshot = 2 };
}

void mesh_publish_fleet(struct mesh *mesh, const struct mesh_layout *layout)
{
	char *fleet = mesh_fleet(layout);

	mesh_publish(mesh, DOC_FLEET, fleet);
	free(fleet);
}

char *mesh_lists(uint64_t version, double rate, double burst, int soft_ms,
		 int deadline_ms, double floor)
{
	struct buf out = { 0 };

	buf_printf(&out,
		   "{\"version\":%llu,\"plans\":[{\"customer\":\"mill\","
		   "\"plan\":\"p\"}],\"allowances\":[{\"plan\":\"p\","
		   "\"indexes\":[\"orders\"],\"entries\":[\"orders\"],",
		   (unsigned long long)version);
	buf_printf(&out,
		   "\"rate\":%g,\"burst\":%g,\"soft_ms\":%d,"
		   "\"deadline_ms\":%d,\"coverage_floor\":%g,"
		   "\"extra_load\":0.05}]}",
		   rate, burst, soft_ms, deadline_ms, floor);
	buf_add(&out, "", 1);
	return out.ptr;
}
