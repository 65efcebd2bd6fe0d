#include "stage_inner.h"

#include <stdio.h>
#include <stdlib.h>

#include "../xmalloc.h"

enum {
	SERVICE_US = 8000,
	RECORDS = 3,
	/* A target that crashed is back after this time, or up to half more. */
	RETURN_US = 1200000,
	/* Its entry goes after this time of silence. */
	LAPSE_US = 3600000,
	OUT_US = 5000000,
};
static double draw(struct stage *stage)
{
	return (double)rng_below(&stage->rng, 1000000) / 1e6;
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
		    happen->when > stage->now + STAGE_STORE_US)
			happen->when = stage->now + STAGE_STORE_US;
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

void stage_lapsed(struct stage *stage, struct str id)
{
	char key[64];

	snprintf(key, sizeof(key), "all/t/%.*s", STR_ARG(id));
	store_put(stage, key, NULL);
}

void stage_unpublish(struct stage *stage, int target)
{
	stage_lapsed(stage, str_of(stage->targets[target].id));
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

/* Targets. */

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
	if (t->left_at && stage->now - t->left_at > STAGE_DRAIN_US)
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

	happen = stage_later(stage, after, HAPPEN_REPLY, node);
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
		happen->when = stage->now + STAGE_NEAR_US;
	}
	stage_later(stage,
		    RETURN_US + (int64_t)rng_below(&stage->rng, RETURN_US / 2),
		    HAPPEN_RETURN, 0)
		->target = target;
	if (t->keeps_id)
		return;
	lapse = stage_later(stage, LAPSE_US, HAPPEN_LAPSE, 0);
	lapse->expected = str_heap_dup(str_of(t->id));
}

void stage_ended(struct stage *stage, const struct happen *happen)
{
	crash(stage, happen->target, stage->calls[happen->call_id - 1].deadly);
}

void stage_crash(struct stage *stage, int target)
{
	crash(stage, target, 0);
}

void stage_returned(struct stage *stage, int target)
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

void stage_arrived(struct stage *stage, const struct happen *happen)
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
		reply_later(stage, happen, STAGE_REFUSED_US, reply);
		return;
	}
	t = &stage->targets[happen->target];
	if (!str_eq(happen->expected, str_of(t->id))) {
		reply.status = 421;
		reply.other = reply.not_run = true;
		reply_later(stage, happen, STAGE_FAR_US, reply);
		return;
	}
	count_arrival(stage, t, call_id);
	if (draw(stage) < t->shed) {
		reply.status = 503;
		reply.not_run = true;
		reply_later(stage, happen, STAGE_FAR_US, reply);
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
	reply.signature = str_heap_dup(str_of(signature));
	reply.body = make_records(stage);
	reply_later(stage, happen, took, reply);
}

void stage_store_replied(struct stage *stage, const struct happen *happen)
{
	struct store_item items[STAGE_STORE_KEYS];
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
	stage_feed(stage, happen->node,
		   (struct flow_event){ .type = FLOW_STORE, .store = &store });
}
