#include "flow.h"

#include <stdlib.h>

#include "xmalloc.h"

enum {
	INITIAL_CAPACITY = 64,
};

struct fingerprint flow_fingerprint(const struct flow_request *request)
{
	struct str parts[] = { request->method, request->host, request->uri,
			       request->body };

	return fingerprint_of(parts, sizeof(parts) / sizeof(*parts),
			      request->caller);
}

void flow_effects_init(struct flow_effects *fx, apr_pool_t *parent)
{
	*fx = (struct flow_effects){ 0 };
	apr_pool_create(&fx->pool, parent);
}

struct flow_effect *flow_add(struct flow_effects *fx,
			     enum flow_effect_type type)
{
	struct flow_effect *effect;

	if (fx->count == fx->cap) {
		fx->cap = fx->cap ? fx->cap * 2 : INITIAL_CAPACITY;
		fx->list = xrealloc(fx->list, fx->cap * sizeof(*fx->list));
	}
	effect = &fx->list[fx->count++];
	*effect = (struct flow_effect){ .type = type };
	return effect;
}

void flow_clear(struct flow_effects *fx)
{
	if (!fx->count)
		return;
	fx->count = 0;
	apr_pool_clear(fx->pool);
}

void flow_effects_free(struct flow_effects *fx)
{
	free(fx->list);
	apr_pool_destroy(fx->pool);
}
