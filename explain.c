#include "explain.h"

#include <stdlib.h>

#include <jansson.h>

#include "event.h"
#include "xmalloc.h"

/** struct told - a line about the request */
struct told {
	struct str when;
	struct str node;
	json_t *event;
	size_t order;
};

/** struct told_list - lines, in the order of the logs */
struct told_list {
	struct told *lines;
	size_t count;
	size_t cap;
};

/**
 * struct explain - what the logs say
 * @about: lines of the request
 * @crashes: of any request under which connections broke, as what is known of
 *           the one that is asked for may be known from others like it
 */
struct explain {
	struct str id;
	struct told_list about;
	struct told_list crashes;
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
	{ "it crashes the targets that run it",
	  "It was refused at once, nothing ran: it is the same (content and "
	  "caller) as requests that crashed each target that ran them. The "
	  "lines above name these. It stays so until all nodes have been "
	  "stopped." },
	{ "it may crash targets and is being tried",
	  "The same request broke off at several targets and was answered by "
	  "none, so it is sent to one target at a time; another trial was "
	  "under way. Its caller may come back." },
	{ "the caller closed",
	  "The caller closed before an answer was ready." },
	{ "reply", "It was answered by its target, after the route's goal." },
};

struct explain *explain_create(struct str id)
{
	struct explain *explain = xcalloc(1, sizeof(*explain));

	explain->id = str_heap_dup(id);
	return explain;
}

static struct str text_of(json_t *obj, const char *key)
{
	return str_heap_dup(
		str_of(json_string_value(json_object_get(obj, key))));
}

static bool is_about(json_t *event, struct str id)
{
	json_t *request = json_object_get(event, "request");

	return json_is_string(request) &&
	       str_eq(str_of(json_string_value(request)), id);
}

static void keep(struct told_list *list, json_t *doc, json_t *event)
{
	if (list->count == list->cap) {
		list->cap = list->cap ? list->cap * 2 : 16;
		list->lines =
			xrealloc(list->lines, list->cap * sizeof(*list->lines));
	}
	list->lines[list->count] = (struct told){ .when = text_of(doc, "time"),
						  .node = text_of(doc, "node"),
						  .event = json_incref(event),
						  .order = list->count };
	list->count++;
}

static bool says(json_t *event, const char *key, const char *text)
{
	const char *value = json_string_value(json_object_get(event, key));

	return value && !strcmp(value, text);
}

static bool is_crash(json_t *event)
{
	return says(event, "result", fetch_result_text(FETCH_BROKEN)) ||
	       says(event, "what", "request crashes targets");
}

void explain_line(struct explain *explain, struct str line)
{
	const char *brace = memchr(line.ptr ? line.ptr : "", '{', line.len);
	json_t *doc;
	json_t *event;

	if (!brace)
		return;
	doc = json_loadb(brace, line.len - (size_t)(brace - line.ptr), 0, NULL);
	event = json_object_get(doc, "event");
	if (says(event, "note", "left_out"))
		explain->left_out += (int)json_integer_value(
			json_object_get(event, "lines"));
	if (is_about(event, explain->id))
		keep(&explain->about, doc, event);
	else if (is_crash(event))
		keep(&explain->crashes, doc, event);
	json_decref(doc);
}

static int by_time(const void *a, const void *b)
{
	const struct told *x = a;
	const struct told *y = b;
	int order = strcmp(x->when.ptr, y->when.ptr);

	return order ? order : x->order < y->order ? -1 : 1;
}

/* @id: of the request that is explained, which goes without saying. */
static void tell_line(const struct told *told, struct str id, struct buf *out)
{
	const char *key;
	json_t *value;

	buf_printf(out, "%.*s %.*s", STR_ARG(told->when), STR_ARG(told->node));
	json_object_foreach(told->event, key, value)
	{
		char *text;

		if (!strcmp(key, "request") &&
		    str_eq(str_of(json_string_value(value)), id))
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

	for (size_t i = explain->about.count; i-- > 0;) {
		json_t *event = explain->about.lines[i].event;

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

static bool is_alike(json_t *event, json_t *other, const char *key)
{
	json_t *value = json_object_get(event, key);

	return value && json_equal(value, json_object_get(other, key));
}

/* What the same content did to targets under other ids, whoever sent it. */
static void tell_crashes(const struct explain *explain, struct buf *out)
{
	json_t *event = last_word(explain);

	if (!says(event, "why", "it crashes the targets that run it") &&
	    !says(event, "why", "it may crash targets and is being tried"))
		return;
	buf_str_add(out, STR("The same content under other ids:\n"));
	for (size_t i = 0; i < explain->crashes.count; i++)
		if (is_alike(event, explain->crashes.lines[i].event, "content"))
			tell_line(&explain->crashes.lines[i], explain->id, out);
}

static void sort(struct told_list *list)
{
	if (list->count)
		qsort(list->lines, list->count, sizeof(*list->lines), by_time);
}

int explain_text(struct explain *explain, struct buf *out)
{
	if (!explain->about.count) {
		buf_printf(out,
			   "No line names %.*s: it was answered whole and in "
			   "time, or none of these nodes took it, or its lines "
			   "are among the %d left out.\n",
			   STR_ARG(explain->id), explain->left_out);
		return 0;
	}
	sort(&explain->about);
	sort(&explain->crashes);
	for (size_t i = 0; i < explain->about.count; i++)
		tell_line(&explain->about.lines[i], explain->id, out);
	tell_crashes(explain, out);
	tell_cause(explain, out);
	return (int)explain->about.count;
}

static void free_list(struct told_list *list)
{
	for (size_t i = 0; i < list->count; i++) {
		str_free(list->lines[i].when);
		str_free(list->lines[i].node);
		json_decref(list->lines[i].event);
	}
	free(list->lines);
}

void explain_destroy(struct explain *explain)
{
	free_list(&explain->about);
	free_list(&explain->crashes);
	str_free(explain->id);
	free(explain);
}
