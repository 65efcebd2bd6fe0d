#include "budget.h"

#include <stdlib.h>

#include "xmalloc.h"

enum {
	/* Slices of the window; one more holds its oldest, partial slice. */
	SLICES = 10,
};

/*
 * Each node stays below the limit to allow for nodes that disagree about the
 * shares for a moment.
 */
static const double RATIO_FRACTION = 0.8;
/*
 * Retries within a window may use what accrued over two windows: just before
 * its start, and within it by other processes. Half of it each stays within the
 * limit.
 */
static const double EXTRA_FRACTION = 0.5;

/**
 * struct attempt_counts - attempts at a service, by slice of the window
 * @share: smallest share of the extra retries seen in each slice
 * @last_share: the share seen last
 */
struct attempt_counts {
	uint64_t service;
	int64_t slice;
	int first[SLICES + 1];
	int retries[SLICES + 1];
	double share[SLICES + 1];
	double last_share;
};

struct budget {
	apr_pool_t *pool;
	struct budget_rules rules;
	int64_t held_since;
	apr_hash_t *counts;
};

struct budget *budget_create(apr_pool_t *parent, struct budget_rules rules,
			     int64_t held_since)
{
	apr_pool_t *pool;
	struct budget *budget;

	apr_pool_create(&pool, parent);
	budget = apr_pcalloc(pool, sizeof(*budget));
	budget->pool = pool;
	budget->rules = rules;
	budget->held_since = held_since;
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

/* Slices without an attempt had the share that was last seen before them. */
static void advance_to_slice(struct attempt_counts *counts, int64_t slice)
{
	for (int i = 0; counts->slice < slice && i <= SLICES; i++) {
		int at = (int)(++counts->slice % (SLICES + 1));

		counts->first[at] = 0;
		counts->retries[at] = 0;
		counts->share[at] = counts->last_share;
	}
	counts->slice = slice;
}

static int64_t slice_at(const struct budget *budget, int64_t at)
{
	return at * SLICES / budget->rules.window_us;
}

/* Before @held_since this node held no share, however old the service is. */
static struct attempt_counts *attempt_counts_create(struct budget *budget,
						    uint64_t service,
						    int64_t slice, double share)
{
	struct attempt_counts *counts = xcalloc(1, sizeof(*counts));
	int64_t held_since = slice_at(budget, budget->held_since);

	counts->service = service;
	counts->slice = slice;
	for (int64_t i = 0; i <= SLICES && slice - i > held_since; i++)
		counts->share[(slice - i + SLICES + 1) % (SLICES + 1)] = share;
	apr_hash_set(budget->counts, &counts->service, sizeof(counts->service),
		     counts);
	return counts;
}

static struct attempt_counts *attempt_counts_get(struct budget *budget,
						 uint64_t service, double share,
						 int64_t now)
{
	struct attempt_counts *counts =
		apr_hash_get(budget->counts, &service, sizeof(service));
	int64_t slice = slice_at(budget, now);
	double *current;

	if (!counts)
		counts = attempt_counts_create(budget, service, slice, share);
	advance_to_slice(counts, slice);
	current = &counts->share[slice % (SLICES + 1)];
	if (share < *current)
		*current = share;
	counts->last_share = share;
	return counts;
}

/*
 * Other processes may have used a share earlier in the window: the process that
 * this one replaces, or the node that held the share before this one. If each
 * used all of it, nodes that restart in turn would exceed the limit. So a share
 * accrues over a window: however often it changes hands, all of its holders
 * together accrue one share per window.
 */
static double accrued_share(const struct attempt_counts *counts)
{
	double sum = 0;

	for (int i = 0; i <= SLICES; i++)
		if (i != counts->slice % (SLICES + 1))
			sum += counts->share[i];
	return sum / SLICES;
}

void budget_count_first_attempt(struct budget *budget, uint64_t service,
				double share, int64_t now)
{
	struct attempt_counts *counts =
		attempt_counts_get(budget, service, share, now);

	counts->first[counts->slice % (SLICES + 1)]++;
}

int budget_retries_left(struct budget *budget, uint64_t service, double share,
			int64_t now)
{
	struct attempt_counts *counts =
		attempt_counts_get(budget, service, share, now);
	int first = 0;
	int retries = 0;
	double allowed;

	for (int i = 0; i <= SLICES; i++) {
		first += counts->first[i];
		retries += counts->retries[i];
	}
	allowed = RATIO_FRACTION * budget->rules.ratio * first +
		  EXTRA_FRACTION * budget->rules.extra * accrued_share(counts);
	return (int)allowed - retries;
}

bool budget_take_retry(struct budget *budget, uint64_t service, double share,
		       int64_t now)
{
	struct attempt_counts *counts =
		attempt_counts_get(budget, service, share, now);

	if (budget_retries_left(budget, service, share, now) < 1)
		return false;
	counts->retries[counts->slice % (SLICES + 1)]++;
	return true;
}
