#include "stage.h"

#include <stdio.h>
#include <stdlib.h>

#include "../xmalloc.h"
#include "stage_dialect.h"

enum {
	NEAR_US = 200,
	FAR_US = 900,
	STORE_US = 2000,
	HANDSHAKE_REFUSED_US = 300,
	SERVICE_US = 8000,
	PEER_PORT = 7000,
	RECORDS = 3,
	SETTLE_US = 10000000,
	DRAIN_US = 3000000,
	/* A target that crashed is back after this time, or up to half more. */
	RETURN_US = 1200000,
	/* Its entry goes after this time of silence. */
	LAPSE_US = 3600000,
	STORE_KEYS = 2048,
	OUT_US = 5000000,
};

/* What happens later. */

enum happen_type {
	HAPPEN_REPLY,
	HAPPEN_MSG,
	HAPPEN_LOST,
	HAPPEN_STORE,
	HAPPEN_ARRIVE,
	HAPPEN_RETURN, /* of a target that crashed */
	HAPPEN_LAPSE, /* of its entry: expected */
};

/** struct happen - one thing that will happen; strings on the heap */
struct happen {
	int64_t when;
	uint64_t order;
	enum happen_type type;
	int node;
	int from;
	uint64_t incarnation;
	uint64_t to_incarnation;
	uint64_t id;
	struct flow_reply reply;
	struct msg msg;
	int target;
	int call_id; /* of a reply whose target crashes with it */
	bool crash;
	int64_t sent_us;
	enum store_call call;
	uint64_t revision;
	bool store_ok;
	struct str prefix;
	struct str request_id;
	struct str uri;
	struct str expected;
	bool counted;
};

struct stage_queue {
	struct happen *list;
	size_t count;
	size_t cap;
	uint64_t order;
};

struct store_key {
	char key[64];
	char value[128];
	uint64_t revision;
	bool deleted;
};

struct stage_store {
	struct store_key keys[STORE_KEYS];
	int nkeys;
};

static double draw(struct stage *stage)
{
	return (double)rng_below(&stage->rng, 1000000) / 1e6;
}

static struct happen *later(struct stage *stage, int64_t after,
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

/* Store. */

static struct store_key *store_get(struct stage *stage, const char *key)
{
	struct stage_store *store = stage->store;

	for (int i = 0; i < store->nkeys; i++)
		if (!strcmp(store->keys[i].key, key))
			return &store->keys[i];
	snprintf(store->keys[store->nkeys].key,
		 sizeof(store->keys[store->nkeys].key), "%s", key);
	return &store->keys[store->nkeys++];
}

/* Calls that wait for a change are answered by it. */
static void store_changed(struct stage *stage)
{
	for (size_t i = 0; i < stage->queue->count; i++) {
		struct happen *happen = &stage->queue->list[i];

		if (happen->type == HAPPEN_STORE &&
		    happen->call == STORE_WATCH &&
		    happen->when > stage->now + STORE_US)
			happen->when = stage->now + STORE_US;
	}
}

static void store_put(struct stage *stage, const char *key, const char *value)
{
	struct store_key *held = store_get(stage, key);

	held->revision = ++stage->revision;
	held->deleted = !value;
	snprintf(held->value, sizeof(held->value), "%s", value ? value : "");
	store_changed(stage);
}

void stage_configure(struct stage *stage, uint64_t version)
{
	char value[32];

	snprintf(value, sizeof(value), "%llu", (unsigned long long)version);
	stage->version = version;
	store_put(stage, "all/c", value);
}

void stage_domain(struct stage *stage, int domain, bool out)
{
	char key[32];

	snprintf(key, sizeof(key), "all/o/d%d", domain);
	stage->out_since[domain] = out ? stage->now : 0;
	store_put(stage, key, out ? "out" : NULL);
}

void stage_publish(struct stage *stage, int target)
{
	const struct stage_target *t = &stage->targets[target];
	char key[64];
	char value[128];

	snprintf(key, sizeof(key), "all/t/%s", t->id);
	snprintf(value, sizeof(value), "%s %s %d %d %d", t->service, t->addr,
		 t->domain, t->leaving, t->starts + 1);
	store_put(stage, key, value);
}

static void remove_entry(struct stage *stage, struct str id)
{
	char key[64];

	snprintf(key, sizeof(key), "all/t/%.*s", STR_ARG(id));
	store_put(stage, key, NULL);
}

void stage_unpublish(struct stage *stage, int target)
{
	remove_entry(stage, str_of(stage->targets[target].id));
}

int stage_add_target(struct stage *stage, const char *service, int domain)
{
	int index = stage->ntargets++;
	struct stage_target *t = &stage->targets[index];

	*t = (struct stage_target){ .domain = domain,
				    .up = true,
				    .service_us = SERVICE_US };
	snprintf(t->id, sizeof(t->id), "i%d", index);
	snprintf(t->addr, sizeof(t->addr), "10.9.%d.%d:80", domain, index);
	snprintf(t->service, sizeof(t->service), "%s", service);
	stage_publish(stage, index);
	return index;
}

void stage_add_targets(struct stage *stage, const char *prefix, int each)
{
	for (int i = 0; i < STAGE_SHARDS; i++) {
		char service[16];

		snprintf(service, sizeof(service), "%s%d", prefix, i);
		for (int j = 0; j < each; j++)
			stage_add_target(stage, service,
					 (i + j) % STAGE_DOMAINS);
	}
}

/* Nodes. */

static void carry_out(struct stage *stage, int node);

static void feed(struct stage *stage, int node, struct flow_event event)
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
	int64_t us = domain == other ? NEAR_US : FAR_US;

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
		happen = later(stage, NEAR_US, HAPPEN_LOST, node);
		happen->from = to;
		return;
	}
	if (stage->links_cut[node][to])
		return;
	after = hop(stage, stage->nodes[node].domain, stage->nodes[to].domain);
	happen = later(stage, in_order(stage, node, to, after), HAPPEN_MSG, to);
	happen->from = node;
	happen->incarnation = stage->nodes[node].incarnation;
	happen->to_incarnation = fx->incarnation;
	happen->sent_us = stage->now;
	happen->msg = fx->msg;
	happen->msg.body = str_keep(fx->msg.body);
	happen->msg.name = str_keep(fx->msg.name);
	happen->msg.text = str_keep(fx->msg.text);
}

static void do_send(struct stage *stage, int node, const struct flow_effect *fx)
{
	struct happen *happen = later(stage, FAR_US, HAPPEN_ARRIVE, node);

	happen->id = fx->id;
	happen->incarnation = stage->nodes[node].incarnation;
	happen->request_id = str_keep(fx->request->request_id);
	happen->uri = str_keep(fx->request->uri);
	happen->expected = str_keep(fx->expected);
	happen->target = -1;
	for (int i = 0; i < stage->ntargets; i++)
		if (stage->targets[i].up &&
		    str_eq(fx->addr, str_of(stage->targets[i].addr)))
			happen->target = i;
	if (happen->target < 0)
		happen->when = stage->now + HANDSHAKE_REFUSED_US;
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
	struct happen *happen = later(stage, STORE_US, HAPPEN_STORE, node);

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
	feed(stage, node, (struct flow_event){ .type = FLOW_TICK });
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
		later(stage, NEAR_US, HAPPEN_LOST, i)->from = node;
	}
}

void stage_stop_node(struct stage *stage, int node)
{
	feed(stage, node, (struct flow_event){ .type = FLOW_STOP });
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
		s->drain_us = DRAIN_US;
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

static int shard_of(const struct stage_target *t)
{
	if (t->service[0] == 's' && t->service[1] != 'i')
		return atoi(t->service + 1);
	if (t->service[0] == 'r')
		return STAGE_SHARDS + atoi(t->service + 1);
	return -1;
}

static void count_arrival(struct stage *stage, struct stage_target *t,
			  int call_id)
{
	struct stage_call *call = &stage->calls[call_id - 1];
	int shard = shard_of(t);
	size_t place = (size_t)(t - stage->targets);
	uint64_t bit = 1ULL << place % 64;
	uint64_t *asked;

	t->arrivals++;
	if (t->left_at && stage->now - t->left_at > DRAIN_US)
		stage->late_for_left++;
	if (stage->out_since[t->domain] &&
	    stage->now - stage->out_since[t->domain] > OUT_US)
		stage->late_for_out++;
	if (shard < 0)
		return;
	if (call->targets_of_shard[shard])
		stage->extra_sends++;
	else
		stage->first_sends++;
	asked = &call->asked[shard][place / 64];
	/* The same target once more is an extra send, but no further target. */
	if (*asked & bit)
		return;
	*asked |= bit;
	call->targets_of_shard[shard]++;
}

static struct str make_records(struct stage *stage)
{
	char *bytes = xmalloc((size_t)RECORDS * 16);

	for (int i = 0; i < RECORDS * 16; i++)
		bytes[i] = (char)rng_next(&stage->rng);
	return (struct str){ bytes, (size_t)RECORDS * 16 };
}

static struct happen *reply_later(struct stage *stage,
				  const struct happen *from, int64_t after,
				  struct flow_reply reply)
{
	struct happen *happen;
	int node = from->node;
	uint64_t id = from->id;
	uint64_t incarnation = from->incarnation;
	int target = from->target;

	happen = later(stage, after, HAPPEN_REPLY, node);
	happen->id = id;
	happen->incarnation = incarnation;
	happen->target = target;
	happen->reply = reply;
	return happen;
}

/* All that it works on breaks with it. */
static void crash(struct stage *stage, int target, int deadly)
{
	struct stage_target *t = &stage->targets[target];
	struct stage_deadly *books = &stage->deadly[deadly];
	struct happen *lapse;

	if (!t->up)
		return;
	t->up = false;
	t->returning = true;
	if (++books->crashes == 3)
		books->third_at = stage->now;
	for (size_t i = 0; i < stage->queue->count; i++) {
		struct happen *happen = &stage->queue->list[i];

		if (happen->type != HAPPEN_REPLY || happen->target != target)
			continue;
		happen->reply.result = FETCH_BROKEN;
		happen->when = stage->now + NEAR_US;
	}
	later(stage, RETURN_US + (int64_t)rng_below(&stage->rng, RETURN_US / 2),
	      HAPPEN_RETURN, 0)
		->target = target;
	if (t->keeps_id)
		return;
	lapse = later(stage, LAPSE_US, HAPPEN_LAPSE, 0);
	lapse->expected = str_keep(str_of(t->id));
}

void stage_crash(struct stage *stage, int target)
{
	crash(stage, target, 0);
}

static void come_back(struct stage *stage, int target)
{
	struct stage_target *t = &stage->targets[target];

	t->starts++;
	t->returning = false;
	t->up = true;
	memset(t->slot_free_at, 0, sizeof(t->slot_free_at));
	if (!t->keeps_id)
		snprintf(t->id, sizeof(t->id), "i%d.%d", target, t->starts);
	stage_publish(stage, target);
}

static void note_late(struct stage *stage, struct stage_call *call, int node)
{
	struct stage_deadly *books = &stage->deadly[call->deadly];
	int64_t troubled_at = stage->nodes[node].troubled_at;

	if (call->reached_late || !books->third_at ||
	    stage->now - books->third_at <= STAGE_STABLE_US ||
	    (troubled_at && stage->now - troubled_at <= STAGE_STABLE_US))
		return;
	call->reached_late = true;
	books->late++;
}

/* Return: when a request that takes @took ends; holds a slot until then. */
static int64_t end_of_run(const struct stage *stage, struct stage_target *t,
			  int64_t took)
{
	int64_t start = stage->now;
	int best = 0;

	for (int i = 1; i < t->slots; i++)
		if (t->slot_free_at[i] < t->slot_free_at[best])
			best = i;
	if (t->slots && t->slot_free_at[best] > start)
		start = t->slot_free_at[best];
	if (t->paused_until > start)
		start = t->paused_until;
	t->slot_free_at[best] = start + took;
	return start + took;
}

static void on_arrive(struct stage *stage, const struct happen *happen)
{
	struct flow_reply reply = { .result = FETCH_OK,
				    .cold_us = -1,
				    .running = -1 };
	struct stage_target *t;
	int call_id = atoi(happen->request_id.ptr);
	struct happen *end_it;
	char signature[64];
	int64_t took;

	if (happen->target < 0 || !stage->targets[happen->target].up) {
		reply.result = FETCH_REFUSED;
		reply_later(stage, happen, HANDSHAKE_REFUSED_US, reply);
		return;
	}
	t = &stage->targets[happen->target];
	if (!str_eq(happen->expected, str_of(t->id))) {
		reply.status = 421;
		reply.other = reply.not_run = true;
		reply_later(stage, happen, FAR_US, reply);
		return;
	}
	count_arrival(stage, t, call_id);
	if (draw(stage) < t->shed) {
		reply.status = 503;
		reply.not_run = true;
		reply_later(stage, happen, FAR_US, reply);
		return;
	}
	stage->calls[call_id - 1].runs++;
	if (t->silent)
		return;
	took = t->service_us / 2 +
	       (int64_t)rng_below(&stage->rng, (uint64_t)t->service_us);
	took = end_of_run(stage, t, took) - stage->now;
	if (stage->calls[call_id - 1].deadly) {
		note_late(stage, &stage->calls[call_id - 1], happen->node);
		reply.result = FETCH_BROKEN;
		/* All at the same time, so that others lose all connections. */
		took = stage->deadly_us ? stage->deadly_us : t->service_us;
		end_it = reply_later(stage, happen, took, reply);
		end_it->crash = true;
		end_it->call_id = call_id;
		return;
	}
	if (draw(stage) < t->lose) {
		reply.result = FETCH_BROKEN;
		reply_later(stage, happen, took, reply);
		return;
	}
	snprintf(signature, sizeof(signature), "%d.%d.%s", call_id, shard_of(t),
		 t->id);
	reply.status = 200;
	reply.signature = str_keep(str_of(signature));
	reply.body = make_records(stage);
	reply_later(stage, happen, took, reply);
}

static void on_store(struct stage *stage, const struct happen *happen)
{
	struct store_item items[STORE_KEYS];
	struct store_reply reply = { .items = items,
				     .revision = stage->revision };
	struct flow_store store = { .call = happen->call,
				    .ok = happen->store_ok &&
					  !stage->store_down,
				    .why = "no reply in time",
				    .reply = &reply };

	for (int i = 0; i < stage->store->nkeys; i++) {
		const struct store_key *key = &stage->store->keys[i];

		if (happen->call == STORE_WATCH
			    ? key->revision <= happen->revision
			    : key->deleted)
			continue;
		items[reply.count++] =
			(struct store_item){ str_of(key->key),
					     str_of(key->value), key->revision,
					     key->deleted };
	}
	feed(stage, happen->node,
	     (struct flow_event){ .type = FLOW_STORE, .store = &store });
}

static void take_place(struct stage *stage, struct happen *happen)
{
	struct stage_node *n = &stage->nodes[happen->node];

	if (happen->type == HAPPEN_ARRIVE) {
		on_arrive(stage, happen);
		return;
	}
	if (happen->type == HAPPEN_RETURN) {
		come_back(stage, happen->target);
		return;
	}
	if (happen->type == HAPPEN_LAPSE) {
		remove_entry(stage, happen->expected);
		return;
	}
	if (!n->up)
		return;
	switch (happen->type) {
	case HAPPEN_REPLY:
		if (!happen->id || happen->incarnation != n->incarnation)
			break;
		if (happen->crash)
			crash(stage, happen->target,
			      stage->calls[happen->call_id - 1].deadly);
		feed(stage, happen->node,
		     (struct flow_event){ .type = FLOW_REPLY,
					  .id = happen->id,
					  .reply = &happen->reply });
		break;
	case HAPPEN_MSG:
		if (happen->to_incarnation &&
		    happen->to_incarnation != n->incarnation)
			break;
		feed(stage, happen->node,
		     (struct flow_event){
			     .type = FLOW_MSG,
			     .from = str_of(stage->nodes[happen->from].addr),
			     .incarnation = happen->incarnation,
			     .sent_us = happen->sent_us,
			     .msg = &happen->msg });
		break;
	case HAPPEN_LOST:
		feed(stage, happen->node,
		     (struct flow_event){
			     .type = FLOW_PEER_LOST,
			     .from = str_of(stage->nodes[happen->from].addr) });
		break;
	case HAPPEN_STORE:
		if (happen->incarnation == n->incarnation)
			on_store(stage, happen);
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
			feed(stage, waker,
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
	feed(stage, node,
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
