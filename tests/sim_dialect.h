#pragma once

#include "../dialect.h"

/**
 * DOC: what the virtual platform says
 *
 * A dialect of the tests' own: keys, entries and configurations in a few words,
 * which shows that the reducer does not depend on the platform's.
 */

enum {
	/* Longest wait of all routes. */
	TIMEOUT_US = 1000000,
};

extern const struct dialect sim_dialect;

/** sim_format() - @fmt with one number, in @pool. */
struct str sim_format(apr_pool_t *pool, const char *fmt, int number);
