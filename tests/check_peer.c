/*
 * Tests of connections between nodes, over loopback: messages must arrive even
 * if the receiver does not accept connections for a while, or if there are many
 * at once.
 */
#include <arpa/inet.h>
#include <fcntl.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

#include <check.h>

#include "../peer.h"
#include "suite.h"

enum {
	/* Fill the backlog of 1: the kernel queues one connection more. */
	BACKLOG_CONNS = 2,
	/* Less than a second, after which the kernel retransmits a lost SYN. */
	DELIVERED_US = 800000,
	PEER_DOWN_US = 300000,
	STEP_US = 50000,
	MIB = 1024 * 1024,
	BURST_TIMEOUT_US = 2000000,
};

/** struct fixture - a node, and a listening socket in place of its peer */
struct fixture {
	apr_pool_t *pool;
	struct loop *loop;
	struct peers *peers;
	int fd;
	int backlog_conns[BACKLOG_CONNS];
	char addr[32];
	char own_addr[32];
	int peers_lost;
	int bad_frames;
	size_t received;
};

static void on_frame(void *ctx, const struct frame *frame)
{
	struct fixture *fixture = ctx;

	fixture->received += frame->count;
}

static void on_lost(void *ctx, struct str addr)
{
	struct fixture *fixture = ctx;

	(void)addr;
	fixture->peers_lost++;
}

static void on_bad_frame(void *ctx, const struct error *err)
{
	struct fixture *fixture = ctx;

	(void)err;
	fixture->bad_frames++;
}

static void flush_peers(void *ctx)
{
	struct fixture *fixture = ctx;

	peers_flush(fixture->peers);
}

static int64_t wait_us(void *ctx)
{
	(void)ctx;
	return STEP_US / 5;
}

/* Gets an address with a port that is free now. */
static void get_free_addr(char *addr, size_t size)
{
	struct sockaddr_in sin = { .sin_family = AF_INET };
	socklen_t len = sizeof(sin);
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	inet_pton(AF_INET, "127.0.0.1", &sin.sin_addr);
	ck_assert(!bind(fd, (struct sockaddr *)&sin, sizeof(sin)));
	getsockname(fd, (struct sockaddr *)&sin, &len);
	snprintf(addr, size, "127.0.0.1:%d", ntohs(sin.sin_port));
	close(fd);
}

static void setup(struct fixture *fixture)
{
	struct sockaddr_in sin = { .sin_family = AF_INET };
	struct error err = { 0 };
	socklen_t len = sizeof(sin);

	*fixture = (struct fixture){ 0 };
	apr_pool_create(&fixture->pool, NULL);
	fixture->loop = loop_create(fixture->pool);
	get_free_addr(fixture->own_addr, sizeof(fixture->own_addr));
	fixture->peers =
		peers_create(fixture->loop, str_of(fixture->own_addr), 7,
			     (struct peer_handler){ on_frame, on_lost,
						    on_bad_frame, fixture },
			     &err);
	ck_assert_ptr_nonnull(fixture->peers);
	loop_hook(fixture->loop,
		  (struct loop_hook){ flush_peers, wait_us, fixture });
	fixture->fd = socket(AF_INET, SOCK_STREAM, 0);
	inet_pton(AF_INET, "127.0.0.1", &sin.sin_addr);
	ck_assert(!bind(fixture->fd, (struct sockaddr *)&sin, sizeof(sin)));
	ck_assert(!listen(fixture->fd, BACKLOG_CONNS - 1));
	getsockname(fixture->fd, (struct sockaddr *)&sin, &len);
	snprintf(fixture->addr, sizeof(fixture->addr), "127.0.0.1:%d",
		 ntohs(sin.sin_port));
	for (int i = 0; i < BACKLOG_CONNS; i++) {
		fixture->backlog_conns[i] = socket(AF_INET, SOCK_STREAM, 0);
		ck_assert(!connect(fixture->backlog_conns[i],
				   (struct sockaddr *)&sin, sizeof(sin)));
	}
}

static void teardown(struct fixture *fixture)
{
	peers_destroy(fixture->peers);
	loop_destroy(fixture->loop);
	close(fixture->fd);
	for (int i = 0; i < BACKLOG_CONNS; i++)
		close(fixture->backlog_conns[i]);
	apr_pool_destroy(fixture->pool);
}

static void run(struct fixture *fixture, int64_t us)
{
	int64_t until = loop_now() + us;

	while (loop_now() < until)
		loop_step(fixture->loop);
}

static void send_msg(struct fixture *fixture)
{
	struct msg msg = { .kind = MSG_GOSSIP, .body = STR("beat") };

	peers_send(fixture->peers, str_of(fixture->addr), 0, &msg);
	peers_flush(fixture->peers);
}

/* Return: the number of bytes of the first frame received, 0 for none. */
static ssize_t receive_frame(struct fixture *fixture)
{
	char bytes[256];
	ssize_t got = 0;

	for (int fd; got <= 0;) {
		fd = accept4(fixture->fd, NULL, NULL, SOCK_NONBLOCK);
		if (fd < 0)
			return 0;
		got = recv(fd, bytes, sizeof(bytes), 0);
		close(fd);
	}
	return got;
}

/*
 * A node sends a message while its peer is powered off: the SYN is lost, and
 * the kernel retransmits it only after a second. The peer comes up a third of a
 * second later; the next message must not wait for the retransmission, nor be
 * discarded with the old connection.
 */
START_TEST(test_peer_comes_up)
{
	struct fixture fixture;
	ssize_t got = 0;
	int64_t until;

	setup(&fixture);
	send_msg(&fixture);
	run(&fixture, PEER_DOWN_US);
	/* The peer accepts connections from now on. */
	for (int i = 0; i < BACKLOG_CONNS; i++)
		close(accept(fixture.fd, NULL, NULL));
	fcntl(fixture.fd, F_SETFL, O_NONBLOCK);
	until = loop_now() + DELIVERED_US - PEER_DOWN_US;
	while (!got && loop_now() < until) {
		send_msg(&fixture);
		run(&fixture, STEP_US);
		got = receive_frame(&fixture);
	}
	ck_assert_int_gt(got, 0);
	ck_assert_int_eq(fixture.peers_lost, 1);
	teardown(&fixture);
}
END_TEST

/** struct burst - messages from one node to another in one loop iteration */
struct burst {
	size_t size; /* bytes of a message */
	size_t count;
};

static const struct burst bursts[] = {
	{ 1, 70000 },
	{ MIB / 4, 96 },
	{ MIB, 24 },
	{ 8 * MIB, 3 },
};

/*
 * A node sends many or large messages to another in one loop iteration: replies
 * of targets, documents, requests with bodies. Each is within the limits, but
 * in one frame they would exceed the receiver's limit: it would close the
 * connection, and all would be lost.
 */
START_TEST(test_burst_in_one_round)
{
	size_t size = bursts[_i].size;
	size_t count = bursts[_i].count;
	char *bytes = calloc(1, size);
	struct msg msg = { .kind = MSG_GOSSIP, .body = { bytes, size } };
	struct fixture fixture;
	int64_t until = loop_now() + BURST_TIMEOUT_US;

	setup(&fixture);
	for (size_t i = 0; i < count; i++)
		peers_send(fixture.peers, str_of(fixture.own_addr), 0, &msg);
	while (fixture.received < count && !fixture.bad_frames &&
	       loop_now() < until)
		loop_step(fixture.loop);
	ck_assert_int_eq(fixture.bad_frames, 0);
	ck_assert_int_eq(fixture.peers_lost, 0);
	ck_assert_uint_eq(fixture.received, count);
	teardown(&fixture);
	free(bytes);
}
END_TEST

static void add_tests(TCase *tcase)
{
	tcase_add_loop_test(tcase, test_burst_in_one_round, 0,
			    (int)(sizeof(bursts) / sizeof(*bursts)));
	tcase_add_test(tcase, test_peer_comes_up);
}

int main(void)
{
	return suite_run("peer", add_tests);
}
