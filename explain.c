#include "explain.h"

#include <stdlib.h>

#include <jansson.h>

#include "xmalloc.h"

/** struct told - a line about the request */
struct told {
	struct str when;
	struct str node;
	json_t *event;
	size_t order;
};

struct explain {
	struct str id;
	struct told *lines;
	size_t count;
	size_t cap;
	int left_out;
};

/** struct cause - what the "why" of a last line means, and what to look at */
struct cause {
	const char *why;
	const char *text;
};

static const struct cause causes[] = {
	{ "complete", "It was answered whole, but after the route's goal: the "
		      "tried lines above name the targets that were late." },
	{ "soft deadline",
	  "The soft deadline came while shards were missing: the answer left "
	  "them out. The tried lines name targets that failed; waits_for names "
	  "targets that were late (paused, slow or overloaded)." },
	{ "nothing more",
	  "All targets of the missing shards had been tried, so the answer left "
	  "them out and did not wait." },
	{ "out of time", "The caller's time, or the route's, was over before "
			 "enough shards were in." },
	{ "too few shards can be reached",
	  "Too many shards had no target left to try: it was given up at once." },
	{ "too few shards have a target",
	  "When it came too few shards had a target that may be asked: it was "
	  "refused at once, nothing ran. Look for targets that are gone or "
	  "down, or a failure domain that is out (belief lines)." },
	{ "no target of the service",
	  "The table holds no target of the service: nothing ran. Compare the "
	  "store's entries; revision and store_age_ms say what was known." },
	{ "no target may be asked",
	  "All targets of the service are down, leaving, or have as many "
	  "requests as they bear: nothing ran." },
	{ "the target did not reply",
	  "A target took the request and its connection ended, or no reply "
	  "came: it may have run. A request that may run once only is not sent "
	  "again; look it up at that target." },
	{ "the target is full",
	  "Every target that was asked rejected it as not run." },
	{ "the target failed", "A target ran it and failed." },
	{ "the merging node did not answer",
	  "The node that was to ask targets did not answer in time." },
	{ "the caller closed",
	  "The caller closed before an answer was ready." },
	{ "reply", "It was answered by its target, after the route's goal." },
};

struct explain *explain_create(struct str id)
{
	struct explain *explain = xcalloc(1, sizeof(*explain));

	explain->id = str_keep(id);
	return explain;
}

static struct str text_of(json_t *obj, const char *key)
{
	return str_keep(str_of(json_string_value(json_object_get(obj, key))));
}

static bool is_about(json_t *event, struct str id)
{
	json_t *request = json_object_get(event, "request");

	return json_is_string(request) &&
	       str_eq(str_of(json_string_value(request)), id);
}

void explain_line(struct explain *explain, struct str line)
{
	const char *brace = memchr(line.ptr ? line.ptr : "", '{', line.len);
	json_t *doc;
	json_t *event;
	const char *note;

	if (!brace)
		return;
	doc = json_loadb(brace, line.len - (size_t)(brace - line.ptr), 0, NULL);
	event = json_object_get(doc, "event");
	note = json_string_value(json_object_get(event, "note"));
	if (note && !strcmp(note, "left_out"))
		explain->left_out += (int)json_integer_value(
			json_object_get(event, "lines"));
	if (!is_about(event, explain->id)) {
		json_decref(doc);
		return;
	}
	if (explain->count == explain->cap) {
		explain->cap = explain->cap ? explain->cap * 2 : 16;
		explain->lines = xrealloc(
			explain->lines, explain->cap * sizeof(*explain->lines));
	}
	explain->lines[explain->count] =
		(struct told){ .when = text_of(doc, "time"),
			       .node = text_of(doc, "node"),
			       .event = json_incref(event),
			       .order = explain->count };
	explain->count++;
	json_decref(doc);
}

static int by_time(const void *a, const void *b)
{
	const struct told *x = a;
	const struct told *y = b;
	int order = strcmp(x->when.ptr, y->when.ptr);

	return order ? order : x->order < y->order ? -1 : 1;
}

static void tell_line(const struct told *told, struct buf *out)
{
	const char *key;
	json_t *value;

	buf_printf(out, "%.*s %.*s", STR_ARG(told->when), STR_ARG(told->node));
	json_object_foreach(told->event, key, value)
	{
		char *text;

		if (!strcmp(key, "request"))
			continue;
		text = json_dumps(value,
				  JSON_ENCODE_ANY | JSON_REAL_PRECISION(6));
		buf_printf(out, " %s=%s", key, text ? text : "");
		free(text);
	}
	buf_str_add(out, STR("\n"));
}

/* The last word to the caller; words between nodes are no answers. */
static json_t *last_word(const struct explain *explain)
{
	json_t *gone = NULL;

	for (size_t i = explain->count; i-- > 0;) {
		json_t *event = explain->lines[i].event;

		if (json_object_get(event, "status") &&
		    !json_object_get(event, "target"))
			return event;
		if (!gone && !json_object_get(event, "target") &&
		    !json_object_get(event, "node"))
			gone = event;
	}
	return gone;
}

static void tell_cause(const struct explain *explain, struct buf *out)
{
	json_t *event = last_word(explain);
	const char *why = json_string_value(json_object_get(event, "why"));

	buf_str_add(out, STR("Cause: "));
	for (size_t i = 0; why && i < sizeof(causes) / sizeof(*causes); i++) {
		if (strcmp(causes[i].why, why))
			continue;
		buf_printf(out, "%s\n", causes[i].text);
		return;
	}
	buf_printf(out, "%s\n",
		   why ? why
		       : "no last word; the node that took the request ended "
			 "first, or its log is not among these.");
}

int explain_text(struct explain *explain, struct buf *out)
{
	if (!explain->count) {
		buf_printf(out,
			   "No line names %.*s: it was answered whole and in "
			   "time, or none of these nodes took it, or its lines "
			   "are among the %d left out.\n",
			   STR_ARG(explain->id), explain->left_out);
		return 0;
	}
	qsort(explain->lines, explain->count, sizeof(*explain->lines), by_time);
	for (size_t i = 0; i < explain->count; i++)
		tell_line(&explain->lines[i], out);
	tell_cause(explain, out);
	return (int)explain->count;
}

void explain_destroy(struct explain *explain)
{
	for (size_t i = 0; i < explain->count; i++) {
		str_free(explain->lines[i].when);
		str_free(explain->lines[i].node);
		json_decref(explain->lines[i].event);
	}
	free(explain->lines);
	str_free(explain->id);
	free(explain);
}
