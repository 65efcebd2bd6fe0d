#include "audit.h"

#include <apr_time.h>

#define LOG_MODULE "audit"
#include "log.h"

void audit_add(struct audit *audit, struct str body)
{
	struct buf *line = &audit->lines[audit->count % AUDIT_LINES];

	line->len = 0;
	buf_printf(line, "{\"number\":%zu,\"time_us\":%lld,%.*s", audit->count,
		   (long long)apr_time_now(), (int)body.len - 1, body.ptr + 1);
	audit->count++;
	log_json(LOG_CLASS_INFO, LOG_MODULE, buf_str(line));
}

void audit_json(const struct audit *audit, struct buf *out)
{
	size_t first =
		audit->count > AUDIT_LINES ? audit->count - AUDIT_LINES : 0;

	buf_add(out, "[", 1);
	for (size_t i = first; i < audit->count; i++) {
		if (i > first)
			buf_add(out, ",", 1);
		buf_str_add(out, buf_str(&audit->lines[i % AUDIT_LINES]));
	}
	buf_add(out, "]", 1);
}

void audit_free(struct audit *audit)
{
	for (size_t i = 0; i < AUDIT_LINES; i++)
		buf_free(&audit->lines[i]);
}
