#pragma once

#include <jansson.h>

#include "error.h"

/** JSON_UNBOUNDED - a list or text is bounded by its document's size alone. */
#define JSON_UNBOUNDED SIZE_MAX

/**
 * struct json_input - a document under judgement
 * @file: name for messages
 * @code: ERR_SETTINGS, ERR_LIST or ERR_BAD_REQUEST, used for every fault
 * @err: first fault; err.code is 0 while there is none
 */
struct json_input {
	const char *file;
	int code;
	struct error err;
};

/** json_error_set() - record the first fault at @place; later ones are dropped.
 */
void json_error_set(struct json_input *in, const char *place, const char *fmt,
		    ...) __attribute__((format(printf, 3, 4)));

/** json_parse() - parse a whole text; duplicate keys are a fault. */
json_t *json_parse(struct json_input *in, struct str text);

/** json_check_keys() - every key of @obj must be in @known (NULL-ended). */
void json_check_keys(struct json_input *in, const char *place, json_t *obj,
		     const char *const *known);

/* Typed fields. A required field that is absent is a fault. */
int64_t json_int(struct json_input *in, const char *place, json_t *obj,
		 const char *key, int64_t min, int64_t max);
int64_t json_int_or(struct json_input *in, const char *place, json_t *obj,
		    const char *key, int64_t min, int64_t max,
		    int64_t fallback);
double json_real_or(struct json_input *in, const char *place, json_t *obj,
		    const char *key, double min, double max, double fallback);
/**
 * json_clamped() - a number that was judged elsewhere
 *
 * Return: the nearest of @min to @max, or @fallback when the field is absent; a
 * field that is no number is a fault.
 */
double json_clamped(struct json_input *in, const char *place, json_t *obj,
		    const char *key, double min, double max, double fallback);
/** json_text() - a string of 1 to @max bytes; JSON_UNBOUNDED: as long as it is.
 */
struct str json_text(struct json_input *in, const char *place, json_t *obj,
		     const char *key, size_t max);
/** json_list() - an array of up to @max items, or NULL after a fault. */
json_t *json_list(struct json_input *in, const char *place, json_t *obj,
		  const char *key, size_t max);
/** json_strings() - array of unique strings, copied to @pool. */
struct str *json_strings(struct json_input *in, const char *place, json_t *obj,
			 const char *key, apr_pool_t *pool, size_t *count);
