/*
 * Stand-in of the targets: hosts every leaf of a fleet document on its
 * loopback address, with slots, connection cost, cold start, stragglers,
 * versions, drain, shedding and lying reports. Keeps the true books.
 *
 *   fake-targets IP:PORT FLEET.json [KEY=VALUE]...   (keys: struct knobs)
 *   GET /set?target=NAME|all&domain=NAME&KEY=VALUE...
 *   GET /book         totals and a line a target
 *   GET /reset        forget the books
 */
#include <stdio.h>
#include <stdlib.h>

#include <apr_general.h>
#include <apr_hash.h>

#include "../config.h"
#include "../doc.h"
#include "../http.h"
#include "../rng.h"
#include "../timer.h"
#include "../xmalloc.h"

enum {
	QUEUE_MAX = 64,
	COLD_SLOWDOWN = 3,
	RESTART_US = 50000,
	BODY_MAX = 1024 * 1024
};

/** struct knobs - behaviour; each can be set for all or for one target */
struct knobs {
	int64_t service_us; /* mean service time of a leaf request */
	int64_t connect_us; /* added to a connection's first request */
	int64_t cold_us; /* length of a cold start */
	int64_t cold_bears; /* requests at a time while cold */
	int64_t straggle_pm; /* stragglers per mille */
	int64_t factor; /* how much slower a straggler is */
	int64_t draining;
	int64_t lie_idle; /* report no load, whatever is in progress */
	int64_t shed; /* answer 503 to all */
	int64_t close; /* read the request and close */
	int64_t truncate; /* answer with a broken body */
	int64_t wrong_version;
	int64_t lacks; /* snapshot version that it does not have */
	int64_t dead; /* close every connection at once */
	int64_t mute; /* run entries and never answer */
	int64_t padding; /* bytes added to each row */
};

struct leaf;

struct work {
	struct http_request *req;
	struct leaf *leaf;
	uint64_t number;
	uint64_t job;
	bool running;
	bool is_entry;
	int64_t extra_us;
	struct work *next;
};

struct leaf {
	struct farm *farm;
	const struct fleet_target *listed;
	struct http_server *server;
	struct knobs knobs;
	uint64_t boot;
	int64_t up_at; /* takes no requests before */
	int64_t cold_until;
	struct work *works;
	int busy;
	int waiting;
	int peak;
	int peak_cold;
	uint64_t started;
	uint64_t entries;
	uint64_t sheds;
	uint64_t cancels;
	uint64_t overruns;
	uint64_t wasted;
	int64_t last_work;
};

struct farm {
	struct loop *loop;
	struct fleet *fleet;
	struct leaf *leafs;
	struct timers timers;
	struct rng rng;
	apr_hash_t *works; /* number -> work */
	apr_hash_t *runs; /* entry hash -> count */
	apr_pool_t *pool;
	uint64_t last;
};

struct knob {
	const char *name;
	size_t offset;
};

#define KNOB(name) \
	{ \
#name, offsetof(struct knobs, name) \
	}
static const struct knob knob_table[] = {
	KNOB(service_us), KNOB(connect_us),  KNOB(cold_us),
	KNOB(cold_bears), KNOB(straggle_pm), KNOB(factor),
	KNOB(draining),	  KNOB(lie_idle),    KNOB(shed),
	KNOB(close),	  KNOB(truncate),    KNOB(wrong_version),
	KNOB(lacks),	  KNOB(dead),	     KNOB(mute),
	KNOB(padding),
};
enum {
	KNOBS = sizeof(knob_table) / sizeof(*knob_table)
};

static int64_t *knob_at(struct knobs *knobs, size_t i)
{
	return (int64_t *)((char *)knobs + knob_table[i].offset);
}

static int64_t query_int(struct http_request *req, const char *key,
			 int64_t other)
{
	struct str value = http_query(req, key);

	return value.len ? strtoll(value.ptr, NULL, 10) : other;
}

static bool is_cold(const struct leaf *leaf)
{
	return loop_now() < leaf->cold_until;
}

static void go_cold(struct leaf *leaf)
{
	leaf->boot = rng_next(&leaf->farm->rng);
	leaf->up_at = loop_now() + RESTART_US;
	leaf->cold_until = leaf->up_at + leaf->knobs.cold_us;
}

static void head_json(const struct leaf *leaf, struct buf *out)
{
	buf_printf(out, "{\"boot\":\"%llx\",\"load\":%d,\"draining\":%s",
		   (unsigned long long)leaf->boot,
		   leaf->knobs.lie_idle ? 0 : leaf->busy + leaf->waiting,
		   leaf->knobs.draining ? "true" : "false");
}

static void work_free(struct work *work)
{
	struct leaf *leaf = work->leaf;
	struct work **at = &leaf->works;

	while (*at != work)
		at = &(*at)->next;
	*at = work->next;
	if (work->running)
		leaf->busy--;
	else
		leaf->waiting--;
	apr_hash_set(leaf->farm->works, &work->number, sizeof(work->number),
		     NULL);
	free(work);
}

static int64_t service_time(struct leaf *leaf, const struct work *work)
{
	struct rng *rng = &leaf->farm->rng;
	int64_t mean = leaf->knobs.service_us;
	int64_t time = mean / 2 + (int64_t)rng_below(rng, (uint64_t)mean + 1);

	if ((int64_t)rng_below(rng, 1000) < leaf->knobs.straggle_pm)
		time *= leaf->knobs.factor;
	if (is_cold(leaf))
		time *= COLD_SLOWDOWN;
	return time + work->extra_us;
}

static void count_run(struct leaf *leaf, struct str body)
{
	apr_hash_t *runs = leaf->farm->runs;
	uint64_t key = str_hash(body);
	uint64_t *count = apr_hash_get(runs, &key, sizeof(key));

	leaf->entries++;
	if (!count) {
		uint64_t *pair =
			apr_pcalloc(leaf->farm->pool, 2 * sizeof(uint64_t));

		pair[0] = key;
		count = &pair[1];
		apr_hash_set(runs, &pair[0], sizeof(uint64_t), count);
	}
	++*count;
}

static void start(struct leaf *leaf, struct work *work)
{
	work->running = true;
	leaf->waiting--;
	leaf->busy++;
	leaf->started++;
	leaf->last_work = loop_now();
	if (leaf->busy > leaf->peak)
		leaf->peak = leaf->busy;
	if (is_cold(leaf) && leaf->busy > leaf->peak_cold)
		leaf->peak_cold = leaf->busy;
	if (work->is_entry)
		count_run(leaf, work->req->body);
	timer_add(&leaf->farm->timers, loop_now() + service_time(leaf, work),
		  TIMER_JOB, work->number);
}

static void fill(struct leaf *leaf)
{
	struct work *oldest;

	while (leaf->busy < leaf->listed->slots) {
		oldest = NULL;
		for (struct work *w = leaf->works; w; w = w->next)
			if (!w->running)
				oldest = w;
		if (!oldest)
			return;
		start(leaf, oldest);
	}
}

/* More than a cold target bears: it falls over and starts cold once more. */
static void fall_over(struct leaf *leaf)
{
	leaf->overruns++;
	while (leaf->works) {
		http_abort(leaf->works->req);
		work_free(leaf->works);
	}
	go_cold(leaf);
}

static void reply_short(struct leaf *leaf, struct http_request *req, int status,
			const char *field)
{
	struct buf out = { 0 };

	head_json(leaf, &out);
	buf_printf(&out, ",%s}", field);
	http_respond_json(req, status, buf_str(&out));
	buf_free(&out);
}

static void reply_work(struct leaf *leaf, const struct work *work)
{
	struct http_request *req = work->req;
	int64_t shard = query_int(req, "shard", 0);
	int64_t version = query_int(req, "version", 0);
	struct buf out = { 0 };

	if (leaf->knobs.wrong_version)
		version++;
	head_json(leaf, &out);
	buf_printf(&out, ",\"job\":%llu", (unsigned long long)work->job);
	if (work->is_entry) {
		buf_printf(&out, ",\"entry\":{\"recorded\":%.*s}}",
			   STR_ARG(req->body));
	} else {
		buf_printf(&out, ",\"shard\":%lld,\"version\":%lld",
			   (long long)shard, (long long)version);
		buf_printf(&out,
			   ",\"rows\":[{\"shard\":%lld,\"version\":%lld,"
			   "\"terms\":",
			   (long long)shard, (long long)version);
		buf_json_add(&out, http_query(req, "terms"));
		buf_printf(&out, ",\"pad\":\"%*s\"}]}",
			   (int)leaf->knobs.padding, "");
	}
	if (leaf->knobs.truncate)
		out.len /= 2;
	http_respond_json(req, 200, buf_str(&out));
	buf_free(&out);
}

static void finish(struct farm *farm, uint64_t number)
{
	struct work *work = apr_hash_get(farm->works, &number, sizeof(number));

	if (!work)
		return;

	struct leaf *leaf = work->leaf;

	if (leaf->knobs.close)
		http_abort(work->req);
	else if (!(work->is_entry && leaf->knobs.mute))
		reply_work(leaf, work);
	work_free(work);
	fill(leaf);
}

static void accept_work(struct leaf *leaf, struct http_request *req,
			bool is_entry)
{
	struct farm *farm = leaf->farm;
	int in_hand = leaf->busy + leaf->waiting;

	if (leaf->knobs.draining) {
		reply_short(leaf, req, 503, "\"error\":\"draining\"");
		return;
	}
	if (leaf->knobs.shed || leaf->waiting >= QUEUE_MAX) {
		leaf->sheds++;
		reply_short(leaf, req, 503, "\"error\":\"shed\"");
		return;
	}
	if (leaf->knobs.lacks == query_int(req, "version", -1)) {
		reply_short(leaf, req, 409, "\"error\":\"version\"");
		return;
	}

	struct work *work = xcalloc(1, sizeof(*work));

	work->req = req;
	work->leaf = leaf;
	work->number = ++farm->last;
	work->job = (uint64_t)query_int(req, "job", 0);
	work->is_entry = is_entry;
	work->extra_us = req->first ? leaf->knobs.connect_us : 0;
	work->next = leaf->works;
	leaf->works = work;
	leaf->waiting++;
	apr_hash_set(farm->works, &work->number, sizeof(work->number), work);
	if (is_cold(leaf) && in_hand >= leaf->knobs.cold_bears) {
		if (in_hand + 1 > leaf->peak_cold)
			leaf->peak_cold = in_hand + 1;
		fall_over(leaf);
		return;
	}
	fill(leaf);
}

static void cancel(struct leaf *leaf, struct http_request *req)
{
	uint64_t job = (uint64_t)query_int(req, "job", 0);

	leaf->cancels++;
	for (struct work *w = leaf->works; w; w = w->next) {
		if (w->job != job || w->is_entry)
			continue;
		leaf->wasted += w->running;
		reply_short(leaf, w->req, 499, "\"error\":\"cancelled\"");
		work_free(w);
		fill(leaf);
		break;
	}
	reply_short(leaf, req, 200, "\"health\":\"ok\"");
}

static void on_request(void *ctx, struct http_request *req)
{
	struct leaf *leaf = ctx;

	if (leaf->knobs.dead || loop_now() < leaf->up_at)
		http_abort(req);
	else if (str_eq(req->path, STR("/leaf")))
		accept_work(leaf, req, false);
	else if (str_eq(req->path, STR("/entry")))
		accept_work(leaf, req, true);
	else if (str_eq(req->path, STR("/cancel")))
		cancel(leaf, req);
	else
		reply_short(leaf, req, 200, "\"health\":\"ok\"");
}

static void on_gone(void *ctx, struct http_request *req)
{
	struct leaf *leaf = ctx;

	for (struct work *w = leaf->works; w; w = w->next) {
		if (w->req != req)
			continue;
		leaf->wasted += w->running;
		work_free(w);
		fill(leaf);
		return;
	}
}

/* Control. */

static void restart(struct leaf *leaf)
{
	fall_over(leaf);
	leaf->overruns--;
}

static void set_leaf(struct leaf *leaf, struct http_request *req)
{
	for (size_t i = 0; i < KNOBS; i++) {
		int64_t *value = knob_at(&leaf->knobs, i);

		*value = query_int(req, knob_table[i].name, *value);
	}
	if (query_int(req, "restart", 0))
		restart(leaf);
}

static void set(struct farm *farm, struct http_request *req)
{
	struct str name = http_query(req, "target");
	struct str domain = http_query(req, "domain");

	for (size_t i = 0; i < farm->fleet->ntargets; i++) {
		struct leaf *leaf = &farm->leafs[i];

		if (name.len && !str_eq(name, STR("all")) &&
		    !str_eq(name, leaf->listed->name))
			continue;
		if (domain.len && !str_eq(domain, leaf->listed->domain->name))
			continue;
		set_leaf(leaf, req);
	}
}

static uint64_t max_runs(struct farm *farm)
{
	uint64_t most = 0;

	for (apr_hash_index_t *it = apr_hash_first(NULL, farm->runs); it;
	     it = apr_hash_next(it)) {
		void *value;

		apr_hash_this(it, NULL, NULL, &value);
		if (*(uint64_t *)value > most)
			most = *(uint64_t *)value;
	}
	return most;
}

static void book(struct farm *farm, struct buf *out)
{
	buf_printf(out, "{\"entries\":%u,\"max_runs\":%llu,\"now_us\":%lld",
		   apr_hash_count(farm->runs),
		   (unsigned long long)max_runs(farm), (long long)loop_now());
	buf_str_add(out, STR(",\"targets\":["));
	for (size_t i = 0; i < farm->fleet->ntargets; i++) {
		const struct leaf *leaf = &farm->leafs[i];

		buf_printf(out, "%s{\"target\":", i ? "," : "");
		buf_json_add(out, leaf->listed->name);
		buf_printf(out,
			   ",\"domain\":\"%.*s\",\"busy\":%d"
			   ",\"waiting\":%d",
			   STR_ARG(leaf->listed->domain->name), leaf->busy,
			   leaf->waiting);
		buf_printf(out,
			   ",\"started\":%llu,\"entries\":%llu,\"peak\":%d"
			   ",\"peak_cold\":%d,\"overruns\":%llu",
			   (unsigned long long)leaf->started,
			   (unsigned long long)leaf->entries, leaf->peak,
			   leaf->peak_cold, (unsigned long long)leaf->overruns);
		buf_printf(out,
			   ",\"sheds\":%llu,\"cancels\":%llu,\"wasted\":%llu"
			   ",\"last_work_us\":%lld}",
			   (unsigned long long)leaf->sheds,
			   (unsigned long long)leaf->cancels,
			   (unsigned long long)leaf->wasted,
			   (long long)leaf->last_work);
	}
	buf_str_add(out, STR("]}"));
}

static void reset(struct farm *farm)
{
	for (size_t i = 0; i < farm->fleet->ntargets; i++) {
		struct leaf *leaf = &farm->leafs[i];

		leaf->peak = leaf->peak_cold = 0;
		leaf->started = leaf->entries = leaf->sheds = 0;
		leaf->cancels = leaf->overruns = leaf->wasted = 0;
	}
	apr_hash_clear(farm->runs);
}

static void on_control(void *ctx, struct http_request *req)
{
	struct farm *farm = ctx;
	struct buf out = { 0 };

	if (str_eq(req->path, STR("/set")))
		set(farm, req);
	if (str_eq(req->path, STR("/reset")))
		reset(farm);
	book(farm, &out);
	http_respond_json(req, 200, buf_str(&out));
	buf_free(&out);
}

static void run(void *ctx)
{
	struct farm *farm = ctx;
	struct timer timer;

	while (timer_pop(&farm->timers, loop_now(), &timer))
		finish(farm, timer.id);
}

static int64_t wait_us(void *ctx)
{
	struct farm *farm = ctx;
	int64_t next = timer_next(&farm->timers);

	if (next == INT64_MAX)
		return -1;
	return next > loop_now() ? next - loop_now() : 0;
}

static void parse_knobs(struct knobs *knobs, int argc, char **argv)
{
	*knobs = (struct knobs){ .service_us = 3000,
				 .connect_us = 1000,
				 .cold_us = 1000000,
				 .cold_bears = 1,
				 .factor = 10,
				 .lacks = -2 };
	for (int i = 0; i < argc; i++) {
		char *equals = strchr(argv[i], '=');

		for (size_t k = 0; equals && k < KNOBS; k++)
			if (strlen(knob_table[k].name) ==
				    (size_t)(equals - argv[i]) &&
			    !strncmp(argv[i], knob_table[k].name,
				     (size_t)(equals - argv[i])))
				*knob_at(knobs, k) =
					strtoll(equals + 1, NULL, 10);
	}
}

static int open_leafs(struct farm *farm, const struct knobs *knobs,
		      struct error *err)
{
	size_t count = farm->fleet->ntargets;

	farm->leafs = xcalloc(count, sizeof(struct leaf));
	for (size_t i = 0; i < count; i++) {
		struct leaf *leaf = &farm->leafs[i];

		leaf->farm = farm;
		leaf->listed = &farm->fleet->targets[i];
		leaf->knobs = *knobs;
		leaf->boot = rng_next(&farm->rng);
		leaf->server = http_listen(
			farm->loop, leaf->listed->addr, BODY_MAX,
			(struct http_handler){ on_request, on_gone, leaf },
			err);
		if (!leaf->server)
			return err->code;
	}
	return 0;
}

int main(int argc, char **argv)
{
	struct farm *farm = xcalloc(1, sizeof(*farm));
	struct error err = { 0 };
	struct buf body = { 0 };
	struct knobs knobs;

	if (argc < 3) {
		fprintf(stderr, "usage: fake-targets IP:PORT FLEET [KEY=N]\n");
		return 2;
	}
	apr_initialize();
	apr_pool_create(&farm->pool, NULL);
	farm->works = apr_hash_make(farm->pool);
	farm->runs = apr_hash_make(farm->pool);
	farm->rng.seed = 1;
	farm->loop = loop_create(NULL);
	parse_knobs(&knobs, argc - 3, argv + 3);
	if (!file_read(argv[2], DOC_MAX, &body, &err))
		farm->fleet = fleet_parse(buf_str(&body), &err);
	if (!farm->fleet || open_leafs(farm, &knobs, &err) ||
	    !http_listen(farm->loop, str_of(argv[1]), BODY_MAX,
			 (struct http_handler){ on_control, NULL, farm },
			 &err)) {
		fprintf(stderr, "fake-targets: %s\n", err.text);
		return 1;
	}
	loop_hook(farm->loop, (struct loop_hook){ run, wait_us, farm });
	loop_run(farm->loop);
	return 0;
}
