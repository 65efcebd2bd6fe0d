/*
 * Fake targets: serves every target of a fleet document on its loopback
 * address, with slots, connection cost, cold start, stragglers, snapshot
 * versions, draining, shedding and false load reports. Counts what it ran.
 *
 *   fake-targets IP:PORT FLEET.json [KEY=VALUE]...   (keys: struct options)
 *   GET /set?target=NAME|all&domain=NAME&KEY=VALUE...
 *   GET /book         totals, and the counters of each target
 *   GET /reset        reset the counters
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

/** struct options - behaviour of one target, set for all or one by one */
struct options {
	int64_t service_us; /* mean service time of a leaf request */
	int64_t connect_us; /* added to a connection's first request */
	int64_t cold_us; /* length of a cold start */
	int64_t cold_bears; /* concurrent requests while cold; more crash it */
	int64_t straggle_pm; /* share of stragglers, per mille */
	int64_t factor; /* slowdown of a straggler */
	int64_t draining;
	int64_t lie_idle; /* report a load of 0 */
	int64_t shed; /* reply 503 to all requests */
	int64_t close; /* run the request, close without a reply */
	int64_t truncate; /* cut the body to half its length */
	int64_t wrong_version;
	int64_t lacks; /* snapshot version that it does not have */
	int64_t dead; /* close every connection at once */
	int64_t mute; /* run entries without a reply */
	int64_t padding; /* bytes added to each row */
};

struct target;

/** struct request - queued or running request of a target */
struct request {
	struct http_request *req;
	struct target *target;
	uint64_t number;
	uint64_t job;
	bool running;
	bool is_entry;
	int64_t extra_us;
	struct request *next;
};

struct target {
	struct host *host;
	const struct fleet_target *config;
	struct http_server *server;
	struct options options;
	uint64_t boot;
	int64_t accepts_at; /* end of the last restart */
	int64_t cold_until;
	struct request *requests;
	int busy;
	int queued;
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

/** struct host - process state that all fake targets share */
struct host {
	struct loop *loop;
	struct fleet *fleet;
	struct target *targets;
	struct timers timers;
	struct rng rng;
	apr_hash_t *requests; /* number -> struct request */
	apr_hash_t *runs; /* entry hash -> count */
	apr_pool_t *pool;
	uint64_t last_number;
};

struct option {
	const char *name;
	size_t offset;
};

#define OPTION(name) \
	{ \
#name, offsetof(struct options, name) \
	}
static const struct option option_table[] = {
	OPTION(service_us), OPTION(connect_us),	 OPTION(cold_us),
	OPTION(cold_bears), OPTION(straggle_pm), OPTION(factor),
	OPTION(draining),   OPTION(lie_idle),	 OPTION(shed),
	OPTION(close),	    OPTION(truncate),	 OPTION(wrong_version),
	OPTION(lacks),	    OPTION(dead),	 OPTION(mute),
	OPTION(padding),
};
enum {
	OPTIONS = sizeof(option_table) / sizeof(*option_table)
};

static int64_t *option_at(struct options *options, size_t i)
{
	return (int64_t *)((char *)options + option_table[i].offset);
}

static int64_t query_int(struct http_request *req, const char *key,
			 int64_t fallback)
{
	struct str value = http_query_param(req, key);

	return value.len ? strtoll(value.ptr, NULL, 10) : fallback;
}

static bool is_cold(const struct target *target)
{
	return loop_now() < target->cold_until;
}

static void start_cold(struct target *target)
{
	target->boot = rng_next(&target->host->rng);
	target->accepts_at = loop_now() + RESTART_US;
	target->cold_until = target->accepts_at + target->options.cold_us;
}

static void add_reply_head(const struct target *target, struct buf *out)
{
	buf_printf(out, "{\"boot\":\"%llx\",\"load\":%d,\"draining\":%s",
		   (unsigned long long)target->boot,
		   target->options.lie_idle ? 0 : target->busy + target->queued,
		   target->options.draining ? "true" : "false");
}

static void request_free(struct request *request)
{
	struct target *target = request->target;
	struct request **at = &target->requests;

	while (*at != request)
		at = &(*at)->next;
	*at = request->next;
	if (request->running)
		target->busy--;
	else
		target->queued--;
	apr_hash_set(target->host->requests, &request->number,
		     sizeof(request->number), NULL);
	free(request);
}

static int64_t service_time(struct target *target,
			    const struct request *request)
{
	struct rng *rng = &target->host->rng;
	int64_t mean = target->options.service_us;
	int64_t time = mean / 2 + (int64_t)rng_below(rng, (uint64_t)mean + 1);

	if ((int64_t)rng_below(rng, 1000) < target->options.straggle_pm)
		time *= target->options.factor;
	if (is_cold(target))
		time *= COLD_SLOWDOWN;
	return time + request->extra_us;
}

static void count_run(struct target *target, struct str body)
{
	apr_hash_t *runs = target->host->runs;
	uint64_t key = str_hash(body);
	uint64_t *count = apr_hash_get(runs, &key, sizeof(key));

	target->entries++;
	if (!count) {
		uint64_t *pair =
			apr_pcalloc(target->host->pool, 2 * sizeof(uint64_t));

		pair[0] = key;
		count = &pair[1];
		apr_hash_set(runs, &pair[0], sizeof(uint64_t), count);
	}
	++*count;
}

static void start_request(struct target *target, struct request *request)
{
	request->running = true;
	target->queued--;
	target->busy++;
	target->started++;
	target->last_work = loop_now();
	if (target->busy > target->peak)
		target->peak = target->busy;
	if (is_cold(target) && target->busy > target->peak_cold)
		target->peak_cold = target->busy;
	if (request->is_entry)
		count_run(target, request->req->body);
	timer_add(&target->host->timers,
		  loop_now() + service_time(target, request), TIMER_JOB,
		  request->number);
}

static void start_queued(struct target *target)
{
	struct request *oldest;

	while (target->busy < target->config->slots) {
		oldest = NULL;
		for (struct request *r = target->requests; r; r = r->next)
			if (!r->running)
				oldest = r;
		if (!oldest)
			return;
		start_request(target, oldest);
	}
}

/* A cold target over its limit crashes and restarts cold. */
static void crash_overloaded(struct target *target)
{
	target->overruns++;
	while (target->requests) {
		http_abort(target->requests->req);
		request_free(target->requests);
	}
	start_cold(target);
}

static void reply_field(struct target *target, struct http_request *req,
			int status, const char *field)
{
	struct buf out = { 0 };

	add_reply_head(target, &out);
	buf_printf(&out, ",%s}", field);
	http_respond_json(req, status, buf_str(&out));
	buf_free(&out);
}

static void reply_request(struct target *target, const struct request *request)
{
	struct http_request *req = request->req;
	int64_t shard = query_int(req, "shard", 0);
	int64_t version = query_int(req, "version", 0);
	struct buf out = { 0 };

	if (target->options.wrong_version)
		version++;
	add_reply_head(target, &out);
	buf_printf(&out, ",\"job\":%llu", (unsigned long long)request->job);
	if (request->is_entry) {
		buf_printf(&out, ",\"entry\":{\"recorded\":%.*s}}",
			   STR_ARG(req->body));
	} else {
		buf_printf(&out, ",\"shard\":%lld,\"version\":%lld",
			   (long long)shard, (long long)version);
		buf_printf(&out,
			   ",\"rows\":[{\"shard\":%lld,\"version\":%lld,"
			   "\"terms\":",
			   (long long)shard, (long long)version);
		buf_json_add(&out, http_query_param(req, "terms"));
		buf_printf(&out, ",\"pad\":\"%*s\"}]}",
			   (int)target->options.padding, "");
	}
	if (target->options.truncate)
		out.len /= 2;
	http_respond_json(req, 200, buf_str(&out));
	buf_free(&out);
}

static void finish_request(struct host *host, uint64_t number)
{
	struct request *request =
		apr_hash_get(host->requests, &number, sizeof(number));

	if (!request)
		return;

	struct target *target = request->target;

	if (target->options.close)
		http_abort(request->req);
	else if (!(request->is_entry && target->options.mute))
		reply_request(target, request);
	request_free(request);
	start_queued(target);
}

static void accept_request(struct target *target, struct http_request *req,
			   bool is_entry)
{
	struct host *host = target->host;
	int in_flight = target->busy + target->queued;

	if (target->options.draining) {
		reply_field(target, req, 503, "\"error\":\"draining\"");
		return;
	}
	if (target->options.shed || target->queued >= QUEUE_MAX) {
		target->sheds++;
		reply_field(target, req, 503, "\"error\":\"shed\"");
		return;
	}
	if (target->options.lacks == query_int(req, "version", -1)) {
		reply_field(target, req, 409, "\"error\":\"version\"");
		return;
	}

	struct request *request = xcalloc(1, sizeof(*request));

	request->req = req;
	request->target = target;
	request->number = ++host->last_number;
	request->job = (uint64_t)query_int(req, "job", 0);
	request->is_entry = is_entry;
	request->extra_us =
		req->first_on_connection ? target->options.connect_us : 0;
	request->next = target->requests;
	target->requests = request;
	target->queued++;
	apr_hash_set(host->requests, &request->number, sizeof(request->number),
		     request);
	if (is_cold(target) && in_flight >= target->options.cold_bears) {
		if (in_flight + 1 > target->peak_cold)
			target->peak_cold = in_flight + 1;
		crash_overloaded(target);
		return;
	}
	start_queued(target);
}

static void cancel(struct target *target, struct http_request *req)
{
	uint64_t job = (uint64_t)query_int(req, "job", 0);

	target->cancels++;
	for (struct request *r = target->requests; r; r = r->next) {
		if (r->job != job || r->is_entry)
			continue;
		target->wasted += r->running;
		reply_field(target, r->req, 499, "\"error\":\"cancelled\"");
		request_free(r);
		start_queued(target);
		break;
	}
	reply_field(target, req, 200, "\"health\":\"ok\"");
}

static void on_request(void *ctx, struct http_request *req)
{
	struct target *target = ctx;

	if (target->options.dead || loop_now() < target->accepts_at)
		http_abort(req);
	else if (str_eq(req->path, STR("/leaf")))
		accept_request(target, req, false);
	else if (str_eq(req->path, STR("/entry")))
		accept_request(target, req, true);
	else if (str_eq(req->path, STR("/cancel")))
		cancel(target, req);
	else
		reply_field(target, req, 200, "\"health\":\"ok\"");
}

static void on_disconnect(void *ctx, struct http_request *req)
{
	struct target *target = ctx;

	for (struct request *r = target->requests; r; r = r->next) {
		if (r->req != req)
			continue;
		target->wasted += r->running;
		request_free(r);
		start_queued(target);
		return;
	}
}

/* Control. */

static void restart(struct target *target)
{
	crash_overloaded(target);
	target->overruns--;
}

static void set_target(struct target *target, struct http_request *req)
{
	for (size_t i = 0; i < OPTIONS; i++) {
		int64_t *value = option_at(&target->options, i);

		*value = query_int(req, option_table[i].name, *value);
	}
	if (query_int(req, "restart", 0))
		restart(target);
}

static void set_targets(struct host *host, struct http_request *req)
{
	struct str name = http_query_param(req, "target");
	struct str domain = http_query_param(req, "domain");

	for (size_t i = 0; i < host->fleet->ntargets; i++) {
		struct target *target = &host->targets[i];

		if (name.len && !str_eq(name, STR("all")) &&
		    !str_eq(name, target->config->name))
			continue;
		if (domain.len && !str_eq(domain, target->config->domain->name))
			continue;
		set_target(target, req);
	}
}

static uint64_t max_runs(struct host *host)
{
	uint64_t most = 0;

	for (apr_hash_index_t *it = apr_hash_first(NULL, host->runs); it;
	     it = apr_hash_next(it)) {
		void *value;

		apr_hash_this(it, NULL, NULL, &value);
		if (*(uint64_t *)value > most)
			most = *(uint64_t *)value;
	}
	return most;
}

static void print_counters(struct host *host, struct buf *out)
{
	buf_printf(out, "{\"entries\":%u,\"max_runs\":%llu,\"now_us\":%lld",
		   apr_hash_count(host->runs),
		   (unsigned long long)max_runs(host), (long long)loop_now());
	buf_str_add(out, STR(",\"targets\":["));
	for (size_t i = 0; i < host->fleet->ntargets; i++) {
		const struct target *target = &host->targets[i];

		buf_printf(out, "%s{\"target\":", i ? "," : "");
		buf_json_add(out, target->config->name);
		buf_printf(out,
			   ",\"domain\":\"%.*s\",\"busy\":%d"
			   ",\"waiting\":%d",
			   STR_ARG(target->config->domain->name), target->busy,
			   target->queued);
		buf_printf(out,
			   ",\"started\":%llu,\"entries\":%llu,\"peak\":%d"
			   ",\"peak_cold\":%d,\"overruns\":%llu",
			   (unsigned long long)target->started,
			   (unsigned long long)target->entries, target->peak,
			   target->peak_cold,
			   (unsigned long long)target->overruns);
		buf_printf(out,
			   ",\"sheds\":%llu,\"cancels\":%llu,\"wasted\":%llu"
			   ",\"last_work_us\":%lld}",
			   (unsigned long long)target->sheds,
			   (unsigned long long)target->cancels,
			   (unsigned long long)target->wasted,
			   (long long)target->last_work);
	}
	buf_str_add(out, STR("]}"));
}

static void reset_counters(struct host *host)
{
	for (size_t i = 0; i < host->fleet->ntargets; i++) {
		struct target *target = &host->targets[i];

		target->peak = target->peak_cold = 0;
		target->started = target->entries = target->sheds = 0;
		target->cancels = target->overruns = target->wasted = 0;
	}
	apr_hash_clear(host->runs);
}

static void on_control(void *ctx, struct http_request *req)
{
	struct host *host = ctx;
	struct buf out = { 0 };

	if (str_eq(req->path, STR("/set")))
		set_targets(host, req);
	if (str_eq(req->path, STR("/reset")))
		reset_counters(host);
	print_counters(host, &out);
	http_respond_json(req, 200, buf_str(&out));
	buf_free(&out);
}

static void run_timers(void *ctx)
{
	struct host *host = ctx;
	struct timer timer;

	while (timer_pop(&host->timers, loop_now(), &timer))
		finish_request(host, timer.id);
}

static int64_t wait_us(void *ctx)
{
	struct host *host = ctx;
	int64_t next = timer_next(&host->timers);

	if (next == INT64_MAX)
		return -1;
	return next > loop_now() ? next - loop_now() : 0;
}

static void parse_options(struct options *options, int argc, char **argv)
{
	*options = (struct options){ .service_us = 3000,
				     .connect_us = 1000,
				     .cold_us = 1000000,
				     .cold_bears = 1,
				     .factor = 10,
				     .lacks = -2 };
	for (int i = 0; i < argc; i++) {
		char *equals = strchr(argv[i], '=');

		for (size_t k = 0; equals && k < OPTIONS; k++)
			if (strlen(option_table[k].name) ==
				    (size_t)(equals - argv[i]) &&
			    !strncmp(argv[i], option_table[k].name,
				     (size_t)(equals - argv[i])))
				*option_at(options, k) =
					strtoll(equals + 1, NULL, 10);
	}
}

static int open_targets(struct host *host, const struct options *options,
			struct error *err)
{
	struct caller_limits limits = http_default_limits(BODY_MAX);
	size_t count = host->fleet->ntargets;

	host->targets = xcalloc(count, sizeof(struct target));
	for (size_t i = 0; i < count; i++) {
		struct target *target = &host->targets[i];

		target->host = host;
		target->config = &host->fleet->targets[i];
		target->options = *options;
		target->boot = rng_next(&host->rng);
		target->server =
			http_listen(host->loop, target->config->addr, &limits,
				    (struct http_handler){
					    on_request, on_disconnect, target },
				    err);
		if (!target->server)
			return err->code;
	}
	return 0;
}

int main(int argc, char **argv)
{
	struct host *host = xcalloc(1, sizeof(*host));
	struct error err = { 0 };
	struct buf body = { 0 };
	struct caller_limits limits = http_default_limits(BODY_MAX);
	struct options options;

	if (argc < 3) {
		fprintf(stderr,
			"usage: fake-targets IP:PORT FLEET [KEY=VALUE]...\n");
		return 2;
	}
	apr_initialize();
	apr_pool_create(&host->pool, NULL);
	host->requests = apr_hash_make(host->pool);
	host->runs = apr_hash_make(host->pool);
	host->rng.seed = 1;
	host->loop = loop_create(NULL);
	parse_options(&options, argc - 3, argv + 3);
	if (!file_read(argv[2], DOC_MAX_BYTES, &body, &err))
		host->fleet = fleet_parse(buf_str(&body), &err);
	if (!host->fleet || open_targets(host, &options, &err) ||
	    !http_listen(host->loop, str_of(argv[1]), &limits,
			 (struct http_handler){ on_control, NULL, host },
			 &err)) {
		fprintf(stderr, "fake-targets: %s\n", err.text);
		return 1;
	}
	loop_hook(host->loop, (struct loop_hook){ run_timers, wait_us, host });
	loop_run(host->loop);
	return 0;
}
