#pragma once

#include "str.h"

/**
 * enum error_code - reasons for which a request or an input fails
 *
 * Negative, so that a function can return a count or an error. Each has a kind
 * (a stable name for programs), an HTTP status and a remedy; see error_info().
 */
enum error_code {
	ERR_NONE = 0,
	ERR_BAD_REQUEST = -1,
	ERR_TOO_LARGE = -2,
	ERR_NOT_FOUND = -3,
	ERR_UNKNOWN_CUSTOMER = -4,
	ERR_NOT_ALLOWED = -5,
	ERR_OVER_PLAN = -6,
	ERR_OVERLOADED = -7,
	ERR_STARTING = -8,
	ERR_ISOLATED = -9,
	ERR_NO_SNAPSHOT = -10,
	ERR_TICKET_REQUIRED = -11,
	ERR_TICKET_INVALID = -12,
	ERR_TICKET_EXPIRED = -13,
	ERR_TICKET_MISMATCH = -14,
	ERR_ISSUER_GONE = -15,
	ERR_DEADLINE = -16,
	ERR_NO_REPLICA = -17,
	ERR_TARGET_DOWN = -18,
	ERR_TARGET_SHED = -19,
	ERR_TARGET_LEAVING = -20,
	ERR_DOMAIN_OUT = -21,
	ERR_QUEUE_FULL = -22,
	ERR_NOT_OWNER = -23,
	ERR_GATE_LOST = -24,
	ERR_WRONG_VERSION = -25,
	ERR_MALFORMED = -26,
	ERR_CANCELLED = -27,
	ERR_BROKEN = -28,
	ERR_GRANT_EXPIRED = -29,
	ERR_SETTINGS = -30,
	ERR_LIST = -31,
	ERR_IO = -32,
	ERR_FRAME = -33,
	ERR_USAGE = -34,
	ERR_BLOCKED = -35,
	ERR_STOPPING = -36,
	ERR_HEADERS_TOO_LARGE = -37,
	ERR_SLOW_REQUEST = -38,
	ERR_LAST = -38,
};

/**
 * struct error_info - how an error code is reported
 * @kind: stable name for programs
 * @status: HTTP status sent to callers
 * @remedy: what the reader can do, one sentence
 */
struct error_info {
	const char *kind;
	int status;
	const char *remedy;
};

/**
 * struct error - a failure and its location
 * @code: an enum error_code
 * @text: location and cause, NUL-terminated
 */
struct error {
	int code;
	char text[240];
};

const struct error_info *error_info(int code);
/** error_set() - fill @err and return @code. */
int error_set(struct error *err, int code, const char *fmt, ...)
	__attribute__((format(printf, 3, 4)));
/** error_json() - append {"kind","message","retry_after_ms"}. */
void error_json(struct buf *buf, int code, const char *text,
		int64_t retry_after_ms);
