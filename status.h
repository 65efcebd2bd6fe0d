#pragma once

#include "node.h"

/** status_json() - append one JSON object: node, documents, VMs, targets. */
void status_json(const struct node *node, struct buf *out);
/**
 * status_counters_json() - append one JSON object: the node's counters, and
 * counters by target, failure domain and customer.
 */
void status_counters_json(const struct node *node, struct buf *out);
