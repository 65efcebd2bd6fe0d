#pragma once

#include "str.h"

/**
 * DOC: log
 *
 * JSON lines on standard output through log4c: time, node, level, module,
 * message. A file that logs defines LOG_MODULE before it includes this header.
 *
 * Nothing ever waits for whoever reads standard output. Lines are kept in
 * memory and written as far as the reader takes them; beyond
 * LOG_BUFFER_MAX_BYTES bytes they are left out, and their number is told when
 * the reader goes on.
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

/** log_init() - @level: "error", "warn", "info" or "debug" */
void log_init(struct str level);
/** log_deinit() - gives the reader a last moment for what is kept. */
void log_deinit(void);
/** log_set_node() - name of the VM, for each line from now on. */
void log_set_node(struct str name);
/** log_flush() - write what the reader of standard output takes now. */
void log_flush(void);
void log_msg(enum log_class cls, const char *module, const char *fmt, ...)
	__attribute__((format(printf, 3, 4)));
/** log_json() - a line whose "event" is the JSON object @body. */
void log_json(enum log_class cls, const char *module, struct str body);

#define LOG_ERR(...) log_msg(LOG_CLASS_ERROR, LOG_MODULE, __VA_ARGS__)
#define LOG_WARN(...) log_msg(LOG_CLASS_WARN, LOG_MODULE, __VA_ARGS__)
#define LOG_INFO(...) log_msg(LOG_CLASS_INFO, LOG_MODULE, __VA_ARGS__)
#define LOG_DBG(...) log_msg(LOG_CLASS_DEBUG, LOG_MODULE, __VA_ARGS__)
