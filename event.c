#include "event.h"

#include <stdlib.h>

#include "xmalloc.h"

const char *fetch_result_text(enum fetch_result result)
{
	static const char *const texts[] = {
		[FETCH_OK] = "reply",
		[FETCH_REFUSED] = "no connection",
		[FETCH_BROKEN] = "connection broke",
		[FETCH_TIMEOUT] = "no reply in time",
		[FETCH_MALFORMED] = "reply is no HTTP, or too large",
	};

	return texts[result];
}

void effects_init(struct effects *fx, apr_pool_t *parent)
{
	*fx = (struct effects){ 0 };
	apr_pool_create(&fx->pool, parent);
}

struct effect *effects_add(struct effects *fx, enum effect_type type)
{
	if (fx->count == fx->cap) {
		fx->cap = fx->cap ? fx->cap * 2 : 64;
		fx->list = xrealloc(fx->list, fx->cap * sizeof(struct effect));
	}

	struct effect *effect = &fx->list[fx->count++];

	*effect = (struct effect){ .type = type };
	return effect;
}

void effects_clear(struct effects *fx)
{
	fx->count = 0;
	apr_pool_clear(fx->pool);
}

void effects_free(struct effects *fx)
{
	apr_pool_destroy(fx->pool);
	free(fx->list);
	*fx = (struct effects){ 0 };
}

static void msg_dump(const struct msg *msg, struct buf *out)
{
	buf_printf(out, " %s id=%llu.%u target=%llx shard=%u version=%llu",
		   msg_name(msg->kind), (unsigned long long)msg->id,
		   msg->attempt, (unsigned long long)msg->target, msg->shard,
		   (unsigned long long)msg->version);
	buf_printf(out, " remaining=%lld status=%d ran=%d state=%u amount=%g",
		   (long long)msg->remaining_us, msg->status, msg->ran,
		   msg->state, msg->amount);
	buf_printf(out, " name=%.*s text=%.*s body=%.*s", STR_ARG(msg->name),
		   STR_ARG(msg->text), STR_ARG(msg->body));
}

void effects_dump(const struct effects *fx, struct buf *out)
{
	for (size_t i = 0; i < fx->count; i++) {
		const struct effect *effect = &fx->list[i];

		buf_printf(out, "%d id=%llu addr=%.*s inc=%llx", effect->type,
			   (unsigned long long)effect->id,
			   STR_ARG(effect->addr),
			   (unsigned long long)effect->incarnation);
		buf_printf(out, " fetch=%d doc=%d version=%llu job=%llu",
			   effect->fetch, effect->doc,
			   (unsigned long long)effect->version,
			   (unsigned long long)effect->job);
		buf_printf(out, " shard=%u wait=%lld status=%d", effect->shard,
			   (long long)effect->wait_us, effect->status);
		buf_printf(out, " name=%.*s text=%.*s body=%.*s",
			   STR_ARG(effect->name), STR_ARG(effect->text),
			   STR_ARG(effect->body));
		if (effect->type == FX_SEND)
			msg_dump(&effect->msg, out);
		buf_add(out, "\n", 1);
	}
}
