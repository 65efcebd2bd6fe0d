#include "peer.h"

#include <errno.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

#include <apr_hash.h>

#include "os.h"
#include "xmalloc.h"

enum {
	BACKLOG = 256,
	READ_SIZE = 64 * 1024,
	/* Beyond this much unsent a node is too slow, and is told no more. */
	OUT_MAX = 2 * WIRE_MAX,
	/*
	 * Messages share a frame up to this size; a larger one goes by itself.
	 * A frame over WIRE_MAX would have its reader close the connection.
	 */
	FRAME_FULL = 1024 * 1024,
	RETRY_US = 100000,
	/*
	 * A VM without power answers nothing. A connection that takes no more
	 * bytes is given up after this long.
	 */
	SILENT_US = 1000000,
	/*
	 * One that is still opening is opened anew after this long, at the next
	 * message: its first packet was lost, or came before the VM had power,
	 * and is sent again only after a second. Nodes are some ms apart.
	 */
	OPENING_US = 200000,
};

/**
 * struct link - connection to a node, opened by this one
 * @queued_bytes: of the bodies of @queue
 * @listed: among peers.pending
 */
struct link {
	struct peers *peers;
	struct str addr;
	uint64_t key;
	int fd;
	struct watch *watch;
	bool connecting;
	int64_t opened_at;
	int64_t retry_at;
	struct buf out;
	struct msg *queue;
	size_t queued;
	size_t queued_bytes;
	size_t cap;
	uint64_t to;
	bool listed;
	struct link *next_pending;
};

/** struct inlet - connection that another node opened */
struct inlet {
	struct peers *peers;
	int fd;
	struct watch *watch;
	struct buf in;
	struct inlet *next;
	struct inlet *prev;
};

/**
 * struct peers - connections from and to this node
 * @pending: links with messages or bytes that are to be sent, or still opening;
 *           a flush after each event need not look at hundreds of others
 */
struct peers {
	struct loop *loop;
	apr_pool_t *pool;
	struct str addr;
	uint64_t incarnation;
	struct peer_handler handler;
	int fd;
	struct watch *watch;
	apr_hash_t *links;
	struct link *pending;
	struct inlet *inlets;
};

static void link_close(struct link *link, bool tell)
{
	struct peers *peers = link->peers;

	if (link->fd < 0)
		return;
	loop_del(link->watch);
	close(link->fd);
	link->fd = -1;
	link->out.len = 0;
	link->retry_at = loop_now() + RETRY_US;
	if (tell)
		peers->handler.lost(peers->handler.ctx, link->addr);
}

static void link_pending(struct link *link)
{
	if (link->listed)
		return;
	link->listed = true;
	link->next_pending = link->peers->pending;
	link->peers->pending = link;
}

static void link_write(struct link *link)
{
	while (link->out.len) {
		ssize_t sent = send(link->fd, link->out.ptr, link->out.len,
				    MSG_NOSIGNAL);

		if (sent > 0) {
			buf_drop(&link->out, (size_t)sent);
			continue;
		}
		if (errno == EINTR)
			continue;
		if (errno != EAGAIN) {
			link_close(link, true);
			return;
		}
		break;
	}
	loop_set_events(link->watch,
			APR_POLLIN | (link->out.len ? APR_POLLOUT : 0));
}

static void on_link(void *ctx, int events)
{
	struct link *link = ctx;
	char byte;

	if (link->connecting) {
		int fault = 0;
		socklen_t len = sizeof(fault);

		getsockopt(link->fd, SOL_SOCKET, SO_ERROR, &fault, &len);
		if (fault || (events & (APR_POLLERR | APR_POLLHUP))) {
			link_close(link, true);
			return;
		}
		if (!(events & APR_POLLOUT))
			return;
		link->connecting = false;
	}
	/* Nothing is ever sent back here: readable means closed. */
	if (events & (APR_POLLIN | APR_POLLERR | APR_POLLHUP)) {
		ssize_t got = recv(link->fd, &byte, 1, MSG_DONTWAIT);

		if (got >= 0 || (errno != EAGAIN && errno != EINTR)) {
			link_close(link, true);
			return;
		}
	}
	link_write(link);
}

static void link_open(struct link *link)
{
	struct sockaddr_in sin;

	int64_t now = loop_now();

	if (link->connecting && link->fd >= 0 &&
	    now - link->opened_at > OPENING_US) {
		link_close(link, true);
		link->retry_at = 0;
	}
	if (link->fd >= 0 || now < link->retry_at)
		return;
	link->fd = os_socket(link->addr, SILENT_US / 1000, &sin);
	if (link->fd < 0)
		return;
	link->connecting = true;
	link->opened_at = now;
	link->watch = loop_add(link->peers->loop, link->fd,
			       APR_POLLIN | APR_POLLOUT, on_link, link);
	if (connect(link->fd, (struct sockaddr *)&sin, sizeof(sin)) &&
	    errno != EINPROGRESS)
		link_close(link, true);
}

static struct link *link_get(struct peers *peers, struct str addr)
{
	uint64_t key = str_hash(addr);
	struct link *link = apr_hash_get(peers->links, &key, sizeof(key));

	if (link)
		return link;
	link = xcalloc(1, sizeof(*link));
	link->peers = peers;
	link->addr = str_dup(peers->pool, addr);
	link->key = key;
	link->fd = -1;
	apr_hash_set(peers->links, &link->key, sizeof(link->key), link);
	return link;
}

/* Messages for one incarnation share a frame; their order is kept. */
static void link_encode(struct link *link)
{
	struct frame frame = {
		.from = link->peers->addr,
		.from_incarnation = link->peers->incarnation,
		.to_incarnation = link->to,
		.sent_us = loop_now(),
		.msgs = link->queue,
		.count = link->queued,
	};

	if (!link->queued)
		return;
	link_open(link);
	if (link->fd >= 0)
		frame_encode(&frame, &link->out);
	else
		link->peers->handler.lost(link->peers->handler.ctx, link->addr);
	link->queued = 0;
	link->queued_bytes = 0;
}

void peers_send(struct peers *peers, struct str addr, uint64_t incarnation,
		const struct msg *msg)
{
	struct link *link = link_get(peers, addr);
	size_t bytes = msg->name.len + msg->body.len + msg->text.len;

	if (link->queued &&
	    (link->to != incarnation || link->queued == WIRE_MAX_MSGS ||
	     link->queued_bytes + bytes > FRAME_FULL))
		link_encode(link);
	link->to = incarnation;
	if (link->queued == link->cap) {
		link->cap = link->cap ? link->cap * 2 : 16;
		link->queue =
			xrealloc(link->queue, link->cap * sizeof(struct msg));
	}
	link->queue[link->queued++] = *msg;
	link->queued_bytes += bytes;
	link_pending(link);
}

static void link_flush(struct link *link)
{
	link_encode(link);
	if (link->fd < 0 || !link->out.len)
		return;
	if (link->connecting) {
		/* It stays listed, so that its time is looked at again. */
		if (loop_now() - link->opened_at > SILENT_US)
			link_close(link, true);
		else
			link_pending(link);
		return;
	}
	if (link->out.len > OUT_MAX)
		link_close(link, true);
	else
		link_write(link);
}

void peers_flush(struct peers *peers)
{
	struct link *link = peers->pending;

	/* Links that are lost add messages, for a list of their own. */
	peers->pending = NULL;
	while (link) {
		struct link *next = link->next_pending;

		link->listed = false;
		link_flush(link);
		link = next;
	}
}

void peers_reset(struct peers *peers, struct str addr)
{
	uint64_t key = str_hash(addr);
	struct link *link = apr_hash_get(peers->links, &key, sizeof(key));

	/* A young one has not been silent for long; it may carry answers. */
	if (!link || loop_now() - link->opened_at < SILENT_US)
		return;
	link_close(link, false);
	link->retry_at = 0;
}

static void inlet_free(struct inlet *inlet)
{
	loop_del(inlet->watch);
	close(inlet->fd);
	buf_free(&inlet->in);
	free(inlet);
}

static void inlet_close(struct inlet *inlet)
{
	if (inlet->prev)
		inlet->prev->next = inlet->next;
	else
		inlet->peers->inlets = inlet->next;
	if (inlet->next)
		inlet->next->prev = inlet->prev;
	inlet_free(inlet);
}

/* Return: false when the connection was closed. */
static bool take_frames(struct inlet *inlet)
{
	struct peers *peers = inlet->peers;
	size_t at = 0;

	for (;;) {
		struct str rest = { inlet->in.ptr + at, inlet->in.len - at };
		struct frame frame = { 0 };
		struct error err = { 0 };
		int used = frame_decode(rest, &frame, &err);

		if (used < 0) {
			peers->handler.bad(peers->handler.ctx, &err);
			inlet_close(inlet);
			return false;
		}
		if (!used)
			break;
		/*
		 * A frame for a process that is gone is not for its successor
		 * on the same address, which would answer for work that it
		 * knows nothing of.
		 */
		if (!frame.to_incarnation ||
		    frame.to_incarnation == peers->incarnation)
			peers->handler.frame(peers->handler.ctx, &frame);
		frame_free(&frame);
		at += (size_t)used;
	}
	if (at)
		buf_drop(&inlet->in, at);
	return true;
}

static void on_inlet(void *ctx, int events)
{
	struct inlet *inlet = ctx;

	(void)events;
	buf_reserve(&inlet->in, READ_SIZE);

	ssize_t got =
		recv(inlet->fd, inlet->in.ptr + inlet->in.len, READ_SIZE, 0);

	if (got < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	if (got <= 0) {
		inlet_close(inlet);
		return;
	}
	inlet->in.len += (size_t)got;
	take_frames(inlet);
}

static void on_accept(void *ctx, int events)
{
	struct peers *peers = ctx;
	int fd = accept4(peers->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);

	(void)events;
	if (fd < 0)
		return;

	struct inlet *inlet = xcalloc(1, sizeof(*inlet));

	inlet->peers = peers;
	inlet->fd = fd;
	inlet->next = peers->inlets;
	if (inlet->next)
		inlet->next->prev = inlet;
	peers->inlets = inlet;
	inlet->watch = loop_add(peers->loop, fd, APR_POLLIN, on_inlet, inlet);
}

struct peers *peers_create(struct loop *loop, struct str addr,
			   uint64_t incarnation, struct peer_handler handler,
			   struct error *err)
{
	struct peers *peers = xcalloc(1, sizeof(*peers));
	struct sockaddr_in sin;
	int one = 1;

	peers->fd = os_socket(addr, SILENT_US / 1000, &sin);
	setsockopt(peers->fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (peers->fd < 0 ||
	    bind(peers->fd, (struct sockaddr *)&sin, sizeof(sin)) ||
	    listen(peers->fd, BACKLOG)) {
		error_set(err, ERR_IO, "cannot listen on %.*s: %s",
			  STR_ARG(addr), strerror(errno));
		if (peers->fd >= 0)
			close(peers->fd);
		free(peers);
		return NULL;
	}
	apr_pool_create(&peers->pool, NULL);
	peers->loop = loop;
	peers->addr = str_dup(peers->pool, addr);
	peers->incarnation = incarnation;
	peers->handler = handler;
	peers->links = hash_make(peers->pool);
	peers->watch = loop_add(loop, peers->fd, APR_POLLIN, on_accept, peers);
	return peers;
}

void peers_destroy(struct peers *peers)
{
	apr_hash_index_t *it;

	struct inlet *next;

	for (struct inlet *inlet = peers->inlets; inlet; inlet = next) {
		next = inlet->next;
		inlet_free(inlet);
	}
	for (it = apr_hash_first(NULL, peers->links); it;
	     it = apr_hash_next(it)) {
		void *value;

		apr_hash_this(it, NULL, NULL, &value);

		struct link *link = value;

		link_close(link, false);
		buf_free(&link->out);
		free(link->queue);
		free(link);
	}
	loop_del(peers->watch);
	close(peers->fd);
	apr_pool_destroy(peers->pool);
	free(peers);
}
