#include "call_queue.h"

/*
 * Removes the waiter from the queue unless its part is still waiting. A part
 * that was sent in the meantime is not: only its call can decide whether it may
 * be sent again, as that may need a retry grant of another node.
 *
 * Return: true if the part is still waiting.
 */
static bool is_waiting(struct calls *calls, struct wait_queue *wait_queue,
		       size_t index)
{
	const struct waiter *waiter = &wait_queue->waiters[index];
	struct call *call = call_find(calls, waiter->call);
	struct part *part = call ? &call->parts[waiter->part] : NULL;

	if (part && part->nattempts == waiter->nattempts) {
		if (!part->done && !part->delegated)
			return true;
		part->queued = false;
	}
	wait_queue_remove(wait_queue, index);
	return false;
}

/*
 * Stale waiters are removed when a target replies. If all targets of a shard
 * are gone there are no replies, and each question would leave its waiter in
 * the queue forever; so a queue longer than the number of open calls is purged
 * here.
 */
void call_queue_join(struct calls *calls, struct call *call, size_t index)
{
	struct part *part = &call->parts[index];
	struct wait_queue *wait_queue =
		wait_queue_find(calls->wait_queues, part->service);

	if (wait_queue && wait_queue->count > calls->nopen)
		for (size_t i = 0; i < wait_queue->count;)
			i += is_waiting(calls, wait_queue, i);
	part->queued = true;
	wait_queue_add(calls->wait_queues, part->service,
		       (struct waiter){ call->id, index, part->nattempts });
}

static struct wait_priority priority_of(const struct calls *calls,
					const struct call *call)
{
	return (struct wait_priority){
		.in_time = calls->now + (int64_t)call->baseline->us <=
			   call->soft_deadline,
		.soft_deadline = call->soft_deadline,
		.start = call->start,
	};
}

/* Return: index of the waiter with the highest priority, or SIZE_MAX. */
static size_t first_waiter(struct calls *calls, struct wait_queue *wait_queue)
{
	struct wait_priority best_priority;
	size_t best = SIZE_MAX;

	for (size_t i = 0; i < wait_queue->count;) {
		struct wait_priority wait_priority;

		if (!is_waiting(calls, wait_queue, i))
			continue;
		wait_priority = priority_of(
			calls, call_find(calls, wait_queue->waiters[i].call));
		if (best == SIZE_MAX ||
		    wait_queue_precedes(&wait_priority, &best_priority)) {
			best = i;
			best_priority = wait_priority;
		}
		i++;
	}
	return best;
}

void call_queue_serve(struct calls *calls, uint64_t service)
{
	struct wait_queue *wait_queue =
		wait_queue_find(calls->wait_queues, service);
	size_t first;

	while (wait_queue &&
	       (first = first_waiter(calls, wait_queue)) != SIZE_MAX) {
		struct waiter waiter = wait_queue->waiters[first];
		struct call *call = call_find(calls, waiter.call);
		enum send_result result = call_send(calls, call, waiter.part);

		/* A part that must not be sent must not block the others. */
		if (result == SEND_HELD || result == SEND_BLOCKED) {
			call->parts[waiter.part].queued = false;
			wait_queue_remove(wait_queue, first);
		} else if (result != SEND_DONE) {
			return;
		}
	}
}
