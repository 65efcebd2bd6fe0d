#include "line.h"

#include <stdlib.h>

#include "xmalloc.h"

enum {
	FIRST_CAP = 8,
};

struct line *line_find(apr_hash_t *lines, uint64_t service)
{
	return apr_hash_get(lines, &service, sizeof(service));
}

void line_add(apr_hash_t *lines, uint64_t service, struct waiter waiter)
{
	struct line *line = line_find(lines, service);

	if (!line) {
		line = xcalloc(1, sizeof(*line));
		line->service = service;
		apr_hash_set(lines, &line->service, sizeof(line->service),
			     line);
	}
	if (line->count == line->cap) {
		line->cap = line->cap ? line->cap * 2 : FIRST_CAP;
		line->list =
			xrealloc(line->list, line->cap * sizeof(*line->list));
	}
	line->list[line->count++] = waiter;
}

void line_drop(struct line *line, size_t index)
{
	line->list[index] = line->list[--line->count];
}

size_t lines_count(apr_hash_t *lines)
{
	apr_hash_index_t *it;
	size_t count = 0;

	for (it = apr_hash_first(NULL, lines); it; it = apr_hash_next(it)) {
		void *value;

		apr_hash_this(it, NULL, NULL, &value);
		count += ((struct line *)value)->count;
	}
	return count;
}

void lines_free(apr_hash_t *lines)
{
	apr_hash_index_t *it;

	for (it = apr_hash_first(NULL, lines); it; it = apr_hash_next(it)) {
		struct line *line;
		void *value;

		apr_hash_this(it, NULL, NULL, &value);
		line = value;
		free(line->list);
		free(line);
	}
}

/*
 * Of those that can be in time the one with least time left. The others are
 * late whatever happens: the newest of them has most of its time left, and the
 * oldest would mostly end without an answer after all.
 */
bool line_before(const struct claim *a, const struct claim *b)
{
	if (a->in_time != b->in_time)
		return a->in_time;
	if (a->in_time)
		return a->soft_at < b->soft_at;
	return a->start > b->start;
}
