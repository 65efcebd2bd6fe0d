#include "reader.h"

enum {
	/*
	 * A call waits this long at the store. One whose connection has gone
	 * silent ends after this and the slack, and a new one brings the
	 * change: well within the three seconds of a drain.
	 */
	WATCH_US = 1200000,
	WATCH_SLACK_US = 400000,
	RANGE_US = 600000,
	/*
	 * A large configuration takes a small VM's link for a second and more,
	 * beside its other work. Ended by the time that a call may wait, each
	 * call failed, and a node that started got no configuration at all. A
	 * call that brings bytes goes on; a silent connection is found as soon.
	 */
	REPLY_PAUSE_US = 600000,
	REPLY_WHOLE_US = 5000000,
	/*
	 * A call returns with the first change. When many targets come or go,
	 * this pause lets a call bring several, at four calls a second at most.
	 */
	WATCH_GAP_US = 250000,
	/* After a failure, doubled with each in a row up to the most. */
	PAUSE_US = 100000,
	PAUSE_MOST_US = 400000,
	/* After this long without reading the store is worth a try again. */
	REST_US = 5000000,
};

void reader_init(struct reader *reader, struct directory *dir,
		 struct flow_effects *fx, int64_t now)
{
	*reader = (struct reader){
		.dir = dir, .fx = fx, .next_at = now, .need_range = true
	};
}

void reader_destroy(struct reader *reader)
{
	buf_free(&reader->after);
}

static struct flow_effect *call(struct reader *reader, enum store_call read)
{
	struct flow_effect *fx = flow_add(reader->fx, FLOW_READ);

	metric_add(&reader->dir->notes->metrics, METRIC_STORE_CALLS);
	fx->read = read;
	fx->pause_us = REPLY_PAUSE_US;
	fx->whole_us = REPLY_WHOLE_US;
	return fx;
}

static void call_range(struct reader *reader)
{
	const struct dialect *dialect = reader->dir->dialect;
	struct flow_effect *fx = call(reader, STORE_RANGE);

	reader->state = READER_RANGE;
	fx->prefix = dialect->prefixes[reader->prefix];
	fx->after = str_dup(reader->fx->pool, buf_str(&reader->after));
	fx->timeout_us = RANGE_US;
}

static void call_watch(struct reader *reader)
{
	struct flow_effect *fx = call(reader, STORE_WATCH);

	reader->state = READER_WATCH;
	fx->revision = reader->dir->revision;
	fx->time_left_us = WATCH_US;
	fx->timeout_us = WATCH_US + WATCH_SLACK_US;
}

static void begin_range(struct reader *reader)
{
	reader->prefix = 0;
	reader->after.len = 0;
	reader->first_revision = 0;
	directory_round(reader->dir);
	call_range(reader);
}

void reader_active(struct reader *reader, bool active, int64_t now)
{
	if (active && !reader->active && now > reader->idle_since + REST_US)
		reader->failures = 0;
	if (!active && reader->active)
		reader->idle_since = now;
	/* Other nodes have sent all that a read of all keys would. */
	if (reader->dir->revision)
		reader->need_range = reader->need_range && !reader->dir->synced;
	if (active != reader->active)
		note_belief(
			reader->dir->notes, now,
			active ? "reads the store" : "follows a reader",
			STR("store"),
			active ? "it is this node's part, or nothing was heard"
			       : "another node reads for this domain",
			reader->dir->revision);
	reader->active = active;
}

void reader_tick(struct reader *reader, int64_t now)
{
	if (!reader->active || reader->state != READER_IDLE ||
	    now < reader->next_at)
		return;
	if (reader->need_range)
		begin_range(reader);
	else
		call_watch(reader);
}

static void failed(struct reader *reader, const char *why, int64_t now)
{
	int64_t pause = PAUSE_US;

	metric_add(&reader->dir->notes->metrics, METRIC_STORE_FAILED);
	if (!reader->failures++)
		note_belief(reader->dir->notes, now, "store lost", STR("store"),
			    why, reader->dir->revision);
	for (int i = 1; i < reader->failures && pause < PAUSE_MOST_US; i++)
		pause *= 2;
	balancer_on_store_lost(reader->dir->balancer, now);
	reader->state = READER_IDLE;
	reader->next_at = now + pause;
}

static void heard(struct reader *reader, int64_t now)
{
	if (reader->failures)
		note_belief(reader->dir->notes, now, "store back", STR("store"),
			    "it answers again", reader->dir->revision);
	reader->failures = 0;
	reader->dir->read_at = now;
	reader->dir->notes->read_at = now;
}

static void took_page(struct reader *reader, const struct store_reply *page,
		      int64_t now)
{
	const struct dialect *dialect = reader->dir->dialect;

	if (!reader->first_revision)
		reader->first_revision = page->revision;
	directory_apply(reader->dir, page->items, page->count, now);
	reader->after.len = 0;
	if (page->more && page->count) {
		buf_str_add(&reader->after, page->items[page->count - 1].key);
	} else if (++reader->prefix == dialect->nprefixes) {
		/*
		 * Pages are no snapshot: what changed after the first is taken
		 * again from the changes since.
		 */
		directory_whole(reader->dir, reader->first_revision, now);
		reader->need_range = false;
		reader->whole = true;
		reader->state = READER_IDLE;
		reader->next_at = now;
		return;
	}
	call_range(reader);
}

static void read_anew(struct reader *reader)
{
	reader->need_range = true;
	reader->dir->synced = false;
}

void reader_reply(struct reader *reader, const struct flow_store *reply,
		  int64_t now)
{
	if (reply->lost_history) {
		read_anew(reader);
		reader->state = READER_IDLE;
		reader->next_at = now;
		note_belief(reader->dir->notes, now, "store history lost",
			    STR("store"), "all keys are read again",
			    reader->dir->revision);
		return;
	}
	if (!reply->ok) {
		/* A page of a read that broke off may be of another time. */
		if (reply->call == STORE_RANGE)
			reader->need_range = true;
		/*
		 * Several versions of a large configuration may not fit in one
		 * reply. Asked for again they never would, and the node would
		 * stay at the old one; the keys hold only the newest.
		 */
		if (reply->unusable)
			read_anew(reader);
		failed(reader, reply->why, now);
		return;
	}
	heard(reader, now);
	if (reply->call == STORE_RANGE) {
		took_page(reader, reply->reply, now);
		return;
	}
	directory_apply(reader->dir, reply->reply->items, reply->reply->count,
			now);
	if (reply->reply->revision > reader->dir->revision)
		reader->dir->revision = reply->reply->revision;
	reader->dir->notes->revision = reader->dir->revision;
	reader->state = READER_IDLE;
	reader->next_at = now + (reply->reply->count ? WATCH_GAP_US : 0);
}

int64_t reader_wake_at(const struct reader *reader)
{
	return reader->active && reader->state == READER_IDLE ? reader->next_at
							      : INT64_MAX;
}
