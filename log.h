#pragma once

#include "str.h"

/**
 * DOC: log
 *
 * JSON lines on standard output through log4c: time, node, level, module,
 * message. A file that logs defines LOG_MODULE before it includes this header.
 *
 * Logging never blocks on the reader of standard output. Lines are buffered and
 * written as far as the reader accepts them; beyond LOG_BUFFER_MAX_BYTES they
 * are dropped, and their number is logged when the reader continues.
 */

enum {
	LOG_BUFFER_MAX_BYTES = 256 * 1024,
};

enum log_class {
	LOG_CLASS_ERROR,
	LOG_CLASS_WARN,
	LOG_CLASS_INFO,
	LOG_CLASS_DEBUG,
};

/** log_init() - open the log; @level: "error", "warn", "info" or "debug". */
void log_init(struct str level);
/** log_deinit() - flush, waiting briefly for the reader, and close the log. */
void log_deinit(void);
/** log_set_node() - set the VM name that further lines carry. */
void log_set_node(struct str name);
/** log_flush() - write what standard output accepts without blocking. */
void log_flush(void);
void log_msg(enum log_class cls, const char *module, const char *fmt, ...)
	__attribute__((format(printf, 3, 4)));
/** log_json() - log a line whose "event" is the JSON object @body. */
void log_json(enum log_class cls, const char *module, struct str body);

#define LOG_ERR(...) log_msg(LOG_CLASS_ERROR, LOG_MODULE, __VA_ARGS__)
#define LOG_WARN(...) log_msg(LOG_CLASS_WARN, LOG_MODULE, __VA_ARGS__)
#define LOG_INFO(...) log_msg(LOG_CLASS_INFO, LOG_MODULE, __VA_ARGS__)
#define LOG_DBG(...) log_msg(LOG_CLASS_DEBUG, LOG_MODULE, __VA_ARGS__)
