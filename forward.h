#pragma once

#include "call.h"

/**
 * DOC: requests to one target
 *
 * Passed on as they are, and the reply passed back as it is. One that may run
 * more than once is tried again elsewhere; of one that may not, another target
 * hears only when it is certain that the last one did not run it.
 */
extern const struct call_kind forward_kind;

/** forward_pick_service() - the service whose turn it is, by the route's
 * weights. */
uint64_t forward_pick_service(struct calls *calls, const struct route *route);
