#include "explain.h"

#include <stdlib.h>

#include <jansson.h>

#include "event.h"
#include "xmalloc.h"

/** struct log_line - a log line of interest */
struct log_line {
	struct str when;
	struct str node;
	json_t *event;
	size_t order;
};

/** struct log_lines - growing list of lines, in the order of reading */
struct log_lines {
	struct log_line *lines;
	size_t count;
	size_t cap;
};

/**
 * struct explain - lines collected from the logs
 * @request_lines: lines of the request
 * @crash_lines: lines of all requests during which a connection to a target
 *               broke, because the evidence against the request may come from
 *               other requests with the same content
 * @omitted: lines that the nodes omitted from their logs
 */
struct explain {
	struct str id;
	struct log_lines request_lines;
	struct log_lines crash_lines;
	int omitted;
};

/** struct cause - explanation for a value of the final line's "why" */
struct cause {
	const char *why;
	const char *text;
};

static const struct cause causes[] = {
	{ "complete",
	  "The answer was complete but later than the route's goal. The tried "
	  "lines above name the targets that were late." },
	{ "soft deadline",
	  "The soft deadline passed while shards were missing, so the answer "
	  "left them out. The tried lines name targets that failed; waits_for "
	  "names targets that were late (paused, slow or overloaded)." },
	{ "nothing more",
	  "All targets of the missing shards had been tried, so the answer left "
	  "them out without waiting." },
	{ "out of time", "The caller's or the route's timeout expired before "
			 "enough shards had replied." },
	{ "too few shards can be reached",
	  "Too many shards had no target left to try, so the request failed at "
	  "once." },
	{ "too few shards have a target",
	  "On arrival, too few shards had a usable target. The request was "
	  "refused at once; nothing ran. Look for targets that are gone or "
	  "down, or a failure domain that is out (belief lines)." },
	{ "no target of the service",
	  "This node's table has no target of the service; nothing ran. Compare "
	  "it with the store's entries; revision and store_age_ms show the "
	  "state that the node had." },
	{ "no target may be asked",
	  "All targets of the service are down, leaving, or have as many "
	  "requests as they bear: nothing ran." },
	{ "the target did not reply",
	  "A target received the request, but its connection was closed or it "
	  "sent no reply: it may have run. A request that is not idempotent is "
	  "not sent again; check its outcome at that target." },
	{ "the target is full",
	  "Every target that got the request rejected it as not run." },
	{ "the target failed", "A target ran the request and failed." },
	{ "the merging node did not answer",
	  "The node that merges the answer did not reply in time." },
	{ "it crashes the targets that run it",
	  "It was refused at once; nothing ran. Its content and caller are those "
	  "of requests that crashed each target that ran them; the lines above "
	  "name these. It stays blocked until all nodes have been stopped." },
	{ "it may crash targets and is being tried",
	  "Connections broke under the same request at several targets and none "
	  "answered it, so it is sent to one target at a time. Another trial was "
	  "in progress. The caller may retry later." },
	{ "this node stops",
	  "The node was being stopped and could not have answered in time, so it "
	  "refused the request at once; nothing ran. The line stop has the time "
	  "since the signal." },
	{ "the planned stop ended it",
	  "The node answered all that it held before the end of its grace "
	  "period, with what it had. Status 503: nothing ran; 502: a target may "
	  "have run it." },
	{ "the caller closed",
	  "The caller closed before an answer was ready." },
	{ "reply", "The target replied, but later than the route's goal." },
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

static bool is_for_request(json_t *event, struct str id)
{
	json_t *request = json_object_get(event, "request");

	return json_is_string(request) &&
	       str_eq(str_of(json_string_value(request)), id);
}

static void append_line(struct log_lines *list, json_t *doc, json_t *event)
{
	if (list->count == list->cap) {
		list->cap = list->cap ? list->cap * 2 : 16;
		list->lines =
			xrealloc(list->lines, list->cap * sizeof(*list->lines));
	}
	list->lines[list->count] =
		(struct log_line){ .when = text_of(doc, "time"),
				   .node = text_of(doc, "node"),
				   .event = json_incref(event),
				   .order = list->count };
	list->count++;
}

static bool has_value(json_t *event, const char *key, const char *text)
{
	const char *value = json_string_value(json_object_get(event, key));

	return value && !strcmp(value, text);
}

static bool is_crash(json_t *event)
{
	return has_value(event, "result", fetch_result_text(FETCH_BROKEN)) ||
	       has_value(event, "what", "request crashes targets");
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
	if (has_value(event, "note", "left_out"))
		explain->omitted += (int)json_integer_value(
			json_object_get(event, "lines"));
	if (is_for_request(event, explain->id))
		append_line(&explain->request_lines, doc, event);
	else if (is_crash(event))
		append_line(&explain->crash_lines, doc, event);
	json_decref(doc);
}

static int compare_time(const void *a, const void *b)
{
	const struct log_line *x = a;
	const struct log_line *y = b;
	int order = strcmp(x->when.ptr, y->when.ptr);

	return order ? order : x->order < y->order ? -1 : 1;
}

/* The field "request" is omitted where it holds @id. */
static void print_line(const struct log_line *line, struct str id,
		       struct buf *out)
{
	const char *key;
	json_t *value;

	buf_printf(out, "%.*s %.*s", STR_ARG(line->when), STR_ARG(line->node));
	json_object_foreach(line->event, key, value)
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

/* The line about the answer to the caller, not those about other nodes. */
static json_t *final_event(const struct explain *explain)
{
	json_t *fallback = NULL;

	for (size_t i = explain->request_lines.count; i-- > 0;) {
		json_t *event = explain->request_lines.lines[i].event;

		if (json_object_get(event, "status") &&
		    !json_object_get(event, "target"))
			return event;
		if (!fallback && !json_object_get(event, "target") &&
		    !json_object_get(event, "node"))
			fallback = event;
	}
	return fallback;
}

static void print_cause(const struct explain *explain, struct buf *out)
{
	json_t *event = final_event(explain);
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
		       : "no line about the final answer; the node that got "
			 "the request stopped before it, or its log is not "
			 "among these.");
}

static bool has_same_value(json_t *event, json_t *other, const char *key)
{
	json_t *value = json_object_get(event, key);

	return value && json_equal(value, json_object_get(other, key));
}

/* Crashes of targets by requests with the same content, from any caller. */
static void print_crashes(const struct explain *explain, struct buf *out)
{
	json_t *event = final_event(explain);

	if (!has_value(event, "why", "it crashes the targets that run it") &&
	    !has_value(event, "why", "it may crash targets and is being tried"))
		return;
	buf_str_add(out, STR("The same content under other ids:\n"));
	for (size_t i = 0; i < explain->crash_lines.count; i++)
		if (has_same_value(event, explain->crash_lines.lines[i].event,
				   "content"))
			print_line(&explain->crash_lines.lines[i], explain->id,
				   out);
}

static void sort_lines(struct log_lines *list)
{
	if (list->count)
		qsort(list->lines, list->count, sizeof(*list->lines),
		      compare_time);
}

int explain_text(struct explain *explain, struct buf *out)
{
	if (!explain->request_lines.count) {
		buf_printf(out,
			   "No line names %.*s: it was answered whole and in "
			   "time, or none of these nodes took it, or its lines "
			   "are among the %d left out.\n",
			   STR_ARG(explain->id), explain->omitted);
		return 0;
	}
	sort_lines(&explain->request_lines);
	sort_lines(&explain->crash_lines);
	for (size_t i = 0; i < explain->request_lines.count; i++)
		print_line(&explain->request_lines.lines[i], explain->id, out);
	print_crashes(explain, out);
	print_cause(explain, out);
	return (int)explain->request_lines.count;
}

static void free_list(struct log_lines *list)
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
	free_list(&explain->request_lines);
	free_list(&explain->crash_lines);
	str_free(explain->id);
	free(explain);
}
