#pragma once

#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

/**
 * DOC: grammar of an HTTP/1.1 reply
 *
 * Checks each byte of a reply's head, and of its framing by chunks, against the
 * grammar of RFC 9112. The parsers behind it are lenient: they read the digits
 * of any status, and take blanks and stray line ends for parts of names, so
 * that callers got a status 0, or a body that was not the target's. What does
 * not match the grammar is no reply, whatever a parser makes of it.
 *
 * Of what the grammar leaves to the recipient, line ends without CR, empty
 * lines before a head, status lines without a reason phrase and folded lines
 * are accepted.
 */

/** enum syntax_state - what the next byte belongs to */
enum syntax_state {
	SYNTAX_EMPTY_LINES, /* before the head */
	SYNTAX_VERSION,
	SYNTAX_STATUS,
	SYNTAX_STATUS_END,
	SYNTAX_REASON,
	SYNTAX_LINE, /* first byte of a field line, or the empty line */
	SYNTAX_NAME,
	SYNTAX_VALUE,
	SYNTAX_SIZE,
	SYNTAX_EXTENSION,
	SYNTAX_DATA,
	SYNTAX_DATA_END,
	SYNTAX_COMPLETE,
	SYNTAX_STATES,
};

/**
 * struct reply_syntax - position in a reply
 * @after_cr: the next byte has to end the line
 * @index: bytes of the version, status or size so far
 * @folds: the next line may continue the last one
 * @size: bytes of the chunk that are to come
 */
struct reply_syntax {
	enum syntax_state state;
	bool after_cr;
	unsigned int index;
	bool folds;
	uint64_t size;
};

/** reply_syntax_head() - expect a status line and fields. */
void reply_syntax_head(struct reply_syntax *syntax);
/** reply_syntax_chunks() - expect chunks and trailer fields. */
void reply_syntax_chunks(struct reply_syntax *syntax);
/** reply_syntax_trailer() - expect trailer fields. */
void reply_syntax_trailer(struct reply_syntax *syntax);
/**
 * reply_syntax_check() - check bytes, up to the end of what is expected.
 *
 * Return: number of bytes checked, or -1 if they are no part of a reply.
 */
ssize_t reply_syntax_check(struct reply_syntax *syntax, const char *bytes,
			   size_t len);
/** reply_syntax_complete() - whether all of what was expected has come. */
bool reply_syntax_complete(const struct reply_syntax *syntax);
