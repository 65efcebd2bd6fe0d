#pragma once

#include "directory.h"

/**
 * DOC: reader of the platform's store
 *
 * Scans all keys once, one page per call, then long-polls for changes. The
 * wait of each call is bounded, so that a silent connection is detected early
 * enough for drains and new configurations to take effect in time.
 */

/** enum reader_state - kind of the call in flight */
enum reader_state {
	READER_IDLE,
	READER_RANGE,
	READER_WATCH,
};

/**
 * struct reader - progress of reading the store
 * @prefix_index: index of the key prefix that is being scanned
 * @after: last key of the previous page
 * @scan_revision: store revision at the start of the current scan
 * @next_at: when the next call is due, if none is in flight
 * @failures: number of consecutive failures
 * @idle_since: when this node last stopped reading
 * @active: this node reads the store; if false, other nodes send the changes
 * @complete: a scan of all keys has completed
 * @need_scan: the next call starts a scan of all keys
 */
struct reader {
	struct directory *dir;
	struct flow_effects *fx;
	enum reader_state state;
	size_t prefix_index;
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
/**
 * reader_set_active() - start or stop reading.
 *
 * A call that is in flight when reading stops is not cancelled.
 */
void reader_set_active(struct reader *reader, bool active, int64_t now);
/** reader_tick() - start the next call if it is due. */
void reader_tick(struct reader *reader, int64_t now);
/** reader_on_reply() - process the result of the call in flight. */
void reader_on_reply(struct reader *reader,
		     const struct flow_store_reply *reply, int64_t now);
/** reader_wake_at() - time at which reader_tick() is due. */
int64_t reader_wake_at(const struct reader *reader);
