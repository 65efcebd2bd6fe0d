#pragma once

#include <stddef.h>

/**
 * DOC: allocation that cannot fail
 *
 * A node without memory cannot keep its guarantees by continuing with part of
 * its state. These wrappers print a message and abort, so that no calling
 * function needs an error path. The supervisor of the VM starts a new
 * incarnation.
 */

void *xmalloc(size_t size);
void *xcalloc(size_t count, size_t size);
void *xrealloc(void *ptr, size_t size);
