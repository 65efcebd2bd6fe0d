#include "str.h"

#include <ctype.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>

#include <xxhash.h>

#include "xmalloc.h"

enum {
	BUF_MIN_BYTES = 64
};

bool str_is_text(struct str s)
{
	for (size_t i = 0; i < s.len; i++)
		if (!char_is_text(s.ptr[i]))
			return false;
	return true;
}

uint64_t str_hash(struct str s)
{
	uint64_t hash = XXH64(s.ptr ? s.ptr : "", s.len, 0);

	return hash ? hash : 1;
}

struct str str_dup(apr_pool_t *pool, struct str s)
{
	char *copy = apr_palloc(pool, s.len + 1);

	if (s.len)
		memcpy(copy, s.ptr, s.len);
	copy[s.len] = '\0';
	return (struct str){ copy, s.len };
}

static unsigned int hash_bytes(const char *key, apr_ssize_t *len)
{
	if (*len == APR_HASH_KEY_STRING)
		*len = (apr_ssize_t)strlen(key);
	return (unsigned int)XXH64(key, (size_t)*len, 0);
}

apr_hash_t *hash_make(apr_pool_t *pool)
{
	return apr_hash_make_custom(pool, hash_bytes);
}

struct str str_heap_dup(struct str s)
{
	char *copy = xmalloc(s.len + 1);

	if (s.len)
		memcpy(copy, s.ptr, s.len);
	copy[s.len] = '\0';
	return (struct str){ copy, s.len };
}

void str_free(struct str s)
{
	free((char *)s.ptr);
}

int64_t str_parse_int(struct str s, int64_t max)
{
	int64_t number = -1;

	for (size_t i = 0; i < s.len && isdigit((unsigned char)s.ptr[i]); i++) {
		int digit = s.ptr[i] - '0';

		if (number < 0)
			number = 0;
		if (number > (max - digit) / 10)
			return max;
		number = number * 10 + digit;
	}
	return number;
}

void buf_reserve(struct buf *buf, size_t more)
{
	size_t cap = buf->cap ? buf->cap : BUF_MIN_BYTES;

	if (buf->len + more <= buf->cap)
		return;
	while (cap < buf->len + more)
		cap *= 2;
	buf->ptr = xrealloc(buf->ptr, cap);
	buf->cap = cap;
}

void buf_add(struct buf *buf, const void *data, size_t len)
{
	if (!len)
		return;
	buf_reserve(buf, len);
	memcpy(buf->ptr + buf->len, data, len);
	buf->len += len;
}

void buf_str_add(struct buf *buf, struct str s)
{
	buf_add(buf, s.ptr, s.len);
}

void buf_printf(struct buf *buf, const char *fmt, ...)
{
	va_list args;
	int len;

	va_start(args, fmt);
	len = vsnprintf(NULL, 0, fmt, args);
	va_end(args);
	if (len < 0)
		return;
	buf_reserve(buf, (size_t)len + 1);
	va_start(args, fmt);
	vsnprintf(buf->ptr + buf->len, (size_t)len + 1, fmt, args);
	va_end(args);
	buf->len += (size_t)len;
}

void buf_printable_add(struct buf *buf, struct str s)
{
	for (size_t i = 0; i < s.len; i++) {
		bool printable = s.ptr[i] >= ' ' && s.ptr[i] <= '~';

		buf_add(buf, printable ? &s.ptr[i] : "?", 1);
	}
}

void buf_json_add(struct buf *buf, struct str s)
{
	buf_add(buf, "\"", 1);
	for (size_t i = 0; i < s.len; i++) {
		unsigned char c = (unsigned char)s.ptr[i];

		if (c == '"' || c == '\\')
			buf_printf(buf, "\\%c", c);
		else if (c < 0x20 || c == 0x7f)
			buf_printf(buf, "\\u%04x", c);
		else
			buf_add(buf, &s.ptr[i], 1);
	}
	buf_add(buf, "\"", 1);
}

void buf_drop(struct buf *buf, size_t len)
{
	memmove(buf->ptr, buf->ptr + len, buf->len - len);
	buf->len -= len;
}

void buf_free(struct buf *buf)
{
	free(buf->ptr);
	*buf = (struct buf){ 0 };
}
