#include "cluster.h"

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
	uint64_t id; /* of the request, or index of the call */
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
	struct cluster_target *target;
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

static void schedule(struct cluster *cluster, struct delivery delivery)
{
	size_t i = cluster->count++;

	if (cluster->count > cluster->cap) {
		cluster->cap = cluster->cap ? cluster->cap * 2 : 1024;
		cluster->heap = xrealloc(cluster->heap,
					 cluster->cap * sizeof(*cluster->heap));
	}
	delivery.seq = cluster->seq++;
	cluster->heap[i] = delivery;
	while (i &&
	       is_earlier(&cluster->heap[i], &cluster->heap[(i - 1) / 2])) {
		swap(&cluster->heap[i], &cluster->heap[(i - 1) / 2]);
		i = (i - 1) / 2;
	}
}

static struct delivery pop_earliest(struct cluster *cluster)
{
	struct delivery first = cluster->heap[0];
	size_t i = 0;

	cluster->heap[0] = cluster->heap[--cluster->count];
	for (;;) {
		size_t least = i;

		for (size_t c = 2 * i + 1; c <= 2 * i + 2; c++)
			if (c < cluster->count &&
			    is_earlier(&cluster->heap[c],
				       &cluster->heap[least]))
				least = c;
		if (least == i)
			return first;
		swap(&cluster->heap[i], &cluster->heap[least]);
		i = least;
	}
}

static bool random_chance(struct cluster *cluster, int per_mille)
{
	return per_mille && (int)rng_below(&cluster->rng, 1000) < per_mille;
}

static int64_t network_delay_us(struct cluster *cluster, struct str from,
				struct str to)
{
	int64_t us = cluster->latency_us;

	if (!str_eq(from, to))
		us += cluster->far_us;
	if (cluster->jitter_us)
		us += (int64_t)rng_below(&cluster->rng,
					 (uint64_t)cluster->jitter_us);
	return us;
}

/* Delay between a front in a random failure domain and another process. */
static int64_t front_network_delay_us(struct cluster *cluster)
{
	bool same_domain =
		rng_below(&cluster->rng, cluster->fleet->ndomains) == 0;

	return cluster->latency_us + (same_domain ? 0 : cluster->far_us);
}

static int find_node(const struct cluster *cluster, struct str addr)
{
	for (int i = 0; i < cluster->nnodes; i++)
		if (str_eq(addr, str_of(cluster->nodes[i].addr)))
			return i;
	return -1;
}

/* Targets. */

static struct request *request_find(struct cluster *cluster, uint64_t number)
{
	return apr_hash_get(cluster->requests, &number, sizeof(number));
}

static void request_free(struct cluster *cluster, struct request *request)
{
	apr_hash_set(cluster->requests, &request->number,
		     sizeof(request->number), NULL);
	buf_free(&request->terms);
	buf_free(&request->body);
	buf_free(&request->rows);
	free(request);
}

static void send_reply(struct cluster *cluster, struct request *request)
{
	struct cluster_node *node = &cluster->nodes[request->node];

	request->fetched.boot = request->target->boot;
	request->fetched.load = request->target->busy;
	request->fetched.draining = request->target->draining;
	request->fetched.job = request->job;

	int64_t delay_us =
		network_delay_us(cluster, request->target->config->domain->name,
				 node->opt.domain);

	if (cluster->leased_permits && request->kind == FETCH_LEAF)
		delay_us = front_network_delay_us(cluster);
	schedule(cluster,
		 (struct delivery){ .at = cluster->now + delay_us,
				    .kind = DELIVER_REPLY,
				    .node = request->node,
				    .incarnation = request->incarnation,
				    .id = request->number });
}

static void finish_request(struct cluster *cluster, struct request *request,
			   enum fetch_result result, int status)
{
	request->fetched.result = result;
	request->fetched.status = status;
	send_reply(cluster, request);
}

static void count_run(struct cluster *cluster, const struct request *request)
{
	uint64_t key = str_hash(buf_str(&request->body));
	uint64_t *pair = apr_hash_get(cluster->runs, &key, sizeof(key));

	if (!pair) {
		pair = apr_pcalloc(cluster->pool, 2 * sizeof(*pair));
		pair[0] = key;
		apr_hash_set(cluster->runs, &pair[0], sizeof(key), pair);
	}
	pair[1]++;
}

uint64_t cluster_entry_runs(struct cluster *cluster, const char *entry)
{
	uint64_t key = str_hash(str_of(entry));
	uint64_t *pair = apr_hash_get(cluster->runs, &key, sizeof(key));

	return pair ? pair[1] : 0;
}

static void start_service(struct cluster *cluster, struct request *request)
{
	struct cluster_target *target = request->target;
	int64_t mean =
		target->service_us ? target->service_us : cluster->service_us;
	int64_t time = mean / 2 +
		       (int64_t)rng_below(&cluster->rng, (uint64_t)mean + 1);

	if (random_chance(cluster, cluster->straggle_pm))
		time *= cluster->straggle_factor;
	request->running = true;
	target->busy++;
	target->started++;
	target->last_start = cluster->now;
	if (target->busy > target->peak)
		target->peak = target->busy;
	if (cluster->now < target->cold_until) {
		time *= 3;
		if (target->busy > target->peak_cold)
			target->peak_cold = target->busy;
	}
	if (request->kind == FETCH_ENTRY)
		count_run(cluster, request);
	schedule(cluster, (struct delivery){ .at = cluster->now + time,
					     .kind = DELIVER_SERVICE_DONE,
					     .id = request->number });
}

/* A cold target over its limit crashes: all its running requests break. */
static void restart_overloaded(struct cluster *cluster,
			       struct cluster_target *target)
{
	target->overruns++;
	cluster_restart_target(cluster, target);
}

void cluster_restart_target(struct cluster *cluster,
			    struct cluster_target *target)
{
	apr_hash_index_t *it;

	target->boot = rng_next(&cluster->rng) | 1;
	target->up_at = cluster->now + RESTART_US;
	target->cold_until = target->up_at + cluster->cold_us;
	target->busy = 0;
	target->queue_len = 0;
	for (it = apr_hash_first(cluster->pool, cluster->requests); it;
	     it = apr_hash_next(it)) {
		void *value;

		apr_hash_this(it, NULL, NULL, &value);

		struct request *request = value;

		if (request->target == target && request->running) {
			request->running = false;
			finish_request(cluster, request, FETCH_BROKEN, 0);
		}
	}
}

static void cancel(struct cluster *cluster, struct cluster_target *target,
		   int node, uint64_t job)
{
	for (apr_hash_index_t *it =
		     apr_hash_first(cluster->pool, cluster->requests);
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
		finish_request(cluster, request, FETCH_OK, 499);
		return;
	}
}

static void start_queued(struct cluster *cluster, struct cluster_target *target)
{
	while (target->queue_len && target->busy < target->config->slots) {
		struct request *request =
			request_find(cluster, target->queue[0]);

		target->queue_len--;
		memmove(target->queue, target->queue + 1,
			(size_t)target->queue_len * sizeof(uint64_t));
		if (request)
			start_service(cluster, request);
	}
}

static void target_receive(struct cluster *cluster, struct request *request)
{
	struct cluster_target *target = request->target;
	bool cold = cluster->now < target->cold_until;

	if (target->hangs) {
		if (request->kind == FETCH_CANCEL) {
			request_free(cluster, request);
			return;
		}
		request->fetched.result = FETCH_TIMEOUT;
		target->started += request->kind != FETCH_HEALTH;
		schedule(cluster,
			 (struct delivery){ .at = request->timeout_at,
					    .kind = DELIVER_REPLY,
					    .node = request->node,
					    .incarnation = request->incarnation,
					    .id = request->number });
	} else if (request->kind == FETCH_CANCEL) {
		cancel(cluster, target, request->node, request->job);
		start_queued(cluster, target);
		request_free(cluster, request);
	} else if (target->dead || cluster->now < target->up_at) {
		finish_request(cluster, request, FETCH_REFUSED, 0);
	} else if (request->kind == FETCH_HEALTH) {
		finish_request(cluster, request, FETCH_OK, 200);
	} else if (target->closes_without_run && request->kind == FETCH_ENTRY) {
		finish_request(cluster, request, FETCH_BROKEN, 0);
	} else if (request->boot != target->boot) {
		/* It was in flight on a connection to the old process. */
		finish_request(cluster, request, FETCH_BROKEN, 0);
	} else if (target->draining) {
		finish_request(cluster, request, FETCH_OK, 503);
	} else if (request->kind == FETCH_LEAF &&
		   target->missing_snapshot == request->version) {
		finish_request(cluster, request, FETCH_OK, 409);
	} else if (cold && target->busy >= cluster->cold_max_inflight) {
		if (target->busy + 1 > target->peak_cold)
			target->peak_cold = target->busy + 1;
		request->running = false;
		restart_overloaded(cluster, target);
		finish_request(cluster, request, FETCH_BROKEN, 0);
	} else if (target->busy < target->config->slots) {
		start_service(cluster, request);
	} else if (target->queue_len < 64) {
		target->queue[target->queue_len++] = request->number;
	} else {
		finish_request(cluster, request, FETCH_OK, 503);
	}
}

static bool is_poison(const struct request *request)
{
	return request->kind == FETCH_LEAF &&
	       str_eq(buf_str(&request->terms), STR(CLUSTER_POISON_TERMS));
}

static void service_done(struct cluster *cluster, struct request *request)
{
	struct cluster_target *target = request->target;

	if (!request->running)
		return;
	if (is_poison(request)) {
		cluster->crashes++;
		cluster_restart_target(cluster, target);
		return;
	}
	request->running = false;
	target->busy--;
	start_queued(cluster, target);
	if (target->closes_after_run) {
		finish_request(cluster, request, FETCH_BROKEN, 0);
		return;
	}
	if (request->kind == FETCH_ENTRY && target->drops_entry_replies) {
		finish_request(cluster, request, FETCH_TIMEOUT, 0);
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
	finish_request(cluster, request, FETCH_OK, 200);
}

static void deliver_reply(struct cluster *cluster, struct request *request)
{
	struct parsed_reply fetched = request->fetched;

	fetched.body = buf_str(&request->rows);
	cluster_deliver(cluster, request->node,
			(struct event){ .type = EV_FETCH_DONE,
					.id = request->fetch_id,
					.parsed_reply = &fetched });
	request_free(cluster, request);
}

/* Effects. */

static void send_request(struct cluster *cluster, int i,
			 const struct effect *fx)
{
	struct cluster_node *node = &cluster->nodes[i];
	struct request *request = xcalloc(1, sizeof(*request));
	struct cluster_target *target = NULL;

	for (size_t t = 0; t < cluster->ntargets; t++)
		if (str_eq(cluster->targets[t].config->addr, fx->addr))
			target = &cluster->targets[t];
	if (!target)
		abort();
	request->number = ++cluster->seq;
	request->fetch_id = fx->id;
	request->job = fx->job;
	request->node = i;
	request->incarnation = node->opt.incarnation;
	request->kind = fx->fetch;
	request->target = target;
	request->boot = target->boot;
	request->timeout_at = cluster->now + fx->wait_us +
			      (fx->fetch == FETCH_HEALTH ? 0 : FETCH_GRACE_US);
	request->shard = fx->shard;
	request->version = fx->version;
	buf_str_add(&request->terms, fx->text);
	buf_str_add(&request->body, fx->body);
	apr_hash_set(cluster->requests, &request->number,
		     sizeof(request->number), request);
	int64_t delay_us = network_delay_us(cluster, node->opt.domain,
					    target->config->domain->name);

	if (cluster->leased_permits && request->kind == FETCH_LEAF)
		delay_us = front_network_delay_us(cluster) +
			   front_network_delay_us(cluster);
	schedule(cluster, (struct delivery){ .at = cluster->now + delay_us,
					     .kind = DELIVER_REQUEST,
					     .id = request->number });
}

static void send_msg(struct cluster *cluster, int i, const struct effect *fx)
{
	struct cluster_node *node = &cluster->nodes[i];
	int to = find_node(cluster, fx->addr);
	struct msg msg = fx->msg;
	struct frame frame = {
		.from = str_of(node->addr),
		.from_incarnation = node->opt.incarnation,
		.to_incarnation = fx->incarnation,
		.msgs = &msg,
		.count = 1,
	};
	int copies = random_chance(cluster, cluster->dup_pm) ? 2 : 1;

	if (to < 0 || cluster->links_cut[i][to] ||
	    random_chance(cluster, cluster->drop_pm))
		return;
	if (!cluster->nodes[to].up) {
		schedule(cluster,
			 (struct delivery){
				 .at = cluster->now + cluster->latency_us,
				 .kind = DELIVER_PEER_LOST,
				 .node = i,
				 .incarnation = node->opt.incarnation,
				 .from = to });
		return;
	}
	while (copies--) {
		int64_t delay_us =
			network_delay_us(cluster, node->opt.domain,
					 cluster->nodes[to].opt.domain);

		/* The front has the reply already, see @leased_permits. */
		if (cluster->leased_permits && msg.kind == MSG_LEAF_REPLY)
			delay_us = 0;

		struct delivery delivery = {
			.at = cluster->now + delay_us,
			.kind = DELIVER_FRAME,
			.node = to,
			.from = i,
		};

		frame_encode(&frame, &delivery.bytes);
		schedule(cluster, delivery);
	}
}

static void read_doc(struct cluster *cluster, int i, const struct effect *fx)
{
	struct cluster_node *node = &cluster->nodes[i];

	schedule(cluster,
		 (struct delivery){ .at = cluster->now + cluster->latency_us +
					  (fx->wait_us ? fx->wait_us : 0),
				    .kind = DELIVER_DOC,
				    .node = i,
				    .incarnation = node->opt.incarnation,
				    .doc = fx->doc });
}

static void record_answer(struct cluster *cluster, const struct effect *fx)
{
	struct cluster_call *call = &cluster->calls[fx->id];

	call->answers++;
	call->answered_at = cluster->now;
	call->status = fx->status;
	buf_str_add(&call->body, fx->body);
}

static void apply_effects(struct cluster *cluster, int i)
{
	struct cluster_node *node = &cluster->nodes[i];

	for (size_t n = 0; n < node->fx.count; n++) {
		const struct effect *fx = &node->fx.list[n];

		switch (fx->type) {
		case FX_SEND:
			send_msg(cluster, i, fx);
			break;
		case FX_FETCH:
			send_request(cluster, i, fx);
			break;
		case FX_READ_DOC:
			read_doc(cluster, i, fx);
			break;
		case FX_ANSWER:
			record_answer(cluster, fx);
			break;
		case FX_STOP:
			node->stopped = true;
			break;
		case FX_AUDIT:
			break;
		}
	}
	if (cluster->trace)
		effects_dump(&node->fx, cluster->trace);
	effects_clear(&node->fx);
	if (node->stopped)
		cluster_kill_node(cluster, i);
}

static void schedule_tick(struct cluster *cluster, int i)
{
	struct cluster_node *node = &cluster->nodes[i];
	int64_t at = node_wake_at(node->node);

	if (at < cluster->now)
		at = cluster->now;
	if (node->tick_at > cluster->now && node->tick_at <= at)
		return;
	node->tick_at = at;
	schedule(cluster,
		 (struct delivery){ .at = at,
				    .kind = DELIVER_TICK,
				    .node = i,
				    .incarnation = node->opt.incarnation });
}

void cluster_deliver(struct cluster *cluster, int i, struct event event)
{
	struct cluster_node *node = &cluster->nodes[i];

	if (!node->up)
		return;
	event.now = cluster->now;
	node_reduce(node->node, &event, &node->fx);
	for (int kind = 0; kind < DOC_KINDS; kind++) {
		const struct node *n = node->node;
		uint64_t version = kind == DOC_LISTS
					   ? (n->lists ? n->lists->version : 0)
					   : (n->fleet ? n->fleet->version : 0);

		/* Invariant, checked after every event. */
		if (version < node->doc_versions[kind])
			cluster->violation = "a document's version decreased";
		node->doc_versions[kind] = version;
	}
	apply_effects(cluster, i);
	if (node->up)
		schedule_tick(cluster, i);
}

/* Running. */

static void deliver_frame(struct cluster *cluster, struct delivery *delivery)
{
	struct cluster_node *node = &cluster->nodes[delivery->node];
	struct frame frame;
	struct error err;

	if (frame_decode(buf_str(&delivery->bytes), &frame, &err) <= 0)
		abort();
	if (!frame.to_incarnation ||
	    frame.to_incarnation == node->opt.incarnation)
		cluster_deliver(
			cluster, delivery->node,
			(struct event){ .type = EV_MSG,
					.from = frame.from,
					.incarnation = frame.from_incarnation,
					.msg = &frame.msgs[0] });
	frame_free(&frame);
}

static struct str platform_doc(const struct cluster *cluster,
			       const struct delivery *delivery)
{
	const struct cluster_node *node = &cluster->nodes[delivery->node];
	const struct buf *docs =
		node->reads_stale_docs ? cluster->previous_docs : cluster->docs;

	return buf_str(&docs[delivery->doc]);
}

static void deliver_doc(struct cluster *cluster,
			const struct delivery *delivery)
{
	struct cluster_node *node = &cluster->nodes[delivery->node];
	struct str body = delivery->bytes.len ? buf_str(&delivery->bytes)
					      : platform_doc(cluster, delivery);
	struct event event = { .doc = delivery->doc, .body = body };
	const struct node *n = node->node;
	uint64_t hash = delivery->doc == DOC_LISTS
				? (n->lists ? n->lists->hash : 0)
				: (n->fleet ? n->fleet->hash : 0);

	event.type = hash == str_hash(body) ? EV_DOC_UNCHANGED : EV_DOC;
	if (cluster->platform_down || node->platform_cut)
		event.type = EV_DOC_FAILED;
	cluster_deliver(cluster, delivery->node, event);
}

static bool deliver_to_node(struct cluster *cluster, struct delivery *delivery)
{
	struct cluster_node *node = &cluster->nodes[delivery->node];

	if (!node->up || (delivery->incarnation &&
			  delivery->incarnation != node->opt.incarnation))
		return false;
	/* A resumed process finds in its sockets what arrived during the
	 * pause, with the content of that time. */
	if (cluster->now < node->paused_until) {
		if (delivery->kind == DELIVER_DOC && !delivery->bytes.len)
			buf_str_add(&delivery->bytes,
				    platform_doc(cluster, delivery));
		delivery->at = node->paused_until;
		schedule(cluster, *delivery);
		return true;
	}
	switch (delivery->kind) {
	case DELIVER_FRAME:
		deliver_frame(cluster, delivery);
		break;
	case DELIVER_TICK:
		node->tick_at = 0;
		cluster_deliver(cluster, delivery->node,
				(struct event){ .type = EV_TICK });
		break;
	case DELIVER_DOC:
		deliver_doc(cluster, delivery);
		break;
	case DELIVER_CALL:
		cluster_deliver(
			cluster, delivery->node,
			(struct event){ .type = delivery->event,
					.id = delivery->id,
					.body = buf_str(&delivery->bytes) });
		break;
	default:
		cluster_deliver(
			cluster, delivery->node,
			(struct event){
				.type = EV_PEER_LOST,
				.from = str_of(
					cluster->nodes[delivery->from].addr) });
		break;
	}
	return false;
}

static bool deliver_request(struct cluster *cluster, struct delivery *delivery)
{
	struct request *request = request_find(cluster, delivery->id);
	struct cluster_node *node;

	if (!request)
		return false;
	if (delivery->kind == DELIVER_REQUEST) {
		target_receive(cluster, request);
	} else if (delivery->kind == DELIVER_SERVICE_DONE) {
		service_done(cluster, request);
	} else {
		node = &cluster->nodes[request->node];
		if (!node->up ||
		    node->opt.incarnation != request->incarnation) {
			request_free(cluster, request);
		} else if (cluster->now < node->paused_until) {
			delivery->at = node->paused_until;
			schedule(cluster, *delivery);
			return true;
		} else {
			deliver_reply(cluster, request);
		}
	}
	return false;
}

void cluster_run(struct cluster *cluster, int64_t us)
{
	int64_t until = cluster->now + us;

	while (cluster->count && cluster->heap[0].at <= until) {
		struct delivery delivery = pop_earliest(cluster);
		bool requeued;

		cluster->now =
			delivery.at > cluster->now ? delivery.at : cluster->now;
		if (delivery.kind == DELIVER_REQUEST ||
		    delivery.kind == DELIVER_SERVICE_DONE ||
		    delivery.kind == DELIVER_REPLY)
			requeued = deliver_request(cluster, &delivery);
		else
			requeued = deliver_to_node(cluster, &delivery);
		if (!requeued)
			buf_free(&delivery.bytes);
	}
	cluster->now = until;
}

size_t cluster_send_call(struct cluster *cluster, int i, enum event_type type,
			 const char *body)
{
	size_t id = cluster->ncalls++;

	if (id >= CLUSTER_CALLS_MAX)
		abort();
	cluster->calls[id].sent_at = cluster->now;
	cluster->calls[id].node = i;
	cluster->calls[id].node_up = cluster->nodes[i].up;
	struct delivery call = { .at = cluster->now,
				 .kind = DELIVER_CALL,
				 .node = i,
				 .event = type,
				 .id = id };

	buf_str_add(&call.bytes, str_of(body));
	if (!deliver_to_node(cluster, &call))
		buf_free(&call.bytes);
	return id;
}

/* Operations and faults. */

void cluster_publish_doc(struct cluster *cluster, enum doc_kind kind,
			 const char *body)
{
	cluster->previous_docs[kind].len = 0;
	buf_str_add(&cluster->previous_docs[kind],
		    buf_str(&cluster->docs[kind]));
	cluster->docs[kind].len = 0;
	buf_str_add(&cluster->docs[kind], str_of(body));
}

void cluster_start_node(struct cluster *cluster, int i)
{
	struct cluster_node *node = &cluster->nodes[i];

	node->opt.incarnation = rng_next(&cluster->rng) | 1;
	node->opt.seed = rng_next(&cluster->rng);
	node->up = true;
	node->stopped = false;
	node->paused_until = 0;
	node->tick_at = 0;
	memset(node->doc_versions, 0, sizeof(node->doc_versions));
	effects_init(&node->fx, NULL);
	node->node = node_create(&node->opt, cluster->now, &node->fx);
	apply_effects(cluster, i);
	schedule_tick(cluster, i);
}

void cluster_start_all(struct cluster *cluster)
{
	for (int i = 0; i < cluster->nnodes; i++)
		cluster_start_node(cluster, i);
	cluster_run(cluster, 4000000);
}

void cluster_kill_node(struct cluster *cluster, int i)
{
	struct cluster_node *node = &cluster->nodes[i];

	if (!node->up)
		return;
	node->up = false;
	node_destroy(node->node);
	effects_free(&node->fx);
	for (int j = 0; j < cluster->nnodes; j++)
		if (j != i && cluster->nodes[j].up && !cluster->links_cut[i][j])
			schedule(
				cluster,
				(struct delivery){
					.at = cluster->now +
					      cluster->latency_us,
					.kind = DELIVER_PEER_LOST,
					.node = j,
					.incarnation = cluster->nodes[j]
							       .opt.incarnation,
					.from = i });
}

void cluster_pause_node(struct cluster *cluster, int i, int64_t us)
{
	cluster->nodes[i].paused_until = cluster->now + us;
}

void cluster_set_link_cut(struct cluster *cluster, int a, int b, bool cut)
{
	cluster->links_cut[a][b] = cut;
	cluster->links_cut[b][a] = cut;
}

struct cluster_target *cluster_find_target(struct cluster *cluster,
					   const char *name)
{
	for (size_t i = 0; i < cluster->ntargets; i++)
		if (str_eq(cluster->targets[i].config->name, str_of(name)))
			return &cluster->targets[i];
	abort();
}

struct cluster *cluster_create(uint64_t seed,
			       const struct cluster_layout *layout, char *lists)
{
	char *fleet = cluster_fleet_doc(layout);
	struct cluster *cluster = xcalloc(1, sizeof(*cluster));
	struct error err;

	apr_pool_create(&cluster->pool, NULL);
	cluster->runs = apr_hash_make(cluster->pool);
	cluster->requests = apr_hash_make(cluster->pool);
	cluster->calls = xcalloc(CLUSTER_CALLS_MAX, sizeof(*cluster->calls));
	cluster->now = 1000000;
	cluster->rng.seed = seed;
	cluster->latency_us = 200;
	cluster->service_us = 3000;
	cluster->cold_us = 1000000;
	cluster->cold_max_inflight = 1;
	cluster->nnodes = layout->nodes;
	cluster_publish_doc(cluster, DOC_LISTS, lists);
	cluster_publish_doc(cluster, DOC_FLEET, fleet);
	cluster->fleet = fleet_parse(str_of(fleet), &err);
	free(fleet);
	free(lists);
	if (!cluster->fleet)
		abort();
	cluster->ntargets = cluster->fleet->ntargets;
	for (size_t i = 0; i < cluster->ntargets; i++) {
		cluster->targets[i].config = &cluster->fleet->targets[i];
		cluster->targets[i].boot = rng_next(&cluster->rng) | 1;
		cluster->targets[i].missing_snapshot = UINT64_MAX;
	}
	for (int i = 0; i < layout->nodes; i++) {
		struct cluster_node *node = &cluster->nodes[i];

		snprintf(node->addr, sizeof(node->addr), "127.0.0.1:%d",
			 7000 + i);
		node->opt = (struct node_options){
			.addr = str_of(node->addr),
			.domain = cluster->fleet
					  ->domains[(size_t)i %
						    cluster->fleet->ndomains]
					  .name,
			.max_open = 1000,
			.drain_us = 30000000,
		};
	}
	return cluster;
}

void cluster_destroy(struct cluster *cluster)
{
	for (int i = 0; i < cluster->nnodes; i++)
		cluster_kill_node(cluster, i);
	for (size_t i = 0; i < cluster->count; i++)
		buf_free(&cluster->heap[i].bytes);
	for (;;) {
		apr_hash_index_t *it = apr_hash_first(NULL, cluster->requests);
		void *value;

		if (!it)
			break;
		apr_hash_this(it, NULL, NULL, &value);
		request_free(cluster, value);
	}
	for (size_t i = 0; i < cluster->ncalls; i++)
		buf_free(&cluster->calls[i].body);
	for (int i = 0; i < DOC_KINDS; i++) {
		buf_free(&cluster->docs[i]);
		buf_free(&cluster->previous_docs[i]);
	}
	fleet_unref(cluster->fleet);
	free(cluster->heap);
	free(cluster->calls);
	apr_pool_destroy(cluster->pool);
	free(cluster);
}

/* Documents. */

static void add_shards(const struct cluster_layout *layout, int parts,
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

char *cluster_fleet_doc(const struct cluster_layout *layout)
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

struct cluster_layout cluster_default_layout(int nodes, int domains,
					     int targets)
{
	return (struct cluster_layout){ .version = 1,
					.nodes = nodes,
					.domains = domains,
					.targets = targets,
					.replicas = 2,
					.slots = 2,
					.out_domain = -1,
					.leaving_target = -1,
					.snapshot = 2 };
}

void cluster_publish_fleet(struct cluster *cluster,
			   const struct cluster_layout *layout)
{
	char *fleet = cluster_fleet_doc(layout);

	cluster_publish_doc(cluster, DOC_FLEET, fleet);
	free(fleet);
}

char *cluster_lists_doc(uint64_t version, double rate, double burst,
			int soft_ms, int deadline_ms, double floor)
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
