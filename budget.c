#include "budget.h"

#include <stdlib.h>

#include "xmalloc.h"

enum {
	/* Slices of the window; one more holds its oldest, partial slice. */
	SLICES = 10,
};

/*
 * Each node stays below the limit to allow for restarted processes, which have
 * lost their counts, and for nodes that it has not discovered.
 */
static const double SAFETY_FACTOR = 0.8;

struct attempt_counts {
	uint64_t service;
	int64_t slice;
	int first[SLICES + 1];
	int retries[SLICES + 1];
};

struct budget {
	apr_pool_t *pool;
	struct budget_rules rules;
	int nodes;
	apr_hash_t *counts;
};

struct budget *budget_create(apr_pool_t *parent, struct budget_rules rules)
{
	apr_pool_t *pool;
	struct budget *budget;

	apr_pool_create(&pool, parent);
	budget = apr_pcalloc(pool, sizeof(*budget));
	budget->pool = pool;
	budget->rules = rules;
	budget->nodes = 1;
	budget->counts = hash_make(pool);
	return budget;
}

void budget_destroy(struct budget *budget)
{
	apr_hash_index_t *it;

	for (it = apr_hash_first(NULL, budget->counts); it;
	     it = apr_hash_next(it)) {
		void *counts = hash_value(it);

		free(counts);
	}
	apr_pool_destroy(budget->pool);
}

void budget_set_rules(struct budget *budget, struct budget_rules rules)
{
	budget->rules = rules;
}

void budget_set_nodes(struct budget *budget, int nodes)
{
	budget->nodes = nodes > 0 ? nodes : 1;
}

static void advance_to_slice(struct attempt_counts *counts, int64_t slice)
{
	for (int i = 0; counts->slice < slice && i <= SLICES; i++) {
		counts->slice++;
		counts->first[counts->slice % (SLICES + 1)] = 0;
		counts->retries[counts->slice % (SLICES + 1)] = 0;
	}
	counts->slice = slice;
}

static struct attempt_counts *attempt_counts_get(struct budget *budget,
						 uint64_t service, int64_t now)
{
	struct attempt_counts *counts =
		apr_hash_get(budget->counts, &service, sizeof(service));
	int64_t slice = now * SLICES / budget->rules.window_us;

	if (!counts) {
		counts = xcalloc(1, sizeof(*counts));
		counts->service = service;
		counts->slice = slice;
		apr_hash_set(budget->counts, &counts->service,
			     sizeof(counts->service), counts);
	}
	advance_to_slice(counts, slice);
	return counts;
}

void budget_count_first_attempt(struct budget *budget, uint64_t service,
				int64_t now)
{
	struct attempt_counts *counts =
		attempt_counts_get(budget, service, now);

	counts->first[counts->slice % (SLICES + 1)]++;
}

int budget_retries_left(struct budget *budget, uint64_t service, double share,
			int64_t now)
{
	struct attempt_counts *counts =
		attempt_counts_get(budget, service, now);
	int first = 0;
	int retries = 0;
	double allowed;

	for (int i = 0; i <= SLICES; i++) {
		first += counts->first[i];
		retries += counts->retries[i];
	}
	if (share <= 0)
		share = 1.0 / budget->nodes;
	allowed = budget->rules.ratio * first + budget->rules.extra * share;
	return (int)(allowed * SAFETY_FACTOR) - retries;
}

bool budget_take_retry(struct budget *budget, uint64_t service, double share,
		       int64_t now)
{
	struct attempt_counts *counts =
		attempt_counts_get(budget, service, now);

	if (budget_retries_left(budget, service, share, now) < 1)
		return false;
	counts->retries[counts->slice % (SLICES + 1)]++;
	return true;
}
