#pragma once

#include "../str.h"

/*
 * Replies that are none in HTTP/1.1, and sound ones. The judge is the grammar
 * of RFC 9112. Where it leaves the choice to the recipient, the name of the
 * case says "may".
 */

#define COUNT(table) (int)(sizeof(table) / sizeof(*(table)))
#define BYTES(lit) \
	{ \
		lit, sizeof(lit) - 1 \
	}

#define ID "Request-Id: r1\r\n"
#define STAMP "Response-Stamp: s1\r\n"
#define OK_LINE "HTTP/1.1 200 OK\r\n"
#define HEAD OK_LINE ID STAMP
#define LENGTH "Content-Length: 3\r\n"
#define REST ID STAMP LENGTH "\r\none"
#define CHUNKED "Transfer-Encoding: chunked\r\n"

/** struct broken - bytes of which no reply may come */
struct broken {
	const char *name;
	struct str bytes;
};

static const struct broken broken_status_lines[] = {
	{ "000", BYTES("HTTP/1.1 000 OK\r\n" REST) },
	{ "0", BYTES("HTTP/1.1 0 OK\r\n" REST) },
	{ "00", BYTES("HTTP/1.1 00 OK\r\n" REST) },
	{ "001", BYTES("HTTP/1.1 001 OK\r\n" REST) },
	{ "020", BYTES("HTTP/1.1 020 OK\r\n" REST) },
	{ "099", BYTES("HTTP/1.1 099 OK\r\n" REST) },
	{ "2", BYTES("HTTP/1.1 2 OK\r\n" REST) },
	{ "20", BYTES("HTTP/1.1 20 OK\r\n" REST) },
	{ "0200", BYTES("HTTP/1.1 0200 OK\r\n" REST) },
	{ "600", BYTES("HTTP/1.1 600 OK\r\n" REST) },
	{ "700", BYTES("HTTP/1.1 700 OK\r\n" REST) },
	{ "999", BYTES("HTTP/1.1 999 OK\r\n" REST) },
	{ "1000", BYTES("HTTP/1.1 1000 OK\r\n" REST) },
	{ "-200", BYTES("HTTP/1.1 -200 OK\r\n" REST) },
	{ "+200", BYTES("HTTP/1.1 +200 OK\r\n" REST) },
	{ "0x200", BYTES("HTTP/1.1 0x200 OK\r\n" REST) },
	{ "4294967496", BYTES("HTTP/1.1 4294967496 OK\r\n" REST) },
	{ "no status", BYTES("HTTP/1.1\r\n" REST) },
	{ "an empty status", BYTES("HTTP/1.1 \r\n" REST) },
	{ "no blank behind it", BYTES("HTTP/1.1 200OK\r\n" REST) },
	{ "a tab behind it", BYTES("HTTP/1.1 200\tOK\r\n" REST) },
	{ "a tab before it", BYTES("HTTP/1.1\t200 OK\r\n" REST) },
	{ "two blanks before it", BYTES("HTTP/1.1  200 OK\r\n" REST) },
	{ "HTTP/0.9", BYTES("HTTP/0.9 200 OK\r\n" REST) },
	{ "HTTP/2.0", BYTES("HTTP/2.0 200 OK\r\n" REST) },
	{ "HTTP/9.9", BYTES("HTTP/9.9 200 OK\r\n" REST) },
	{ "HTTP/1", BYTES("HTTP/1 200 OK\r\n" REST) },
	{ "HTTP/1.", BYTES("HTTP/1. 200 OK\r\n" REST) },
	{ "HTTP/1.10", BYTES("HTTP/1.10 200 OK\r\n" REST) },
	{ "http/1.1", BYTES("http/1.1 200 OK\r\n" REST) },
	{ "a blank before it", BYTES(" HTTP/1.1 200 OK\r\n" REST) },
	{ "NUL in the reason", BYTES("HTTP/1.1 200 O\0K\r\n" REST) },
	{ "0x01 in the reason", BYTES("HTTP/1.1 200 O\001K\r\n" REST) },
	{ "DEL in the reason", BYTES("HTTP/1.1 200 O\177K\r\n" REST) },
	{ "CR in the reason", BYTES("HTTP/1.1 200 O\rK\r\n" REST) },
	{ "a field behind a CR", BYTES("HTTP/1.1 200 O\rK" REST) },
	{ "CR alone behind it", BYTES("HTTP/1.1 200 OK\r" REST) },
	{ "101 that nobody asked for",
	  BYTES("HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n"
		"Connection: Upgrade\r\n\r\n") },
	{ "000 before a reply",
	  BYTES("HTTP/1.1 000 OK\r\nContent-Length: 0\r\n\r\n" HEAD LENGTH
		"\r\none") },
	{ "000 in another request's reply",
	  BYTES("HTTP/1.1 000 OK\r\nRequest-Id: r0\r\n"
		"Content-Length: 0\r\n\r\n" HEAD LENGTH "\r\none") },
	{ "000 behind an interim reply",
	  BYTES("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 OK\r\n" REST) },
};

static const struct broken broken_fields[] = {
	{ "blank in a name", BYTES(OK_LINE "X Foo: 1\r\n" REST) },
	{ "blank before the colon", BYTES(OK_LINE "X-Foo : 1\r\n" REST) },
	{ "blank before the colon of the length",
	  BYTES(HEAD "Content-Length : 3\r\n\r\none") },
	{ "blank before the colon of the signature",
	  BYTES(OK_LINE "Response-Stamp : s2\r\n" REST) },
	{ "blank before the colon of the id",
	  BYTES(OK_LINE "Request-Id : r1\r\n" LENGTH "\r\none") },
	{ "blank before the first name", BYTES(OK_LINE " X: 1\r\n" REST) },
	{ "tab before the first name", BYTES(OK_LINE "\tX: 1\r\n" REST) },
	{ "a first line of blanks", BYTES(OK_LINE " \r\n" REST) },
	{ "tab in a name", BYTES(OK_LINE "X\tFoo: 1\r\n" REST) },
	{ "0x01 in a name", BYTES(OK_LINE "X\001Foo: 1\r\n" REST) },
	{ "NUL in a name", BYTES(OK_LINE "X\0Foo: 1\r\n" REST) },
	{ "CR in a name", BYTES(OK_LINE "X\rFoo: 1\r\n" REST) },
	{ "DEL in a name", BYTES(OK_LINE "X\177Foo: 1\r\n" REST) },
	{ "8-bit in a name", BYTES(OK_LINE "X\344Foo: 1\r\n" REST) },
	{ "( in a name", BYTES(OK_LINE "X(Foo: 1\r\n" REST) },
	{ "\" in a name", BYTES(OK_LINE "X\"Foo: 1\r\n" REST) },
	{ "/ in a name", BYTES(OK_LINE "X/Foo: 1\r\n" REST) },
	{ "@ in a name", BYTES(OK_LINE "X@Foo: 1\r\n" REST) },
	{ "{ in a name", BYTES(OK_LINE "X{Foo: 1\r\n" REST) },
	{ "empty name", BYTES(OK_LINE ": 1\r\n" REST) },
	{ "no colon", BYTES(OK_LINE "X-Foo\r\n" REST) },
	{ "NUL in a value", BYTES(OK_LINE "X: a\0b\r\n" REST) },
	{ "0x01 in a value", BYTES(OK_LINE "X: a\001b\r\n" REST) },
	{ "CR in a value", BYTES(OK_LINE "X: a\rb\r\n" REST) },
	{ "DEL in a value", BYTES(OK_LINE "X: a\177b\r\n" REST) },
	{ "0x01 in a folded line", BYTES(OK_LINE "X: a\r\n b\001\r\n" REST) },
	{ "CR in place of the empty line", BYTES(HEAD LENGTH "\rone") },
	{ "blank in a name of an interim reply",
	  BYTES("HTTP/1.1 100 Continue\r\nX Foo: 1\r\n\r\n" HEAD LENGTH
		"\r\none") },
	{ "blank in a name of another request's reply",
	  BYTES(OK_LINE "X Foo: 1\r\nRequest-Id: r0\r\n"
			"Content-Length: 0\r\n\r\n" HEAD LENGTH "\r\none") },
};

static const struct broken ambiguous[] = {
	{ "two ids", BYTES(OK_LINE "Request-Id: r2\r\n" REST) },
	{ "two ids, the other one last",
	  BYTES(OK_LINE ID "request-id: r2\r\n" LENGTH "\r\none") },
	{ "an id and an empty one", BYTES(OK_LINE "Request-Id:\r\n" REST) },
	{ "two signatures", BYTES(OK_LINE "Response-Stamp: s2\r\n" REST) },
	{ "two signatures in one line",
	  BYTES(OK_LINE "Response-Stamp: s1, s2\r\n" ID LENGTH "\r\none") },
	{ "two signatures, with a field between",
	  BYTES(OK_LINE STAMP "X: 1\r\nresponse-stamp: s2\r\n" ID LENGTH
			      "\r\none") },
};

static const struct broken broken_framing[] = {
	{ "two lengths", BYTES(HEAD LENGTH "Content-Length: 4\r\n\r\none") },
	{ "a list of lengths", BYTES(HEAD "Content-Length: 3, 3\r\n\r\none") },
	{ "no number", BYTES(HEAD "Content-Length: abc\r\n\r\none") },
	{ "an empty length", BYTES(HEAD "Content-Length: \r\n\r\none") },
	{ "+3", BYTES(HEAD "Content-Length: +3\r\n\r\none") },
	{ "-1", BYTES(HEAD "Content-Length: -1\r\n\r\none") },
	{ "0x3", BYTES(HEAD "Content-Length: 0x3\r\n\r\none") },
	{ "3 0", BYTES(HEAD "Content-Length: 3 0\r\n\r\none") },
	{ "a length over 64 bits",
	  BYTES(HEAD "Content-Length: 18446744073709551619\r\n\r\none") },
	{ "a length and chunks",
	  BYTES(HEAD LENGTH CHUNKED "\r\n3\r\none\r\n0\r\n\r\n") },
	{ "another coding before chunks",
	  BYTES(HEAD "Transfer-Encoding: gzip, chunked\r\n\r\n"
		     "3\r\none\r\n0\r\n\r\n") },
	{ "an unknown coding", BYTES(HEAD "Transfer-Encoding: xchunked\r\n\r\n"
					  "3\r\none\r\n0\r\n\r\n") },
	{ "two codings", BYTES(HEAD "Transfer-Encoding: identity\r\n" CHUNKED
				    "\r\n3\r\none\r\n0\r\n\r\n") },
	{ "chunks twice",
	  BYTES(HEAD CHUNKED CHUNKED "\r\n3\r\none\r\n0\r\n\r\n") },
	{ "an empty coding",
	  BYTES(HEAD "Transfer-Encoding: \r\n\r\n3\r\none\r\n0\r\n\r\n") },
	{ "identity",
	  BYTES(HEAD LENGTH "Transfer-Encoding: identity\r\n\r\none") },
	{ "no size", BYTES(HEAD CHUNKED "\r\n\r\none\r\n0\r\n\r\n") },
	{ "a size that is no number",
	  BYTES(HEAD CHUNKED "\r\nx\r\none\r\n0\r\n\r\n") },
	{ "a negative size", BYTES(HEAD CHUNKED "\r\n-3\r\none\r\n0\r\n\r\n") },
	{ "0x3 as a size", BYTES(HEAD CHUNKED "\r\n0x3\r\none\r\n0\r\n\r\n") },
	{ "a size over 64 bits",
	  BYTES(HEAD CHUNKED "\r\n10000000000000003\r\none\r\n0\r\n\r\n") },
	{ "a chunk longer than its size",
	  BYTES(HEAD CHUNKED "\r\n3\r\nonexx0\r\n\r\n") },
	{ "a chunk that ends without CR",
	  BYTES(HEAD CHUNKED "\r\n3\r\none\n00\r\n\r\n") },
	{ "a chunk without an end", BYTES(HEAD CHUNKED "\r\n3\r\none\r\r0") },
	{ "0x01 in a chunk's extension",
	  BYTES(HEAD CHUNKED "\r\n3;a\001b\r\none\r\n0\r\n\r\n") },
	{ "CR in a chunk's extension",
	  BYTES(HEAD CHUNKED "\r\n3;a\rb\r\none\r\n0\r\n\r\n") },
	{ "blank in a trailer's name",
	  BYTES(HEAD CHUNKED "\r\n3\r\none\r\n0\r\nX Foo: 1\r\n\r\n") },
	{ "0x01 in a trailer's name",
	  BYTES(HEAD CHUNKED "\r\n3\r\none\r\n0\r\nX\001: 1\r\n\r\n") },
	{ "CR in place of the last line",
	  BYTES(HEAD CHUNKED "\r\n3\r\none\r\n0\r\n\rx") },
};

/** struct sound - a reply that must be served; @eof: it ends with its
 * connection */
struct sound {
	const char *name;
	struct str bytes;
	int status;
	const char *body;
	bool eof;
};

static const struct sound sound[] = {
	{ "plain", BYTES(OK_LINE REST), 200, "one", false },
	{ "may: no reason phrase and no blank", BYTES("HTTP/1.1 200\r\n" REST),
	  200, "one", false },
	{ "an empty reason phrase", BYTES("HTTP/1.1 200 \r\n" REST), 200, "one",
	  false },
	{ "8-bit, blanks and a tab in the reason",
	  BYTES("HTTP/1.1 200  \344\tO K \r\n" REST), 200, "one", false },
	{ "HTTP/1.0", BYTES("HTTP/1.0 200 OK\r\n" REST), 200, "one", false },
	{ "HTTP/1.9", BYTES("HTTP/1.9 200 OK\r\n" REST), 200, "one", false },
	{ "a status without a phrase of its own",
	  BYTES("HTTP/1.1 299 Fine\r\n" REST), 299, "one", false },
	{ "the last status", BYTES("HTTP/1.1 599 Bad\r\n" REST), 599, "one",
	  false },
	{ "may: line ends without CR",
	  BYTES("HTTP/1.1 200 OK\nRequest-Id: r1\nContent-Length: 3\n\none"),
	  200, "one", false },
	{ "may: empty lines first", BYTES("\r\n\n" OK_LINE REST), 200, "one",
	  false },
	{ "8-bit in a value", BYTES(OK_LINE "X: \344\377\200\r\n" REST), 200,
	  "one", false },
	{ "tabs in a value", BYTES(OK_LINE "X:\ta\tb\t\r\n" REST), 200, "one",
	  false },
	{ "an empty value", BYTES(OK_LINE "X:\r\nY: \r\n" REST), 200, "one",
	  false },
	{ "a colon in a value", BYTES(OK_LINE "X: a: b :c\r\n" REST), 200,
	  "one", false },
	{ "no blank behind the colon", BYTES(OK_LINE "X:a\r\n" REST), 200,
	  "one", false },
	{ "any token as a name",
	  BYTES(OK_LINE "!#$%&'*+-.^_`|~09azAZ: 1\r\n" REST), 200, "one",
	  false },
	{ "may: a folded line", BYTES(OK_LINE "X: a\r\n b\r\n\tc\r\n" REST),
	  200, "one", false },
	{ "may: a folded line of blanks", BYTES(OK_LINE "X: a\r\n \r\n" REST),
	  200, "one", false },
	{ "a field twice", BYTES(OK_LINE "X: 1\r\nX: 2\r\n" REST), 200, "one",
	  false },
	{ "may: the id twice, the same", BYTES(OK_LINE ID REST), 200, "one",
	  false },
	{ "may: the signature twice, the same", BYTES(OK_LINE STAMP REST), 200,
	  "one", false },
	{ "blanks about the length",
	  BYTES(HEAD "Content-Length:   3  \r\n\r\none"), 200, "one", false },
	{ "a length with zeros", BYTES(HEAD "Content-Length: 0003\r\n\r\none"),
	  200, "one", false },
	{ "no length", BYTES(HEAD "\r\none"), 200, "one", true },
	{ "chunks", BYTES(HEAD CHUNKED "\r\n2\r\non\r\n1\r\ne\r\n0\r\n\r\n"),
	  200, "one", false },
	{ "chunks, named in capitals",
	  BYTES(HEAD "Transfer-Encoding: CHUNKED\r\n\r\n"
		     "3\r\none\r\n0\r\n\r\n"),
	  200, "one", false },
	{ "chunks with extensions",
	  BYTES(HEAD CHUNKED "\r\n003;a=\"b c\";d\r\none\r\n00;e\r\n\r\n"), 200,
	  "one", false },
	{ "a line end in a chunk",
	  BYTES(HEAD CHUNKED "\r\n5\r\n\r\n\001\r\r\r\n0\r\n\r\n"), 200,
	  "\r\n\001\r\r", false },
	{ "chunks with trailer fields",
	  BYTES(HEAD CHUNKED "\r\n3\r\none\r\n0\r\nX: 1\r\nY:\r\n\r\n"), 200,
	  "one", false },
	{ "204", BYTES("HTTP/1.1 204 No Content\r\n" ID "\r\n"), 204, "",
	  false },
	{ "204 ends with its head, whatever it states",
	  BYTES("HTTP/1.1 204 No Content\r\n" ID LENGTH "\r\n"), 204, "",
	  false },
	{ "204 ends with its head, chunks or not",
	  BYTES("HTTP/1.1 204 No Content\r\n" ID CHUNKED "\r\n"), 204, "",
	  false },
	{ "304", BYTES("HTTP/1.1 304 Not Modified\r\n" ID LENGTH "\r\n"), 304,
	  "", false },
	{ "behind interim replies",
	  BYTES("HTTP/1.1 100 Continue\r\n\r\n"
		"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" OK_LINE REST),
	  200, "one", false },
	{ "behind another request's reply",
	  BYTES("HTTP/1.1 500 No\r\nRequest-Id: r0\r\n" CHUNKED
		"\r\n2\r\nno\r\n0\r\n\r\n" OK_LINE REST),
	  200, "one", false },
};

/* Refused: the parser takes a tab for no part of a length. */
static const struct sound sound_open[] = {
	{ "blanks and tabs about the length",
	  BYTES(HEAD "Content-Length: \t3 \t\r\n\r\none"), 200, "one", false },
};
