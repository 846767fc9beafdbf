#include <string.h>

#include "fleet_state.h"
#include "gw/log.h"
#include "placement.h"
#include "router.h"

/*
 * Asks for the list when it is due.
 */
void
placement_tick(fleet_t *fleet)
{
	uint64_t now_us = fleet_now_us(fleet);
	uint64_t wait_ms =
	    fleet->list_waits ? PLACEMENT_LIST_TIMEOUT_MS : PLACEMENT_LIST_MS;

	if (fleet->list_asked_us != 0 &&
	    now_us < fleet->list_asked_us + wait_ms * GW_US_PER_MS)
		return;
	fleet->list_asked_us = now_us;
	fleet->list_waits = true;
	fleet->ops->list(fleet->ctx);
}

/*
 * Takes the platform's list, unless it is older than the one before.
 */
void
placement_take_list(fleet_t *fleet, const fleet_msg_t *msg)
{
	fleet->list_waits = false;
	if (msg->err != NULL) {
		gw_log(GW_EV_PLATFORM_DOWN, "err=%s text=\"%s\"",
		    gw_errc_name(msg->err->code), msg->err->text);
		return;
	}
	fleet->list_taken_us = fleet_now_us(fleet);
	if (msg->list == NULL || msg->number < fleet->list_as_of)
		return;
	fleet->list_as_of = msg->number;
	fleet->dirty = true;
	g_ptr_array_set_size(fleet->list, 0);
	for (guint i = 0; i < msg->list->len; i++)
		g_ptr_array_add(fleet->list,
		    g_memdup2(
			msg->list->pdata[i], sizeof(platform_instance_t)));
}

/*
 * Returns the entry of an instance in the platform's last list, or NULL.
 */
const platform_instance_t *
placement_listed(const fleet_t *fleet, const char *instance_id)
{
	for (guint i = 0; i < fleet->list->len; i++) {
		const platform_instance_t *listed = fleet->list->pdata[i];

		if (strcmp(listed->id, instance_id) == 0)
			return listed;
	}
	return NULL;
}

static uint32_t
target_count(const fleet_t *fleet, const manifest_pool_t *pool)
{
	const manifest_site_t *site =
	    manifest_find_site(pool, fleet->config.data_centre);

	return site == NULL ? 0 : site->instances;
}

/*
 * Returns the number of instances that the manifest gives the pool here; 0 for
 * a pool that it does not name.
 */
uint32_t
placement_target(const fleet_t *fleet, const char *pool)
{
	const manifest_pool_t *found = NULL;

	if (fleet->generation.manifest != NULL)
		found = manifest_find_pool(fleet->generation.manifest, pool);
	return found == NULL ? 0 : target_count(fleet, found);
}

/*
 * Chooses the pool for an instance in the failure domain: among those below
 * their number, the one that has the smallest part of it in this domain, then
 * the one with the smallest part filled. Returns NULL when all are full.
 */
const manifest_pool_t *
placement_choose_pool(
    const fleet_t *fleet, const census_t *census, const char *domain)
{
	const manifest_t *manifest = fleet->generation.manifest;
	const manifest_pool_t *best = NULL;
	double best_domain = 0, best_filled = 0;

	if (manifest == NULL)
		return NULL;
	for (guint i = 0; i < manifest->pools->len; i++) {
		const manifest_pool_t *pool =
		    &g_array_index(manifest->pools, manifest_pool_t, i);
		uint32_t target = target_count(fleet, pool);
		uint32_t have = census_home(census, pool->name);
		double in_domain, filled;

		if (have >= target)
			continue;
		in_domain =
		    (double)census_domain(census, pool->name, domain) / target;
		filled = (double)have / target;
		if (best != NULL &&
		    (in_domain > best_domain ||
			(in_domain == best_domain && filled >= best_filled)))
			continue;
		best = pool;
		best_domain = in_domain;
		best_filled = filled;
	}
	return best;
}

/*
 * Adds a live instance to the pool that needs it. No router knows it, so it is
 * active at once. The address of another entry is not taken: that one's end is
 * known only when the platform reports it, and all routers must know.
 */
static void
add_instance(fleet_t *fleet, member_table_t *draft, census_t *census,
    const platform_instance_t *listed)
{
	const manifest_pool_t *pool =
	    placement_choose_pool(fleet, census, listed->failure_domain);
	member_instance_t added = {.state = MEMBER_ACTIVE};
	gw_err_t err;

	if (pool == NULL)
		return;
	g_strlcpy(added.id, listed->id, sizeof(added.id));
	g_strlcpy(
	    added.incarnation, listed->incarnation, sizeof(added.incarnation));
	g_strlcpy(added.address, listed->address, sizeof(added.address));
	added.port = listed->port;
	g_strlcpy(added.failure_domain, listed->failure_domain,
	    sizeof(added.failure_domain));
	g_strlcpy(added.pool, pool->name, sizeof(added.pool));
	g_strlcpy(added.home_pool, pool->name, sizeof(added.home_pool));
	added.slots = pool->slots_per_instance == 0 ? PLACEMENT_SLOTS
						    : pool->slots_per_instance;
	if (member_table_add(draft, &added, &err) == NULL) {
		gw_log(GW_EV_PLATFORM_WAITS, "instance=%s text=\"%s\"",
		    listed->id, err.text);
		return;
	}
	census_add(census, added.home_pool, added.failure_domain, 1);
	decision_note(fleet, "place", added.id, added.pool,
	    "a new instance; the pool is below its number");
}

static void
set_state(fleet_t *fleet, member_table_t *draft, member_instance_t *instance,
    member_state_t state, const char *reason)
{
	draft->version++;
	instance->state = state;
	instance->state_version = draft->version;
	instance->purpose = MEMBER_PURPOSE_NONE;
	instance->target_pool[0] = '\0';
	decision_note(fleet, member_state_name(state), instance->id,
	    instance->pool, reason);
}

/*
 * A new incarnation that nobody asked for ends the old one: the instance is
 * out of service, so that every router gives up its old grants, and returns
 * after a check.
 */
static void
renew_instance(fleet_t *fleet, member_table_t *draft,
    member_instance_t *instance, const platform_instance_t *listed)
{
	g_strlcpy(instance->incarnation, listed->incarnation,
	    sizeof(instance->incarnation));
	g_strlcpy(
	    instance->address, listed->address, sizeof(instance->address));
	instance->port = listed->port;
	set_state(fleet, draft, instance, MEMBER_CHECKING,
	    "a new incarnation that was not asked for");
}

/*
 * Takes the platform's word about an instance that the table lists.
 */
static void
update_instance(fleet_t *fleet, member_table_t *draft,
    member_instance_t *instance, const platform_instance_t *listed)
{
	bool same = strcmp(instance->incarnation, listed->incarnation) == 0;

	if (listed->state == PLATFORM_ENDED) {
		if (instance->state == MEMBER_ENDED)
			return;
		member_mark_ended(draft, instance);
		decision_note(fleet, "ended", instance->id, instance->pool,
		    "the platform reports that it has ended");
	} else if (!same && instance->state != MEMBER_REBOOTING) {
		renew_instance(fleet, draft, instance, listed);
	} else if (listed->state == PLATFORM_LEAVING &&
	    (instance->state == MEMBER_ACTIVE ||
		(instance->state == MEMBER_LEAVING &&
		    instance->purpose != MEMBER_PURPOSE_NONE))) {
		set_state(fleet, draft, instance, MEMBER_LEAVING,
		    "the platform reports that it is leaving");
	} else if (listed->state == PLATFORM_LIVE &&
	    instance->state == MEMBER_DRAINED &&
	    instance->purpose == MEMBER_PURPOSE_NONE) {
		set_state(fleet, draft, instance, MEMBER_CHECKING,
		    "the platform no longer reports that it is leaving");
	}
}

/*
 * Ends the routers whose entry instance has ended.
 */
static void
end_routers(fleet_t *fleet, const platform_instance_t *listed)
{
	for (guint i = 0; i < fleet->routers->len; i++) {
		router_t *router = fleet->routers->pdata[i];

		if (strcmp(router->contact.node_id, listed->id) == 0)
			router_end(fleet, router, false,
			    "the platform reports that its instance has ended");
	}
}

/*
 * Brings the draft in line with the platform's last list. An instance that is
 * missing from the list stays as it is.
 */
void
placement_update(fleet_t *fleet, member_table_t *draft)
{
	census_t *census = census_new(draft);

	for (guint i = 0; i < fleet->list->len; i++) {
		const platform_instance_t *listed = fleet->list->pdata[i];
		member_instance_t *instance;

		if (strcmp(listed->data_centre, fleet->config.data_centre) != 0)
			continue;
		instance = member_table_find(draft, listed->id);
		if (listed->entry && listed->state == PLATFORM_ENDED)
			end_routers(fleet, listed);
		else if (listed->entry)
			continue;
		else if (instance != NULL)
			update_instance(fleet, draft, instance, listed);
		else if (listed->state == PLATFORM_LIVE)
			add_instance(fleet, draft, census, listed);
	}
	census_free(census);
}
