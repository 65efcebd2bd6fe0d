#include "log.h"

#include <errno.h>
#include <poll.h>
#include <stdarg.h>
#include <stdio.h>
#include <unistd.h>

#include <apr_time.h>
#include <log4c.h>

enum {
	/* A pipe that polls writable accepts this much without blocking. */
	CHUNK_BYTES = 4096,
	/* Wait of log_deinit() for a reader that accepts nothing. */
	FINAL_FLUSH_TIMEOUT_MS = 200,
};

static log4c_category_t *category;
static struct buf pending;
static unsigned long dropped_lines;
static char node_name[64];

static const int priorities[] = {
	[LOG_CLASS_ERROR] = LOG4C_PRIORITY_ERROR,
	[LOG_CLASS_WARN] = LOG4C_PRIORITY_WARN,
	[LOG_CLASS_INFO] = LOG4C_PRIORITY_INFO,
	[LOG_CLASS_DEBUG] = LOG4C_PRIORITY_DEBUG,
};

static const char *const levels[] = {
	[LOG_CLASS_ERROR] = "error",
	[LOG_CLASS_WARN] = "warn",
	[LOG_CLASS_INFO] = "info",
	[LOG_CLASS_DEBUG] = "debug",
};

/* The message is already a complete JSON line. */
static const char *json_format(const log4c_layout_t *layout,
			       const log4c_logging_event_t *event)
{
	(void)layout;
	return event->evt_msg;
}

static const log4c_layout_type_t json_layout = { "json", json_format };

static int buffer_line(log4c_appender_t *appender,
		       const log4c_logging_event_t *event)
{
	struct str line = str_of(event->evt_rendered_msg);

	(void)appender;
	if (pending.len + line.len > LOG_BUFFER_MAX_BYTES)
		dropped_lines++;
	else
		buf_str_add(&pending, line);
	return (int)line.len;
}

static const log4c_appender_type_t buffer_appender = { "kept", NULL,
						       buffer_line, NULL };

/* Return: false if standard output accepts nothing now, or is closed. */
static bool write_chunk(int wait_ms)
{
	struct pollfd out = { .fd = STDOUT_FILENO, .events = POLLOUT };
	size_t len = pending.len < CHUNK_BYTES ? pending.len : CHUNK_BYTES;
	ssize_t done;

	if (poll(&out, 1, wait_ms) != 1 || !(out.revents & POLLOUT))
		return false;
	done = write(STDOUT_FILENO, pending.ptr, len);
	if (done < 0 && errno == EINTR)
		return true;
	if (done <= 0)
		return false;
	buf_drop(&pending, (size_t)done);
	return true;
}

void log_flush(void)
{
	while (pending.len && write_chunk(0))
		;
	if (dropped_lines && pending.len < LOG_BUFFER_MAX_BYTES / 2) {
		unsigned long count = dropped_lines;

		dropped_lines = 0;
		log_msg(LOG_CLASS_WARN, "log",
			"%lu lines dropped: standard output was not read",
			count);
	}
}

void log_set_node(struct str name)
{
	snprintf(node_name, sizeof(node_name), "%.*s", STR_ARG(name));
}

void log_init(struct str level)
{
	int priority = LOG4C_PRIORITY_INFO;

	for (int i = 0; i <= LOG_CLASS_DEBUG; i++)
		if (str_eq(level, str_of(levels[i])))
			priority = priorities[i];
	log4c_init();
	log4c_layout_type_set(&json_layout);
	log4c_appender_type_set(&buffer_appender);

	log4c_layout_t *layout = log4c_layout_get("json lines");
	log4c_appender_t *appender = log4c_appender_get("kept lines");

	log4c_layout_set_type(layout, &json_layout);
	log4c_appender_set_type(appender, &buffer_appender);
	log4c_appender_set_layout(appender, layout);
	category = log4c_category_get("wasabimoor");
	log4c_category_set_appender(category, appender);
	log4c_category_set_priority(category, priority);
}

void log_deinit(void)
{
	while (pending.len && write_chunk(FINAL_FLUSH_TIMEOUT_MS))
		;
	log4c_fini();
	buf_free(&pending);
	pending = (struct buf){ 0 };
	category = NULL;
}

static void write_line(enum log_class cls, const char *module,
		       const char *field, struct str value, bool quoted)
{
	char when[APR_RFC822_DATE_LEN + 16];
	apr_time_exp_t now;
	apr_size_t len;
	struct buf line = { 0 };

	if (!category)
		return;
	apr_time_exp_gmt(&now, apr_time_now());
	apr_strftime(when, &len, sizeof(when), "%Y-%m-%dT%H:%M:%S", &now);
	buf_printf(&line, "{\"time\":\"%s.%06dZ\",\"level\":\"%s\"", when,
		   now.tm_usec, levels[cls]);
	if (*node_name)
		buf_printf(&line, ",\"node\":\"%s\"", node_name);
	buf_printf(&line, ",\"module\":\"%s\",\"%s\":", module, field);
	if (quoted)
		buf_json_add(&line, value);
	else
		buf_str_add(&line, value);
	buf_printf(&line, "}\n");
	log4c_category_log(category, priorities[cls], "%.*s", (int)line.len,
			   line.ptr);
	buf_free(&line);
}

void log_msg(enum log_class cls, const char *module, const char *fmt, ...)
{
	char text[512];
	va_list args;

	va_start(args, fmt);
	vsnprintf(text, sizeof(text), fmt, args);
	va_end(args);
	write_line(cls, module, "message", str_of(text), true);
}

void log_json(enum log_class cls, const char *module, struct str body)
{
	write_line(cls, module, "event", body, false);
}
