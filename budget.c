#include "budget.h"

#include <stdlib.h>

#include "xmalloc.h"

enum {
	/* The window is counted in slices; one more holds the oldest part. */
	SLICES = 10,
};

/*
 * Kept below the bound for what a node does not know: processes that started
 * anew and forgot what they had sent, nodes that it has not heard of.
 */
static const double MARGIN = 0.8;

struct tally {
	uint64_t service;
	int64_t slice;
	int first[SLICES + 1];
	int more[SLICES + 1];
};

struct budget {
	apr_pool_t *pool;
	struct budget_rules rules;
	int nodes;
	apr_hash_t *tallies;
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
	budget->tallies = hash_make(pool);
	return budget;
}

void budget_destroy(struct budget *budget)
{
	apr_hash_index_t *it;

	for (it = apr_hash_first(NULL, budget->tallies); it;
	     it = apr_hash_next(it)) {
		void *tally = hash_value(it);

		free(tally);
	}
	apr_pool_destroy(budget->pool);
}

void budget_rules(struct budget *budget, struct budget_rules rules)
{
	budget->rules = rules;
}

void budget_nodes(struct budget *budget, int nodes)
{
	budget->nodes = nodes > 0 ? nodes : 1;
}

static void advance(struct tally *tally, int64_t slice)
{
	for (int i = 0; tally->slice < slice && i <= SLICES; i++) {
		tally->slice++;
		tally->first[tally->slice % (SLICES + 1)] = 0;
		tally->more[tally->slice % (SLICES + 1)] = 0;
	}
	tally->slice = slice;
}

static struct tally *tally_get(struct budget *budget, uint64_t service,
			       int64_t now)
{
	struct tally *tally =
		apr_hash_get(budget->tallies, &service, sizeof(service));
	int64_t slice = now * SLICES / budget->rules.window_us;

	if (!tally) {
		tally = xcalloc(1, sizeof(*tally));
		tally->service = service;
		tally->slice = slice;
		apr_hash_set(budget->tallies, &tally->service,
			     sizeof(tally->service), tally);
	}
	advance(tally, slice);
	return tally;
}

void budget_first(struct budget *budget, uint64_t service, int64_t now)
{
	struct tally *tally = tally_get(budget, service, now);

	tally->first[tally->slice % (SLICES + 1)]++;
}

int budget_left(struct budget *budget, uint64_t service, double share,
		int64_t now)
{
	struct tally *tally = tally_get(budget, service, now);
	int first = 0;
	int more = 0;
	double allowed;

	for (int i = 0; i <= SLICES; i++) {
		first += tally->first[i];
		more += tally->more[i];
	}
	if (share <= 0)
		share = 1.0 / budget->nodes;
	allowed = budget->rules.ratio * first + budget->rules.extra * share;
	return (int)(allowed * MARGIN) - more;
}

bool budget_take(struct budget *budget, uint64_t service, double share,
		 int64_t now)
{
	struct tally *tally = tally_get(budget, service, now);

	if (budget_left(budget, service, share, now) < 1)
		return false;
	tally->more[tally->slice % (SLICES + 1)]++;
	return true;
}
