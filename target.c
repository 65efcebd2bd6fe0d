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

static void take_value(json_t *value, struct buf *out)
{
	size_t need = json_dumpb(value, NULL, 0, JSON_COMPACT);

	buf_reserve(out, need);
	json_dumpb(value, out->ptr + out->len, need, JSON_COMPACT);
	out->len += need;
}

static uint64_t number(json_t *doc, const char *key)
{
	return (uint64_t)json_integer_value(json_object_get(doc, key));
}

static void take_fields(json_t *doc, struct fetch_response *got)
{
	json_t *boot = json_object_get(doc, "boot");
	json_t *load = json_object_get(doc, "load");

	if (json_is_string(boot))
		got->boot = str_hash(str_of(json_string_value(boot)));
	if (json_is_integer(load))
		got->load = (int)json_integer_value(load);
	got->draining = json_is_true(json_object_get(doc, "draining"));
	got->job = number(doc, "job");
	got->shard = (uint32_t)number(doc, "shard");
	got->version = number(doc, "version");
}

void target_reply(struct str body, int status, struct fetch_response *got,
		  struct buf *rows)
{
	json_t *doc = json_loadb(body.ptr ? body.ptr : "", body.len,
				 JSON_REJECT_DUPLICATES, NULL);

	got->status = status;
	got->load = -1;
	if (!json_is_object(doc)) {
		got->result = FETCH_MALFORMED;
		json_decref(doc);
		return;
	}
	take_fields(doc, got);

	json_t *list = json_object_get(doc, "rows");
	json_t *entry = json_object_get(doc, "entry");

	if (json_is_array(list))
		take_value(list, rows);
	else if (json_is_object(entry))
		take_value(entry, rows);
	else if (status == 200 && !json_object_get(doc, "health"))
		got->result = FETCH_MALFORMED;
	got->body = buf_str(rows);
	json_decref(doc);
}
