#include "target.h"

#include <stdlib.h>

#include <curl/curl.h>
#include <jansson.h>

static void add_param(struct buf *out, const char *key, struct str value)
{
	char *escaped = curl_easy_escape(NULL, value.ptr ? value.ptr : "",
					 (int)value.len);

	buf_printf(out, "&%s=%s", key, escaped ? escaped : "");
	curl_free(escaped);
}

void target_url(const struct effect *fx, struct buf *out)
{
	static const char *const paths[] = {
		[FETCH_LEAF] = "leaf",
		[FETCH_ENTRY] = "entry",
		[FETCH_CANCEL] = "cancel",
		[FETCH_HEALTH] = "health",
	};

	buf_printf(out, "http://%.*s/%s?job=%llu", STR_ARG(fx->addr),
		   paths[fx->fetch], (unsigned long long)fx->job);
	if (fx->fetch != FETCH_LEAF && fx->fetch != FETCH_ENTRY)
		return;
	buf_printf(out, "&shard=%u&version=%llu", fx->shard,
		   (unsigned long long)fx->version);
	add_param(out, "index", fx->name);
	if (fx->fetch == FETCH_LEAF)
		add_param(out, "terms", fx->text);
}

static void append_json(json_t *value, struct buf *out)
{
	size_t size = json_dumpb(value, NULL, 0, JSON_COMPACT);

	buf_reserve(out, size);
	json_dumpb(value, out->ptr + out->len, size, JSON_COMPACT);
	out->len += size;
}

static uint64_t get_integer(json_t *doc, const char *key)
{
	return (uint64_t)json_integer_value(json_object_get(doc, key));
}

static void parse_fields(json_t *doc, struct parsed_reply *parsed_reply)
{
	json_t *boot = json_object_get(doc, "boot");
	json_t *load = json_object_get(doc, "load");

	if (json_is_string(boot))
		parsed_reply->boot = str_hash(str_of(json_string_value(boot)));
	if (json_is_integer(load))
		parsed_reply->load = (int)json_integer_value(load);
	parsed_reply->draining = json_is_true(json_object_get(doc, "draining"));
	parsed_reply->job = get_integer(doc, "job");
	parsed_reply->shard = (uint32_t)get_integer(doc, "shard");
	parsed_reply->version = get_integer(doc, "version");
}

void target_parse_reply(struct str body, int status,
			struct parsed_reply *parsed_reply, struct buf *rows)
{
	json_t *doc = json_loadb(body.ptr ? body.ptr : "", body.len,
				 JSON_REJECT_DUPLICATES, NULL);

	parsed_reply->status = status;
	parsed_reply->load = -1;
	if (!json_is_object(doc)) {
		parsed_reply->result = FETCH_MALFORMED;
		json_decref(doc);
		return;
	}
	parse_fields(doc, parsed_reply);

	json_t *list = json_object_get(doc, "rows");
	json_t *entry = json_object_get(doc, "entry");

	if (json_is_array(list))
		append_json(list, rows);
	else if (json_is_object(entry))
		append_json(entry, rows);
	else if (status == 200 && !json_object_get(doc, "health"))
		parsed_reply->result = FETCH_MALFORMED;
	parsed_reply->body = buf_str(rows);
	json_decref(doc);
}
