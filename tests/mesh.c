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
	DELIVER_REQUEST, /* reaches a target */
	DELIVER_SERVED, /* a target ends its work */
	DELIVER_REPLY, /* a target's reply reaches the node */
	DELIVER_LOST,
	DELIVER_CALL,
};

/** struct delivery - something that happens at a time */
struct delivery {
	int64_t at;
	uint64_t order;
	enum delivery_kind kind;
	int node;
	uint64_t incarnation; /* of the node that it is for */
	int from;
	enum doc_kind doc;
	enum event_type event;
	uint64_t work;
	struct buf bytes;
};

/** struct work - a request at a target, and then its reply */
struct work {
	uint64_t number;
	uint64_t fetch; /* id in the effect */
	uint64_t job;
	int node;
	uint64_t incarnation;
	enum fetch_kind kind;
	struct mesh_target *target;
	uint32_t shard;
	uint64_t version;
	struct buf terms;
	struct buf body;
	uint64_t boot; /* of the target when it was sent */
	int64_t timeout_at; /* when the shell gives up */
	bool running;
	struct parsed_reply got;
	struct buf rows;
};

/* A process that restarts takes no connections for this long. */
enum {
	RESTART_US = 50000,
	FETCH_GRACE_US = 2000000
};

static bool earlier(const struct delivery *a, const struct delivery *b)
{
	return a->at != b->at ? a->at < b->at : a->order < b->order;
}

static void swap(struct delivery *a, struct delivery *b)
{
	struct delivery held = *a;

	*a = *b;
	*b = held;
}

static void push(struct mesh *mesh, struct delivery delivery)
{
	size_t i = mesh->count++;

	if (mesh->count > mesh->cap) {
		mesh->cap = mesh->cap ? mesh->cap * 2 : 1024;
		mesh->heap =
			xrealloc(mesh->heap, mesh->cap * sizeof(*mesh->heap));
	}
	delivery.order = mesh->order++;
	mesh->heap[i] = delivery;
	while (i && earlier(&mesh->heap[i], &mesh->heap[(i - 1) / 2])) {
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
			    earlier(&mesh->heap[c], &mesh->heap[least]))
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

static int64_t travel(struct mesh *mesh, struct str from, struct str to)
{
	int64_t us = mesh->latency_us;

	if (!str_eq(from, to))
		us += mesh->far_us;
	if (mesh->jitter_us)
		us += (int64_t)rng_below(&mesh->rng, (uint64_t)mesh->jitter_us);
	return us;
}

/* A hop between a front, anywhere, and something in a failure domain. */
static int64_t front_hop(struct mesh *mesh)
{
	bool near = rng_below(&mesh->rng, mesh->fleet->ndomains) == 0;

	return mesh->latency_us + (near ? 0 : mesh->far_us);
}

static int node_index(const struct mesh *mesh, struct str addr)
{
	for (int i = 0; i < mesh->nnodes; i++)
		if (str_eq(addr, str_of(mesh->nodes[i].addr)))
			return i;
	return -1;
}

/* Targets. */

static struct work *work_find(struct mesh *mesh, uint64_t number)
{
	return apr_hash_get(mesh->works, &number, sizeof(number));
}

static void work_free(struct mesh *mesh, struct work *work)
{
	apr_hash_set(mesh->works, &work->number, sizeof(work->number), NULL);
	buf_free(&work->terms);
	buf_free(&work->body);
	buf_free(&work->rows);
	free(work);
}

static void reply(struct mesh *mesh, struct work *work)
{
	struct mesh_node *node = &mesh->nodes[work->node];

	work->got.boot = work->target->boot;
	work->got.load = work->target->busy;
	work->got.draining = work->target->draining;
	work->got.job = work->job;

	int64_t hops = travel(mesh, work->target->listed->domain->name,
			      node->opt.domain);

	if (mesh->permits && work->kind == FETCH_LEAF)
		hops = front_hop(mesh);
	push(mesh, (struct delivery){ .at = mesh->now + hops,
				      .kind = DELIVER_REPLY,
				      .node = work->node,
				      .incarnation = work->incarnation,
				      .work = work->number });
}

static void reply_short(struct mesh *mesh, struct work *work,
			enum fetch_result result, int status)
{
	work->got.result = result;
	work->got.status = status;
	reply(mesh, work);
}

static void count_run(struct mesh *mesh, const struct work *work)
{
	uint64_t key = str_hash(buf_str(&work->body));
	uint64_t *pair = apr_hash_get(mesh->runs, &key, sizeof(key));

	if (!pair) {
		pair = apr_pcalloc(mesh->pool, 2 * sizeof(*pair));
		pair[0] = key;
		apr_hash_set(mesh->runs, &pair[0], sizeof(key), pair);
	}
	pair[1]++;
}

uint64_t mesh_runs(struct mesh *mesh, const char *entry)
{
	uint64_t key = str_hash(str_of(entry));
	uint64_t *pair = apr_hash_get(mesh->runs, &key, sizeof(key));

	return pair ? pair[1] : 0;
}

static void serve(struct mesh *mesh, struct work *work)
{
	struct mesh_target *target = work->target;
	int64_t mean =
		target->service_us ? target->service_us : mesh->service_us;
	int64_t time =
		mean / 2 + (int64_t)rng_below(&mesh->rng, (uint64_t)mean + 1);

	if (chance(mesh, mesh->straggle_pm))
		time *= mesh->straggle_factor;
	work->running = true;
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
	if (work->kind == FETCH_ENTRY)
		count_run(mesh, work);
	push(mesh, (struct delivery){ .at = mesh->now + time,
				      .kind = DELIVER_SERVED,
				      .work = work->number });
}

/* A cold target with more than it bears falls over: all of its work breaks. */
static void fall_over(struct mesh *mesh, struct mesh_target *target)
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
	target->nwaiting = 0;
	for (it = apr_hash_first(mesh->pool, mesh->works); it;
	     it = apr_hash_next(it)) {
		void *value;

		apr_hash_this(it, NULL, NULL, &value);

		struct work *work = value;

		if (work->target == target && work->running) {
			work->running = false;
			reply_short(mesh, work, FETCH_BROKEN, 0);
		}
	}
}

static void cancel(struct mesh *mesh, struct mesh_target *target, int node,
		   uint64_t job)
{
	for (apr_hash_index_t *it = apr_hash_first(mesh->pool, mesh->works); it;
	     it = apr_hash_next(it)) {
		void *value;

		apr_hash_this(it, NULL, NULL, &value);

		struct work *work = value;

		if (work->target != target || work->node != node ||
		    work->job != job || !work->running ||
		    work->kind != FETCH_LEAF)
			continue;
		work->running = false;
		target->busy--;
		reply_short(mesh, work, FETCH_OK, 499);
		return;
	}
}

static void fill(struct mesh *mesh, struct mesh_target *target)
{
	while (target->nwaiting && target->busy < target->listed->slots) {
		struct work *work = work_find(mesh, target->waiting[0]);

		target->nwaiting--;
		memmove(target->waiting, target->waiting + 1,
			(size_t)target->nwaiting * sizeof(uint64_t));
		if (work)
			serve(mesh, work);
	}
}

static void at_target(struct mesh *mesh, struct work *work)
{
	struct mesh_target *target = work->target;
	bool cold = mesh->now < target->cold_until;

	if (target->hangs) {
		if (work->kind == FETCH_CANCEL) {
			work_free(mesh, work);
			return;
		}
		work->got.result = FETCH_TIMEOUT;
		target->started += work->kind != FETCH_HEALTH;
		push(mesh, (struct delivery){ .at = work->timeout_at,
					      .kind = DELIVER_REPLY,
					      .node = work->node,
					      .incarnation = work->incarnation,
					      .work = work->number });
	} else if (work->kind == FETCH_CANCEL) {
		cancel(mesh, target, work->node, work->job);
		fill(mesh, target);
		work_free(mesh, work);
	} else if (target->dead || mesh->now < target->up_at) {
		reply_short(mesh, work, FETCH_REFUSED, 0);
	} else if (work->kind == FETCH_HEALTH) {
		reply_short(mesh, work, FETCH_OK, 200);
	} else if (target->drops && work->kind == FETCH_ENTRY) {
		reply_short(mesh, work, FETCH_BROKEN, 0);
	} else if (work->boot != target->boot) {
		/* It was on its way over a connection to the old process. */
		reply_short(mesh, work, FETCH_BROKEN, 0);
	} else if (target->draining) {
		reply_short(mesh, work, FETCH_OK, 503);
	} else if (work->kind == FETCH_LEAF && target->lacks == work->version) {
		reply_short(mesh, work, FETCH_OK, 409);
	} else if (cold && target->busy >= mesh->cold_bears) {
		if (target->busy + 1 > target->peak_cold)
			target->peak_cold = target->busy + 1;
		work->running = false;
		fall_over(mesh, target);
		reply_short(mesh, work, FETCH_BROKEN, 0);
	} else if (target->busy < target->listed->slots) {
		serve(mesh, work);
	} else if (target->nwaiting < 64) {
		target->waiting[target->nwaiting++] = work->number;
	} else {
		reply_short(mesh, work, FETCH_OK, 503);
	}
}

static bool is_deadly(const struct work *work)
{
	return work->kind == FETCH_LEAF &&
	       str_eq(buf_str(&work->terms), STR(MESH_DEADLY));
}

static void served(struct mesh *mesh, struct work *work)
{
	struct mesh_target *target = work->target;

	if (!work->running)
		return;
	if (is_deadly(work)) {
		mesh->crashes++;
		mesh_cold(mesh, target);
		return;
	}
	work->running = false;
	target->busy--;
	fill(mesh, target);
	if (target->closes) {
		reply_short(mesh, work, FETCH_BROKEN, 0);
		return;
	}
	if (work->kind == FETCH_ENTRY && target->mute) {
		reply_short(mesh, work, FETCH_TIMEOUT, 0);
		return;
	}
	work->got.shard = work->shard;
	work->got.version = target->answers_version ? target->answers_version
						    : work->version;
	if (work->kind == FETCH_ENTRY)
		buf_printf(&work->rows, "{\"recorded\":true}");
	else
		buf_printf(&work->rows,
			   "[{\"shard\":%u,\"version\":%llu,"
			   "\"terms\":\"%.*s\"}]",
			   work->shard, (unsigned long long)work->got.version,
			   STR_ARG(buf_str(&work->terms)));
	reply_short(mesh, work, FETCH_OK, 200);
}

static void replied(struct mesh *mesh, struct work *work)
{
	struct parsed_reply got = work->got;

	got.body = buf_str(&work->rows);
	mesh_feed(mesh, work->node,
		  (struct event){ .type = EV_FETCH_DONE,
				  .id = work->fetch,
				  .parsed_reply = &got });
	work_free(mesh, work);
}

/* Effects. */

static void do_fetch(struct mesh *mesh, int i, const struct effect *fx)
{
	struct mesh_node *node = &mesh->nodes[i];
	struct work *work = xcalloc(1, sizeof(*work));
	struct mesh_target *target = NULL;

	for (size_t t = 0; t < mesh->ntargets; t++)
		if (str_eq(mesh->targets[t].listed->addr, fx->addr))
			target = &mesh->targets[t];
	if (!target)
		abort();
	work->number = ++mesh->order;
	work->fetch = fx->id;
	work->job = fx->job;
	work->node = i;
	work->incarnation = node->opt.incarnation;
	work->kind = fx->fetch;
	work->target = target;
	work->boot = target->boot;
	work->timeout_at = mesh->now + fx->wait_us +
			   (fx->fetch == FETCH_HEALTH ? 0 : FETCH_GRACE_US);
	work->shard = fx->shard;
	work->version = fx->version;
	buf_str_add(&work->terms, fx->text);
	buf_str_add(&work->body, fx->body);
	apr_hash_set(mesh->works, &work->number, sizeof(work->number), work);
	int64_t hops =
		travel(mesh, node->opt.domain, target->listed->domain->name);

	if (mesh->permits && work->kind == FETCH_LEAF)
		hops = front_hop(mesh) + front_hop(mesh);
	push(mesh, (struct delivery){ .at = mesh->now + hops,
				      .kind = DELIVER_REQUEST,
				      .work = work->number });
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
					.kind = DELIVER_LOST,
					.node = i,
					.incarnation = node->opt.incarnation,
					.from = to });
		return;
	}
	while (copies--) {
		int64_t hops = travel(mesh, node->opt.domain,
				      mesh->nodes[to].opt.domain);

		/* The front has the reply already, see struct mesh. */
		if (mesh->permits && msg.kind == MSG_LEAF_REPLY)
			hops = 0;

		struct delivery delivery = {
			.at = mesh->now + hops,
			.kind = DELIVER_FRAME,
			.node = to,
			.from = i,
		};

		frame_encode(&frame, &delivery.bytes);
		push(mesh, delivery);
	}
}

static void do_read(struct mesh *mesh, int i, const struct effect *fx)
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

static void carry_out(struct mesh *mesh, int i)
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
			do_read(mesh, i, fx);
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

		/* What must hold at all times, checked at every event. */
		if (version < node->seen[kind])
			mesh->fault = "a document's version went back";
		node->seen[kind] = version;
	}
	carry_out(mesh, i);
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

static struct str served_doc(const struct mesh *mesh,
			     const struct delivery *delivery)
{
	const struct mesh_node *node = &mesh->nodes[delivery->node];
	const struct buf *docs =
		node->stale_reader ? mesh->old_docs : mesh->docs;

	return buf_str(&docs[delivery->doc]);
}

static void deliver_doc(struct mesh *mesh, const struct delivery *delivery)
{
	struct mesh_node *node = &mesh->nodes[delivery->node];
	struct str body = delivery->bytes.len ? buf_str(&delivery->bytes)
					      : served_doc(mesh, delivery);
	struct event event = { .doc = delivery->doc, .body = body };
	const struct node *n = node->node;
	uint64_t hash = delivery->doc == DOC_LISTS
				? (n->lists ? n->lists->hash : 0)
				: (n->fleet ? n->fleet->hash : 0);

	event.type = hash == str_hash(body) ? EV_DOC_UNCHANGED : EV_DOC;
	if (mesh->platform_down || node->no_platform)
		event.type = EV_DOC_FAILED;
	mesh_feed(mesh, delivery->node, event);
}

static bool deliver_to_node(struct mesh *mesh, struct delivery *delivery)
{
	struct mesh_node *node = &mesh->nodes[delivery->node];

	if (!node->up || (delivery->incarnation &&
			  delivery->incarnation != node->opt.incarnation))
		return false;
	/* A paused process finds all of it in its sockets when it wakes, as it
	 * was when it came. */
	if (mesh->now < node->paused_until) {
		if (delivery->kind == DELIVER_DOC && !delivery->bytes.len)
			buf_str_add(&delivery->bytes,
				    served_doc(mesh, delivery));
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
					  .id = delivery->work,
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

static bool deliver_work(struct mesh *mesh, struct delivery *delivery)
{
	struct work *work = work_find(mesh, delivery->work);
	struct mesh_node *node;

	if (!work)
		return false;
	if (delivery->kind == DELIVER_REQUEST) {
		at_target(mesh, work);
	} else if (delivery->kind == DELIVER_SERVED) {
		served(mesh, work);
	} else {
		node = &mesh->nodes[work->node];
		if (!node->up || node->opt.incarnation != work->incarnation) {
			work_free(mesh, work);
		} else if (mesh->now < node->paused_until) {
			delivery->at = node->paused_until;
			push(mesh, *delivery);
			return true;
		} else {
			replied(mesh, work);
		}
	}
	return false;
}

void mesh_run(struct mesh *mesh, int64_t us)
{
	int64_t until = mesh->now + us;

	while (mesh->count && mesh->heap[0].at <= until) {
		struct delivery delivery = pop(mesh);
		bool kept;

		mesh->now = delivery.at > mesh->now ? delivery.at : mesh->now;
		if (delivery.kind == DELIVER_REQUEST ||
		    delivery.kind == DELIVER_SERVED ||
		    delivery.kind == DELIVER_REPLY)
			kept = deliver_work(mesh, &delivery);
		else
			kept = deliver_to_node(mesh, &delivery);
		if (!kept)
			buf_free(&delivery.bytes);
	}
	mesh->now = until;
}

size_t mesh_call(struct mesh *mesh, int i, enum event_type type,
		 const char *body)
{
	size_t id = mesh->nanswers++;

	if (id >= MESH_ANSWERS)
		abort();
	mesh->answers[id].asked_at = mesh->now;
	mesh->answers[id].node = i;
	mesh->answers[id].node_up = mesh->nodes[i].up;
	struct delivery call = { .at = mesh->now,
				 .kind = DELIVER_CALL,
				 .node = i,
				 .event = type,
				 .work = id };

	buf_str_add(&call.bytes, str_of(body));
	if (!deliver_to_node(mesh, &call))
		buf_free(&call.bytes);
	return id;
}

/* Operators' and nature's acts. */

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
	memset(node->seen, 0, sizeof(node->seen));
	effects_init(&node->fx, NULL);
	node->node = node_create(&node->opt, mesh->now, &node->fx);
	carry_out(mesh, i);
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
				     .kind = DELIVER_LOST,
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
		if (str_eq(mesh->targets[i].listed->name, str_of(name)))
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
	mesh->works = apr_hash_make(mesh->pool);
	mesh->answers = xcalloc(MESH_ANSWERS, sizeof(*mesh->answers));
	mesh->now = 1000000;
	mesh->rng.seed = seed;
	mesh->latency_us = 200;
	mesh->service_us = 3000;
	mesh->cold_us = 1000000;
	mesh->cold_bears = 1;
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
		mesh->targets[i].listed = &mesh->fleet->targets[i];
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
		apr_hash_index_t *it = apr_hash_first(NULL, mesh->works);
		void *value;

		if (!it)
			break;
		apr_hash_this(it, NULL, NULL, &value);
		work_free(mesh, value);
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
			   i ? "," : "", i, i == layout->out ? "out" : "in");
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
			   i == layout->leaving ? "leaving" : "live",
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
				     .out = -1,
				     .leaving = -1,
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
