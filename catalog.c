#include "catalog.h"

#include "xmalloc.h"

struct catalog *catalog_create(void)
{
	apr_pool_t *pool;
	struct catalog *catalog;

	apr_pool_create(&pool, NULL);
	catalog = apr_pcalloc(pool, sizeof(*catalog));
	catalog->pool = pool;
	catalog->refs = 1;
	return catalog;
}

struct catalog *catalog_ref(struct catalog *catalog)
{
	catalog->refs++;
	return catalog;
}

void catalog_unref(struct catalog *catalog)
{
	if (catalog && !--catalog->refs)
		apr_pool_destroy(catalog->pool);
}

static bool starts_with(struct str s, struct str prefix)
{
	return s.len >= prefix.len && !memcmp(s.ptr, prefix.ptr, prefix.len);
}

/* Host names are case-insensitive; a port in @host is ignored. */
static bool host_matches(struct str host, struct str name)
{
	const char *colon;
	size_t len = host.len;

	if (!host.ptr)
		return false;
	colon = memchr(host.ptr, ':', host.len);
	if (colon)
		len = (size_t)(colon - host.ptr);
	return len == name.len && !strncasecmp(host.ptr, name.ptr, len);
}

const struct route *catalog_find_route(const struct catalog *catalog,
				       struct str host, struct str path)
{
	const struct route *best = NULL;

	for (size_t i = 0; i < catalog->nroutes; i++) {
		const struct route *route = &catalog->routes[i];

		if (!starts_with(path, route->prefix) ||
		    !host_matches(host, route->host))
			continue;
		if (!best || route->prefix.len > best->prefix.len)
			best = route;
	}
	return best;
}

const struct service *catalog_find_service(const struct catalog *catalog,
					   uint64_t key)
{
	for (size_t i = 0; i < catalog->nservices; i++)
		if (catalog->services[i].key == key)
			return &catalog->services[i];
	return NULL;
}
