#include "decision_log.h"

enum {
	SECOND_US = 1000000,
	/* A line takes about 30 us of a small core; 40 take about 0.1 %. */
	LINES_PER_SECOND_MAX = 40,
	PENDING_MAX = 3,
};

static const char *const kind_names[DECISION_KINDS] = {
	[DECISION_FINAL] = "final",
	[DECISION_ATTEMPT] = "tried",
	[DECISION_STATE] = "belief",
};

/** struct state_change - @what changed for @who, because of @why */
struct state_change {
	const char *what;
	struct str who;
	const char *why;
	uint64_t at; /* version or revision */
};

static void write_line(struct decision_log *decision_log, struct buf *line,
		       bool severe)
{
	struct flow_effect *fx = flow_add(decision_log->fx, FLOW_LOG);

	fx->severe = severe;
	fx->text = str_dup(decision_log->fx->pool, buf_str(line));
	buf_free(line);
}

static void write_omitted_counts(struct decision_log *decision_log)
{
	for (int kind = 0; kind < DECISION_KINDS; kind++) {
		struct buf line = { 0 };

		decision_log->lines[kind] = 0;
		if (!decision_log->omitted[kind])
			continue;
		buf_printf(&line,
			   "{\"note\":\"left_out\",\"of\":\"%s\","
			   "\"lines\":%d}",
			   kind_names[kind], decision_log->omitted[kind]);
		decision_log->omitted[kind] = 0;
		write_line(decision_log, &line, false);
	}
}

static bool admit_line(struct decision_log *decision_log, int64_t now,
		       enum decision_kind kind)
{
	if (now - decision_log->second >= SECOND_US) {
		decision_log->second = now;
		write_omitted_counts(decision_log);
	}
	if (decision_log->lines[kind] < LINES_PER_SECOND_MAX) {
		decision_log->lines[kind]++;
		return true;
	}
	decision_log->omitted[kind]++;
	return false;
}

static void begin_line(struct decision_log *decision_log, struct buf *line,
		       int64_t now, enum decision_kind kind)
{
	buf_printf(line, "{\"note\":\"%s\",\"version\":%llu,\"revision\":%llu",
		   kind_names[kind], (unsigned long long)decision_log->version,
		   (unsigned long long)decision_log->revision);
	buf_printf(line, ",\"store_age_ms\":%lld",
		   decision_log->read_at
			   ? (long long)(now - decision_log->read_at) / 1000
			   : -1LL);
}

static void add_fingerprint(struct buf *line,
			    const struct fingerprint *fingerprint)
{
	buf_printf(line, ",\"content\":\"%016llx\",\"caller\":\"%016llx\"",
		   (unsigned long long)fingerprint->content[0],
		   (unsigned long long)fingerprint->caller);
}

static void add_call(struct buf *line, int64_t now, const struct call *call)
{
	buf_printf(line, ",\"request\":");
	buf_json_add(line, call->request.request_id);
	buf_printf(line, ",\"route\":");
	buf_json_add(line, call->route->name);
	add_fingerprint(line, &call->fingerprint);
	buf_printf(line, ",\"after_ms\":%.1f,\"left_ms\":%.1f",
		   (double)(now - call->start) / 1000,
		   (double)(call->deadline - now) / 1000);
	if (call->nparts > 1)
		buf_printf(line, ",\"shards\":%zu,\"in\":%zu", call->nparts,
			   call->ndone);
}

/* Adds the first few attempts that the call no longer waits for. */
static void add_pending_attempts(struct buf *line, int64_t now,
				 const struct call *call)
{
	int count = 0;

	for (const struct attempt *at = call->attempts;
	     at && count < PENDING_MAX; at = at->next, count++) {
		buf_str_add(line, count ? STR(",") : STR(",\"waits_for\":["));
		buf_str_add(line, STR("{\"target\":"));
		buf_json_add(line, at->target->id);
		buf_printf(line, ",\"for_ms\":%.1f}",
			   (double)(now - at->sent_at) / 1000);
	}
	if (count)
		buf_str_add(line, STR("]"));
}

/*
 * Counts the missing shards by what they wait for: a target's reply, another
 * node's reply, or the reason why they were not sent. This distinguishes a slow
 * target from an exhausted limit, which look the same to the caller.
 */
static void add_missing_shards(struct buf *line, const struct call *call)
{
	static const char *const names[] = {
		[SEND_DONE] = "not_sent",	[SEND_NO_TARGET] = "no_target",
		[SEND_NO_BUDGET] = "no_budget", [SEND_NO_ATTEMPTS] = "no_tries",
		[SEND_HELD] = "held",		[SEND_BLOCKED] = "blocked",
	};
	int unsent[sizeof(names) / sizeof(*names)] = { 0 };
	int replies = 0;
	int nodes = 0;

	if (call->nparts < 2 || call->ndone == call->nparts)
		return;
	for (size_t i = 0; i < call->nparts; i++) {
		const struct part *part = &call->parts[i];

		if (part->done)
			continue;
		if (part->open)
			replies++;
		else if (part->delegated)
			nodes++;
		else
			unsent[part->last_send_result]++;
	}
	buf_printf(line, ",\"missing\":{\"reply\":%d,\"node\":%d", replies,
		   nodes);
	for (size_t i = 0; i < sizeof(unsent) / sizeof(*unsent); i++)
		if (unsent[i])
			buf_printf(line, ",\"%s\":%d", names[i], unsent[i]);
	buf_str_add(line, STR("}"));
}

static void count_answer(struct decision_log *decision_log, int64_t us,
			 const struct call *call, const struct final *final)
{
	struct metrics *metrics = &decision_log->metrics;

	metric_observe_latency(
		metrics, final->merged ? LATENCY_MERGED : LATENCY_FORWARDED,
		us);
	if (final->status == 503) {
		metric_add(metrics, METRIC_REFUSED);
	} else if (final->status / 100 != 2) {
		metric_add(metrics, METRIC_GAVE_UP);
	} else {
		metric_add(metrics, METRIC_ANSWERED);
		if (final->missing)
			metric_add(metrics, METRIC_PARTIAL);
		if (us > call->route->goal_us)
			metric_add(metrics, METRIC_LATE);
	}
}

void decision_log_final(struct decision_log *decision_log, int64_t now,
			const struct call *call, const struct final *final)
{
	struct buf line = { 0 };
	bool late = now - call->start > call->route->goal_us;

	count_answer(decision_log, now - call->start, call, final);
	if (final->status / 100 == 2 && !late && !final->missing)
		return;
	if (!admit_line(decision_log, now, DECISION_FINAL))
		return;
	begin_line(decision_log, &line, now, DECISION_FINAL);
	add_call(&line, now, call);
	add_missing_shards(&line, call);
	add_pending_attempts(&line, now, call);
	buf_printf(&line, ",\"status\":%d,\"why\":\"%s\"}", final->status,
		   final->why);
	write_line(decision_log, &line, false);
}

void decision_log_refused(struct decision_log *decision_log, int64_t now,
			  struct str request_id, int status, const char *why)
{
	struct buf line = { 0 };

	if (status == 503)
		metric_add(&decision_log->metrics, METRIC_REFUSED);
	if (!admit_line(decision_log, now, DECISION_FINAL))
		return;
	begin_line(decision_log, &line, now, DECISION_FINAL);
	buf_printf(&line, ",\"request\":");
	buf_json_add(&line, request_id);
	buf_printf(&line, ",\"status\":%d,\"why\":\"%s\"}", status, why);
	write_line(decision_log, &line, false);
}

void decision_log_caller_gone(struct decision_log *decision_log, int64_t now,
			      const struct call *call)
{
	struct buf line = { 0 };

	/* If another node cancelled its shards, no caller has gone. */
	if (!call->origin.len)
		metric_add(&decision_log->metrics, METRIC_CALLERS_GONE);
	if (!admit_line(decision_log, now, DECISION_FINAL))
		return;
	begin_line(decision_log, &line, now, DECISION_FINAL);
	add_call(&line, now, call);
	add_missing_shards(&line, call);
	buf_printf(&line, ",\"why\":\"%s\"}",
		   call->origin.len ? "the asking node has its answer"
				    : "the caller closed");
	write_line(decision_log, &line, false);
}

void decision_log_attempt(struct decision_log *decision_log, int64_t now,
			  const struct call *call,
			  const struct attempt *attempt,
			  const struct flow_reply *reply)
{
	struct buf line = { 0 };

	metric_add(&decision_log->metrics,
		   reply->not_run ? METRIC_NOT_RUN : METRIC_FAILED);
	if (reply->result == FETCH_BROKEN)
		metric_add(&decision_log->metrics, METRIC_BROKEN);
	if (!admit_line(decision_log, now, DECISION_ATTEMPT))
		return;
	begin_line(decision_log, &line, now, DECISION_ATTEMPT);
	add_call(&line, now, call);
	buf_printf(&line, ",\"target\":");
	buf_json_add(&line, attempt->target->id);
	buf_printf(&line,
		   ",\"try\":%zu,\"took_ms\":%.1f,\"result\":\"%s\","
		   "\"status\":%d,\"connection\":%llu,\"ran\":%s}",
		   call->parts[attempt->part].ntried,
		   (double)(now - attempt->sent_at) / 1000,
		   fetch_result_text(reply->result), reply->status,
		   (unsigned long long)reply->conn,
		   reply->not_run || reply->wrong_target ||
				   reply->result == FETCH_REFUSED
			   ? "false"
			   : "true");
	write_line(decision_log, &line, false);
}

static const char *verdict_name(enum poison_verdict verdict)
{
	switch (verdict) {
	case POISON_NONE:
		return "none";
	case POISON_SUSPECT:
		return "suspect";
	case POISON_BLOCKED:
		break;
	}
	return "blocked";
}

void decision_log_suspect(struct decision_log *decision_log, int64_t now,
			  const struct poison *poison,
			  const struct poison_entry *entry, struct str target)
{
	enum poison_verdict verdict =
		poison_verdict(poison, &entry->fingerprint);
	struct buf line = { 0 };

	if (!admit_line(decision_log, now, DECISION_STATE))
		return;
	begin_line(decision_log, &line, now, DECISION_STATE);
	buf_printf(&line, ",\"what\":\"request crashes targets\"");
	add_fingerprint(&line, &entry->fingerprint);
	buf_printf(&line,
		   ",\"verdict\":\"%s\",\"rounds\":%d,\"crashes\":%zu,"
		   "\"target\":",
		   verdict_name(verdict), entry->rounds, entry->ncrashes);
	buf_json_add(&line, target);
	buf_str_add(&line, STR("}"));
	write_line(decision_log, &line, verdict == POISON_BLOCKED);
}

void decision_log_cleared(struct decision_log *decision_log, int64_t now,
			  const struct fingerprint *fingerprint)
{
	struct buf line = { 0 };

	if (!admit_line(decision_log, now, DECISION_STATE))
		return;
	begin_line(decision_log, &line, now, DECISION_STATE);
	buf_printf(&line, ",\"what\":\"request crashes no target\"");
	add_fingerprint(&line, fingerprint);
	buf_printf(&line, ",\"why\":\"a target answered it\"}");
	write_line(decision_log, &line, false);
}

void decision_log_batch_failed(struct decision_log *decision_log, int64_t now,
			       const struct call *call, struct str addr,
			       size_t shards, const char *why)
{
	struct buf line = { 0 };

	metric_add(&decision_log->metrics, METRIC_BATCHES_BACK);
	if (!admit_line(decision_log, now, DECISION_ATTEMPT))
		return;
	begin_line(decision_log, &line, now, DECISION_ATTEMPT);
	add_call(&line, now, call);
	buf_printf(&line, ",\"node\":");
	buf_json_add(&line, addr);
	buf_printf(&line, ",\"shards_back\":%zu,\"why\":\"%s\"}", shards, why);
	write_line(decision_log, &line, false);
}

void decision_log_drain(struct decision_log *decision_log, int64_t now,
			const struct drain_progress *progress, const char *why)
{
	struct buf line = { 0 };

	if (!admit_line(decision_log, now, DECISION_STATE))
		return;
	begin_line(decision_log, &line, now, DECISION_STATE);
	buf_printf(&line, ",\"what\":\"stop\",\"why\":\"%s\"", why);
	buf_printf(&line, ",\"since_ms\":%lld,\"open\":%zu,\"delegated\":%zu",
		   (long long)progress->since_us / 1000, progress->open,
		   progress->delegated);
	buf_printf(&line, ",\"oldest_ms\":%lld",
		   (long long)progress->oldest_us / 1000);
	buf_printf(&line, ",\"requests\":%llu,\"batches\":%llu}",
		   (unsigned long long)progress->requests,
		   (unsigned long long)progress->batches);
	write_line(decision_log, &line, false);
}

static void write_state_change(struct decision_log *decision_log, int64_t now,
			       const struct state_change *change, bool severe)
{
	struct buf line = { 0 };

	if (!admit_line(decision_log, now, DECISION_STATE))
		return;
	begin_line(decision_log, &line, now, DECISION_STATE);
	buf_printf(&line, ",\"what\":\"%s\",\"who\":", change->what);
	buf_json_add(&line, change->who);
	buf_printf(&line, ",\"why\":");
	buf_json_add(&line, str_of(change->why));
	buf_printf(&line, ",\"at\":%llu}", (unsigned long long)change->at);
	write_line(decision_log, &line, severe);
}

void decision_log_state(struct decision_log *decision_log, int64_t now,
			const char *what, struct str who, const char *why,
			uint64_t version)
{
	write_state_change(decision_log, now,
			   &(struct state_change){ what, who, why, version },
			   false);
}

void decision_log_error(struct decision_log *decision_log, int64_t now,
			const char *what, struct str who, const char *why,
			uint64_t version)
{
	write_state_change(decision_log, now,
			   &(struct state_change){ what, who, why, version },
			   true);
}
