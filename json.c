#include "json.h"

#include <math.h>
#include <stdarg.h>
#include <stdio.h>

enum {
	NAME_MAX_BYTES = 64
};

void json_error_set(struct json_input *in, const char *location,
		    const char *fmt, ...)
{
	char text[120];
	va_list args;

	if (in->err.code)
		return;
	va_start(args, fmt);
	vsnprintf(text, sizeof(text), fmt, args);
	va_end(args);
	error_set(&in->err, in->code, "%s: %s: %s", in->file, location, text);
}

json_t *json_parse(struct json_input *in, struct str text)
{
	size_t flags = JSON_REJECT_DUPLICATES;
	json_error_t parse_error;
	json_t *doc;

	if (in->allows_nul)
		flags |= JSON_ALLOW_NUL;
	doc = json_loadb(text.ptr ? text.ptr : "", text.len, flags,
			 &parse_error);

	if (doc)
		return doc;
	char location[48];

	snprintf(location, sizeof(location), "line %d column %d",
		 parse_error.line, parse_error.column);
	json_error_set(in, location, "%s", parse_error.text);
	return NULL;
}

static bool is_known(const char *key, const char *const *known)
{
	for (; *known; known++)
		if (!strcmp(*known, key))
			return true;
	return false;
}

void json_check_keys(struct json_input *in, const char *location, json_t *obj,
		     const char *const *known)
{
	const char *key;
	json_t *value;

	if (!json_is_object(obj)) {
		json_error_set(in, location, "must be an object");
		return;
	}
	json_object_foreach(obj, key, value)
	{
		if (!is_known(key, known))
			json_error_set(in, location, "unknown field \"%.40s\"",
				       key);
	}
}

static json_t *required_field(struct json_input *in, const char *location,
			      json_t *obj, const char *key)
{
	json_t *value = json_object_get(obj, key);

	if (!value)
		json_error_set(in, location, "field \"%s\" is missing", key);
	return value;
}

static int64_t parse_int(struct json_input *in, const char *location,
			 json_t *value, const char *key, int64_t min,
			 int64_t max)
{
	if (!json_is_integer(value)) {
		json_error_set(in, location, "field \"%s\" must be an integer",
			       key);
		return min;
	}
	int64_t number = json_integer_value(value);

	if (number < min || number > max) {
		json_error_set(in, location,
			       "field \"%s\" must be %lld to %lld", key,
			       (long long)min, (long long)max);
		return min;
	}
	return number;
}

int64_t json_get_int(struct json_input *in, const char *location, json_t *obj,
		     const char *key, int64_t min, int64_t max)
{
	json_t *value = required_field(in, location, obj, key);

	return value ? parse_int(in, location, value, key, min, max) : min;
}

int64_t json_get_int_or(struct json_input *in, const char *location,
			json_t *obj, const char *key, int64_t min, int64_t max,
			int64_t fallback)
{
	json_t *value = json_object_get(obj, key);

	return value ? parse_int(in, location, value, key, min, max) : fallback;
}

double json_get_real_or(struct json_input *in, const char *location,
			json_t *obj, const char *key, double min, double max,
			double fallback)
{
	json_t *value = json_object_get(obj, key);

	if (!value)
		return fallback;
	if (!json_is_number(value)) {
		json_error_set(in, location, "field \"%s\" must be a number",
			       key);
		return fallback;
	}
	double number = json_number_value(value);

	if (number < min || number > max)
		json_error_set(in, location, "field \"%s\" must be %g to %g",
			       key, min, max);
	return number;
}

double json_get_clamped(struct json_input *in, const char *location,
			json_t *obj, const char *key, double min, double max,
			double fallback)
{
	double number = json_get_real_or(in, location, obj, key, -INFINITY,
					 INFINITY, fallback);

	if (number < min)
		return min;
	return number > max ? max : number;
}

static struct str parse_string(struct json_input *in, const char *location,
			       json_t *value, const char *key, size_t max)
{
	if (!json_is_string(value)) {
		json_error_set(in, location, "field \"%s\" must be a string",
			       key);
		return (struct str){ 0 };
	}
	struct str text = { json_string_value(value),
			    json_string_length(value) };

	if (!text.len || text.len > max)
		json_error_set(in, location,
			       "field \"%s\" must have 1 to %zu bytes", key,
			       max);
	return text;
}

struct str json_get_string(struct json_input *in, const char *location,
			   json_t *obj, const char *key, size_t max)
{
	json_t *value = required_field(in, location, obj, key);

	return value ? parse_string(in, location, value, key, max)
		     : (struct str){ 0 };
}

json_t *json_get_array(struct json_input *in, const char *location, json_t *obj,
		       const char *key, size_t max)
{
	json_t *value = required_field(in, location, obj, key);

	if (!value)
		return NULL;
	if (!json_is_array(value)) {
		json_error_set(in, location, "field \"%s\" must be an array",
			       key);
		return NULL;
	}
	if (json_array_size(value) > max) {
		json_error_set(in, location, "field \"%s\" has over %zu items",
			       key, max);
		return NULL;
	}
	return value;
}

struct str *json_get_strings(struct json_input *in, const char *location,
			     json_t *obj, const char *key, apr_pool_t *pool,
			     size_t *count)
{
	json_t *list = json_get_array(in, location, obj, key, JSON_UNBOUNDED);
	size_t n = list ? json_array_size(list) : 0;
	struct str *out = apr_pcalloc(pool, (n + 1) * sizeof(*out));
	apr_hash_t *seen = hash_make(pool);

	*count = n;
	for (size_t i = 0; i < n; i++) {
		out[i] = parse_string(in, location, json_array_get(list, i),
				      key, NAME_MAX_BYTES);
		out[i] = str_dup(pool, out[i]);
		if (apr_hash_get(seen, out[i].ptr, (apr_ssize_t)out[i].len))
			json_error_set(in, location,
				       "\"%s\" has \"%.*s\" twice", key,
				       STR_ARG(out[i]));
		apr_hash_set(seen, out[i].ptr, (apr_ssize_t)out[i].len,
			     &out[i]);
	}
	return out;
}
