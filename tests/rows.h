#pragma once

#include <jansson.h>

/**
 * rows_fault() - what is wrong with an answer of the stand-in targets
 * @doc: the answer; each row names its shard, snapshot and terms
 * @terms: the question's own
 *
 * All rows must be of the answer's snapshot and of this question, no shard may
 * stand twice, and the coverage must be what the rows are of the whole map,
 * rounded down (all weights are 1 here).
 *
 * Return: NULL when all is right.
 */
const char *rows_fault(json_t *doc, const char *terms);
