#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/**
 * DOC: rate limit of one cold target
 *
 * A target that has just started crashes if all nodes together send it more
 * than its limit within any second. The limit is a number of tokens, one a
 * request, each of which belongs to one node (cold_share.h). A token that was
 * used is free again when a second cannot hold both requests, so the limit
 * holds in each sliding second, whatever the nodes do.
 */

enum {
	/* Tokens of a target; a higher limit is not used up. */
	COLD_TOKENS_MAX = 1024,
	/*
	 * From the decision to send to the arrival: the target's connection has
	 * to be opened, or the process is held up.
	 */
	COLD_SEND_DELAY_US = 150000,
	COLD_WINDOW_US = 1000000 + COLD_SEND_DELAY_US,
};

/** struct cold_owner - a node with tokens: until when it is not asked again */
struct cold_owner {
	uint32_t ip;
	int64_t not_before;
};

/**
 * struct cold_rate - this node's view of a target's tokens
 * @tokens: number of all tokens
 * @own: number of this node's tokens, as of the membership @view
 * @busy_until: for each request of the last second, when its token is free
 * @view: digest of the membership by which @own and @owners were determined
 * @owners: other nodes with tokens
 * @asked_at: when another node was asked for a token, 0: none has to answer
 * @ask: number of that message
 * @grant_until: a token of another node may be used until then, 0 for none
 * @wake_at: time of the pending timer for requests that wait
 */
struct cold_rate {
	int tokens;
	int own;
	int64_t *busy_until;
	uint64_t view;
	struct cold_owner *owners;
	size_t nowners;
	int64_t asked_at;
	uint64_t ask;
	int64_t grant_until;
	int64_t wake_at;
};

struct cold_rate *cold_rate_create(int tokens);
/** cold_rate_resize() - set the number of tokens; requests stay counted. */
void cold_rate_resize(struct cold_rate *rate, int tokens);
void cold_rate_free(struct cold_rate *rate);
/** cold_rate_free_at() - when an own token is free; INT64_MAX without any. */
int64_t cold_rate_free_at(const struct cold_rate *rate, int64_t now);
/** cold_rate_allows() - whether a request may be sent now. */
bool cold_rate_allows(const struct cold_rate *rate, int64_t now);
/**
 * cold_rate_on_send() - use a token for a request that is sent now.
 *
 * Also called while the target is warm: it may become cold at any moment.
 * Return: whether it was a token of another node.
 */
bool cold_rate_on_send(struct cold_rate *rate, int64_t now);
/** cold_rate_lend() - use an own token for another node, until @until. */
void cold_rate_lend(struct cold_rate *rate, int64_t until);
