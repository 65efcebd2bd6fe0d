#pragma once

#include "call.h"

/**
 * DOC: requests to one target
 *
 * The request and its reply are forwarded unchanged. An idempotent request is
 * retried at another target; any other request only when it is certain that
 * the previous target did not run it.
 */
extern const struct call_kind forward_kind;

/** forward_pick_service() - draw a service by the weights of @route. */
uint64_t forward_pick_service(struct calls *calls, const struct route *route);
