#pragma once

#include "call.h"

/**
 * DOC: planned stop of a tier node
 *
 * After the signal a node serves on, because the load balancer and callers with
 * open connections take a while to move to other nodes. From @leave_at on it
 * exits as soon as nothing is open. Some callers never move: requests that
 * cannot meet their goal before calls.ends_at are refused, and all others are
 * answered by then. Otherwise the process would be killed at the end of its
 * grace period, and cut what it holds.
 */

/**
 * struct drain - progress of a planned stop
 * @began_at: time of the signal, 0 while no stop is planned
 * @leave_at: earliest time of the exit
 * @log_at: time of the next log line about what is still open
 * @exiting: the node is done
 * @requests: requests of callers, @batches: batches of other nodes that
 *            arrived since the signal, or since the start
 */
struct drain {
	int64_t began_at;
	int64_t leave_at;
	int64_t log_at;
	bool exiting;
	uint64_t requests;
	uint64_t batches;
};

/**
 * drain_begin() - begin the planned stop, unless it has begun.
 * @grace_us: time from the signal until the process is killed
 * @pause_us: longest time that the signal may have waited to be read
 */
void drain_begin(struct drain *drain, struct calls *calls, int64_t grace_us,
		 int64_t pause_us);
/**
 * drain_exits() - whether the node is done and accepts nothing from now on;
 * true only once.
 */
bool drain_exits(struct drain *drain, struct calls *calls);
/** drain_log() - log what is still open, once a second from @leave_at on. */
void drain_log(struct drain *drain, const struct calls *calls);
/** drain_wake_at() - when the node may exit, INT64_MAX while it must not */
int64_t drain_wake_at(const struct drain *drain, const struct calls *calls);
