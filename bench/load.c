/*
 * Load generator: sends questions at a set rate, checks each answer and prints
 * one JSON line. Questions go to the nodes in turn, as from a load balancer.
 *
 *   load ADDRS RATE SECONDS CUSTOMER INDEXES [SEED]
 *
 * ADDRS and INDEXES are comma-separated lists. Arrivals are Poisson. Latency is
 * measured from the time that a question was due, not from when it was sent.
 */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>

#include <apr_general.h>
#include <curl/curl.h>
#include <jansson.h>

#include "../fetch.h"
#include "../rng.h"
#include "../tests/rows.h"
#include "../xmalloc.h"

enum {
	MAX_ADDRS = 64,
	MAX_KINDS = 64,
	ANSWER_MAX_BYTES = 8 * 1024 * 1024
};

struct kind_count {
	char name[40];
	uint64_t count;
};

struct load {
	struct loop *loop;
	struct fetcher *fetcher;
	struct str addrs[MAX_ADDRS];
	size_t naddrs;
	struct buf indexes; /* JSON array */
	const char *customer;
	double rate;
	struct rng rng;
	int64_t begin;
	int64_t end;
	double next_due;
	uint64_t sent;
	uint64_t done;
	int64_t *due; /* us, by question id */
	double *latency; /* ms, of answered questions */
	double *coverage; /* of answered questions */
	size_t answered;
	size_t cap;
	uint64_t complete;
	uint64_t requests;
	uint64_t shards;
	uint64_t hedges;
	uint64_t broken;
	uint64_t wrong;
	struct kind_count refused[MAX_KINDS]; /* questions, by error kind */
	struct kind_count missing[MAX_KINDS]; /* shards, by error kind */
};

static void count_kind(struct kind_count *kinds, const char *name)
{
	for (size_t i = 0; i < MAX_KINDS; i++) {
		struct kind_count *entry = &kinds[i];

		if (!*entry->name)
			snprintf(entry->name, sizeof(entry->name), "%s", name);
		if (strcmp(entry->name, name))
			continue;
		entry->count++;
		return;
	}
}

static bool is_valid_answer(uint64_t id, json_t *doc)
{
	char terms[32];

	snprintf(terms, sizeof(terms), "q%llu", (unsigned long long)id);
	return !rows_find_error(doc, terms);
}

static void record_answer(struct load *load, uint64_t id, json_t *doc)
{
	size_t rows = json_array_size(json_object_get(doc, "rows"));
	json_t *list = json_object_get(doc, "missing");
	size_t missing = json_array_size(list);

	for (size_t i = 0; i < missing; i++)
		count_kind(load->missing,
			   json_string_value(json_object_get(
				   json_array_get(list, i), "kind")));
	load->latency[load->answered] =
		(double)(loop_now() - load->due[id]) / 1000;
	load->coverage[load->answered++] =
		json_number_value(json_object_get(doc, "coverage"));
	load->complete += json_is_true(json_object_get(doc, "complete"));
	load->requests +=
		(uint64_t)json_integer_value(json_object_get(doc, "requests"));
	load->hedges +=
		(uint64_t)json_integer_value(json_object_get(doc, "hedges"));
	load->shards += rows + missing;
	if (!is_valid_answer(id, doc))
		load->wrong++;
}

static void on_reply(void *ctx, uint64_t id, const struct fetch_reply *reply)
{
	struct load *load = ctx;
	json_t *doc = json_loadb(reply->body.ptr ? reply->body.ptr : "",
				 reply->body.len, 0, NULL);

	load->done++;
	if (reply->result != FETCH_OK || !doc) {
		load->broken++;
	} else if (json_object_get(doc, "coverage")) {
		record_answer(load, id, doc);
	} else {
		const char *kind =
			json_string_value(json_object_get(doc, "kind"));

		count_kind(load->refused, kind ? kind : "none");
	}
	json_decref(doc);
}

static void send_question(struct load *load)
{
	uint64_t id = load->sent++;
	struct buf body = { 0 };
	struct buf url = { 0 };

	load->due[id] = (int64_t)load->next_due;
	buf_printf(&body,
		   "{\"customer\":\"%s\",\"request_id\":\"r%llu\","
		   "\"terms\":\"q%llu\",\"indexes\":%.*s}",
		   load->customer, (unsigned long long)id,
		   (unsigned long long)id, STR_ARG(buf_str(&load->indexes)));
	buf_printf(&url, "http://%.*s/v1/questions",
		   STR_ARG(load->addrs[id % load->naddrs]));
	fetch_start(load->fetcher, &(struct fetch_request){
					   .url = buf_str(&url),
					   .post = buf_str(&body),
					   .remaining_us = -1,
					   .timeout_us = 20000000,
					   .done = on_reply,
					   .ctx = load,
					   .id = id,
				   });
	buf_free(&body);
	buf_free(&url);
}

static void send_due_questions(void *ctx)
{
	struct load *load = ctx;
	double now = (double)loop_now();

	while (load->next_due <= now && load->next_due < (double)load->end &&
	       load->sent < load->cap) {
		double u = (double)(rng_next(&load->rng) >> 11) /
			   (double)(1ULL << 53);

		send_question(load);
		load->next_due += -log(1 - u) / load->rate * 1e6;
	}
	if (load->done == load->sent && now >= (double)load->end)
		loop_stop(load->loop);
}

static int64_t wait_us(void *ctx)
{
	struct load *load = ctx;
	int64_t left = (int64_t)load->next_due - loop_now();

	return left > 0 ? left : 0;
}

static int compare_doubles(const void *left, const void *right)
{
	double a = *(const double *)left;
	double b = *(const double *)right;

	return a < b ? -1 : a > b;
}

static double quantile(const double *sorted, size_t count, double q)
{
	size_t i = (size_t)(q * (double)count);

	if (!count)
		return 0;
	return sorted[i < count ? i : count - 1];
}

static double mean(const double *values, size_t count)
{
	double sum = 0;

	for (size_t i = 0; i < count; i++)
		sum += values[i];
	return count ? sum / (double)count : 0;
}

static void print_kinds(const char *name, const struct kind_count *kinds)
{
	printf(",\"%s\":{", name);
	for (size_t i = 0; i < MAX_KINDS && *kinds[i].name; i++)
		printf("%s\"%s\":%llu", i ? "," : "", kinds[i].name,
		       (unsigned long long)kinds[i].count);
	printf("}");
}

static void print_report(struct load *load)
{
	double seconds = (double)(load->end - load->begin) / 1e6;
	size_t n = load->answered;

	qsort(load->latency, n, sizeof(double), compare_doubles);
	qsort(load->coverage, n, sizeof(double), compare_doubles);
	printf("{\"sent\":%llu,\"answered\":%zu,\"complete\":%llu,"
	       "\"broken\":%llu,\"wrong\":%llu,\"rate\":%.1f,"
	       "\"goodput\":%.1f",
	       (unsigned long long)load->sent, n,
	       (unsigned long long)load->complete,
	       (unsigned long long)load->broken,
	       (unsigned long long)load->wrong, (double)load->sent / seconds,
	       (double)n / seconds);
	printf(",\"p50_ms\":%.2f,\"p99_ms\":%.2f,\"p999_ms\":%.2f",
	       quantile(load->latency, n, 0.5),
	       quantile(load->latency, n, 0.99),
	       quantile(load->latency, n, 0.999));
	printf(",\"coverage_mean\":%.5f,\"coverage_p01\":%.5f,"
	       "\"coverage_min\":%.5f",
	       mean(load->coverage, n), quantile(load->coverage, n, 0.01),
	       quantile(load->coverage, n, 0));
	printf(",\"requests_per_leaf\":%.4f,\"hedges\":%llu",
	       load->shards ? (double)load->requests / (double)load->shards : 0,
	       (unsigned long long)load->hedges);
	print_kinds("refused", load->refused);
	print_kinds("missing", load->missing);
	printf("}\n");
}

static void parse_addrs(struct load *load, char *text)
{
	for (char *part = strtok(text, ","); part && load->naddrs < MAX_ADDRS;
	     part = strtok(NULL, ","))
		load->addrs[load->naddrs++] = str_of(part);
}

static void parse_indexes(struct load *load, char *text)
{
	const char *sep = "[";

	for (char *part = strtok(text, ","); part; part = strtok(NULL, ",")) {
		buf_printf(&load->indexes, "%s\"%s\"", sep, part);
		sep = ",";
	}
	buf_add(&load->indexes, "]", 1);
}

int main(int argc, char **argv)
{
	struct load load = { 0 };

	if (argc < 6) {
		fprintf(stderr, "usage: load ADDRS RATE SECONDS CUSTOMER "
				"INDEXES [SEED]\n");
		return 2;
	}
	apr_initialize();
	curl_global_init(CURL_GLOBAL_DEFAULT);
	parse_addrs(&load, argv[1]);
	load.rate = strtod(argv[2], NULL);
	load.customer = argv[4];
	parse_indexes(&load, argv[5]);
	load.rng.seed = argc > 6 ? strtoull(argv[6], NULL, 10) : 1;
	load.loop = loop_create(NULL);
	load.fetcher = fetcher_create(load.loop, ANSWER_MAX_BYTES);
	load.begin = loop_now();
	load.end = load.begin + (int64_t)(strtod(argv[3], NULL) * 1e6);
	load.next_due = (double)load.begin;
	load.cap = (size_t)(load.rate * strtod(argv[3], NULL) * 2) + 1000;
	load.due = xcalloc(load.cap, sizeof(*load.due));
	load.latency = xcalloc(load.cap, sizeof(*load.latency));
	load.coverage = xcalloc(load.cap, sizeof(*load.coverage));
	loop_hook(load.loop,
		  (struct loop_hook){ send_due_questions, wait_us, &load });
	loop_run(load.loop);
	print_report(&load);
	fetcher_destroy(load.fetcher);
	loop_destroy(load.loop);
	buf_free(&load.indexes);
	free(load.due);
	free(load.latency);
	free(load.coverage);
	return 0;
}
