#include "mechanism.h"

static const struct mechanism_info infos[MECHANISM_COUNT] = {
	[MECHANISM_HEDGES] = { "hedges", "a late reply is asked for at another "
					 "target too, within the retry bound" },
	[MECHANISM_SOFT_DEADLINE] = { "soft-deadline",
				      "shards that are late are left out while "
				      "the answer is in time" },
	[MECHANISM_BATCHES] = { "batches", "shards of other failure domains go "
					   "in one message to a node there" },
	[MECHANISM_MERGING_NODES] = { "merging-nodes",
				      "questions are merged by few large nodes "
				      "beside the targets" },
	[MECHANISM_BUSY_WAIT] = { "busy-wait", "a good target that is busy is "
					       "waited for, not a slow one "
					       "asked" },
	[MECHANISM_FAR_COST] = { "far-cost", "targets of the own failure "
					     "domain go first: bytes between "
					     "domains are paid for" },
	[MECHANISM_FAULT_COST] = { "fault-cost", "targets that reject or fail "
						 "get the overflow only" },
	[MECHANISM_OVERDUE_COST] = { "overdue-cost",
				     "targets that stand still are avoided "
				     "before they have answered late" },
	[MECHANISM_SLOWNESS] = { "slowness", "targets that were slow are "
					     "avoided until one try finds them "
					     "quick" },
	[MECHANISM_TARGET_REST] = { "target-rest", "targets that failed, were "
						   "full or took no connection "
						   "rest" },
	[MECHANISM_RETRY_REJECTED] = { "retry-rejected",
				       "a target that rejected is asked once "
				       "more when no other can be" },
	[MECHANISM_LATE_ANSWERS] = { "late-answers",
				     "a question that lacks shards waits for "
				     "room beyond its goal" },
	[MECHANISM_LINE] = { "line", "a free place goes to the question that "
				     "can be in time and has least time left" },
	[MECHANISM_SLOW_BOUND] = { "slow-bound", "few requests at a time queue "
						 "at a slow target" },
	[MECHANISM_SHARED_CONNS] = { "shared-conns",
				     "a target's connections are divided by "
				     "the nodes that use them" },
	[MECHANISM_MERGER_BUDGET] = { "merger-budget",
				      "nodes that merge have most of the free "
				      "retries" },
	[MECHANISM_RETURN_SPREAD] = { "return-spread",
				      "callers that were refused do not all "
				      "return at once" },
	[MECHANISM_COLD_BOUND] = { "cold-bound", "cold targets get no more "
						 "than they bear" },
	[MECHANISM_QUICK_START] = { "quick-start", "nodes that start again "
						   "read the store at once" },
	[MECHANISM_POISON] = { "poison", "requests that crash their targets "
					 "are tried at one, then blocked" },
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
			 "no mechanism is called \"%.*s\" "
			 "(tier --list-mechanisms names all)",
			 STR_ARG(name));
}
