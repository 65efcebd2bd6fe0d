#pragma once

#include "../dialect.h"

/**
 * DOC: dialect of the simulated platform
 *
 * A minimal format of keys, entries and configurations for the tests. It also
 * shows that the reducer does not depend on the real platform's dialect.
 */

enum {
	/* Timeout of all routes. */
	SIM_TIMEOUT_US = 1000000,
};

extern const struct dialect sim_dialect;

/** sim_format() - format one number; the text is allocated in @pool */
struct str sim_format(apr_pool_t *pool, const char *fmt, int number);
