#pragma once

#include "dialect.h"

/**
 * DOC: node process on a platform
 *
 * Performs the I/O of the tier's reducer: sockets, signals, settings and the
 * log.
 */

/**
 * struct edge_options - command line options
 * @metrics_port: port of the metrics endpoint, 0 for none
 * @without: bit set of disabled mechanisms
 */
struct edge_options {
	const struct dialect *dialect;
	uint16_t metrics_port;
	uint32_t without;
};

/**
 * edge_run() - serve until the planned stop.
 *
 * Return: the exit code of the process.
 */
int edge_run(const struct edge_options *opt);
