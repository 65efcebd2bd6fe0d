#include "counter.h"

static const char *const counter_names[COUNTERS] = {
	[CNT_QUESTIONS] = "questions",
	[CNT_ANSWERED] = "answered",
	[CNT_COMPLETE] = "complete",
	[CNT_PARTIAL] = "partial",
	[CNT_REFUSED] = "refused",
	[CNT_CALLERS_GONE] = "callers_gone",
	[CNT_LEAF_SENT] = "leaf_sent",
	[CNT_LEAF_MERGED] = "leaf_merged",
	[CNT_LEAF_MISSING] = "leaf_missing",
	[CNT_LEAF_LATE] = "leaf_late",
	[CNT_LEAF_WRONG_VERSION] = "leaf_wrong_version",
	[CNT_LEAF_MALFORMED] = "leaf_malformed",
	[CNT_HEDGES] = "hedges",
	[CNT_HEDGES_WON] = "hedges_won",
	[CNT_HEDGES_DENIED] = "hedges_denied",
	[CNT_REROUTES] = "reroutes",
	[CNT_RETRIES] = "retries",
	[CNT_RESTARTS] = "restarts",
	[CNT_TARGET_REQUESTS] = "target_requests",
	[CNT_TARGET_RESENT] = "target_resent",
	[CNT_TARGET_CANCELS] = "target_cancels",
	[CNT_TARGET_PROBES] = "target_probes",
	[CNT_TARGET_COLD] = "target_cold",
	[CNT_TARGET_DOWN] = "target_down",
	[CNT_JOBS_REFUSED] = "jobs_refused",
	[CNT_JOBS_EXPIRED] = "jobs_expired",
	[CNT_GATES_GAINED] = "gates_gained",
	[CNT_GATES_LOST] = "gates_lost",
	[CNT_TICKETS] = "tickets",
	[CNT_ENTRIES] = "entries",
	[CNT_ENTRIES_DONE] = "entries_done",
	[CNT_ENTRIES_NOT_RUN] = "entries_not_run",
	[CNT_ENTRIES_UNKNOWN] = "entries_unknown",
	[CNT_ENTRIES_REPEATED] = "entries_repeated",
	[CNT_FORWARDS] = "forwards",
	[CNT_LEASES] = "leases",
	[CNT_LEASE_FALLBACKS] = "lease_fallbacks",
	[CNT_OVER_PLAN] = "over_plan",
	[CNT_DOCS_ACCEPTED] = "docs_accepted",
	[CNT_DOCS_REFUSED] = "docs_refused",
	[CNT_DOCS_STALE] = "docs_stale",
	[CNT_PLATFORM_READS] = "platform_reads",
	[CNT_PLATFORM_FAILED] = "platform_failed",
	[CNT_PAUSES] = "pauses",
	[CNT_HEARTBEATS] = "heartbeats",
	[CNT_STRAY_MSGS] = "stray_msgs",
	[CNT_BAD_FRAMES] = "bad_frames",
};

void counters_json(const uint64_t *values, struct buf *out)
{
	buf_add(out, "{", 1);
	for (int i = 0; i < COUNTERS; i++)
		buf_printf(out, "%s\"%s\":%llu", i ? "," : "", counter_names[i],
			   (unsigned long long)values[i]);
	buf_add(out, "}", 1);
}
