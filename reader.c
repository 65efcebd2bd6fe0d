#include "reader.h"

enum {
	/*
	 * Long-poll time at the store. A call on a silent connection ends after
	 * this plus the slack, and the next one gets the change well within the
	 * 3 s of a drain.
	 */
	WATCH_WAIT_US = 1200000,
	WATCH_SLACK_US = 400000,
	RANGE_TIMEOUT_US = 600000,
	/*
	 * Transferring a large configuration takes more than a second on a
	 * small VM's link. When the call's timeout also covered the transfer,
	 * every call failed and a starting node never got a configuration. So a
	 * transfer is ended by a stall, which detects a silent connection as
	 * early, or by the timeout of the whole reply.
	 */
	REPLY_STALL_US = 600000,
	REPLY_TIMEOUT_US = 5000000,
	/*
	 * A call returns on the first change. While many targets come or go,
	 * this delay collects several changes per call and limits the rate to
	 * four calls per second.
	 */
	WATCH_COALESCE_US = 250000,
	/* Exponential backoff after consecutive failures. */
	BACKOFF_US = 100000,
	BACKOFF_MAX_US = 400000,
	/* A node that has not read for this long starts without backoff. */
	FAILURES_RESET_US = 5000000,
};

void reader_init(struct reader *reader, struct directory *dir,
		 struct flow_effects *fx, int64_t now)
{
	*reader = (struct reader){
		.dir = dir, .fx = fx, .next_at = now, .need_scan = true
	};
}

void reader_destroy(struct reader *reader)
{
	buf_free(&reader->after);
}

static struct flow_effect *start_call(struct reader *reader,
				      enum store_call call)
{
	struct flow_effect *fx = flow_add(reader->fx, FLOW_STORE_CALL);

	metric_add(&reader->dir->decision_log->metrics, METRIC_STORE_CALLS);
	fx->call = call;
	fx->read_timeout_us = REPLY_STALL_US;
	fx->total_timeout_us = REPLY_TIMEOUT_US;
	return fx;
}

static void start_range(struct reader *reader)
{
	const struct dialect *dialect = reader->dir->dialect;
	struct flow_effect *fx = start_call(reader, STORE_RANGE);

	reader->state = READER_RANGE;
	fx->prefix = dialect->prefixes[reader->prefix_index];
	fx->after = str_dup(reader->fx->pool, buf_str(&reader->after));
	fx->timeout_us = RANGE_TIMEOUT_US;
}

static void start_watch(struct reader *reader)
{
	struct flow_effect *fx = start_call(reader, STORE_WATCH);

	reader->state = READER_WATCH;
	fx->revision = reader->dir->revision;
	fx->time_left_us = WATCH_WAIT_US;
	fx->timeout_us = WATCH_WAIT_US + WATCH_SLACK_US;
}

static void begin_scan(struct reader *reader, int64_t now)
{
	reader->prefix_index = 0;
	reader->after.len = 0;
	reader->scan_revision = 0;
	directory_begin_scan(reader->dir, now);
	start_range(reader);
}

void reader_set_active(struct reader *reader, bool active, int64_t now)
{
	if (active && !reader->active &&
	    now > reader->idle_since + FAILURES_RESET_US)
		reader->failures = 0;
	if (!active && reader->active)
		reader->idle_since = now;
	/* Other nodes have already sent all keys. */
	if (reader->dir->revision)
		reader->need_scan = reader->need_scan && !reader->dir->synced;
	if (active != reader->active)
		decision_log_state(
			reader->dir->decision_log, now,
			active ? "reads the store" : "follows a reader",
			STR("store"),
			active ? "it reads for its domain, or got no updates"
			       : "another node reads for this domain",
			reader->dir->revision);
	reader->active = active;
}

void reader_tick(struct reader *reader, int64_t now)
{
	if (!reader->active || reader->state != READER_IDLE ||
	    now < reader->next_at)
		return;
	if (reader->need_scan)
		begin_scan(reader, now);
	else
		start_watch(reader);
}

static void on_failure(struct reader *reader, const char *why, int64_t now)
{
	int64_t backoff = BACKOFF_US;

	metric_add(&reader->dir->decision_log->metrics, METRIC_STORE_FAILED);
	if (!reader->failures++)
		decision_log_state(reader->dir->decision_log, now, "store lost",
				   STR("store"), why, reader->dir->revision);
	for (int i = 1; i < reader->failures && backoff < BACKOFF_MAX_US; i++)
		backoff *= 2;
	directory_on_failed_call(reader->dir, now);
	reader->state = READER_IDLE;
	reader->next_at = now + backoff;
}

static void on_success(struct reader *reader, int64_t now)
{
	if (reader->failures)
		decision_log_state(reader->dir->decision_log, now, "store back",
				   STR("store"), "it answers again",
				   reader->dir->revision);
	reader->failures = 0;
}

static void apply_page(struct reader *reader, const struct store_reply *page,
		       int64_t now)
{
	const struct dialect *dialect = reader->dir->dialect;

	if (!reader->scan_revision)
		reader->scan_revision = page->revision;
	directory_apply_page(reader->dir, page, now);
	reader->after.len = 0;
	if (page->more && page->count) {
		buf_str_add(&reader->after, page->items[page->count - 1].key);
	} else if (++reader->prefix_index == dialect->nprefixes) {
		/*
		 * The pages are not one snapshot. Watching starts at the
		 * revision of the first page, so that changes during the scan
		 * are read again.
		 */
		directory_end_scan(reader->dir, reader->scan_revision, now);
		reader->dir->decision_log->revision = reader->dir->revision;
		decision_log_state(reader->dir->decision_log, now,
				   "all keys read", STR("store"),
				   "a scan has ended", reader->scan_revision);
		reader->need_scan = false;
		reader->complete = true;
		reader->state = READER_IDLE;
		reader->next_at = now;
		return;
	}
	start_range(reader);
}

static void restart_scan(struct reader *reader)
{
	reader->need_scan = true;
	reader->dir->synced = false;
}

void reader_on_reply(struct reader *reader,
		     const struct flow_store_reply *reply, int64_t now)
{
	if (reply->lost_history) {
		restart_scan(reader);
		reader->state = READER_IDLE;
		reader->next_at = now;
		decision_log_state(reader->dir->decision_log, now,
				   "store history lost", STR("store"),
				   "all keys are read again",
				   reader->dir->revision);
		return;
	}
	if (!reply->ok) {
		/*
		 * Restart the scan: pages read before the failure may be of
		 * another revision.
		 */
		if (reply->call == STORE_RANGE)
			reader->need_scan = true;
		/*
		 * Several versions of a large configuration may exceed the size
		 * limit of a reply. Repeating the call would fail forever and
		 * leave the node at the old version; a scan returns only the
		 * newest one.
		 */
		if (reply->unusable)
			restart_scan(reader);
		on_failure(reader, reply->why, now);
		return;
	}
	on_success(reader, now);
	if (reply->call == STORE_RANGE) {
		apply_page(reader, reply->reply, now);
		return;
	}
	directory_apply(reader->dir, reply->reply, now);
	reader->dir->decision_log->revision = reader->dir->revision;
	reader->state = READER_IDLE;
	reader->next_at = now + (reply->reply->count ? WATCH_COALESCE_US : 0);
}

int64_t reader_wake_at(const struct reader *reader)
{
	return reader->active && reader->state == READER_IDLE ? reader->next_at
							      : INT64_MAX;
}
