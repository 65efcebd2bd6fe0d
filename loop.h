#pragma once

#include <stdbool.h>
#include <stdint.h>

#include <apr_poll.h>

/**
 * DOC: event loop
 *
 * One thread, one APR pollset. Modules register file descriptors; what has to
 * run after each round registers a hook.
 */

struct loop;
struct watch;

/**
 * struct loop_hook - called once a round, after the descriptors
 * @run: may do work
 * @wait_us: longest wait that it can bear, microseconds, or -1
 */
struct loop_hook {
	void (*run)(void *ctx);
	int64_t (*wait_us)(void *ctx);
	void *ctx;
};

struct loop *loop_create(apr_pool_t *parent);
void loop_destroy(struct loop *loop);
/** loop_add() - watch @fd; @events are APR_POLLIN and APR_POLLOUT. */
struct watch *loop_add(struct loop *loop, int fd, int events,
		       void (*fn)(void *ctx, int events), void *ctx);
void loop_set(struct watch *watch, int events);
/** loop_del() - stop watching; safe within a callback of the same round. */
void loop_del(struct watch *watch);
void loop_hook(struct loop *loop, struct loop_hook hook);
/** loop_unhook() - drop the hooks with this @ctx. */
void loop_unhook(struct loop *loop, const void *ctx);
void loop_run(struct loop *loop);
/** loop_step() - one round. */
void loop_step(struct loop *loop);
void loop_stop(struct loop *loop);
/** loop_round_start() - when the present round began, monotonic microseconds.
 */
int64_t loop_round_start(const struct loop *loop);
/**
 * loop_pause_us() - for how long the process was paused or suspended just
 * before, 0 when it was not; what is read now may be that old
 */
int64_t loop_pause_us(const struct loop *loop);
/** loop_now() - monotonic microseconds, the time of suspension included. */
int64_t loop_now(void);
