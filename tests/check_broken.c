/*
 * Tests of the parser of replies: bytes that are no reply in HTTP/1.1 must fail
 * at once, however they arrive, and no sound reply may fail.
 */
#include <stdlib.h>

#include <check.h>

#include "../reply.h"
#include "../rng.h"
#include "reply_forms.h"
#include "suite.h"

enum {
	BODY_MAX = 1024 * 1024,
	RANDOM_HEADS = 200000,
};

static void begin(struct reply *reply)
{
	*reply = (struct reply){ .body_max = BODY_MAX };
	buf_str_add(&reply->echo_name, STR("Request-Id"));
	buf_str_add(&reply->echo, STR("r1"));
	buf_str_add(&reply->signature_name, STR("Response-Stamp"));
	reply_reset(reply);
}

/** feed() - parse @bytes in pieces. Return: whether the parser failed */
static bool feed(struct reply *reply, struct str bytes, size_t first,
		 size_t piece)
{
	size_t at = 0;
	size_t len = first;

	while (at < bytes.len && !reply->done) {
		if (len > bytes.len - at)
			len = bytes.len - at;
		if (reply_parse(reply, bytes.ptr + at, len) < 0)
			return true;
		at += len;
		len = piece;
	}
	return false;
}

static void check_broken(const struct broken *c, size_t first, size_t piece)
{
	struct reply reply;
	bool failed;

	begin(&reply);
	failed = feed(&reply, c->bytes, first, piece);
	ck_assert_msg(failed, "%s, %zu bytes and pieces of %zu: %s, status %u",
		      c->name, first, piece,
		      reply.done ? "accepted" : "no failure",
		      reply.parser.status_code);
	reply_free(&reply);
}

/* Whole, byte by byte, and cut in two at each place. */
static void check_broken_in_pieces(const struct broken *c)
{
	check_broken(c, c->bytes.len, 1);
	check_broken(c, 1, 1);
	for (size_t cut = 1; cut < c->bytes.len; cut++)
		check_broken(c, cut, c->bytes.len);
}

static void check_sound(const struct sound *c, size_t first, size_t piece)
{
	struct reply reply;
	bool failed;

	begin(&reply);
	failed = feed(&reply, c->bytes, first, piece);
	if (c->eof)
		reply_eof(&reply);
	ck_assert_msg(!failed && reply.done,
		      "%s, %zu bytes and pieces of %zu: refused", c->name,
		      first, piece);
	ck_assert_int_eq((int)reply.parser.status_code, c->status);
	ck_assert(str_eq(buf_str(&reply.body), str_of(c->body)));
	reply_free(&reply);
}

static void check_sound_in_pieces(const struct sound *c)
{
	check_sound(c, c->bytes.len, 1);
	check_sound(c, 1, 1);
	for (size_t cut = 1; cut < c->bytes.len; cut++)
		check_sound(c, cut, c->bytes.len);
}

/* An answer of status 000, and others that are none, reached callers. */
START_TEST(test_broken_status_line)
{
	check_broken_in_pieces(&broken_status_lines[_i]);
}
END_TEST

/* Names with a blank or a control byte were passed on to callers. */
START_TEST(test_broken_field)
{
	check_broken_in_pieces(&broken_fields[_i]);
}
END_TEST

/* A reply with two ids or signatures was taken for what the first said. */
START_TEST(test_ambiguous)
{
	check_broken_in_pieces(&ambiguous[_i]);
}
END_TEST

/* A body that was not the target's whole body was passed on. */
START_TEST(test_broken_framing)
{
	check_broken_in_pieces(&broken_framing[_i]);
}
END_TEST

/* A sound reply that is refused is run again elsewhere, or lost. */
START_TEST(test_sound)
{
	check_sound_in_pieces(&sound[_i]);
}
END_TEST

START_TEST(test_open)
{
	check_sound_in_pieces(&sound_open[_i]);
}
END_TEST

/* A strict reader of heads, line by line, in place of the parser's rule. */

static bool is_text(struct str s)
{
	for (size_t i = 0; i < s.len; i++) {
		unsigned char c = (unsigned char)s.ptr[i];

		if ((c < ' ' && c != '\t') || c == 0x7f)
			return false;
	}
	return true;
}

static bool is_token(struct str s)
{
	static const char token[] = "!#$%&'*+-.^_`|~0123456789"
				    "abcdefghijklmnopqrstuvwxyz"
				    "ABCDEFGHIJKLMNOPQRSTUVWXYZ";

	for (size_t i = 0; i < s.len; i++)
		if (!s.ptr[i] || !strchr(token, s.ptr[i]))
			return false;
	return s.len > 0;
}

static bool is_digit(char c, char min, char max)
{
	return c >= min && c <= max;
}

static bool is_status_line(struct str line)
{
	const char *at = line.ptr;

	if (line.len < 12 || memcmp(at, "HTTP/1.", 7) || at[8] != ' ' ||
	    (line.len > 12 && at[12] != ' '))
		return false;
	return is_digit(at[7], '0', '9') && is_digit(at[9], '1', '5') &&
	       is_digit(at[10], '0', '9') && is_digit(at[11], '0', '9') &&
	       is_text((struct str){ at + 12, line.len - 12 });
}

static bool is_field_line(struct str line, bool first)
{
	const char *colon = memchr(line.ptr, ':', line.len);
	size_t name_len = colon ? (size_t)(colon - line.ptr) : 0;

	if (!first && (*line.ptr == ' ' || *line.ptr == '\t'))
		return is_text(line);
	return colon && is_token((struct str){ line.ptr, name_len }) &&
	       is_text((struct str){ colon, line.len - name_len });
}

/* Return: length of the next line with its end, 0 if there is none. */
static size_t next_line(struct str in, struct str *line)
{
	const char *end = memchr(in.ptr, '\n', in.len);
	size_t len = end ? (size_t)(end - in.ptr) : 0;

	if (!end)
		return 0;
	*line = (struct str){ in.ptr, len && end[-1] == '\r' ? len - 1 : len };
	return len + 1;
}

/* @bytes begins with a status line and has an empty line. */
static bool is_sound_head(struct str bytes)
{
	struct str line;
	size_t len;

	for (int i = 0; (len = next_line(bytes, &line)); i++) {
		bytes.ptr += len;
		bytes.len -= len;
		if (i && !line.len)
			return true;
		if (!(i ? is_field_line(line, i == 1) : is_status_line(line)))
			return false;
	}
	return false;
}

static const struct str pieces[] = {
	BYTES("X"),	   BYTES("Foo"), BYTES(" "),	BYTES("\t"),
	BYTES(":"),	   BYTES(": "),	 BYTES("1"),	BYTES("\r\n"),
	BYTES("\n"),	   BYTES("\r"),	 BYTES("\0"),	BYTES("\001"),
	BYTES("\177"),	   BYTES("/"),	 BYTES("\344"), BYTES("\r\n "),
	BYTES("\r\nX: 1"), BYTES("0"),	 BYTES("200"),	BYTES("HTTP/1.1"),
};

static void add_pieces(struct rng *rng, struct buf *out, uint64_t max)
{
	for (uint64_t n = rng_below(rng, max); n; n--)
		buf_str_add(out, pieces[rng_below(rng, COUNT(pieces))]);
}

static void draw_head(struct rng *rng, struct buf *out)
{
	static const char *const versions[] = { "HTTP/1.1 ", "HTTP/1.0 ",
						"HTTP/1.1  ", "HTTP/2.0 " };
	bool plain_line = rng_below(rng, 2);

	out->len = 0;
	if (plain_line)
		buf_str_add(out, STR("HTTP/1.1 200 OK"));
	else
		buf_printf(out, "%s%0*d",
			   versions[rng_below(rng, 8) % COUNT(versions)],
			   (int)rng_below(rng, 4), (int)rng_below(rng, 700));
	if (!plain_line)
		add_pieces(rng, out, 3);
	buf_str_add(out, STR("\r\n"));
	if (plain_line) {
		buf_str_add(out, STR("X"));
		add_pieces(rng, out, 5);
		buf_str_add(out, STR("\r\n"));
	}
	buf_str_add(out, STR(REST));
}

static bool is_final(const struct reply *reply, bool sound_head)
{
	unsigned int status = reply->parser.status_code;

	return !sound_head || reply->done || reply->skipped ||
	       status / 100 == 1;
}

/* Random heads are accepted if, and only if, the strict reader takes them. */
START_TEST(test_random_heads)
{
	struct rng rng = { .seed = 48 };
	struct buf bytes = { 0 };
	struct reply reply;

	for (int i = 0; i < RANDOM_HEADS; i++) {
		bool sound_head;
		bool failed;

		draw_head(&rng, &bytes);
		sound_head = is_sound_head(buf_str(&bytes));
		begin(&reply);
		failed = feed(&reply, buf_str(&bytes),
			      rng_below(&rng, bytes.len),
			      1 + rng_below(&rng, bytes.len));
		ck_assert_msg((sound_head || failed) &&
				      is_final(&reply, sound_head),
			      "head %d, %s: %.*s", i,
			      sound_head ? "refused" : "accepted",
			      STR_ARG(buf_str(&bytes)));
		reply_free(&reply);
	}
	buf_free(&bytes);
}
END_TEST

static void add_tests(TCase *tcase)
{
	tcase_add_loop_test(tcase, test_broken_status_line, 0,
			    COUNT(broken_status_lines));
	tcase_add_loop_test(tcase, test_broken_field, 0, COUNT(broken_fields));
	tcase_add_loop_test(tcase, test_broken_framing, 0,
			    COUNT(broken_framing));
	tcase_add_loop_test(tcase, test_ambiguous, 0, COUNT(ambiguous));
	tcase_add_loop_test(tcase, test_sound, 0, COUNT(sound));
	tcase_add_test(tcase, test_random_heads);
}

static void add_open_tests(TCase *tcase)
{
	tcase_add_loop_test(tcase, test_open, 0, COUNT(sound_open));
}

/* With an argument, the cases that fail. */
int main(int argc, char **argv)
{
	(void)argv;
	return suite_run("broken replies",
			 argc > 1 ? add_open_tests : add_tests);
}
