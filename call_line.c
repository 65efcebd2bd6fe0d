#include "call_line.h"

/*
 * Return: the part still waits; one that does not is taken out of the line. A
 * part that was sent meanwhile does not: whether it may be sent again is for
 * its call to decide, which may need another node's leave for it.
 */
static bool still_waits(struct calls *calls, struct line *line, size_t index)
{
	const struct waiter *waiter = &line->list[index];
	struct call *call = call_find(calls, waiter->call);
	struct part *part = call ? &call->parts[waiter->part] : NULL;

	if (part && part->nsent == waiter->sends) {
		if (!part->done && !part->batched)
			return true;
		part->waits = false;
	}
	line_drop(line, index);
	return false;
}

/*
 * Lines are looked through when a target replies. Where all targets of a shard
 * are gone none does, and each question would leave its waiter for good.
 */
void call_line_join(struct calls *calls, struct call *call, size_t index)
{
	struct part *part = &call->parts[index];
	struct line *line = line_find(calls->lines, part->service);

	if (line && line->count > calls->nopen)
		for (size_t i = 0; i < line->count;)
			i += still_waits(calls, line, i);
	part->waits = true;
	line_add(calls->lines, part->service,
		 (struct waiter){ call->id, index, part->nsent });
}

static struct claim claim_of(const struct calls *calls, const struct call *call)
{
	return (struct claim){
		.in_time =
			calls->now + (int64_t)call->usual->us <= call->soft_at,
		.soft_at = call->soft_at,
		.start = call->start,
	};
}

/* Return: place of the one to be served first, or SIZE_MAX. */
static size_t first_in_line(struct calls *calls, struct line *line)
{
	struct claim best_claim;
	size_t best = SIZE_MAX;

	for (size_t i = 0; i < line->count;) {
		struct claim claim;

		if (!still_waits(calls, line, i))
			continue;
		claim = claim_of(calls, call_find(calls, line->list[i].call));
		if (best == SIZE_MAX || line_before(&claim, &best_claim)) {
			best = i;
			best_claim = claim;
		}
		i++;
	}
	return best;
}

void call_line_serve(struct calls *calls, uint64_t service)
{
	struct line *line = line_find(calls->lines, service);
	size_t first;

	while (line && (first = first_in_line(calls, line)) != SIZE_MAX) {
		struct waiter waiter = line->list[first];
		struct call *call = call_find(calls, waiter.call);
		enum send_result result = call_send(calls, call, waiter.part);

		/* Those behind must not wait for one that may not be sent. */
		if (result == SEND_HELD || result == SEND_BLOCKED) {
			call->parts[waiter.part].waits = false;
			line_drop(line, first);
		} else if (result != SEND_DONE) {
			return;
		}
	}
}
