#include "note.h"

enum {
	SECOND_US = 1000000,
	/* A line costs some 30 us of a small core: 40 are a thousandth of it.
	 */
	LINES_A_SECOND = 40,
	WAITS_TOLD = 3,
};

static const char *const kind_names[NOTE_KINDS] = {
	[NOTE_FINAL] = "final",
	[NOTE_TRIED] = "tried",
	[NOTE_BELIEF] = "belief",
};

/** struct belief - @what is so of @who now, on the grounds @why */
struct belief {
	const char *what;
	struct str who;
	const char *why;
	uint64_t at; /* version or revision */
};

static void put(struct note_book *notes, struct buf *line, bool severe)
{
	struct flow_effect *fx = flow_add(notes->fx, FLOW_LOG);

	fx->severe = severe;
	fx->text = str_dup(notes->fx->pool, buf_str(line));
	buf_free(line);
}

static void tell_left_out(struct note_book *notes)
{
	for (int kind = 0; kind < NOTE_KINDS; kind++) {
		struct buf line = { 0 };

		notes->lines[kind] = 0;
		if (!notes->left_out[kind])
			continue;
		buf_printf(&line,
			   "{\"note\":\"left_out\",\"of\":\"%s\","
			   "\"lines\":%d}",
			   kind_names[kind], notes->left_out[kind]);
		notes->left_out[kind] = 0;
		put(notes, &line, false);
	}
}

static bool admit(struct note_book *notes, int64_t now, enum note_kind kind)
{
	if (now - notes->second >= SECOND_US) {
		notes->second = now;
		tell_left_out(notes);
	}
	if (notes->lines[kind] < LINES_A_SECOND) {
		notes->lines[kind]++;
		return true;
	}
	notes->left_out[kind]++;
	return false;
}

static void begin(struct note_book *notes, struct buf *line, int64_t now,
		  enum note_kind kind)
{
	buf_printf(line, "{\"note\":\"%s\",\"version\":%llu,\"revision\":%llu",
		   kind_names[kind], (unsigned long long)notes->version,
		   (unsigned long long)notes->revision);
	buf_printf(line, ",\"store_age_ms\":%lld",
		   notes->read_at ? (long long)(now - notes->read_at) / 1000
				  : -1LL);
}

static void add_print(struct buf *line, const struct fingerprint *print)
{
	buf_printf(line, ",\"content\":\"%016llx\",\"caller\":\"%016llx\"",
		   (unsigned long long)print->content[0],
		   (unsigned long long)print->caller);
}

static void add_call(struct buf *line, int64_t now, const struct call *call)
{
	buf_printf(line, ",\"request\":");
	buf_json_add(line, call->request.request_id);
	buf_printf(line, ",\"route\":");
	buf_json_add(line, call->route->name);
	add_print(line, &call->print);
	buf_printf(line, ",\"after_ms\":%.1f,\"left_ms\":%.1f",
		   (double)(now - call->start) / 1000,
		   (double)(call->give_up_at - now) / 1000);
	if (call->nparts > 1)
		buf_printf(line, ",\"shards\":%zu,\"in\":%zu", call->nparts,
			   call->ndone);
}

/* Whose replies it did not wait for; the first few say enough. */
static void add_waits(struct buf *line, int64_t now, const struct call *call)
{
	int told = 0;

	for (const struct attempt *at = call->attempts; at && told < WAITS_TOLD;
	     at = at->next, told++) {
		buf_str_add(line, told ? STR(",") : STR(",\"waits_for\":["));
		buf_str_add(line, STR("{\"target\":"));
		buf_json_add(line, at->target->id);
		buf_printf(line, ",\"for_ms\":%.1f}",
			   (double)(now - at->sent_at) / 1000);
	}
	if (told)
		buf_str_add(line, STR("]"));
}

/*
 * Of each missing shard, what it waits for: its target's reply, another node,
 * or leave to ask a target. Tells apart a slow target from a bound that is used
 * up, which look alike to the caller.
 */
static void add_missing(struct buf *line, const struct call *call)
{
	static const char *const names[] = {
		[SEND_DONE] = "not_sent",	[SEND_NO_TARGET] = "no_target",
		[SEND_NO_BUDGET] = "no_budget", [SEND_NO_TRIES] = "no_tries",
		[SEND_HELD] = "held",		[SEND_BLOCKED] = "blocked",
	};
	int held[sizeof(names) / sizeof(*names)] = { 0 };
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
		else if (part->batched)
			nodes++;
		else
			held[part->held_by]++;
	}
	buf_printf(line, ",\"missing\":{\"reply\":%d,\"node\":%d", replies,
		   nodes);
	for (size_t i = 0; i < sizeof(held) / sizeof(*held); i++)
		if (held[i])
			buf_printf(line, ",\"%s\":%d", names[i], held[i]);
	buf_str_add(line, STR("}"));
}

static void count_final(struct note_book *notes, int64_t us,
			const struct call *call, const struct final *final)
{
	struct metrics *metrics = &notes->metrics;

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

void note_final(struct note_book *notes, int64_t now, const struct call *call,
		const struct final *final)
{
	struct buf line = { 0 };
	bool late = now - call->start > call->route->goal_us;

	count_final(notes, now - call->start, call, final);
	if (final->status / 100 == 2 && !late && !final->missing)
		return;
	if (!admit(notes, now, NOTE_FINAL))
		return;
	begin(notes, &line, now, NOTE_FINAL);
	add_call(&line, now, call);
	add_missing(&line, call);
	add_waits(&line, now, call);
	buf_printf(&line, ",\"status\":%d,\"why\":\"%s\"}", final->status,
		   final->why);
	put(notes, &line, false);
}

void note_gone(struct note_book *notes, int64_t now, const struct call *call)
{
	struct buf line = { 0 };

	/* Shards that another node no longer wants are no caller's. */
	if (!call->asker.len)
		metric_add(&notes->metrics, METRIC_CALLERS_GONE);
	if (!admit(notes, now, NOTE_FINAL))
		return;
	begin(notes, &line, now, NOTE_FINAL);
	add_call(&line, now, call);
	add_missing(&line, call);
	buf_printf(&line, ",\"why\":\"%s\"}",
		   call->asker.len ? "the asking node has its answer"
				   : "the caller closed");
	put(notes, &line, false);
}

void note_tried(struct note_book *notes, int64_t now, const struct call *call,
		const struct attempt *attempt, const struct flow_reply *reply)
{
	struct buf line = { 0 };

	metric_add(&notes->metrics,
		   reply->not_run ? METRIC_NOT_RUN : METRIC_FAILED);
	if (reply->result == FETCH_BROKEN)
		metric_add(&notes->metrics, METRIC_BROKEN);
	if (!admit(notes, now, NOTE_TRIED))
		return;
	begin(notes, &line, now, NOTE_TRIED);
	add_call(&line, now, call);
	buf_printf(&line, ",\"target\":");
	buf_json_add(&line, attempt->target->id);
	buf_printf(&line,
		   ",\"try\":%zu,\"took_ms\":%.1f,\"result\":\"%s\","
		   "\"status\":%d,\"ran\":%s}",
		   call->parts[attempt->part].ntried,
		   (double)(now - attempt->sent_at) / 1000,
		   fetch_result_text(reply->result), reply->status,
		   reply->not_run || reply->other ||
				   reply->result == FETCH_REFUSED
			   ? "false"
			   : "true");
	put(notes, &line, false);
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

void note_suspect(struct note_book *notes, int64_t now,
		  const struct poison *poison, const struct poison_entry *entry,
		  struct str target)
{
	enum poison_verdict verdict = poison_verdict(poison, &entry->print);
	struct buf line = { 0 };

	if (!admit(notes, now, NOTE_BELIEF))
		return;
	begin(notes, &line, now, NOTE_BELIEF);
	buf_printf(&line, ",\"what\":\"request crashes targets\"");
	add_print(&line, &entry->print);
	buf_printf(&line,
		   ",\"verdict\":\"%s\",\"rounds\":%d,\"crashes\":%zu,"
		   "\"target\":",
		   verdict_name(verdict), entry->rounds, entry->ncrashes);
	buf_json_add(&line, target);
	buf_str_add(&line, STR("}"));
	put(notes, &line, verdict == POISON_BLOCKED);
}

void note_cleared(struct note_book *notes, int64_t now,
		  const struct fingerprint *print)
{
	struct buf line = { 0 };

	if (!admit(notes, now, NOTE_BELIEF))
		return;
	begin(notes, &line, now, NOTE_BELIEF);
	buf_printf(&line, ",\"what\":\"request crashes no target\"");
	add_print(&line, print);
	buf_printf(&line, ",\"why\":\"a target answered it\"}");
	put(notes, &line, false);
}

void note_batch(struct note_book *notes, int64_t now, const struct call *call,
		struct str addr, size_t shards, const char *why)
{
	struct buf line = { 0 };

	metric_add(&notes->metrics, METRIC_BATCHES_BACK);
	if (!admit(notes, now, NOTE_TRIED))
		return;
	begin(notes, &line, now, NOTE_TRIED);
	add_call(&line, now, call);
	buf_printf(&line, ",\"node\":");
	buf_json_add(&line, addr);
	buf_printf(&line, ",\"shards_back\":%zu,\"why\":\"%s\"}", shards, why);
	put(notes, &line, false);
}

static void put_belief(struct note_book *notes, int64_t now,
		       const struct belief *belief, bool severe)
{
	struct buf line = { 0 };

	if (!admit(notes, now, NOTE_BELIEF))
		return;
	begin(notes, &line, now, NOTE_BELIEF);
	buf_printf(&line, ",\"what\":\"%s\",\"who\":", belief->what);
	buf_json_add(&line, belief->who);
	buf_printf(&line, ",\"why\":");
	buf_json_add(&line, str_of(belief->why));
	buf_printf(&line, ",\"at\":%llu}", (unsigned long long)belief->at);
	put(notes, &line, severe);
}

void note_belief(struct note_book *notes, int64_t now, const char *what,
		 struct str who, const char *why, uint64_t version)
{
	put_belief(notes, now, &(struct belief){ what, who, why, version },
		   false);
}

void note_fault(struct note_book *notes, int64_t now, const char *what,
		struct str who, const char *why, uint64_t version)
{
	put_belief(notes, now, &(struct belief){ what, who, why, version },
		   true);
}
