#include "sim_budget.h"

#include "../xmalloc.h"
#include "sim.h"

static const double RATIO = 0.2;

enum {
	EXTRA = 60,
	WINDOW_US = 10000000,
};

void sim_budget_add(struct sim_budget *budget, int shard, int64_t at)
{
	if (budget->count == budget->cap) {
		budget->cap = budget->cap ? 2 * budget->cap : 1024;
		budget->list = xrealloc(budget->list,
					budget->cap * sizeof(*budget->list));
	}
	budget->list[budget->count++] = (struct sim_repeat){ shard, at };
}

/* Calls to all shards that were sent within the window that ends at @end. */
static int count_calls(const struct sim *sim, int64_t end)
{
	int count = 0;

	for (int i = sim->ncalls - 1; i >= 0; i--) {
		const struct sim_call *call = &sim->calls[i];

		if (call->sent_at <= end - WINDOW_US)
			break;
		count += call->sent_at <= end && call->kind <= SIM_STRICT;
	}
	return count;
}

/* The limit counts calls of this window or an earlier one, whichever is more.
 */
static double allowed_at(const struct sim *sim, int64_t end)
{
	int most = 0;

	for (int i = 0; i <= 2; i++) {
		int count = count_calls(sim, end - i * (WINDOW_US / 2));

		if (count > most)
			most = count;
	}
	return RATIO * most + EXTRA;
}

struct sim_window sim_budget_worst(const struct sim *sim)
{
	const struct sim_budget *budget = &sim->budget;
	struct sim_window worst = { .allowed = EXTRA };
	size_t first[2 * SIM_SHARDS] = { 0 };
	int repeats[2 * SIM_SHARDS] = { 0 };

	for (size_t i = 0; i < budget->count; i++) {
		const struct sim_repeat *last = &budget->list[i];
		size_t *at = &first[last->shard];
		struct sim_window window;

		repeats[last->shard]++;
		for (; budget->list[*at].at <= last->at - WINDOW_US; ++*at)
			repeats[last->shard] -=
				budget->list[*at].shard == last->shard;
		window = (struct sim_window){ repeats[last->shard],
					      allowed_at(sim, last->at) };
		if (window.repeats * worst.allowed >
		    worst.repeats * window.allowed)
			worst = window;
	}
	return worst;
}
