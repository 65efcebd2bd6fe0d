#include "xmalloc.h"

#include <stdio.h>
#include <stdlib.h>

static void *check_alloc(void *ptr, size_t size)
{
	if (ptr || !size)
		return ptr;
	fprintf(stderr,
		"wasabimoor: out of memory (%zu bytes); "
		"give the VM more memory\n",
		size);
	abort();
}

void *xmalloc(size_t size)
{
	return check_alloc(malloc(size), size);
}

void *xcalloc(size_t count, size_t size)
{
	return check_alloc(calloc(count, size), size);
}

void *xrealloc(void *ptr, size_t size)
{
	return check_alloc(realloc(ptr, size), size);
}
