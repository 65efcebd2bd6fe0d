#include "rows.h"

#include <stdio.h>
#include <string.h>

#define ROUNDING_ERROR 2e-6

static const char *row_find_error(json_t *row, json_t *seen_shards,
				  json_int_t snapshot, const char *terms)
{
	const char *text = json_string_value(json_object_get(row, "terms"));
	char shard[24];

	snprintf(shard, sizeof(shard), "%lld",
		 (long long)json_integer_value(json_object_get(row, "shard")));
	if (!text || strcmp(text, terms))
		return "rows of another question";
	if (json_integer_value(json_object_get(row, "version")) != snapshot)
		return "rows of different snapshots";
	if (json_object_get(seen_shards, shard))
		return "a shard counted twice";
	json_object_set_new(seen_shards, shard, json_true());
	return NULL;
}

const char *rows_find_error(json_t *doc, const char *terms)
{
	json_t *rows = json_object_get(doc, "rows");
	double merged = (double)json_array_size(rows);
	double total = merged +
		       (double)json_array_size(json_object_get(doc, "missing"));
	json_int_t snapshot =
		json_integer_value(json_object_get(doc, "snapshot"));
	double coverage = json_number_value(json_object_get(doc, "coverage"));
	json_t *seen_shards = json_object();
	const char *error = NULL;
	json_t *row;
	size_t i;

	json_array_foreach(rows, i, row)
	{
		if (!error)
			error = row_find_error(row, seen_shards, snapshot,
					       terms);
	}
	json_decref(seen_shards);
	if (error)
		return error;
	if (total < 1)
		return "the answer covers no shard";
	if (coverage > merged / total ||
	    coverage < merged / total - ROUNDING_ERROR)
		return "coverage does not match the merged rows";
	return NULL;
}
