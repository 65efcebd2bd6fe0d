/*
 * Coverage-guided fuzzing (libFuzzer) of all decoders: the first byte selects
 * the decoder. Built and run by scripts/fuzz.sh.
 */
#include <stdlib.h>

#include <apr_general.h>

#include "../config.h"
#include "../doc.h"
#include "../payload.h"
#include "../platform/platform.h"
#include "../reply.h"
#include "../request.h"
#include "../target.h"
#include "../wire.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static void fuzz_frame(struct str in)
{
	struct frame frame;
	struct error err;

	if (frame_decode(in, &frame, &err) > 0)
		frame_free(&frame);
}

static void fuzz_fleet(struct str in)
{
	struct error err;

	fleet_unref(fleet_parse(in, &err));
}

static void fuzz_lists(struct str in)
{
	struct error err;

	lists_free(lists_parse(in, &err));
}

static void fuzz_settings(struct str in)
{
	struct error err;

	config_free(config_parse("vm.json", in, &err));
}

static void fuzz_caller(struct str in)
{
	struct error err;
	struct entry_request entry;
	struct question_request query;
	apr_pool_t *pool;

	apr_pool_create(&pool, NULL);
	request_parse_question(in, pool, &query, &err);
	request_parse_entry(in, false, pool, &entry, &err);
	apr_pool_destroy(pool);
}

static void fuzz_target_reply(struct str in)
{
	struct parsed_reply got = { .result = FETCH_OK };
	struct buf rows = { 0 };

	target_parse_reply(in, 200, &got, &rows);
	buf_free(&rows);
}

static void fuzz_platform(struct str in)
{
	struct vm_settings settings;
	struct store_reply page;
	struct store_record record;
	struct error err;
	apr_pool_t *pool;

	apr_pool_create(&pool, NULL);
	platform_settings(in, &settings, pool, &err);
	platform_range_reply(in, &page, pool, &err);
	platform_watch_reply(in, &page, pool, &err);
	platform_decode(STR("servers/i"), in, &record, pool, &err);
	if (!platform_decode(STR("op/config"), in, &record, pool, &err))
		catalog_unref(record.catalog);
	apr_pool_destroy(pool);
}

static void fuzz_parcel(struct str in)
{
	struct member_entry *members;
	struct store_item *items;
	struct flow_request request;
	apr_pool_t *pool;
	size_t count;

	apr_pool_create(&pool, NULL);
	payload_decode_members(in, pool, &members, &count);
	payload_decode_items(in, pool, &items, &count);
	payload_decode_request(in, pool, &request);
	apr_pool_destroy(pool);
}

static void check_heads(const struct reply *reply)
{
	int status = (int)reply->parser.status_code;

	if (!reply->done)
		return;
	if (status < 200 || status > 599)
		abort();
	for (size_t i = 0; i < reply->headers.count; i++) {
		struct header header = headers_at(&reply->headers, i);

		for (size_t j = 0; j < header.name.len; j++)
			if (!header_is_token_char(header.name.ptr[j]))
				abort();
		if (!header.name.len || !str_is_text(header.value))
			abort();
	}
}

/* The first byte is the length of the pieces that the others come in. */
static void fuzz_reply(struct str in)
{
	struct reply reply = { .body_max = 256 };
	size_t piece = in.len ? (unsigned char)*in.ptr + 1U : 1;

	reply_reset(&reply);
	for (size_t at = 1; at < in.len && !reply.done; at += piece) {
		size_t left = in.len - at;

		if (reply_parse(&reply, in.ptr + at,
				left < piece ? left : piece) < 0)
			break;
	}
	check_heads(&reply);
	reply_free(&reply);
}

static void (*const decoders[])(struct str in) = {
	fuzz_frame,    fuzz_fleet,  fuzz_lists,
	fuzz_settings, fuzz_caller, fuzz_target_reply,
	fuzz_platform, fuzz_parcel, fuzz_reply,
};

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	static bool ready;

	if (!ready)
		apr_initialize();
	ready = true;
	if (!size)
		return 0;
	decoders[*data % (sizeof(decoders) / sizeof(*decoders))](
		(struct str){ (const char *)data + 1, size - 1 });
	return 0;
}
