#include <string.h>

#include <jansson.h>

#include "fleet_state.h"
#include "gw/log.h"
#include "planner.h"

/* Jitter of the first attempt, so that simultaneous starts rarely collide. */
#define START_JITTER_MS 200

/*
 * Initializes the election; the first attempt follows within START_JITTER_MS.
 */
void
election_init(
    election_t *election, const fleet_config_t *config, uint64_t now_us)
{
	memset(election, 0, sizeof(*election));
	(void)g_snprintf(election->key, sizeof(election->key),
	    "/gw/dc/%s/planner", config->data_centre);
	election->next_us =
	    now_us + config->boot_id % START_JITTER_MS * GW_US_PER_MS;
}

/*
 * Frees the claim.
 */
void
election_clear(election_t *election)
{
	g_clear_pointer(&election->claim, g_free);
}

/*
 * Returns whether this process is the planner and its lease is still valid.
 */
bool
election_held(const fleet_t *fleet)
{
	return fleet->election.phase == ELECTION_HELD &&
	    member_lease_valid(&fleet->election.lease, fleet_now_us(fleet));
}

static void
schedule_attempt(fleet_t *fleet, uint64_t delay_ms)
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
 * Revokes a lease. A pending claim that is bound to it then fails.
 */
static void
revoke_lease(fleet_t *fleet, uint64_t lease_id)
{
	uint64_t call;

	if (lease_id == 0)
		return;
	call = calls_add(&fleet->calls, on_revoked, NULL);
	fleet->ops->lease_revoke(fleet->ctx, call, lease_id);
}

static void
begin_term(fleet_t *fleet, uint64_t epoch)
{
	election_t *election = &fleet->election;

	election->phase = ELECTION_HELD;
	election->lease.epoch = epoch;
	election->lease.elected_us = fleet_now_us(fleet);
	election->renewing = false;
	election->next_us =
	    election->sent_us + GW_LEASE_RENEW_MS * GW_US_PER_MS;
	if (!member_lease_valid(&election->lease, fleet_now_us(fleet))) {
		election_step_down(
		    fleet, "the lease expired during the election");
		return;
	}
	fleet->metrics.elections->value++;
	gw_log(GW_EV_ELECTED, "epoch=%" G_GUINT64_FORMAT, epoch);
	planner_begin(fleet);
}

/*
 * Handles the election record, read after a claim without a certain outcome.
 */
static void
on_claim_read(fleet_t *fleet, const fleet_msg_t *msg, void *arg)
{
	election_t *election = arg;

	if (msg->err == NULL &&
	    g_strcmp0(msg->value->value, election->claim) == 0) {
		begin_term(fleet, msg->value->create_revision);
		return;
	}
	revoke_lease(fleet, election->lease_id);
	schedule_attempt(fleet, ELECTION_RETRY_MS);
}

static void
on_claimed(fleet_t *fleet, const fleet_msg_t *msg, void *arg)
{
	election_t *election = arg;

	if (msg->err == NULL) {
		begin_term(fleet, msg->number);
		return;
	}
	election->phase = ELECTION_RESOLVING;
	election->call = calls_add(&fleet->calls, on_claim_read, election);
	fleet->metrics.store_reads->value++;
	fleet->ops->get(fleet->ctx, election->call, election->key);
}

/*
 * Encodes the claim. It contains the lease id, so that this process can revoke
 * the lease if it finds the claim in a later attempt.
 */
static char *
encode_claim(const fleet_t *fleet)
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
		schedule_attempt(fleet, ELECTION_RETRY_MS);
		return;
	}
	election->lease_id = msg->number;
	election->lease.ttl_ms = GW_LEASE_TTL_MS;
	election->lease.renew_sent_us = election->sent_us;
	election->attempts++;
	g_free(election->claim);
	election->claim = encode_claim(fleet);
	election->phase = ELECTION_CLAIMING;
	election->call = calls_add(&fleet->calls, on_claimed, election);
	fleet->metrics.store_writes->value++;
	fleet->ops->put_if(fleet->ctx, election->call, election->key, 0,
	    election->claim, election->lease_id);
}

/*
 * Revokes the lease in the election record if this process wrote the record, in
 * an earlier attempt or term.
 */
static void
revoke_own_claim(fleet_t *fleet, const char *text)
{
	json_t *claim = json_loads(text, 0, NULL);
	const char *boot = json_string_value(json_object_get(claim, "boot_id"));
	char own[24];

	(void)g_snprintf(own, sizeof(own), "%016" G_GINT64_MODIFIER "x",
	    fleet->config.boot_id);
	if (g_strcmp0(boot, own) == 0)
		revoke_lease(fleet,
		    (uint64_t)json_integer_value(
			json_object_get(claim, "lease_id")));
	json_decref(claim);
}

static void
on_record_read(fleet_t *fleet, const fleet_msg_t *msg, void *arg)
{
	election_t *election = arg;

	if (msg->err != NULL) {
		schedule_attempt(fleet, ELECTION_RETRY_MS);
		return;
	}
	if (msg->value->mod_revision != 0) {
		revoke_own_claim(fleet, msg->value->value);
		schedule_attempt(fleet, ELECTION_RETRY_MS);
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
 * Reads the election record, unless a PeerState of the planner arrived within
 * ELECTION_PLANNER_TIMEOUT_MS; this spares the store the reads.
 */
static void
begin_attempt(fleet_t *fleet)
{
	election_t *election = &fleet->election;
	uint64_t now_us = fleet_now_us(fleet);

	if (now_us < election->next_us || fleet->stopping)
		return;
	if (fleet->planner_seen_us != 0 &&
	    now_us < fleet->planner_seen_us +
		    ELECTION_PLANNER_TIMEOUT_MS * GW_US_PER_MS)
		return;
	election->phase = ELECTION_READING;
	election->call = calls_add(&fleet->calls, on_record_read, election);
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
begin_renewal(fleet_t *fleet)
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
		begin_attempt(fleet);
	else if (fleet->election.phase == ELECTION_HELD)
		begin_renewal(fleet);
}

/*
 * Ends the term: revokes the lease and ignores replies to pending calls about
 * it.
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
	calls_cancel(&fleet->calls, election->call);
	revoke_lease(fleet, election->lease_id);
	election->lease_id = 0;
	election->lease.epoch = 0;
	planner_end(fleet);
	schedule_attempt(fleet, ELECTION_RETRY_MS);
}
