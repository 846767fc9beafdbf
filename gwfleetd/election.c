#include <string.h>

#include <jansson.h>

#include "fleet_state.h"
#include "gw/log.h"
#include "planner.h"

/* Spread of the first attempts after a start, so that they rarely collide. */
#define START_SPREAD_MS 200

/*
 * Starts as a follower that looks at the election record soon.
 */
void
election_init(
    election_t *election, const fleet_config_t *config, uint64_t now_us)
{
	memset(election, 0, sizeof(*election));
	(void)g_snprintf(election->key, sizeof(election->key),
	    "/gw/dc/%s/planner", config->data_centre);
	election->next_us =
	    now_us + config->boot_id % START_SPREAD_MS * GW_US_PER_MS;
}

/*
 * Frees what the election holds.
 */
void
election_clear(election_t *election)
{
	g_clear_pointer(&election->claim, g_free);
}

/*
 * Tells whether this process is the planner now, by its own lease.
 */
bool
election_held(const fleet_t *fleet)
{
	return fleet->election.phase == ELECTION_HELD &&
	    member_lease_valid(&fleet->election.lease, fleet_now_us(fleet));
}

static void
attempt_later(fleet_t *fleet, uint64_t delay_ms)
{
	fleet->election.phase = ELECTION_IDLE;
	fleet->election.next_us = fleet_now_us(fleet) + delay_ms * GW_US_PER_MS;
}

static void
on_revoked(fleet_t *fleet, const fleet_msg_t *msg, void *arg)
{
	(void)fleet;
	(void)msg;
	(void)arg;
}

/*
 * Gives a lease back. A claim that is still on its way fails with it.
 */
static void
give_back(fleet_t *fleet, uint64_t lease_id)
{
	uint64_t call;

	if (lease_id == 0)
		return;
	call = calls_add(&fleet->calls, on_revoked, NULL);
	fleet->ops->lease_revoke(fleet->ctx, call, lease_id);
}

static void
win(fleet_t *fleet, uint64_t epoch)
{
	election_t *election = &fleet->election;

	election->phase = ELECTION_HELD;
	election->lease.epoch = epoch;
	election->lease.elected_us = fleet_now_us(fleet);
	election->renewing = false;
	election->next_us =
	    election->sent_us + GW_LEASE_RENEW_MS * GW_US_PER_MS;
	if (!member_lease_valid(&election->lease, fleet_now_us(fleet))) {
		election_step_down(fleet, "the lease ended in the election");
		return;
	}
	fleet->metrics.elections->value++;
	gw_log(GW_EV_ELECTED, "epoch=%" G_GUINT64_FORMAT, epoch);
	planner_begin(fleet);
}

/*
 * Takes the election record after a claim of unknown outcome.
 */
static void
on_checked(fleet_t *fleet, const fleet_msg_t *msg, void *arg)
{
	election_t *election = arg;

	if (msg->err == NULL &&
	    g_strcmp0(msg->value->value, election->claim) == 0) {
		win(fleet, msg->value->create_revision);
		return;
	}
	give_back(fleet, election->lease_id);
	attempt_later(fleet, ELECTION_RETRY_MS);
}

static void
on_claimed(fleet_t *fleet, const fleet_msg_t *msg, void *arg)
{
	election_t *election = arg;

	if (msg->err == NULL) {
		win(fleet, msg->number);
		return;
	}
	election->phase = ELECTION_CHECKING;
	election->call = calls_add(&fleet->calls, on_checked, election);
	fleet->metrics.store_reads->value++;
	fleet->ops->get(fleet->ctx, election->call, election->key);
}

/*
 * The claim names the lease, so that its holder can revoke it after a restart
 * of the attempt.
 */
static char *
claim_text(const fleet_t *fleet)
{
	json_t *claim;
	char boot[24], *text;

	(void)g_snprintf(boot, sizeof(boot), "%016" G_GINT64_MODIFIER "x",
	    fleet->config.boot_id);
	claim = json_pack("{s:s, s:s, s:I, s:I}", "node_id",
	    fleet->config.node_id, "boot_id", boot, "attempt",
	    (json_int_t)fleet->election.attempts, "lease_id",
	    (json_int_t)fleet->election.lease_id);
	text = json_dumps(claim, JSON_COMPACT | JSON_SORT_KEYS);
	json_decref(claim);
	return text;
}

static void
on_leased(fleet_t *fleet, const fleet_msg_t *msg, void *arg)
{
	election_t *election = arg;

	if (msg->err != NULL) {
		attempt_later(fleet, ELECTION_RETRY_MS);
		return;
	}
	election->lease_id = msg->number;
	election->lease.ttl_ms = GW_LEASE_TTL_MS;
	election->lease.renew_sent_us = election->sent_us;
	election->attempts++;
	g_free(election->claim);
	election->claim = claim_text(fleet);
	election->phase = ELECTION_CLAIMING;
	election->call = calls_add(&fleet->calls, on_claimed, election);
	fleet->metrics.store_writes->value++;
	fleet->ops->put_if(fleet->ctx, election->call, election->key, 0,
	    election->claim, election->lease_id);
}

/*
 * Revokes the lease of an earlier term of this very process, which the record
 * still names.
 */
static void
clear_own_record(fleet_t *fleet, const char *text)
{
	json_t *claim = json_loads(text, 0, NULL);
	const char *boot = json_string_value(json_object_get(claim, "boot_id"));
	char own[24];

	(void)g_snprintf(own, sizeof(own), "%016" G_GINT64_MODIFIER "x",
	    fleet->config.boot_id);
	if (g_strcmp0(boot, own) == 0)
		give_back(fleet,
		    (uint64_t)json_integer_value(
			json_object_get(claim, "lease_id")));
	json_decref(claim);
}

static void
on_looked(fleet_t *fleet, const fleet_msg_t *msg, void *arg)
{
	election_t *election = arg;

	if (msg->err != NULL) {
		attempt_later(fleet, ELECTION_RETRY_MS);
		return;
	}
	if (msg->value->mod_revision != 0) {
		clear_own_record(fleet, msg->value->value);
		attempt_later(fleet, ELECTION_RETRY_MS);
		return;
	}
	election->phase = ELECTION_LEASING;
	election->sent_us = fleet_now_us(fleet);
	election->call = calls_add(&fleet->calls, on_leased, election);
	fleet->metrics.store_writes->value++;
	fleet->ops->lease_grant(
	    fleet->ctx, election->call, GW_LEASE_TTL_MS / 1000);
}

/*
 * Reads the election record, unless the planner was heard of lately: its
 * PeerState saves the store these reads.
 */
static void
attempt(fleet_t *fleet)
{
	election_t *election = &fleet->election;
	uint64_t now_us = fleet_now_us(fleet);

	if (now_us < election->next_us || fleet->stopping)
		return;
	if (fleet->planner_seen_us != 0 &&
	    now_us <
		fleet->planner_seen_us + ELECTION_SILENCE_MS * GW_US_PER_MS)
		return;
	election->phase = ELECTION_LOOKING;
	election->call = calls_add(&fleet->calls, on_looked, election);
	fleet->metrics.store_reads->value++;
	fleet->ops->get(fleet->ctx, election->call, election->key);
}

static void
on_renewed(fleet_t *fleet, const fleet_msg_t *msg, void *arg)
{
	election_t *election = arg;

	election->renewing = false;
	if (msg->err != NULL && msg->err->code == GW_ERR_NOT_FOUND) {
		election_step_down(fleet, "the store no longer has the lease");
		return;
	}
	if (msg->err != NULL) {
		election->next_us = fleet_now_us(fleet) +
		    ELECTION_RENEW_RETRY_MS * GW_US_PER_MS;
		gw_log(GW_EV_RENEW_FAILED, "err=%s text=\"%s\"",
		    gw_errc_name(msg->err->code), msg->err->text);
		return;
	}
	election->lease.renew_sent_us = election->sent_us;
	election->next_us =
	    election->sent_us + GW_LEASE_RENEW_MS * GW_US_PER_MS;
}

static void
renew(fleet_t *fleet)
{
	election_t *election = &fleet->election;

	if (election->renewing || fleet_now_us(fleet) < election->next_us)
		return;
	election->renewing = true;
	election->sent_us = fleet_now_us(fleet);
	election->call = calls_add(&fleet->calls, on_renewed, election);
	fleet->metrics.store_writes->value++;
	fleet->ops->lease_renew(fleet->ctx, election->call, election->lease_id);
}

/*
 * Begins an attempt or a renewal that is due.
 */
void
election_tick(fleet_t *fleet)
{
	if (fleet->election.phase == ELECTION_IDLE)
		attempt(fleet);
	else if (fleet->election.phase == ELECTION_HELD)
		renew(fleet);
}

/*
 * Ends the term: the lease is given back and its answers are ignored.
 */
void
election_step_down(fleet_t *fleet, const char *reason)
{
	election_t *election = &fleet->election;

	if (election->phase != ELECTION_HELD)
		return;
	gw_log(GW_EV_STEP_DOWN, "epoch=%" G_GUINT64_FORMAT " reason=\"%s\"",
	    election->lease.epoch, reason);
	fleet->metrics.step_downs->value++;
	calls_forget(&fleet->calls, election->call);
	give_back(fleet, election->lease_id);
	election->lease_id = 0;
	election->lease.epoch = 0;
	planner_end(fleet);
	attempt_later(fleet, ELECTION_RETRY_MS);
}
