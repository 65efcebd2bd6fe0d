#pragma once

#include "call.h"

/**
 * DOC: calls that wait for a target with free capacity
 *
 * When all targets of a shard have as many requests as they can take, calls
 * wait in a queue (wait_queue.h). A reply frees capacity at its target for the
 * call of highest priority.
 */

/** call_queue_join() - queue shard @index of @call for a target. */
void call_queue_join(struct calls *calls, struct call *call, size_t index);
/** call_queue_serve() - send queued parts while a target has capacity. */
void call_queue_serve(struct calls *calls, uint64_t service);
