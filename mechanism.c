#include "mechanism.h"

static const struct mechanism_info infos[MECHANISM_COUNT] = {
	[MECHANISM_HEDGES] = { "hedges", "a request that is answered late is "
					 "also sent to another target, within "
					 "the retry budget" },
	[MECHANISM_SOFT_DEADLINE] = { "soft-deadline",
				      "late shards are left out so that the "
				      "answer is in time" },
	[MECHANISM_BATCHES] = { "batches",
				"shards of another failure domain are "
				"sent in one message to a node there" },
	[MECHANISM_MERGING_NODES] = { "merging-nodes",
				      "questions are merged by a few large "
				      "nodes close to the targets" },
	[MECHANISM_BUSY_WAIT] = { "busy-wait",
				  "a request waits for a good target that "
				  "is busy instead of using a slow one" },
	[MECHANISM_FAR_COST] = { "far-cost",
				 "targets of the node's own failure "
				 "domain are preferred, as traffic "
				 "between domains is billed" },
	[MECHANISM_FAULT_COST] = { "fault-cost",
				   "targets that reject or fail get "
				   "overflow traffic only" },
	[MECHANISM_OVERDUE_COST] = { "overdue-cost",
				     "targets that stall are avoided before "
				     "their late replies arrive" },
	[MECHANISM_SLOWNESS] = { "slowness",
				 "targets that were slow are avoided "
				 "until a single request is answered "
				 "quickly" },
	[MECHANISM_TARGET_REST] = { "target-rest",
				    "targets that failed, were full or "
				    "refused connections get no requests "
				    "for a while" },
	[MECHANISM_RETRY_REJECTED] = { "retry-rejected",
				       "a target that rejected a request is "
				       "tried once more if no other is "
				       "available" },
	[MECHANISM_LATE_ANSWERS] = { "late-answers",
				     "a question that lacks shards waits for "
				     "capacity beyond its goal" },
	[MECHANISM_LINE] = { "line", "free capacity goes to the question "
				     "with the least time left that can "
				     "still be in time" },
	[MECHANISM_SLOW_BOUND] = { "slow-bound",
				   "few requests at a time queue at a slow "
				   "target" },
	[MECHANISM_SHARED_CONNS] = { "shared-conns",
				     "a target's connections are divided "
				     "among the nodes that use it" },
	[MECHANISM_MERGER_BUDGET] = { "merger-budget",
				      "merging nodes get most of the extra "
				      "retries" },
	[MECHANISM_RETURN_SPREAD] = { "return-spread",
				      "retry times of refused callers are "
				      "spread out" },
	[MECHANISM_COLD_BOUND] = { "cold-bound",
				   "cold targets get no more requests than "
				   "they can serve" },
	[MECHANISM_QUICK_START] = { "quick-start",
				    "restarted nodes read the store at once" },
	[MECHANISM_POISON] = { "poison",
			       "requests that crash targets are tried "
			       "at one target at a time, then blocked" },
};

const struct mechanism_info *mechanism_info(enum mechanism mechanism)
{
	return &infos[mechanism];
}

int mechanism_disable(struct str name, uint32_t *without, struct error *err)
{
	for (int i = 0; i < MECHANISM_COUNT; i++) {
		if (!str_eq(name, str_of(infos[i].name)))
			continue;
		*without |= 1U << i;
		return 0;
	}
	return error_set(err, ERR_USAGE,
			 "unknown mechanism \"%.*s\" "
			 "(tier --list-mechanisms lists them)",
			 STR_ARG(name));
}
