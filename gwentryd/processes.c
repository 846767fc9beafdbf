#include <stdio.h>
#include <string.h>

#include "gw/log.h"
#include "role.h"

/*
 * The processes that may own roles. Each announces what it has in a key under
 * its lease, among the roles, so that one follower reads both.
 */

#define ANNOUNCE_RETRY_MS 200

static void
on_announce_due(gw_timer_t *timer, void *arg)
{
	(void)timer;
	roles_announce(arg);
}

static void
on_announced(uint64_t revision, const store_page_t *current,
    const gw_err_t *err, void *arg)
{
	roles_t *roles = arg;

	(void)revision;
	(void)current;
	if (err == NULL || roles->released)
		return;
	gw_log(GW_EV_COMMIT_FAILED, "node=%s step=announce err=%s text=\"%s\"",
	    roles->node, gw_errc_name(err->code), err->text);
	if (err->code == GW_ERR_NOT_FOUND) {
		lease_mark_ended(roles->lease);
		return;
	}
	gw_timer_start(roles->rt, &roles->announce_timer,
	    ANNOUNCE_RETRY_MS * GW_US_PER_MS, on_announce_due, roles);
}

/*
 * Writes the key of this process under its lease, if it has one. After a
 * failure that leaves the lease in place the write is repeated.
 */
void
roles_announce(roles_t *roles)
{
	char key[ROLE_KEY_BYTES], value[32];
	store_write_t write = {
	    .key = key, .value = value, .lease_id = lease_id(roles->lease)};
	store_txn_t txn = {.writes = &write, .write_count = 1};

	if (write.lease_id == 0 || roles->released)
		return;
	(void)snprintf(key, sizeof(key), "%s%s%s", ROLE_PREFIX, PROCESS_PREFIX,
	    roles->node);
	(void)snprintf(value, sizeof(value), "%u %u",
	    roles->process.cpu_permille, roles->process.link_kbps);
	write.size_bytes = strlen(value);
	store_txn(roles->store, &txn, on_announced, roles);
}

static int
parse_process(const char *text, sched_process_t *out)
{
	g_auto(GStrv) words = g_strsplit(text, " ", -1);
	guint64 cpu_permille, link_kbps;

	if (g_strv_length(words) != 2 ||
	    !g_ascii_string_to_unsigned(
		words[0], 10, 0, UINT32_MAX, &cpu_permille, NULL) ||
	    !g_ascii_string_to_unsigned(
		words[1], 10, 0, UINT32_MAX, &link_kbps, NULL))
		return -1;
	out->cpu_permille = (uint32_t)cpu_permille;
	out->link_kbps = (uint32_t)link_kbps;
	return 0;
}

/*
 * Notes that a lease has ended, since the announcement under it is gone.
 */
static void
note_lease_ended(roles_t *roles, uint64_t lease_id)
{
	GHashTableIter iter;
	role_t *role;

	g_hash_table_iter_init(&iter, roles->by_name);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&role))
		if (role->owner_lease_id == lease_id)
			role->owner_lease_ended_us = gw_rt_now_us(roles->rt);
}

/*
 * Applies the key of a process.
 */
void
roles_apply_process(roles_t *roles, const store_item_t *item)
{
	present_process_t process = {.lease_id = item->lease_id}, *known;

	known = g_hash_table_lookup(roles->processes, item->key);
	if (known != NULL && known->lease_id != 0 &&
	    (item->removed || known->lease_id != item->lease_id))
		note_lease_ended(roles, known->lease_id);
	g_hash_table_remove(roles->processes, item->key);
	if (item->removed)
		return;
	if (parse_process(item->value, &process.process) != 0) {
		gw_log(GW_EV_ENTRY_IGNORED,
		    "key=%s text=\"not the CPU and link of a process\"",
		    item->key);
		return;
	}
	known = g_new(present_process_t, 1);
	*known = process;
	g_hash_table_insert(roles->processes, g_strdup(item->key), known);
}

/*
 * Returns whether a process has announced itself under this lease.
 */
bool
roles_lease_is_present(const roles_t *roles, uint64_t lease_id)
{
	const present_process_t *process;
	GHashTableIter iter;

	g_hash_table_iter_init(&iter, roles->processes);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&process))
		if (process->lease_id == lease_id)
			return true;
	return false;
}

static uint32_t
count_claimable(const roles_t *roles)
{
	GHashTableIter iter;
	role_t *role;
	uint32_t count = 0;

	g_hash_table_iter_init(&iter, roles->by_name);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&role))
		count += role->claim_enabled;
	return count;
}

/*
 * Returns what a process should have in order to claim at once.
 */
sched_process_t
roles_claim_reference(const roles_t *roles)
{
	g_autoptr(GArray) present =
	    g_array_new(FALSE, FALSE, sizeof(sched_process_t));
	present_process_t *process;
	GHashTableIter iter;

	g_hash_table_iter_init(&iter, roles->processes);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&process))
		g_array_append_val(present, process->process);
	return sched_claim_reference(
	    (const sched_process_t *)(void *)present->data, present->len,
	    count_claimable(roles));
}
