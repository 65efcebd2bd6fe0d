#include "request.h"

#include <stdlib.h>

#include "json.h"

enum {
	MAX_DEADLINE_MS = 600000,
	US_PER_MS = 1000
};

static json_t *parse_object(struct json_input *in, struct str body)
{
	json_t *doc = json_parse(in, body);

	if (doc && !json_is_object(doc)) {
		json_error_set(in, "top", "must be an object");
		json_decref(doc);
		return NULL;
	}
	return doc;
}

static struct str parse_text(struct json_input *in, json_t *doc,
			     const char *key, size_t max, apr_pool_t *pool)
{
	return str_dup(pool, json_get_string(in, key, doc, key, max));
}

static struct str parse_optional_text(struct json_input *in, json_t *doc,
				      const char *key, size_t max,
				      apr_pool_t *pool)
{
	if (!json_object_get(doc, key))
		return (struct str){ 0 };
	return parse_text(in, doc, key, max, pool);
}

static int64_t parse_deadline(struct json_input *in, json_t *doc)
{
	return json_get_int_or(in, "deadline_ms", doc, "deadline_ms", 1,
			       MAX_DEADLINE_MS, 0) *
	       US_PER_MS;
}

static int compare_ids(const void *left, const void *right)
{
	uint32_t a = *(const uint32_t *)left;
	uint32_t b = *(const uint32_t *)right;

	return a < b ? -1 : a > b;
}

static void parse_shards(struct json_input *in, json_t *doc, apr_pool_t *pool,
			 struct question_request *request)
{
	if (!json_object_get(doc, "shards"))
		return;

	json_t *list = json_get_array(in, "shards", doc, "shards",
				      QUESTION_MAX_SHARDS);
	size_t count = list ? json_array_size(list) : 0;

	request->shards =
		apr_pcalloc(pool, (count + 1) * sizeof(*request->shards));
	request->nshards = count;
	for (size_t i = 0; i < count; i++) {
		json_t *item = json_array_get(list, i);
		json_int_t id = json_integer_value(item);

		if (!json_is_integer(item) || id < 1 || id > UINT32_MAX)
			json_error_set(in, "shards", "item %zu is no shard id",
				       i);
		request->shards[i] = (uint32_t)id;
	}
	qsort(request->shards, count, sizeof(*request->shards), compare_ids);
	for (size_t i = 1; i < count; i++)
		if (request->shards[i] == request->shards[i - 1])
			json_error_set(in, "shards", "%u stands twice",
				       request->shards[i]);
}

int request_parse_question(struct str body, apr_pool_t *pool,
			   struct question_request *request, struct error *err)
{
	static const char *const keys[] = { "customer", "request_id",
					    "terms",	"indexes",
					    "shards",	"deadline_ms",
					    NULL };
	struct json_input in = { .file = "question", .code = ERR_BAD_REQUEST };
	json_t *doc = parse_object(&in, body);

	*request = (struct question_request){ 0 };
	if (doc) {
		json_check_keys(&in, "top", doc, keys);
		request->customer = parse_text(&in, doc, "customer",
					       REQUEST_NAME_MAX, pool);
		request->request_id = parse_text(&in, doc, "request_id",
						 REQUEST_NAME_MAX, pool);
		request->terms = parse_optional_text(&in, doc, "terms",
						     QUESTION_TERMS_MAX, pool);
		request->indexes =
			json_get_strings(&in, "indexes", doc, "indexes", pool,
					 &request->nindexes);
		if (!request->nindexes ||
		    request->nindexes > QUESTION_MAX_INDEXES)
			json_error_set(&in, "indexes", "must name 1 to %d",
				       QUESTION_MAX_INDEXES);
		parse_shards(&in, doc, pool, request);
		request->deadline_us = parse_deadline(&in, doc);
		json_decref(doc);
	}
	*err = in.err;
	return err->code;
}

static void parse_action(struct json_input *in, json_t *doc, apr_pool_t *pool,
			 struct entry_request *request)
{
	json_t *action = json_object_get(doc, "entry");

	request->index = parse_text(in, doc, "index", REQUEST_NAME_MAX, pool);
	request->key =
		json_get_int(in, "key", doc, "key", INT64_MIN, INT64_MAX);
	request->deadline_us = parse_deadline(in, doc);
	if (!json_is_object(action)) {
		json_error_set(in, "entry", "must be an object");
		return;
	}

	char *dump = json_dumps(action, JSON_COMPACT | JSON_SORT_KEYS);

	request->entry = str_dup(pool, str_of(dump));
	free(dump);
}

int request_parse_entry(struct str body, bool lookup, apr_pool_t *pool,
			struct entry_request *request, struct error *err)
{
	static const char *const keys[] = { "customer",	   "request_id",
					    "ticket",	   "index",
					    "key",	   "entry",
					    "deadline_ms", NULL };
	struct json_input in = { .file = "entry", .code = ERR_BAD_REQUEST };
	json_t *doc = parse_object(&in, body);

	*request = (struct entry_request){ 0 };
	if (doc) {
		json_check_keys(&in, "top", doc, keys);
		request->customer = parse_text(&in, doc, "customer",
					       REQUEST_NAME_MAX, pool);
		request->request_id = parse_text(&in, doc, "request_id",
						 REQUEST_NAME_MAX, pool);
		request->ticket =
			parse_optional_text(&in, doc, "ticket", 128, pool);
		if (!lookup)
			parse_action(&in, doc, pool, request);
		json_decref(doc);
	}
	*err = in.err;
	return err->code;
}
