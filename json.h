#pragma once

#include <jansson.h>

#include "error.h"

/** JSON_UNBOUNDED - no limit except the size of the document. */
#define JSON_UNBOUNDED SIZE_MAX

/**
 * struct json_input - a document being validated
 * @file: name of the document in error messages
 * @code: ERR_SETTINGS, ERR_LIST or ERR_BAD_REQUEST, used for every error
 * @allows_nul: strings may contain NUL; they are read with their lengths
 * @err: first error; err.code is 0 if there is none
 */
struct json_input {
	const char *file;
	int code;
	bool allows_nul;
	struct error err;
};

/** json_error_set() - record an error at @location; only the first is kept. */
void json_error_set(struct json_input *in, const char *location,
		    const char *fmt, ...) __attribute__((format(printf, 3, 4)));

/** json_parse() - parse @text; duplicate keys are an error. */
json_t *json_parse(struct json_input *in, struct str text);

/** json_check_keys() - every key of @obj must be in @known (NULL-ended). */
void json_check_keys(struct json_input *in, const char *location, json_t *obj,
		     const char *const *known);

/*
 * Typed fields. A missing required field is an error; the functions with
 * @fallback return it instead if the field is absent.
 */
int64_t json_get_int(struct json_input *in, const char *location, json_t *obj,
		     const char *key, int64_t min, int64_t max);
int64_t json_get_int_or(struct json_input *in, const char *location,
			json_t *obj, const char *key, int64_t min, int64_t max,
			int64_t fallback);
double json_get_real_or(struct json_input *in, const char *location,
			json_t *obj, const char *key, double min, double max,
			double fallback);
/**
 * json_get_clamped() - read a number whose range was validated elsewhere.
 *
 * Return: the value clamped to @min and @max, or @fallback if the field is
 * absent; a field that is not a number is an error.
 */
double json_get_clamped(struct json_input *in, const char *location,
			json_t *obj, const char *key, double min, double max,
			double fallback);
/** json_get_string() - read a string of 1 to @max bytes, or JSON_UNBOUNDED. */
struct str json_get_string(struct json_input *in, const char *location,
			   json_t *obj, const char *key, size_t max);
/** json_get_array() - read an array of up to @max items; NULL on error. */
json_t *json_get_array(struct json_input *in, const char *location, json_t *obj,
		       const char *key, size_t max);
/** json_get_strings() - read an array of unique strings, copied to @pool. */
struct str *json_get_strings(struct json_input *in, const char *location,
			     json_t *obj, const char *key, apr_pool_t *pool,
			     size_t *count);
