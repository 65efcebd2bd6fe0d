#include "timer.h"

#include <stdlib.h>

#include "xmalloc.h"

static bool before(const struct timer *a, const struct timer *b)
{
	if (a->when != b->when)
		return a->when < b->when;
	return a->order < b->order;
}

static void swap_timers(struct timer *a, struct timer *b)
{
	struct timer tmp = *a;

	*a = *b;
	*b = tmp;
}

static void sift_up(struct timer *heap, size_t i)
{
	while (i && before(&heap[i], &heap[(i - 1) / 2])) {
		swap_timers(&heap[i], &heap[(i - 1) / 2]);
		i = (i - 1) / 2;
	}
}

static void sift_down(struct timer *heap, size_t count, size_t i)
{
	for (;;) {
		size_t smallest = i;

		for (size_t child = 2 * i + 1; child <= 2 * i + 2; child++)
			if (child < count &&
			    before(&heap[child], &heap[smallest]))
				smallest = child;
		if (smallest == i)
			return;
		swap_timers(&heap[i], &heap[smallest]);
		i = smallest;
	}
}

void timer_add(struct timers *timers, int64_t when, enum timer_kind kind,
	       uint64_t id)
{
	if (timers->count == timers->cap) {
		timers->cap = timers->cap ? timers->cap * 2 : 64;
		timers->heap = xrealloc(timers->heap,
					timers->cap * sizeof(struct timer));
	}
	timers->heap[timers->count] =
		(struct timer){ when, timers->order++, kind, id };
	sift_up(timers->heap, timers->count++);
}

bool timer_pop(struct timers *timers, int64_t now, struct timer *out)
{
	if (!timers->count || timers->heap[0].when > now)
		return false;
	*out = timers->heap[0];
	timers->heap[0] = timers->heap[--timers->count];
	sift_down(timers->heap, timers->count, 0);
	return true;
}

int64_t timer_next(const struct timers *timers)
{
	return timers->count ? timers->heap[0].when : INT64_MAX;
}

void timers_free(struct timers *timers)
{
	free(timers->heap);
	*timers = (struct timers){ 0 };
}
