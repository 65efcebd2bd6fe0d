/*
 * Connections between nodes, over loopback: messages must arrive though the
 * node they are for takes no connections for a while.
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
	/* The kernel keeps one more than it is told to. */
	FILLERS = 2,
	/* A lost first packet is sent again after a second. */
	SOON_US = 800000,
	DEAD_US = 300000,
	STEP_US = 50000,
	MIB = 1024 * 1024,
	ROUND_US = 2000000,
};

/** struct scene - a node, and a socket that stands for another one */
struct scene {
	apr_pool_t *pool;
	struct loop *loop;
	struct peers *peers;
	int fd;
	int fillers[FILLERS];
	char addr[32];
	char own[32];
	int lost;
	int bad;
	size_t came;
};

static void on_frame(void *ctx, const struct frame *frame)
{
	struct scene *scene = ctx;

	scene->came += frame->count;
}

static void on_lost(void *ctx, struct str addr)
{
	struct scene *scene = ctx;

	(void)addr;
	scene->lost++;
}

static void on_bad(void *ctx, const struct error *err)
{
	struct scene *scene = ctx;

	(void)err;
	scene->bad++;
}

static void on_round(void *ctx)
{
	struct scene *scene = ctx;

	peers_flush(scene->peers);
}

static int64_t wait_us(void *ctx)
{
	(void)ctx;
	return STEP_US / 5;
}

/* A port that was free a moment ago. */
static void free_addr(char *addr, size_t size)
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

static void begin(struct scene *scene)
{
	struct sockaddr_in sin = { .sin_family = AF_INET };
	struct error err = { 0 };
	socklen_t len = sizeof(sin);

	*scene = (struct scene){ 0 };
	apr_pool_create(&scene->pool, NULL);
	scene->loop = loop_create(scene->pool);
	free_addr(scene->own, sizeof(scene->own));
	scene->peers = peers_create(
		scene->loop, str_of(scene->own), 7,
		(struct peer_handler){ on_frame, on_lost, on_bad, scene },
		&err);
	ck_assert_ptr_nonnull(scene->peers);
	loop_hook(scene->loop, (struct loop_hook){ on_round, wait_us, scene });
	scene->fd = socket(AF_INET, SOCK_STREAM, 0);
	inet_pton(AF_INET, "127.0.0.1", &sin.sin_addr);
	ck_assert(!bind(scene->fd, (struct sockaddr *)&sin, sizeof(sin)));
	ck_assert(!listen(scene->fd, FILLERS - 1));
	getsockname(scene->fd, (struct sockaddr *)&sin, &len);
	snprintf(scene->addr, sizeof(scene->addr), "127.0.0.1:%d",
		 ntohs(sin.sin_port));
	for (int i = 0; i < FILLERS; i++) {
		scene->fillers[i] = socket(AF_INET, SOCK_STREAM, 0);
		ck_assert(!connect(scene->fillers[i], (struct sockaddr *)&sin,
				   sizeof(sin)));
	}
}

static void end(struct scene *scene)
{
	peers_destroy(scene->peers);
	loop_destroy(scene->loop);
	close(scene->fd);
	for (int i = 0; i < FILLERS; i++)
		close(scene->fillers[i]);
	apr_pool_destroy(scene->pool);
}

static void run(struct scene *scene, int64_t us)
{
	int64_t until = loop_now() + us;

	while (loop_now() < until)
		loop_step(scene->loop);
}

static void tell(struct scene *scene)
{
	struct msg msg = { .kind = MSG_GOSSIP, .body = STR("beat") };

	peers_send(scene->peers, str_of(scene->addr), 0, &msg);
	peers_flush(scene->peers);
}

/* Return: bytes of what is the first frame to come in, 0 for none. */
static ssize_t take_frame(struct scene *scene)
{
	char bytes[256];
	ssize_t got = 0;

	for (int fd; got <= 0;) {
		fd = accept4(scene->fd, NULL, NULL, SOCK_NONBLOCK);
		if (fd < 0)
			return 0;
		got = recv(fd, bytes, sizeof(bytes), 0);
		close(fd);
	}
	return got;
}

/*
 * A node sends word while the other one has no power: the packet that opens the
 * connection is lost, and the system sends it again after a second only. The
 * other one comes up a third of a second later; the next word must not wait for
 * that second, nor be thrown away with the old connection.
 */
START_TEST(test_other_comes_up)
{
	struct scene scene;
	ssize_t got = 0;
	int64_t until;

	begin(&scene);
	tell(&scene);
	run(&scene, DEAD_US);
	/* The other one takes connections from now on. */
	for (int i = 0; i < FILLERS; i++)
		close(accept(scene.fd, NULL, NULL));
	fcntl(scene.fd, F_SETFL, O_NONBLOCK);
	until = loop_now() + SOON_US - DEAD_US;
	while (!got && loop_now() < until) {
		tell(&scene);
		run(&scene, STEP_US);
		got = take_frame(&scene);
	}
	ck_assert_int_gt(got, 0);
	ck_assert_int_eq(scene.lost, 1);
	end(&scene);
}
END_TEST

/** struct round - what one node has for another at once */
struct round {
	size_t size; /* bytes of a message */
	size_t count;
};

static const struct round rounds[] = {
	{ 1, 70000 },
	{ MIB / 4, 96 },
	{ MIB, 24 },
	{ 8 * MIB, 3 },
};

/*
 * A node has much to tell another in one round: replies of targets, documents,
 * requests with bodies. Each message is taken by itself; in one frame they were
 * over what the other one reads, which closed the connection, and all was lost.
 */
START_TEST(test_much_in_one_round)
{
	size_t size = rounds[_i].size;
	size_t count = rounds[_i].count;
	char *bytes = calloc(1, size);
	struct msg msg = { .kind = MSG_GOSSIP, .body = { bytes, size } };
	struct scene scene;
	int64_t until = loop_now() + ROUND_US;

	begin(&scene);
	for (size_t i = 0; i < count; i++)
		peers_send(scene.peers, str_of(scene.own), 0, &msg);
	while (scene.came < count && !scene.bad && loop_now() < until)
		loop_step(scene.loop);
	ck_assert_int_eq(scene.bad, 0);
	ck_assert_int_eq(scene.lost, 0);
	ck_assert_uint_eq(scene.came, count);
	end(&scene);
	free(bytes);
}
END_TEST

static void add(TCase *tcase)
{
	tcase_add_loop_test(tcase, test_much_in_one_round, 0,
			    (int)(sizeof(rounds) / sizeof(*rounds)));
	tcase_add_test(tcase, test_other_comes_up);
}

int main(void)
{
	return suite_run("peer", add);
}
