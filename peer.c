#include "peer.h"

#include <errno.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

#include <apr_hash.h>

#include "os.h"
#include "xmalloc.h"

enum {
	LISTEN_BACKLOG = 256,
	READ_SIZE = 64 * 1024,
	/* With more unsent data than this, a peer is too slow: disconnect. */
	UNSENT_MAX_BYTES = 2 * WIRE_MAX,
	/*
	 * Messages share a frame up to this size; a larger message gets its own
	 * frame. The receiver closes the connection on frames over WIRE_MAX.
	 */
	FRAME_TARGET_BYTES = 1024 * 1024,
	RECONNECT_DELAY_US = 100000,
	/*
	 * A VM that lost power does not reset its connections. One that accepts
	 * no more data is closed after this time.
	 */
	STALL_TIMEOUT_US = 1000000,
	/*
	 * If connecting takes longer, the next message opens another
	 * connection. The SYN was lost, or was sent before the VM was up, and
	 * TCP retransmits it only after a second; nodes are a few ms apart.
	 */
	CONNECT_TIMEOUT_US = 200000,
};

/**
 * struct link - outbound connection to a node
 * @retry_at: no new connection before this time
 * @queued_bytes: size of the strings in @queue
 * @queue_incarnation: incarnation that the messages in @queue are for
 * @is_pending: in the list peers.pending
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
	uint64_t queue_incarnation;
	bool is_pending;
	struct link *next_pending;
};

/** struct inbound - connection opened by another node */
struct inbound {
	struct peers *peers;
	int fd;
	struct watch *watch;
	struct buf in;
	struct inbound *next;
	struct inbound *prev;
};

/**
 * struct peers - connections between this node and the others
 * @pending: links with queued messages or unsent data, or still connecting, so
 *           that a flush after each event does not visit hundreds of idle links
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
	struct inbound *inbounds;
};

static void link_close(struct link *link, bool notify)
{
	struct peers *peers = link->peers;

	if (link->fd < 0)
		return;
	loop_del(link->watch);
	close(link->fd);
	link->fd = -1;
	link->out.len = 0;
	link->retry_at = loop_now() + RECONNECT_DELAY_US;
	if (notify)
		peers->handler.lost(peers->handler.ctx, link->addr);
}

static void link_mark_pending(struct link *link)
{
	if (link->is_pending)
		return;
	link->is_pending = true;
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
		int so_error = 0;
		socklen_t len = sizeof(so_error);

		getsockopt(link->fd, SOL_SOCKET, SO_ERROR, &so_error, &len);
		if (so_error || (events & (APR_POLLERR | APR_POLLHUP))) {
			link_close(link, true);
			return;
		}
		if (!(events & APR_POLLOUT))
			return;
		link->connecting = false;
	}
	/* Peers never send on this connection: readable means closed. */
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
	    now - link->opened_at > CONNECT_TIMEOUT_US) {
		link_close(link, true);
		link->retry_at = 0;
	}
	if (link->fd >= 0 || now < link->retry_at)
		return;
	link->fd = os_socket(link->addr, STALL_TIMEOUT_US / 1000, &sin);
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

/* Encodes the queue, which is for one incarnation, as one frame. */
static void link_encode(struct link *link)
{
	struct frame frame = {
		.from = link->peers->addr,
		.from_incarnation = link->peers->incarnation,
		.to_incarnation = link->queue_incarnation,
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

	if (link->queued && (link->queue_incarnation != incarnation ||
			     link->queued == WIRE_MAX_MSGS ||
			     link->queued_bytes + bytes > FRAME_TARGET_BYTES))
		link_encode(link);
	link->queue_incarnation = incarnation;
	if (link->queued == link->cap) {
		link->cap = link->cap ? link->cap * 2 : 16;
		link->queue =
			xrealloc(link->queue, link->cap * sizeof(struct msg));
	}
	link->queue[link->queued++] = *msg;
	link->queued_bytes += bytes;
	link_mark_pending(link);
}

static void link_flush(struct link *link)
{
	link_encode(link);
	if (link->fd < 0 || !link->out.len)
		return;
	if (link->connecting) {
		/* Stays pending, so that the timeout is checked again. */
		if (loop_now() - link->opened_at > STALL_TIMEOUT_US)
			link_close(link, true);
		else
			link_mark_pending(link);
		return;
	}
	if (link->out.len > UNSENT_MAX_BYTES)
		link_close(link, true);
	else
		link_write(link);
}

void peers_flush(struct peers *peers)
{
	struct link *link = peers->pending;

	/* Callbacks of lost links may queue messages, onto a new list. */
	peers->pending = NULL;
	while (link) {
		struct link *next = link->next_pending;

		link->is_pending = false;
		link_flush(link);
		link = next;
	}
}

void peers_reset(struct peers *peers, struct str addr)
{
	uint64_t key = str_hash(addr);
	struct link *link = apr_hash_get(peers->links, &key, sizeof(key));

	/* A new connection was not idle for long and may carry replies. */
	if (!link || loop_now() - link->opened_at < STALL_TIMEOUT_US)
		return;
	link_close(link, false);
	link->retry_at = 0;
}

static void inbound_free(struct inbound *inbound)
{
	loop_del(inbound->watch);
	close(inbound->fd);
	buf_free(&inbound->in);
	free(inbound);
}

static void inbound_close(struct inbound *inbound)
{
	if (inbound->prev)
		inbound->prev->next = inbound->next;
	else
		inbound->peers->inbounds = inbound->next;
	if (inbound->next)
		inbound->next->prev = inbound->prev;
	inbound_free(inbound);
}

/* Returns false if the connection was closed. */
static bool process_frames(struct inbound *inbound)
{
	struct peers *peers = inbound->peers;
	size_t at = 0;

	for (;;) {
		struct str rest = { inbound->in.ptr + at,
				    inbound->in.len - at };
		struct frame frame = { 0 };
		struct error err = { 0 };
		int used = frame_decode(rest, &frame, &err);

		if (used < 0) {
			peers->handler.bad_frame(peers->handler.ctx, &err);
			inbound_close(inbound);
			return false;
		}
		if (!used)
			break;
		/*
		 * A frame for another incarnation is dropped: its process is
		 * gone, and this one would reply about work that it never
		 * received.
		 */
		if (!frame.to_incarnation ||
		    frame.to_incarnation == peers->incarnation)
			peers->handler.frame(peers->handler.ctx, &frame);
		frame_free(&frame);
		at += (size_t)used;
	}
	if (at)
		buf_drop(&inbound->in, at);
	return true;
}

static void on_inbound(void *ctx, int events)
{
	struct inbound *inbound = ctx;

	(void)events;
	buf_reserve(&inbound->in, READ_SIZE);

	ssize_t got = recv(inbound->fd, inbound->in.ptr + inbound->in.len,
			   READ_SIZE, 0);

	if (got < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	if (got <= 0) {
		inbound_close(inbound);
		return;
	}
	inbound->in.len += (size_t)got;
	process_frames(inbound);
}

static void on_accept(void *ctx, int events)
{
	struct peers *peers = ctx;
	int fd = accept4(peers->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);

	(void)events;
	if (fd < 0)
		return;

	struct inbound *inbound = xcalloc(1, sizeof(*inbound));

	inbound->peers = peers;
	inbound->fd = fd;
	inbound->next = peers->inbounds;
	if (inbound->next)
		inbound->next->prev = inbound;
	peers->inbounds = inbound;
	inbound->watch =
		loop_add(peers->loop, fd, APR_POLLIN, on_inbound, inbound);
}

struct peers *peers_create(struct loop *loop, struct str addr,
			   uint64_t incarnation, struct peer_handler handler,
			   struct error *err)
{
	struct peers *peers = xcalloc(1, sizeof(*peers));

	peers->fd = os_listen(addr, STALL_TIMEOUT_US / 1000, LISTEN_BACKLOG);
	if (peers->fd < 0) {
		error_set(err, ERR_IO, "cannot listen on %.*s: %s",
			  STR_ARG(addr), strerror(errno));
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

	struct inbound *next;

	for (struct inbound *inbound = peers->inbounds; inbound;
	     inbound = next) {
		next = inbound->next;
		inbound_free(inbound);
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
