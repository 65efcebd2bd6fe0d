#pragma once

#include "directory.h"

/**
 * DOC: reading the store
 *
 * All keys once, a page a call, then calls that wait for changes. Each such
 * call waits for a bounded time, so that a connection which has gone silent is
 * noticed while drains and configurations are still in time.
 */

/** enum reader_state - what the call under way is */
enum reader_state {
	READER_IDLE,
	READER_RANGE,
	READER_WATCH,
};

/**
 * struct reader - where reading has come to
 * @prefix: index of the prefix at hand
 * @after: last key of the page before
 * @scan_revision: of the store when this read of all keys began
 * @next_at: when the next call is due, if none is under way
 * @failures: in a row
 * @idle_since: when it last stopped reading
 * @active: this node reads; else other nodes send it what they read
 * @complete: all keys have been read once
 */
struct reader {
	struct directory *dir;
	struct flow_effects *fx;
	enum reader_state state;
	size_t prefix;
	struct buf after;
	uint64_t scan_revision;
	int64_t next_at;
	int failures;
	int64_t idle_since;
	bool active;
	bool complete;
	bool need_scan;
};

void reader_init(struct reader *reader, struct directory *dir,
		 struct flow_effects *fx, int64_t now);
void reader_destroy(struct reader *reader);
/** reader_set_active() - read from now on, or let the call under way be the
 * last.
 */
void reader_set_active(struct reader *reader, bool active, int64_t now);
/** reader_tick() - start the next call if it is due. */
void reader_tick(struct reader *reader, int64_t now);
/** reader_reply() - what came of the call under way. */
void reader_reply(struct reader *reader, const struct flow_store *reply,
		  int64_t now);
/** reader_wake_at() - when reader_tick() is due. */
int64_t reader_wake_at(const struct reader *reader);
