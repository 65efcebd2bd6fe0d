#include "loop.h"

#include <stdlib.h>
#include <time.h>

#include <apr_portable.h>

#include "xmalloc.h"

enum {
	MAX_FDS = 16384,
	MAX_HOOKS = 256,
	MAX_WAIT_US = 100000,
	/* Shorter gaps are scheduling delays, not pauses of the process. */
	PAUSE_MIN_US = 300000,
	/* Input that arrived during a pause has been read by then. */
	PAUSE_REPORT_US = 100000,
};

struct watch {
	struct loop *loop;
	apr_pool_t *pool;
	apr_socket_t *sock;
	int events;
	bool deleted;
	void (*callback)(void *ctx, int events);
	void *ctx;
	struct watch *next_deleted;
};

struct loop {
	apr_pool_t *pool;
	apr_pollset_t *pollset;
	struct loop_hook hooks[MAX_HOOKS];
	int nhooks;
	struct watch *deleted;
	bool stopped;
	int64_t round_start;
	int64_t round_end;
	int64_t pause_us;
	int64_t pause_reported_until;
};

int64_t loop_now(void)
{
	struct timespec ts;

	/* Includes VM suspension, as the peers' deadlines do not stop. */
	clock_gettime(CLOCK_BOOTTIME, &ts);
	return (int64_t)ts.tv_sec * 1000000 + ts.tv_nsec / 1000;
}

struct loop *loop_create(apr_pool_t *parent)
{
	apr_pool_t *pool;
	struct loop *loop;

	apr_pool_create(&pool, parent);
	loop = apr_pcalloc(pool, sizeof(*loop));
	loop->pool = pool;
	loop->round_end = loop_now();
	if (apr_pollset_create_ex(&loop->pollset, MAX_FDS, pool, 0,
				  APR_POLLSET_EPOLL))
		abort();
	return loop;
}

static void free_deleted(struct loop *loop)
{
	while (loop->deleted) {
		struct watch *watch = loop->deleted;

		loop->deleted = watch->next_deleted;
		apr_pool_destroy(watch->pool);
		free(watch);
	}
}

void loop_destroy(struct loop *loop)
{
	free_deleted(loop);
	apr_pollset_destroy(loop->pollset);
	apr_pool_destroy(loop->pool);
}

static apr_pollfd_t poll_fd(struct watch *watch)
{
	return (apr_pollfd_t){
		.p = watch->pool,
		.desc_type = APR_POLL_SOCKET,
		.reqevents = (apr_int16_t)watch->events,
		.desc.s = watch->sock,
		.client_data = watch,
	};
}

struct watch *loop_add(struct loop *loop, int fd, int events,
		       void (*callback)(void *ctx, int events), void *ctx)
{
	struct watch *watch = xcalloc(1, sizeof(*watch));
	apr_os_sock_t raw = fd;

	watch->loop = loop;
	watch->events = events;
	watch->callback = callback;
	watch->ctx = ctx;
	apr_pool_create(&watch->pool, loop->pool);
	apr_os_sock_put(&watch->sock, &raw, watch->pool);

	apr_pollfd_t poll = poll_fd(watch);

	if (apr_pollset_add(loop->pollset, &poll))
		abort();
	return watch;
}

void loop_set_events(struct watch *watch, int events)
{
	apr_pollfd_t poll = poll_fd(watch);

	if (watch->events == events)
		return;
	apr_pollset_remove(watch->loop->pollset, &poll);
	watch->events = events;
	poll = poll_fd(watch);
	if (apr_pollset_add(watch->loop->pollset, &poll))
		abort();
}

void loop_del(struct watch *watch)
{
	apr_pollfd_t poll = poll_fd(watch);

	apr_pollset_remove(watch->loop->pollset, &poll);
	watch->deleted = true;
	watch->next_deleted = watch->loop->deleted;
	watch->loop->deleted = watch;
}

void loop_hook(struct loop *loop, struct loop_hook hook)
{
	if (loop->nhooks == MAX_HOOKS)
		abort();
	loop->hooks[loop->nhooks++] = hook;
}

void loop_unhook(struct loop *loop, const void *ctx)
{
	int kept = 0;

	for (int i = 0; i < loop->nhooks; i++)
		if (loop->hooks[i].ctx != ctx)
			loop->hooks[kept++] = loop->hooks[i];
	loop->nhooks = kept;
}

static int64_t poll_timeout(const struct loop *loop)
{
	int64_t shortest = MAX_WAIT_US;

	for (int i = 0; i < loop->nhooks; i++) {
		int64_t wait =
			loop->hooks[i].wait_us
				? loop->hooks[i].wait_us(loop->hooks[i].ctx)
				: -1;

		if (wait >= 0 && wait < shortest)
			shortest = wait;
	}
	return shortest;
}

/*
 * Connections that were opened during a pause are accepted in the first round
 * after it and read in later ones, so the pause is reported for a while.
 */
static void detect_pause(struct loop *loop)
{
	int64_t pause_us = loop->round_start - loop->round_end - MAX_WAIT_US;

	if (pause_us < PAUSE_MIN_US)
		return;
	loop->pause_us = pause_us;
	loop->pause_reported_until = loop->round_start + PAUSE_REPORT_US;
}

void loop_step(struct loop *loop)
{
	const apr_pollfd_t *ready;
	apr_int32_t count = 0;

	if (apr_pollset_poll(loop->pollset, poll_timeout(loop), &count, &ready))
		count = 0;
	loop->round_start = loop_now();
	detect_pause(loop);
	for (apr_int32_t i = 0; i < count; i++) {
		struct watch *watch = ready[i].client_data;

		if (!watch->deleted)
			watch->callback(watch->ctx, ready[i].rtnevents);
	}
	for (int i = 0; i < loop->nhooks; i++)
		if (loop->hooks[i].run)
			loop->hooks[i].run(loop->hooks[i].ctx);
	free_deleted(loop);
	loop->round_end = loop_now();
}

void loop_run(struct loop *loop)
{
	while (!loop->stopped)
		loop_step(loop);
}

int64_t loop_pause_us(const struct loop *loop)
{
	return loop->round_start < loop->pause_reported_until ? loop->pause_us
							      : 0;
}

int64_t loop_round_start(const struct loop *loop)
{
	return loop->round_start;
}

void loop_stop(struct loop *loop)
{
	loop->stopped = true;
}
