#pragma once

#include "front.h"

/** DOC: the answer to a question, as JSON, and its coverage */

/** answer_coverage() - @weight as a share of the map's weight, 0 to 1. */
double answer_coverage(const struct question *q, double weight);
void answer_send(struct node *node, const struct question *q);
