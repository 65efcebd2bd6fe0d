#pragma once

#include "call.h"
#include "poison_sync.h"

/**
 * DOC: transport of evidence against requests between the nodes of the tier
 *
 * Traffic between failure domains is billed, so each other domain receives a
 * message once, at a node that relays it there.
 */

/** evidence_transport() - transport to the nodes that the gossip knows. */
struct poison_transport evidence_transport(struct calls *calls);
