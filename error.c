#include "error.h"

#include <stdarg.h>
#include <stdio.h>

static const struct error_info error_infos[] = {
	[-ERR_NONE] = { "ok", 200, "" },
	[-ERR_BAD_REQUEST] = { "bad_request", 400,
			       "correct the named field and send it again" },
	[-ERR_TOO_LARGE] = { "too_large", 413,
			     "send a smaller request; the limit is named" },
	[-ERR_NOT_FOUND] = { "not_found", 404,
			     "check the path; docs/CALLERS.md lists them" },
	[-ERR_UNKNOWN_CUSTOMER] = { "unknown_customer", 403,
				    "ask the operator to add the customer to "
				    "the plans list" },
	[-ERR_NOT_ALLOWED] = { "not_allowed", 403,
			       "ask the operator to add it to the plan's "
			       "allowance" },
	[-ERR_OVER_PLAN] = { "over_plan", 429,
			     "come back after retry_after_ms, or take a "
			     "larger plan" },
	[-ERR_OVERLOADED] = { "overloaded", 503,
			      "come back after retry_after_ms" },
	[-ERR_STARTING] = { "starting", 503,
			    "ask another VM, or come back after "
			    "retry_after_ms" },
	[-ERR_ISOLATED] = { "isolated", 503,
			    "ask another VM; this one is cut off from the "
			    "platform and its peers" },
	[-ERR_NO_SNAPSHOT] = { "no_snapshot", 503,
			       "publish a snapshot that has the index" },
	[-ERR_TICKET_REQUIRED] = { "ticket_required", 409,
				   "send the entry again with the ticket of "
				   "this reply" },
	[-ERR_TICKET_INVALID] = { "ticket_invalid", 400,
				  "send the ticket unchanged, or take a new "
				  "one if the entry was never sent" },
	[-ERR_TICKET_EXPIRED] = { "ticket_expired", 410,
				  "take a new ticket; the entry did not run" },
	[-ERR_TICKET_MISMATCH] = { "ticket_mismatch", 409,
				   "use a ticket for one request id, customer "
				   "and body only" },
	[-ERR_ISSUER_GONE] = { "issuer_gone", 503,
			       "look the entry up before entering it anew" },
	[-ERR_DEADLINE] = { "deadline", 504,
			    "come back, or allow a longer deadline_ms" },
	[-ERR_NO_REPLICA] = { "no_replica", 503,
			      "bring a replica of the shard into service" },
	[-ERR_TARGET_DOWN] = { "target_down", 503,
			       "start the target, or wait: it is probed" },
	[-ERR_TARGET_SHED] = { "target_shed", 503,
			       "come back after retry_after_ms" },
	[-ERR_TARGET_LEAVING] = { "target_leaving", 503,
				  "wait for its replacement" },
	[-ERR_DOMAIN_OUT] = { "domain_out", 503,
			      "bring the failure domain back in" },
	[-ERR_QUEUE_FULL] = { "queue_full", 503,
			      "come back after retry_after_ms" },
	[-ERR_NOT_OWNER] = { "not_owner", 503,
			     "none needed: the views converge by heartbeat" },
	[-ERR_GATE_LOST] = { "gate_lost", 503,
			     "none needed: another VM takes the target over" },
	[-ERR_WRONG_VERSION] = { "wrong_version", 503,
				 "let the target load the snapshot" },
	[-ERR_MALFORMED] = { "malformed", 502,
			     "check the target's reply body" },
	[-ERR_CANCELLED] = { "cancelled", 499, "none needed" },
	[-ERR_BROKEN] = { "broken", 502,
			  "check the target: it closed without a reply" },
	[-ERR_GRANT_EXPIRED] = { "grant_expired", 503,
				 "come back after retry_after_ms" },
	[-ERR_SETTINGS] = { "settings", 500,
			    "correct the settings file at the named place" },
	[-ERR_LIST] = { "list", 500,
			"correct the list at the named place and publish it "
			"with a higher version" },
	[-ERR_IO] = { "io", 500, "check the address and the network" },
	[-ERR_FRAME] = { "frame", 500,
			 "run the same release on all VMs of the fleet" },
	[-ERR_USAGE] = { "usage", 500, "see --help" },
	[-ERR_BLOCKED] = { "blocked", 503,
			   "do not send it again; have the operator look at "
			   "the targets that ended under it" },
	[-ERR_STOPPING] = { "stopping", 503,
			    "ask another VM, at once; this one is being "
			    "stopped" },
	[-ERR_HEADERS_TOO_LARGE] = { "headers_too_large", 431,
				     "send shorter headers; the limit is "
				     "named" },
	[-ERR_SLOW_REQUEST] = { "slow_request", 408,
				"send the headers within the named time; the "
				"request did not run" },
};

const struct error_info *error_info(int code)
{
	if (code > 0 || code < ERR_LAST)
		code = ERR_IO;
	return &error_infos[-code];
}

int error_set(struct error *err, int code, const char *fmt, ...)
{
	va_list args;

	err->code = code;
	va_start(args, fmt);
	vsnprintf(err->text, sizeof(err->text), fmt, args);
	va_end(args);
	return code;
}

void error_json(struct buf *buf, int code, const char *text,
		int64_t retry_after_ms)
{
	const struct error_info *info = error_info(code);

	buf_printf(buf, "{\"kind\":\"%s\",\"message\":", info->kind);
	struct buf message = { 0 };

	if (text && *text)
		buf_printf(&message, "%s; ", text);
	buf_printf(&message, "%s", info->remedy);
	buf_json_add(buf, buf_str(&message));
	buf_free(&message);
	if (retry_after_ms > 0)
		buf_printf(buf, ",\"retry_after_ms\":%lld",
			   (long long)retry_after_ms);
	buf_add(buf, "}", 1);
}
