#pragma once

#include <stdint.h>

#include "str.h"

/**
 * DOC: counters and latency histograms of the tier
 *
 * All start at 0 with the process and only increase. Served in the text format
 * of Prometheus; docs/OPERATIONS.md describes each.
 */

/** enum metric - counters; names and help in metric.c */
enum metric {
	METRIC_ANSWERED,
	METRIC_PARTIAL,
	METRIC_LATE,
	METRIC_REFUSED, /* answered "not run", with a retry time */
	METRIC_GAVE_UP,
	METRIC_CALLERS_GONE,
	METRIC_SENT,
	METRIC_SENT_AGAIN,
	METRIC_NO_BUDGET,
	METRIC_NOT_RUN,
	METRIC_FAILED,
	METRIC_BROKEN,
	METRIC_TRIALS,
	METRIC_CANARIES,
	METRIC_BLOCKED,
	METRIC_CUT,
	METRIC_COLD_LENT,
	METRIC_COLD_BORROWED,
	METRIC_BATCHES,
	METRIC_BATCHES_BACK,
	METRIC_STORE_CALLS,
	METRIC_STORE_FAILED,
	METRIC_CONFIGURATIONS_REFUSED,
	METRICS,
};

/** enum latency_kind - histograms */
enum latency_kind {
	LATENCY_MERGED, /* questions over shards, from arrival to answer */
	LATENCY_FORWARDED, /* requests to one target, from arrival to answer */
	LATENCY_TARGET, /* good replies of targets, from sending the request */
	LATENCY_KINDS,
};

enum {
	LATENCY_BOUNDS = 14,
};

/** struct histogram - @buckets[i]: values up to bound i, not cumulative */
struct histogram {
	uint64_t buckets[LATENCY_BOUNDS + 1];
	uint64_t count;
	uint64_t sum_us;
};

struct metrics {
	uint64_t counters[METRICS];
	struct histogram latencies[LATENCY_KINDS];
};

static inline void metric_add(struct metrics *metrics, enum metric metric)
{
	metrics->counters[metric]++;
}

void metric_observe_latency(struct metrics *metrics, enum latency_kind kind,
			    int64_t us);
/** metrics_text() - append all counters and histograms. */
void metrics_text(const struct metrics *metrics, struct buf *out);
/** metric_counter() - append one counter. */
void metric_counter(struct buf *out, const char *name, const char *help,
		    uint64_t value);
/** metric_gauge() - append one gauge. */
void metric_gauge(struct buf *out, const char *name, const char *help,
		  uint64_t value);
