#pragma once

#include "dialect.h"

/**
 * DOC: a node on a platform
 *
 * The shell of the tier's reducer: sockets, signals, settings and the log.
 */

/**
 * struct edge_options - how to run
 * @metrics_port: 0 for none
 * @without: set of mechanisms that are off
 */
struct edge_options {
	const struct dialect *dialect;
	uint16_t metrics_port;
	uint32_t without;
};

/** edge_run() - serve until the planned stop; returns the exit code. */
int edge_run(const struct edge_options *opt);
