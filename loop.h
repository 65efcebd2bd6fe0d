#pragma once

#include <stdbool.h>
#include <stdint.h>

#include <apr_poll.h>

/**
 * DOC: event loop
 *
 * One thread with one APR pollset. Modules register callbacks on file
 * descriptors, and hooks that run at the end of each round.
 */

struct loop;
struct watch;

/**
 * struct loop_hook - callbacks that run once per round, after the descriptors
 * @run: does pending work; may be NULL
 * @wait_us: longest time until the next round, microseconds, -1 for no limit;
 *           may be NULL
 */
struct loop_hook {
	void (*run)(void *ctx);
	int64_t (*wait_us)(void *ctx);
	void *ctx;
};

struct loop *loop_create(apr_pool_t *parent);
void loop_destroy(struct loop *loop);
/** loop_add() - watch @fd for @events, APR_POLLIN and APR_POLLOUT. */
struct watch *loop_add(struct loop *loop, int fd, int events,
		       void (*callback)(void *ctx, int events), void *ctx);
void loop_set_events(struct watch *watch, int events);
/** loop_del() - stop watching; safe within callbacks. */
void loop_del(struct watch *watch);
void loop_hook(struct loop *loop, struct loop_hook hook);
/** loop_unhook() - remove the hooks with this @ctx. */
void loop_unhook(struct loop *loop, const void *ctx);
void loop_run(struct loop *loop);
/** loop_step() - run one round. */
void loop_step(struct loop *loop);
void loop_stop(struct loop *loop);
/** loop_round_start() - start of the current round, as of loop_now(). */
int64_t loop_round_start(const struct loop *loop);
/**
 * loop_pause_us() - length of a pause or suspension that ended just now.
 *
 * Return: microseconds, 0 if there was none; input that is read now may be that
 * old.
 */
int64_t loop_pause_us(const struct loop *loop);
/** loop_now() - monotonic microseconds, including time of suspension. */
int64_t loop_now(void);
