#include "metric.h"

/** struct metric_text - name without prefix and suffix, and help text */
struct metric_text {
	const char *name;
	const char *help;
};

static const struct metric_text metric_texts[METRICS] = {
	[METRIC_ANSWERED] = { "answered", "answers with a success" },
	[METRIC_PARTIAL] = { "partial", "successes that leave shards out" },
	[METRIC_LATE] = { "late", "successes after the route's goal" },
	[METRIC_REFUSED] = { "refused", "requests that have not run (503)" },
	[METRIC_GAVE_UP] = { "gave_up", "requests given up (502, 504)" },
	[METRIC_CALLERS_GONE] = { "callers_gone",
				  "callers that closed before the answer" },
	[METRIC_SENT] = { "sent", "first sends to targets" },
	[METRIC_SENT_AGAIN] = { "sent_again",
				"sends to targets beyond the first" },
	[METRIC_NO_BUDGET] = { "no_budget",
			       "hedges and retries that the shared bound forbade" },
	[METRIC_NOT_RUN] = { "not_run", "requests that targets rejected" },
	[METRIC_FAILED] = { "failed", "requests that targets failed" },
	[METRIC_BROKEN] = { "broken",
			    "connections that broke under a request" },
	[METRIC_TRIALS] = { "trials", "suspect requests sent to one target" },
	[METRIC_CANARIES] = { "canaries", "requests sent to one target first" },
	[METRIC_BLOCKED] = { "blocked",
			     "requests refused as they crash targets" },
	[METRIC_CUT] = { "cut", "requests cut as nobody waited for them" },
	[METRIC_COLD_LENT] = { "cold_lent",
			       "requests to cold targets lent to other nodes" },
	[METRIC_COLD_BORROWED] = { "cold_borrowed",
				   "requests to cold targets that another node "
				   "had lent" },
	[METRIC_BATCHES] = { "batches", "batches of shards handed to nodes" },
	[METRIC_BATCHES_BACK] = { "batches_back",
				  "batches that nodes did not answer for" },
	[METRIC_STORE_CALLS] = { "store_calls", "calls to the store" },
	[METRIC_STORE_FAILED] = { "store_failed",
				  "calls that the store did not serve" },
	[METRIC_CONFIGURATIONS_REFUSED] = { "configurations_refused",
					    "published configurations that could not be read" },
};

static const char *const latency_names[LATENCY_KINDS] = {
	[LATENCY_MERGED] = "merged",
	[LATENCY_FORWARDED] = "forwarded",
	[LATENCY_TARGET] = "target",
};

/* Bucket bounds; the goals of routes lie between 50 and 500 ms. */
static const int bounds_ms[LATENCY_BOUNDS] = {
	1, 2, 5, 10, 20, 35, 50, 75, 100, 150, 250, 500, 1000, 5000,
};

void metric_observe_latency(struct metrics *metrics, enum latency_kind kind,
			    int64_t us)
{
	struct histogram *histogram = &metrics->latencies[kind];
	int i = 0;

	while (i < LATENCY_BOUNDS && us > bounds_ms[i] * 1000LL)
		i++;
	histogram->buckets[i]++;
	histogram->count++;
	histogram->sum_us += us > 0 ? (uint64_t)us : 0;
}

static void histogram_text(const struct histogram *histogram, const char *name,
			   struct buf *out)
{
	uint64_t cumulative = 0;

	for (int i = 0; i < LATENCY_BOUNDS; i++) {
		cumulative += histogram->buckets[i];
		buf_printf(out,
			   "wasabimoor_latency_seconds_bucket{kind=\"%s\","
			   "le=\"%.3f\"} %llu\n",
			   name, bounds_ms[i] / 1e3,
			   (unsigned long long)cumulative);
	}
	buf_printf(out,
		   "wasabimoor_latency_seconds_bucket{kind=\"%s\","
		   "le=\"+Inf\"} %llu\n",
		   name, (unsigned long long)histogram->count);
	buf_printf(out, "wasabimoor_latency_seconds_sum{kind=\"%s\"} %.6f\n",
		   name, (double)histogram->sum_us / 1e6);
	buf_printf(out, "wasabimoor_latency_seconds_count{kind=\"%s\"} %llu\n",
		   name, (unsigned long long)histogram->count);
}

void metric_counter(struct buf *out, const char *name, const char *help,
		    uint64_t value)
{
	buf_printf(out,
		   "# HELP wasabimoor_%s_total %s\n"
		   "# TYPE wasabimoor_%s_total counter\n"
		   "wasabimoor_%s_total %llu\n",
		   name, help, name, name, (unsigned long long)value);
}

void metrics_text(const struct metrics *metrics, struct buf *out)
{
	for (int i = 0; i < METRICS; i++)
		metric_counter(out, metric_texts[i].name, metric_texts[i].help,
			       metrics->counters[i]);
	buf_str_add(out, STR("# TYPE wasabimoor_latency_seconds histogram\n"));
	for (int i = 0; i < LATENCY_KINDS; i++)
		histogram_text(&metrics->latencies[i], latency_names[i], out);
}

void metric_gauge(struct buf *out, const char *name, const char *help,
		  uint64_t value)
{
	buf_printf(out,
		   "# HELP wasabimoor_%s %s\n# TYPE wasabimoor_%s gauge\n"
		   "wasabimoor_%s %llu\n",
		   name, help, name, name, (unsigned long long)value);
}
