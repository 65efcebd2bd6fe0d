#pragma once

#include <jansson.h>

/**
 * rows_find_error() - check an answer merged from the fake targets' rows
 * @doc: the answer; each row names its shard, snapshot and terms
 * @terms: terms of the question
 *
 * All rows must have the answer's snapshot and @terms, no shard may occur
 * twice, and the coverage must be the share of the merged shards in the shard
 * map, rounded down (all weights are 1 here).
 *
 * Return: description of the first fault, NULL if there is none.
 */
const char *rows_find_error(json_t *doc, const char *terms);
