#include "fingerprint.h"

#include <apr_sha1.h>

static void hash_part(struct apr_sha1_ctx_t *sha, struct str part)
{
	uint64_t len = part.len;

	/* The length delimits the part from the next one. */
	apr_sha1_update_binary(sha, (const unsigned char *)&len, sizeof(len));
	apr_sha1_update_binary(sha, (const unsigned char *)part.ptr,
			       (unsigned int)part.len);
}

/*
 * The hash must be cryptographic: otherwise a caller could craft a request with
 * the fingerprint of another caller's request, which would then be mistaken for
 * the crafted one.
 */
struct fingerprint fingerprint_of(const struct str *parts, size_t count,
				  struct str caller)
{
	unsigned char digest[APR_SHA1_DIGESTSIZE];
	struct fingerprint fingerprint;
	struct apr_sha1_ctx_t sha;

	apr_sha1_init(&sha);
	for (size_t i = 0; i < count; i++)
		hash_part(&sha, parts[i]);
	apr_sha1_final(digest, &sha);
	memcpy(fingerprint.content, digest, sizeof(fingerprint.content));
	fingerprint.caller = str_hash(caller);
	return fingerprint;
}
