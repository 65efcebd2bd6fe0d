#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <apr_hash.h>
#include <apr_pools.h>

/**
 * struct str - length-counted string, not owned and not terminated
 * @ptr: first byte, may be NULL when @len is 0
 * @len: bytes
 */
struct str {
	const char *ptr;
	size_t len;
};

#define STR(lit) ((struct str){ (lit), sizeof(lit) - 1 })
/** STR_ARG() - arguments for a "%.*s" conversion. */
#define STR_ARG(s) (int)(s).len, (s).ptr ? (s).ptr : ""

/**
 * struct buf - growing byte buffer on the heap
 * @ptr: bytes; owned, freed by buf_free()
 * @len: bytes in use
 * @cap: bytes allocated
 */
struct buf {
	char *ptr;
	size_t len;
	size_t cap;
};

static inline struct str str_of(const char *cstr)
{
	return (struct str){ cstr, cstr ? strlen(cstr) : 0 };
}

static inline bool str_eq(struct str a, struct str b)
{
	return a.len == b.len && (!a.len || !memcmp(a.ptr, b.ptr, a.len));
}

static inline struct str buf_str(const struct buf *buf)
{
	return (struct str){ buf->ptr, buf->len };
}

/** char_is_text() - whether @c is no control byte, or a tab. */
static inline bool char_is_text(char c)
{
	unsigned char byte = (unsigned char)c;

	return byte == '\t' || (byte >= ' ' && byte != 0x7f);
}

/** str_is_text() - whether char_is_text() holds for all of @s. */
bool str_is_text(struct str s);

/** str_hash() - 64-bit xxHash of the bytes; never 0, which means "none". */
uint64_t str_hash(struct str s);

/**
 * hash_make() - create a hash table whose order depends only on its content.
 *
 * APR seeds its own hash function at random, so two runs over the same events
 * would iterate over a table, and send messages, in different orders.
 */
apr_hash_t *hash_make(apr_pool_t *pool);

/** hash_value() - value at the position of a hash iterator. */
static inline void *hash_value(apr_hash_index_t *it)
{
	void *value;

	apr_hash_this(it, NULL, NULL, &value);
	return value;
}

/** str_dup() - copy into @pool, with a terminating NUL for C interfaces. */
struct str str_dup(apr_pool_t *pool, struct str s);

/** str_heap_dup() - NUL-terminated copy on the heap; see str_free(). */
struct str str_heap_dup(struct str s);
void str_free(struct str s);

/**
 * str_parse_int() - number whose decimal digits @s begins with.
 *
 * Return: the number, at most @max, or -1 if @s does not begin with a digit.
 */
int64_t str_parse_int(struct str s, int64_t max);

void buf_reserve(struct buf *buf, size_t more);
void buf_add(struct buf *buf, const void *data, size_t len);
void buf_str_add(struct buf *buf, struct str s);
void buf_printf(struct buf *buf, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));
/** buf_printable_add() - append @s with '?' for all but printable ASCII. */
void buf_printable_add(struct buf *buf, struct str s);
/** buf_json_add() - append @s as a quoted JSON string. */
void buf_json_add(struct buf *buf, struct str s);
/** buf_drop() - remove the first @len bytes. */
void buf_drop(struct buf *buf, size_t len);
void buf_free(struct buf *buf);
