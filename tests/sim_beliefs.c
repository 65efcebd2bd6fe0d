#include "sim_beliefs.h"

#include <stdio.h>

#include "../directory.h"
#include "sim_internal.h"

static const struct store_key *find_entry(const struct sim *sim, struct str id)
{
	for (int i = 0; i < sim->store->nkeys; i++) {
		const struct store_key *key = &sim->store->keys[i];

		if (!key->deleted && !strncmp(key->key, "all/t/", 6) &&
		    str_eq(str_of(key->key + 6), id))
			return key;
	}
	return NULL;
}

static bool is_leaving(const struct store_key *entry)
{
	int leaving = 0;

	sscanf(entry->value, "%*s %*s %*d %d", &leaving);
	return leaving;
}

/* What a node holds of a service, against the store. */
static const char *check_service(const struct sim *sim,
				 const struct directory *dir, uint64_t service)
{
	struct live_target *target =
		balancer_first_target(dir->balancer, service);

	for (; target; target = target->next) {
		const struct store_key *entry = find_entry(sim, target->id);

		if (!target->published)
			continue;
		if (!entry)
			return "a node uses a target whose entry is gone";
		if (is_leaving(entry) != (target->leaving_at > 0))
			return "a node does not know that a target leaves";
	}
	return NULL;
}

static bool holds_key(const struct directory *dir, const struct store_key *key)
{
	const struct cached_key *cached = apr_hash_get(
		dir->keys, key->key, (apr_ssize_t)strlen(key->key));

	if (key->deleted)
		return !cached || cached->deleted;
	return cached && !cached->deleted && cached->revision == key->revision;
}

static const char *check_node(const struct sim *sim,
			      const struct directory *dir)
{
	const char *wrong = check_service(sim, dir, str_hash(STR("single")));

	for (int i = 0; !wrong && i < SIM_SHARDS; i++) {
		char name[2][16];

		snprintf(name[0], sizeof(name[0]), "s%d", i);
		snprintf(name[1], sizeof(name[1]), "r%d", i);
		wrong = check_service(sim, dir, str_hash(str_of(name[0])));
		if (!wrong)
			wrong = check_service(sim, dir,
					      str_hash(str_of(name[1])));
	}
	for (int i = 0; !wrong && i < sim->store->nkeys; i++)
		if (!holds_key(dir, &sim->store->keys[i]))
			wrong = sim->store->keys[i].deleted
					? "a node holds a key that is gone"
					: "a node lacks a change of a key";
	for (int i = 0; !wrong && i < SIM_DOMAINS; i++) {
		char name[16];

		snprintf(name, sizeof(name), "d%d", i);
		if (balancer_is_out(dir->balancer, str_hash(str_of(name))) !=
		    (sim->out_since[i] > 0))
			wrong = "a node is wrong about a domain taken out";
	}
	return wrong;
}

const char *sim_wrong_belief(const struct sim *sim)
{
	const char *wrong = NULL;

	for (int i = 0; !wrong && i < sim->nnodes; i++)
		if (sim->nodes[i].up)
			wrong = check_node(sim,
					   tier_directory(sim->nodes[i].tier));
	return wrong;
}
