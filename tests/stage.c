#include "stage_inner.h"

#include <stdio.h>
#include <stdlib.h>

#include "../xmalloc.h"
#include "stage_dialect.h"

enum {
	PEER_PORT = 7000,
	SETTLE_US = 10000000,
};

struct happen *stage_later(struct stage *stage, int64_t after,
			   enum happen_type type, int node)
{
	struct stage_queue *queue = stage->queue;
	struct happen *happen;

	if (queue->count == queue->cap) {
		queue->cap = queue->cap ? queue->cap * 2 : 256;
		queue->list = xrealloc(queue->list,
				       queue->cap * sizeof(*queue->list));
	}
	happen = &queue->list[queue->count++];
	*happen = (struct happen){ .when = stage->now + after,
				   .order = queue->order++,
				   .type = type,
				   .node = node };
	return happen;
}

static void happen_free(struct happen *happen)
{
	str_free(happen->reply.body);
	str_free(happen->reply.signature);
	str_free(happen->msg.body);
	str_free(happen->msg.name);
	str_free(happen->msg.text);
	str_free(happen->prefix);
	str_free(happen->request_id);
	str_free(happen->uri);
	str_free(happen->expected);
}

/* Nodes. */

static void carry_out(struct stage *stage, int node);

void stage_feed(struct stage *stage, int node, struct flow_event event)
{
	struct stage_node *n = &stage->nodes[node];

	event.now = stage->now;
	if (stage->now == n->frozen_until)
		event.held_us = stage->now - n->last_at;
	else
		n->last_at = stage->now;
	tier_reduce(n->tier, &event, &n->fx);
	carry_out(stage, node);
}

static int node_at(struct stage *stage, struct str addr)
{
	for (int i = 0; i < stage->nnodes; i++)
		if (str_eq(addr, str_of(stage->nodes[i].addr)))
			return i;
	return -1;
}

static int64_t hop(struct stage *stage, int domain, int other)
{
	int64_t us = domain == other ? STAGE_NEAR_US : STAGE_FAR_US;

	return us + (int64_t)rng_below(&stage->rng, 200);
}

/* Nodes talk over connections, which keep the order of what is sent. */
static int64_t in_order(struct stage *stage, int from, int to, int64_t after)
{
	int64_t *last = &stage->arrives_at[from][to];

	if (stage->now + after < *last)
		after = *last - stage->now;
	*last = stage->now + after;
	return after;
}

static void do_tell(struct stage *stage, int node, const struct flow_effect *fx)
{
	int to = node_at(stage, fx->addr);
	struct happen *happen;
	int64_t after;

	if (to < 0)
		return;
	if (!stage->nodes[to].up) {
		happen = stage_later(stage, STAGE_NEAR_US, HAPPEN_LOST, node);
		happen->from = to;
		return;
	}
	if (stage->links_cut[node][to])
		return;
	after = hop(stage, stage->nodes[node].domain, stage->nodes[to].domain);
	happen = stage_later(stage, in_order(stage, node, to, after),
			     HAPPEN_MSG, to);
	happen->from = node;
	happen->incarnation = stage->nodes[node].incarnation;
	happen->to_incarnation = fx->incarnation;
	happen->sent_us = stage->now;
	happen->msg = fx->msg;
	happen->msg.body = str_heap_dup(fx->msg.body);
	happen->msg.name = str_heap_dup(fx->msg.name);
	happen->msg.text = str_heap_dup(fx->msg.text);
}

static void do_send(struct stage *stage, int node, const struct flow_effect *fx)
{
	struct happen *happen =
		stage_later(stage, STAGE_FAR_US, HAPPEN_ARRIVE, node);

	happen->id = fx->id;
	happen->incarnation = stage->nodes[node].incarnation;
	happen->request_id = str_heap_dup(fx->request->request_id);
	happen->uri = str_heap_dup(fx->request->uri);
	happen->expected = str_heap_dup(fx->expected);
	happen->target = -1;
	for (int i = 0; i < stage->ntargets; i++)
		if (stage->targets[i].up &&
		    str_eq(fx->addr, str_of(stage->targets[i].addr)))
			happen->target = i;
	if (happen->target < 0)
		happen->when = stage->now + STAGE_REFUSED_US;
}

static void do_cancel(struct stage *stage, const struct flow_effect *fx,
		      int node)
{
	for (size_t i = 0; i < stage->queue->count; i++) {
		struct happen *happen = &stage->queue->list[i];

		if (happen->type == HAPPEN_REPLY && happen->node == node &&
		    happen->id == fx->id)
			happen->id = 0;
	}
}

static void do_read(struct stage *stage, int node, const struct flow_effect *fx)
{
	bool ok = !stage->store_down && !stage->nodes[node].store_cut;
	struct happen *happen =
		stage_later(stage, STAGE_STORE_US, HAPPEN_STORE, node);

	stage->store_calls++;
	happen->call = fx->read;
	happen->revision = fx->revision;
	happen->store_ok = ok;
	happen->incarnation = stage->nodes[node].incarnation;
	if (ok && fx->read == STORE_WATCH && fx->revision >= stage->revision)
		happen->when = stage->now + fx->time_left_us;
}

/* A part's signature is "CALL.SHARD.TARGET". */
static void judge_parts(struct stage_call *call, int id, struct str signatures)
{
	bool seen[2 * STAGE_SHARDS] = { false };
	char copy[4096];
	char *save = NULL;

	snprintf(copy, sizeof(copy), "%.*s", STR_ARG(signatures));
	for (char *at = strtok_r(copy, ", ", &save); at;
	     at = strtok_r(NULL, ", ", &save)) {
		int of = -1;
		int shard = -1;

		if (sscanf(at, "%d.%d", &of, &shard) != 2 || of != id ||
		    shard < 0 || shard >= 2 * STAGE_SHARDS) {
			call->foreign_part = true;
			continue;
		}
		if (seen[shard])
			call->duplicate_part = true;
		seen[shard] = true;
		call->parts++;
	}
	/* All from one version: either the first shards, or the second. */
	for (int i = 0; i < STAGE_SHARDS; i++)
		for (int j = STAGE_SHARDS; j < 2 * STAGE_SHARDS; j++)
			if (seen[i] && seen[j])
				call->foreign_part = true;
}

static void do_answer(struct stage *stage, const struct flow_effect *fx)
{
	struct stage_call *call;

	if (!fx->id || fx->id > (uint64_t)stage->ncalls)
		return;
	call = &stage->calls[fx->id - 1];
	call->answered_at = stage->now;
	call->status = fx->status;
	call->missing = fx->missing;
	call->retry_after_us = fx->retry_after_us;
	if (!fx->merged)
		return;
	judge_parts(call, (int)fx->id, fx->signatures);
	for (size_t i = 16; i + 16 <= fx->body.len; i += 16)
		if (memcmp(fx->body.ptr + i - 16, fx->body.ptr + i, 16) < 0)
			call->not_greatest = true;
}

/* The log of one question, when a test's result is to be traced. */
static void do_log(const struct stage *stage, int node,
		   const struct flow_effect *fx)
{
	char id[32];
	int len = snprintf(id, sizeof(id), "\"request\":\"%d\"",
			   stage->traced + 1);

	if (stage->traced >= 0 &&
	    memmem(fx->text.ptr, fx->text.len, id, (size_t)len))
		printf("%d %.1f %.*s\n", node, (double)stage->now / 1000,
		       STR_ARG(fx->text));
}

static void carry_out(struct stage *stage, int node)
{
	struct stage_node *n = &stage->nodes[node];

	for (size_t i = 0; i < n->fx.count; i++) {
		struct flow_effect fx = n->fx.list[i];

		if (fx.type == FLOW_PEER_SEND)
			do_tell(stage, node, &fx);
		else if (fx.type == FLOW_SEND)
			do_send(stage, node, &fx);
		else if (fx.type == FLOW_CANCEL)
			do_cancel(stage, &fx, node);
		else if (fx.type == FLOW_READ)
			do_read(stage, node, &fx);
		else if (fx.type == FLOW_ANSWER)
			do_answer(stage, &fx);
		else if (fx.type == FLOW_READY)
			n->ready = fx.on;
		else if (fx.type == FLOW_LOG)
			do_log(stage, node, &fx);
		else if (fx.type == FLOW_EXIT)
			n->exited = true;
	}
	flow_clear(&n->fx);
	tier_reap(n->tier);
}

void stage_start_node(struct stage *stage, int node)
{
	struct stage_node *n = &stage->nodes[node];
	struct tier_options opt = { .settings = &n->settings,
				    .dialect = &stage_dialect,
				    .seed = rng_next(&stage->rng),
				    .without = stage->without };

	n->incarnation = rng_next(&stage->rng) | 1;
	opt.incarnation = n->incarnation;
	n->up = true;
	n->ready = false;
	n->exited = false;
	flow_effects_init(&n->fx, stage->pool);
	n->tier = tier_create(&opt, stage->now, &n->fx);
	n->settings.first_start = false;
	stage_feed(stage, node, (struct flow_event){ .type = FLOW_TICK });
}

void stage_kill_node(struct stage *stage, int node)
{
	struct stage_node *n = &stage->nodes[node];

	if (!n->up)
		return;
	n->up = false;
	n->ready = false;
	tier_destroy(n->tier);
	flow_effects_free(&n->fx);
	n->tier = NULL;
	for (int i = 0; i < stage->nnodes; i++) {
		if (i == node || !stage->nodes[i].up)
			continue;
		stage_later(stage, STAGE_NEAR_US, HAPPEN_LOST, i)->from = node;
	}
}

void stage_stop_node(struct stage *stage, int node)
{
	stage_feed(stage, node, (struct flow_event){ .type = FLOW_STOP });
}

struct stage *stage_create(int nnodes, uint64_t seed)
{
	struct stage *stage = xcalloc(1, sizeof(*stage));

	apr_pool_create(&stage->pool, NULL);
	stage->now = 1000000;
	stage->rng.seed = seed;
	stage->nnodes = nnodes;
	stage->traced = -1;
	stage->queue = xcalloc(1, sizeof(*stage->queue));
	stage->store = xcalloc(1, sizeof(*stage->store));
	for (int i = 0; i < nnodes; i++) {
		struct stage_node *n = &stage->nodes[i];
		struct vm_settings *s = &n->settings;

		n->domain = i % STAGE_DOMAINS;
		snprintf(n->addr, sizeof(n->addr), "10.0.0.%d:%d", i + 1,
			 PEER_PORT);
		s->ip = stage_text(stage->pool, "10.0.0.%d", i + 1);
		s->domain = stage_text(stage->pool, "d%d", n->domain);
		s->peer_port = PEER_PORT;
		s->seeds[0] = STR("10.0.0.1");
		s->seeds[1] = STR("10.0.0.2");
		s->nseeds = 2;
		s->core = 0.25;
		s->drain_us = STAGE_DRAIN_US;
		s->grace_us = 6000000;
		s->retry_ratio = 0.2;
		s->retry_window_us = 10000000;
		s->retry_extra = 60;
		s->cold_factor = 1.5;
		s->cold_extra = 5;
		s->first_start = true;
	}
	return stage;
}

void stage_destroy(struct stage *stage)
{
	for (int i = 0; i < stage->nnodes; i++)
		stage_kill_node(stage, i);
	for (size_t i = 0; i < stage->queue->count; i++)
		happen_free(&stage->queue->list[i]);
	free(stage->queue->list);
	free(stage->queue);
	free(stage->store);
	apr_pool_destroy(stage->pool);
	free(stage);
}

/* What happens. */

static void take_place(struct stage *stage, struct happen *happen)
{
	struct stage_node *n = &stage->nodes[happen->node];

	if (happen->type == HAPPEN_ARRIVE) {
		stage_arrived(stage, happen);
		return;
	}
	if (happen->type == HAPPEN_RETURN) {
		stage_returned(stage, happen->target);
		return;
	}
	if (happen->type == HAPPEN_LAPSE) {
		stage_lapsed(stage, happen->expected);
		return;
	}
	if (!n->up)
		return;
	switch (happen->type) {
	case HAPPEN_REPLY:
		if (!happen->id || happen->incarnation != n->incarnation)
			break;
		if (happen->crash)
			stage_ended(stage, happen);
		stage_feed(stage, happen->node,
			   (struct flow_event){ .type = FLOW_REPLY,
						.id = happen->id,
						.reply = &happen->reply });
		break;
	case HAPPEN_MSG:
		if (happen->to_incarnation &&
		    happen->to_incarnation != n->incarnation)
			break;
		stage_feed(
			stage, happen->node,
			(struct flow_event){
				.type = FLOW_MSG,
				.from = str_of(stage->nodes[happen->from].addr),
				.incarnation = happen->incarnation,
				.sent_us = happen->sent_us,
				.msg = &happen->msg });
		break;
	case HAPPEN_LOST:
		stage_feed(stage, happen->node,
			   (struct flow_event){
				   .type = FLOW_PEER_LOST,
				   .from = str_of(
					   stage->nodes[happen->from].addr) });
		break;
	case HAPPEN_STORE:
		if (happen->incarnation == n->incarnation)
			stage_store_replied(stage, happen);
		break;
	case HAPPEN_ARRIVE:
	case HAPPEN_RETURN:
	case HAPPEN_LAPSE:
		break;
	}
}

static int64_t frozen(const struct stage *stage, int node)
{
	return stage->nodes[node].frozen_until;
}

/* Index of what happens first; what meets a frozen node waits for it. */
static size_t first(struct stage *stage)
{
	struct stage_queue *queue = stage->queue;
	size_t best = SIZE_MAX;

	for (size_t i = 0; i < queue->count; i++) {
		struct happen *happen = &queue->list[i];

		if (happen->type < HAPPEN_ARRIVE &&
		    happen->when < frozen(stage, happen->node))
			happen->when = frozen(stage, happen->node);
		if (best == SIZE_MAX || happen->when < queue->list[best].when ||
		    (happen->when == queue->list[best].when &&
		     happen->order < queue->list[best].order))
			best = i;
	}
	return best;
}

static int first_to_wake(struct stage *stage, int64_t *when)
{
	int best = -1;

	for (int i = 0; i < stage->nnodes; i++) {
		int64_t at;

		if (!stage->nodes[i].up)
			continue;
		at = tier_wake_at(stage->nodes[i].tier);
		if (at < frozen(stage, i))
			at = frozen(stage, i);
		if (best < 0 || at < *when) {
			best = i;
			*when = at;
		}
	}
	return best;
}

void stage_run(struct stage *stage, int64_t us)
{
	int64_t until = stage->now + us;

	for (;;) {
		int64_t wake_at = INT64_MAX;
		size_t next = first(stage);
		int waker = first_to_wake(stage, &wake_at);
		int64_t when = next == SIZE_MAX ? INT64_MAX
						: stage->queue->list[next].when;

		if ((waker < 0 || wake_at > until) && when > until)
			break;
		if (when <= wake_at) {
			struct happen happen = stage->queue->list[next];

			stage->queue->list[next] =
				stage->queue->list[--stage->queue->count];
			if (when > stage->now)
				stage->now = when;
			take_place(stage, &happen);
			happen_free(&happen);
		} else {
			if (wake_at > stage->now)
				stage->now = wake_at;
			stage_feed(stage, waker,
				   (struct flow_event){ .type = FLOW_TICK });
		}
	}
	stage->now = until;
}

void stage_settle(struct stage *stage)
{
	for (int64_t waited = 0; waited < SETTLE_US; waited += 100000) {
		int ready = 0;

		for (int i = 0; i < stage->nnodes; i++)
			ready += stage->nodes[i].ready;
		if (ready == stage->nnodes)
			break;
		stage_run(stage, 100000);
	}
	/* Word of each other goes round in a few periods. */
	stage_run(stage, 3000000);
}

int stage_ask(struct stage *stage, int node, enum stage_kind kind,
	      const struct stage_asked *asked)
{
	static const char *const paths[] = { "/all/", "/strict/", "/one/",
					     "/once/" };
	int index = stage->ncalls++;
	char id[16];
	char uri[64];
	struct flow_request request = {
		.method = kind == STAGE_ONCE ? STR("POST") : STR("GET"),
		.host = STR("h"),
		.caller = str_of(asked->caller),
		.time_left_us = TIMEOUT_US,
	};

	snprintf(id, sizeof(id), "%d", index + 1);
	snprintf(uri, sizeof(uri), "%s%s", paths[kind], asked->query);
	request.request_id = str_of(id);
	request.uri = str_of(uri);
	stage->calls[index] = (struct stage_call){ .kind = kind,
						   .start = stage->now,
						   .deadly = asked->deadly };
	stage_feed(stage, node,
		   (struct flow_event){ .type = FLOW_REQUEST,
					.id = (uint64_t)index + 1,
					.request = &request });
	return index;
}

int stage_call(struct stage *stage, int node, enum stage_kind kind)
{
	return stage_ask(stage, node, kind,
			 &(struct stage_asked){ .query = "x" });
}
