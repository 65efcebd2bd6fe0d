#pragma once

#include "sim.h"

/**
 * DOC: comparison of nodes with the store
 *
 * At rest each node must use what the store holds and nothing else, whatever
 * it was told by others before.
 */

/**
 * sim_wrong_belief() - find a node that differs from the store.
 *
 * Return: what the first one does wrong, or NULL if all agree with the store.
 */
const char *sim_wrong_belief(const struct sim *sim);
