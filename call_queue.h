#pragma once

#include "call.h"

/**
 * DOC: calls that wait for room at a target
 *
 * Where all targets of a shard have as many requests as they bear, calls stand
 * in line (wait_queue.h). A target that replies has room for the first of them.
 */

/** call_queue_join() - shard @index of @call waits for a target of it. */
void call_queue_join(struct calls *calls, struct call *call, size_t index);
/** call_queue_serve() - a target of @service has room again. */
void call_queue_serve(struct calls *calls, uint64_t service);
