#include "reply_syntax.h"

#include <apr_lib.h>

#include "headers.h"

enum {
	STATUS_DIGITS = 3,
	STATUS_CLASS_MAX = 5,
	/* Of a size in 64 bits, zeros before it included. */
	SIZE_DIGITS_MAX = 16,
};

static const char version[] = "HTTP/1.";

static void enter(struct reply_syntax *syntax, enum syntax_state state)
{
	syntax->state = state;
	syntax->index = 0;
}

/* The steps take the next byte; a line end is '\n', with or without a CR. */

static bool take_version(struct reply_syntax *syntax, unsigned char c)
{
	unsigned int index = syntax->index++;

	if (index < sizeof(version) - 1)
		return c == (unsigned char)version[index];
	if (index == sizeof(version) - 1)
		return apr_isdigit(c);
	enter(syntax, SYNTAX_STATUS);
	return c == ' ';
}

static bool take_empty_lines(struct reply_syntax *syntax, unsigned char c)
{
	if (c == '\n')
		return true;
	enter(syntax, SYNTAX_VERSION);
	return take_version(syntax, c);
}

static bool take_status(struct reply_syntax *syntax, unsigned char c)
{
	if (!apr_isdigit(c))
		return false;
	if (!syntax->index && (c == '0' || c > '0' + STATUS_CLASS_MAX))
		return false;
	if (++syntax->index == STATUS_DIGITS)
		enter(syntax, SYNTAX_STATUS_END);
	return true;
}

static void begin_lines(struct reply_syntax *syntax)
{
	syntax->folds = false;
	enter(syntax, SYNTAX_LINE);
}

static bool take_status_end(struct reply_syntax *syntax, unsigned char c)
{
	if (c == '\n')
		begin_lines(syntax);
	else
		enter(syntax, SYNTAX_REASON);
	return c == '\n' || c == ' ';
}

static bool take_reason(struct reply_syntax *syntax, unsigned char c)
{
	if (c != '\n')
		return char_is_text((char)c);
	begin_lines(syntax);
	return true;
}

static bool take_line(struct reply_syntax *syntax, unsigned char c)
{
	if (c == '\n') {
		enter(syntax, SYNTAX_COMPLETE);
		return true;
	}
	if (c == ' ' || c == '\t') {
		enter(syntax, SYNTAX_VALUE);
		return syntax->folds;
	}
	enter(syntax, SYNTAX_NAME);
	return header_is_token_char((char)c);
}

static bool take_name(struct reply_syntax *syntax, unsigned char c)
{
	if (c != ':')
		return header_is_token_char((char)c);
	enter(syntax, SYNTAX_VALUE);
	return true;
}

static bool take_value(struct reply_syntax *syntax, unsigned char c)
{
	if (c != '\n')
		return char_is_text((char)c);
	syntax->folds = true;
	enter(syntax, SYNTAX_LINE);
	return true;
}

static bool end_size(struct reply_syntax *syntax)
{
	if (syntax->size)
		enter(syntax, SYNTAX_DATA);
	else
		begin_lines(syntax);
	return true;
}

static bool take_extension(struct reply_syntax *syntax, unsigned char c)
{
	return c == '\n' ? end_size(syntax) : char_is_text((char)c);
}

static unsigned int hex_value(unsigned char c)
{
	unsigned int digit = c;

	return apr_isdigit(digit) ? digit - '0' : (digit | 0x20) - 'a' + 10;
}

static bool take_size(struct reply_syntax *syntax, unsigned char c)
{
	if (apr_isxdigit(c)) {
		syntax->size = syntax->size << 4 | hex_value(c);
		return ++syntax->index <= SIZE_DIGITS_MAX;
	}
	if (!syntax->index)
		return false;
	if (c == '\n')
		return end_size(syntax);
	enter(syntax, SYNTAX_EXTENSION);
	return c == ';' || c == ' ' || c == '\t';
}

/* The parser drops two bytes here: without the CR, one of the next size. */
static bool take_data_end(struct reply_syntax *syntax, unsigned char c)
{
	reply_syntax_chunks(syntax);
	return c == '\n' && syntax->after_cr;
}

static bool (*const steps[SYNTAX_STATES])(struct reply_syntax *syntax,
					  unsigned char c) = {
	[SYNTAX_EMPTY_LINES] = take_empty_lines,
	[SYNTAX_VERSION] = take_version,
	[SYNTAX_STATUS] = take_status,
	[SYNTAX_STATUS_END] = take_status_end,
	[SYNTAX_REASON] = take_reason,
	[SYNTAX_LINE] = take_line,
	[SYNTAX_NAME] = take_name,
	[SYNTAX_VALUE] = take_value,
	[SYNTAX_SIZE] = take_size,
	[SYNTAX_EXTENSION] = take_extension,
	[SYNTAX_DATA_END] = take_data_end,
};

/* A CR is a part of a line end, or none of a reply. */
static bool take(struct reply_syntax *syntax, unsigned char c)
{
	bool taken;

	if (syntax->after_cr && c != '\n')
		return false;
	if (c == '\r') {
		syntax->after_cr = true;
		return true;
	}
	taken = steps[syntax->state](syntax, c);
	syntax->after_cr = false;
	return taken;
}

static size_t skip_data(struct reply_syntax *syntax, size_t len)
{
	if (len > syntax->size)
		len = (size_t)syntax->size;
	syntax->size -= len;
	if (!syntax->size)
		enter(syntax, SYNTAX_DATA_END);
	return len;
}

void reply_syntax_head(struct reply_syntax *syntax)
{
	*syntax = (struct reply_syntax){ .state = SYNTAX_EMPTY_LINES };
}

void reply_syntax_chunks(struct reply_syntax *syntax)
{
	enter(syntax, SYNTAX_SIZE);
	syntax->size = 0;
}

void reply_syntax_trailer(struct reply_syntax *syntax)
{
	begin_lines(syntax);
}

ssize_t reply_syntax_check(struct reply_syntax *syntax, const char *bytes,
			   size_t len)
{
	size_t used = 0;

	while (used < len && !reply_syntax_complete(syntax)) {
		if (syntax->state == SYNTAX_DATA)
			used += skip_data(syntax, len - used);
		else if (!take(syntax, (unsigned char)bytes[used++]))
			return -1;
	}
	return (ssize_t)used;
}

bool reply_syntax_complete(const struct reply_syntax *syntax)
{
	return syntax->state == SYNTAX_COMPLETE;
}
