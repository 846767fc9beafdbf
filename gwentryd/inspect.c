#include "inspect.h"

#include <stdlib.h>
#include <string.h>

#include "http/httpd.h"
#include "inspect_json.h"
#include "platform/job.h"
#include "sched/describe.h"
#include "sched/shard.h"

#define STATUS_OK 200
#define STATUS_NOT_FOUND 404
#define STATUS_BAD_METHOD 405

static const char jobs_prefix[] = "/jobs/";

/*
 * Returns the address at which operators reach the process that other processes
 * reach at peer, or NULL. All processes of a deployment have their ports in the
 * same order; the response of that process says who it is.
 */
static json_t *
address_for_operators(const inspect_t *inspect, const char *peer)
{
	int offset = gw_addr_port(&inspect->own) - gw_addr_port(&inspect->peer);
	char text[GW_ADDR_TEXT_BYTES];
	gw_addr_t addr;
	gw_err_t err;
	int port;

	if (gw_addr_parse(&addr, peer, &err) != 0)
		return json_null();
	port = gw_addr_port(&addr) + offset;
	if (port <= 0 || port > UINT16_MAX)
		return json_null();
	gw_addr_set_port(&addr, (uint16_t)port);
	return json_string(gw_addr_text(&addr, text));
}

/*
 * Returns the owner of a shard if this process owns it and has read its
 * records, else NULL.
 */
static owner_t *
loaded_owner(const inspect_t *inspect, const char *shard)
{
	owner_t *owner = owners_find(inspect->owners, shard);

	return owner != NULL && owner_is_loaded(owner) ? owner : NULL;
}

/*
 * Describes a shard: who owns it, and whether this process does.
 */
static json_t *
format_shard(const inspect_t *inspect, const char *shard)
{
	const char *owner = roles_owner(inspect->roles, shard);
	json_t *object = json_object();

	(void)json_object_set_new(object, "shard", json_string(shard));
	(void)json_object_set_new(
	    object, "owner", owner == NULL ? json_null() : json_string(owner));
	(void)json_object_set_new(object, "ask",
	    owner == NULL ? json_null()
			  : address_for_operators(inspect, owner));
	(void)json_object_set_new(object, "answered",
	    json_boolean(loaded_owner(inspect, shard) != NULL));
	return object;
}

/*
 * Returns the names of all shards of the configuration's pools, and of those
 * that this process owns (char *). The caller frees the array.
 */
static GPtrArray *
list_shards(const inspect_t *inspect)
{
	GPtrArray *names = g_ptr_array_new_with_free_func(g_free);
	g_autoptr(GPtrArray) owned = owners_shards(inspect->owners);
	const sched_config_t *config = view_config(inspect->view);
	uint32_t count = layout_shard_count(inspect->layout);
	char name[SCHED_NAME_BYTES];

	for (guint i = 0; config != NULL && i < config->pools->len; i++)
		for (uint32_t shard = 0; shard < count; shard++) {
			shard_format_name(
			    g_array_index(config->pools, sched_pool_config_t, i)
				.name,
			    shard, count, name);
			g_ptr_array_add(names, g_strdup(name));
		}
	for (guint i = 0; i < owned->len; i++)
		if (!g_ptr_array_find_with_equal_func(
			names, owned->pdata[i], g_str_equal, NULL))
			g_ptr_array_add(names, g_strdup(owned->pdata[i]));
	return names;
}

static json_t *
new_response(const inspect_t *inspect)
{
	const sched_config_t *config = view_config(inspect->view);
	json_t *response = json_object();
	char text[GW_ADDR_TEXT_BYTES];

	(void)json_object_set_new(response, "process",
	    json_string(gw_addr_text(&inspect->peer, text)));
	(void)json_object_set_new(response, "config_version",
	    json_integer(config == NULL ? 0 : (json_int_t)config->version));
	return response;
}

/*
 * Sends the response as JSON and releases it.
 */
static void
reply_json(h2o_req_t *req, int status, json_t *response)
{
	char *text = json_dumps(response, JSON_COMPACT);

	if (text == NULL)
		gw_http_reply_error(req, 500, "internal error", "not UTF-8");
	else
		gw_http_reply(
		    req, status, "application/json", text, strlen(text));
	free(text);
	json_decref(response);
}

/*
 * Returns the teams of a shard, or the one that is named.
 */
static json_t *
format_teams(const sched_pool_t *pool, const char *only)
{
	g_autoptr(GHashTable) views = sched_team_views_new();
	g_autoptr(GPtrArray) sorted = NULL;
	json_t *teams = json_array();

	sched_pool_add_team_views(pool, views);
	sorted = sched_team_views_sorted(views);
	for (guint i = 0; i < sorted->len; i++) {
		const sched_team_view_t *team = sorted->pdata[i];

		if (only == NULL || strcmp(team->name, only) == 0)
			(void)json_array_append_new(
			    teams, inspect_json_team(team));
	}
	return teams;
}

/*
 * GET /teams
 */
static void
reply_teams(const inspect_t *inspect, h2o_req_t *req)
{
	g_autoptr(GPtrArray) names = list_shards(inspect);
	json_t *response = new_response(inspect);
	json_t *shards = json_array(), *keys = json_object();

	for (guint i = 0; i < names->len; i++) {
		owner_t *owner = loaded_owner(inspect, names->pdata[i]);
		json_t *shard = format_shard(inspect, names->pdata[i]);

		if (owner != NULL)
			(void)json_object_set_new(shard, "teams",
			    format_teams(owner_pool(owner), NULL));
		(void)json_array_append_new(shards, shard);
	}
	(void)json_object_set_new(response, "shards", shards);
	(void)json_object_set_new(keys, "no-key",
	    json_integer((json_int_t)stats_keys_refused(
		inspect->stats, SCHED_KEY_MISSING)));
	(void)json_object_set_new(keys, "unknown-key",
	    json_integer((json_int_t)stats_keys_refused(
		inspect->stats, SCHED_KEY_UNKNOWN)));
	(void)json_object_set_new(response, "keys_refused", keys);
	reply_json(req, STATUS_OK, response);
}

/*
 * Adds the job as a shard has it to the response. Sets moved_to if another one
 * has it.
 */
static sched_job_place_t
add_job(json_t *response, owner_t *owner, const char *shard, const char *id,
    char moved_to[SCHED_NAME_BYTES])
{
	sched_job_view_t view;
	json_t *job;
	sched_job_place_t place =
	    sched_pool_describe_job(owner_pool(owner), id, &view, moved_to);

	if (place != SCHED_JOB_FOUND)
		return place;
	job = inspect_json_job(&view);
	(void)json_object_set_new(job, "shard", json_string(shard));
	(void)json_object_set_new(response, "job", job);
	if (view.team[0] != '\0')
		(void)json_object_set_new(response, "teams",
		    format_teams(owner_pool(owner), view.team));
	sched_job_view_clear(&view);
	return place;
}

/*
 * Returns whether the job belongs to the shard by its id.
 */
static bool
is_home(const inspect_t *inspect, const char *shard, const char *id)
{
	char pool[SCHED_NAME_BYTES];

	return shard_parse_name(shard, pool) ==
	    shard_of_id(id, layout_shard_count(inspect->layout));
}

/*
 * GET /jobs/ID: the job, if a shard that this process owns has it. If not, the
 * shards that may have it, by its id or by a note on its transfer.
 */
static void
reply_job(const inspect_t *inspect, h2o_req_t *req, const char *id)
{
	g_autoptr(GPtrArray) names = list_shards(inspect);
	json_t *response = new_response(inspect), *shards = json_array();
	bool is_known = layout_shard_count(inspect->layout) > 0;
	char moved_to[SCHED_NAME_BYTES] = "";
	bool found = false;

	for (guint i = 0; i < names->len && !found; i++) {
		owner_t *owner = loaded_owner(inspect, names->pdata[i]);

		found = owner != NULL &&
		    add_job(response, owner, names->pdata[i], id, moved_to) ==
			SCHED_JOB_FOUND;
	}
	for (guint i = 0; i < names->len && is_known && !found; i++)
		if (moved_to[0] != '\0' ? strcmp(names->pdata[i], moved_to) == 0
					: is_home(inspect, names->pdata[i], id))
			(void)json_array_append_new(
			    shards, format_shard(inspect, names->pdata[i]));
	(void)json_object_set_new(response, "shards", shards);
	if (moved_to[0] != '\0' && !found)
		(void)json_object_set_new(
		    response, "moved_to", json_string(moved_to));
	reply_json(req, found ? STATUS_OK : STATUS_NOT_FOUND, response);
}

bool
inspect_reply(const inspect_t *inspect, h2o_req_t *req)
{
	const h2o_iovec_t *path = &req->path_normalized;
	size_t prefix_bytes = strlen(jobs_prefix);
	bool is_teams = h2o_memis(path->base, path->len, H2O_STRLIT("/teams"));
	bool is_job = path->len > prefix_bytes &&
	    memcmp(path->base, jobs_prefix, prefix_bytes) == 0;
	char id[SCHED_JOB_ID_BYTES];

	if (!is_teams && !is_job)
		return false;
	if (!h2o_memis(req->method.base, req->method.len, H2O_STRLIT("GET")))
		gw_http_reply_error(
		    req, STATUS_BAD_METHOD, "method not allowed", "only GET");
	else if (is_teams)
		reply_teams(inspect, req);
	else if (plat_job_id_parse(
		     id, path->base + prefix_bytes, path->len - prefix_bytes))
		reply_job(inspect, req, id);
	else
		gw_http_reply_error(req, STATUS_NOT_FOUND, "not found",
		    "not the id of a job: 16 hexadecimal digits");
	return true;
}

void
inspect_append_metrics(const inspect_t *inspect, GString *text)
{
	g_autoptr(GHashTable) views = sched_team_views_new();
	g_autoptr(GPtrArray) owned = owners_shards(inspect->owners);
	g_autoptr(GPtrArray) sorted = NULL;

	for (guint i = 0; i < owned->len; i++) {
		owner_t *owner = loaded_owner(inspect, owned->pdata[i]);

		if (owner != NULL)
			sched_pool_add_team_views(owner_pool(owner), views);
	}
	sorted = sched_team_views_sorted(views);
	for (guint i = sorted->len; i > 0; i--)
		if (!((const sched_team_view_t *)sorted->pdata[i - 1])
			 ->is_configured)
			g_ptr_array_remove_index(sorted, i - 1);
	stats_append_teams(text, sorted);
}
