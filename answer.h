#pragma once

#include "front.h"

/** DOC: answers to questions, as JSON, and their coverage */

/**
 * answer_coverage() - @weight divided by the total weight of the question's
 * shards, 0 to 1
 */
double answer_coverage(const struct question *q, double weight);
void answer_send(struct node *node, const struct question *q);
