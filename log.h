#pragma once

#include "str.h"

/**
 * DOC: log
 *
 * JSON lines on standard error through log4c: time, level, module, message.
 * A file that logs defines LOG_MODULE before it includes this header.
 */

enum log_class {
	LOG_CLASS_ERROR,
	LOG_CLASS_WARN,
	LOG_CLASS_INFO,
	LOG_CLASS_DEBUG,
};

/** log_init() - @level: "error", "warn", "info" or "debug" */
void log_init(struct str level);
void log_deinit(void);
void log_msg(enum log_class cls, const char *module, const char *fmt, ...)
	__attribute__((format(printf, 3, 4)));
/** log_json() - a line whose "event" is the JSON object @body. */
void log_json(enum log_class cls, const char *module, struct str body);

#define LOG_ERR(...) log_msg(LOG_CLASS_ERROR, LOG_MODULE, __VA_ARGS__)
#define LOG_WARN(...) log_msg(LOG_CLASS_WARN, LOG_MODULE, __VA_ARGS__)
#define LOG_INFO(...) log_msg(LOG_CLASS_INFO, LOG_MODULE, __VA_ARGS__)
#define LOG_DBG(...) log_msg(LOG_CLASS_DEBUG, LOG_MODULE, __VA_ARGS__)
