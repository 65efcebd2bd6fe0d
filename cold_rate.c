#include "cold_rate.h"

#include <stdlib.h>

#include "xmalloc.h"

struct cold_rate *cold_rate_create(int tokens)
{
	struct cold_rate *rate = xcalloc(1, sizeof(*rate));

	rate->tokens = tokens < COLD_TOKENS_MAX ? tokens : COLD_TOKENS_MAX;
	rate->busy_until =
		xcalloc((size_t)rate->tokens, sizeof(*rate->busy_until));
	return rate;
}

static void use_token(struct cold_rate *rate, int64_t busy_until)
{
	int oldest = 0;

	for (int i = 1; i < rate->tokens; i++)
		if (rate->busy_until[i] < rate->busy_until[oldest])
			oldest = i;
	if (rate->busy_until[oldest] < busy_until)
		rate->busy_until[oldest] = busy_until;
}

void cold_rate_resize(struct cold_rate *rate, int tokens)
{
	struct cold_rate *resized = cold_rate_create(tokens);
	struct cold_rate old = *rate;

	if (resized->tokens == rate->tokens) {
		cold_rate_free(resized);
		return;
	}
	for (int i = 0; i < old.tokens; i++)
		use_token(resized, old.busy_until[i]);
	free(old.busy_until);
	rate->busy_until = resized->busy_until;
	rate->tokens = resized->tokens;
	rate->view = 0;
	free(resized);
}

void cold_rate_free(struct cold_rate *rate)
{
	if (!rate)
		return;
	free(rate->owners);
	free(rate->busy_until);
	free(rate);
}

static int count_busy(const struct cold_rate *rate, int64_t at)
{
	int count = 0;

	for (int i = 0; i < rate->tokens; i++)
		count += rate->busy_until[i] > at;
	return count;
}

/* Return: the first time after @at at which a token becomes free. */
static int64_t next_free(const struct cold_rate *rate, int64_t at)
{
	int64_t next = INT64_MAX;

	for (int i = 0; i < rate->tokens; i++)
		if (rate->busy_until[i] > at && rate->busy_until[i] < next)
			next = rate->busy_until[i];
	return next;
}

int64_t cold_rate_free_at(const struct cold_rate *rate, int64_t now)
{
	int64_t at = now;

	if (!rate->own)
		return INT64_MAX;
	while (count_busy(rate, at) >= rate->own)
		at = next_free(rate, at);
	return at;
}

bool cold_rate_allows(const struct cold_rate *rate, int64_t now)
{
	return now < rate->grant_until || count_busy(rate, now) < rate->own;
}

bool cold_rate_on_send(struct cold_rate *rate, int64_t now)
{
	if (now < rate->grant_until && count_busy(rate, now) >= rate->own) {
		rate->grant_until = 0;
		return true;
	}
	use_token(rate, now + COLD_WINDOW_US);
	return false;
}

void cold_rate_lend(struct cold_rate *rate, int64_t until)
{
	use_token(rate, until + COLD_WINDOW_US);
}
