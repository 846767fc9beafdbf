#include "soak.h"

#define CLIENTS 48
#define DEADLINE_MS 3000
/* Responses are under way when the deadline ends. */
#define TIMEOUT_MS 3200
#define PROBE_MS 1000
#define MISSES_MAX 2

/* A client with its connection, and the request in progress. */
typedef struct {
	soak_t *soak;
	caller_t *caller;
	entry_t *entry; /* of the connection */
	char path[40];
	uint64_t sent_ms;
	caller_done_t done;
	void *arg;
} client_t;

static client_t clients[CLIENTS];
static gw_timer_t probe_timer;

static bool
is_in_rotation(const entry_t *entry)
{
	return entry->misses < MISSES_MAX;
}

/*
 * Draws the entry process of a new connection, as the platform's ingress does.
 */
static entry_t *
draw_entry(soak_t *soak)
{
	uint32_t ready = 0, at;

	for (uint32_t i = 0; i < soak->entry_count; i++)
		ready += is_in_rotation(&soak->entries[i]);
	at = (uint32_t)g_random_int_range(
	    0, (gint32)(ready > 0 ? ready : soak->entry_count));
	for (uint32_t i = 0; i < soak->entry_count; i++)
		if ((ready == 0 || is_in_rotation(&soak->entries[i])) &&
		    at-- == 0)
			return &soak->entries[i];
	return &soak->entries[0];
}

static void
on_probe_result(
    const gw_http_response_t *response, const gw_err_t *err, void *arg)
{
	entry_t *entry = arg;

	(void)err;
	if (response != NULL && response->status == 200)
		entry->misses = 0;
	else
		entry->misses++;
}

static void
on_probe_due(gw_timer_t *timer, void *arg)
{
	soak_t *soak = arg;

	for (uint32_t i = 0; i < soak->entry_count; i++)
		(void)gw_httpc_call(soak->entries[i].ready, "GET", "/ready",
		    NULL, PROBE_MS, on_probe_result, &soak->entries[i]);
	gw_timer_start(
	    soak->rt, timer, PROBE_MS * GW_US_PER_MS, on_probe_due, soak);
}

/*
 * Returns whether no disruption but planned work was near the request.
 */
static bool
was_undisturbed(const client_t *client)
{
	const soak_t *soak = client->soak;

	return soak->disruptions == 0 &&
	    soak->unplanned_end_ms + CONTACT_MS <= client->sent_ms;
}

static bool
was_planned(const client_t *client, uint64_t now_ms)
{
	return now_ms <= client->entry->planned_ms ||
	    now_ms <= client->soak->config_until_ms;
}

/*
 * Judges a request whose connection ended without a whole response. Around
 * planned work it may do so within LOSS_SLACK_MS; without any it may not.
 */
static void
judge_unanswered(const client_t *client, uint64_t waited_ms)
{
	soak_t *soak = client->soak;
	uint64_t now_ms = soak_now_ms();
	bool is_planned = was_planned(client, now_ms);

	soak->unanswered++;
	if (!was_undisturbed(client))
		return;
	soak->longest_unanswered_ms =
	    MAX(soak->longest_unanswered_ms, waited_ms);
	if (is_planned && waited_ms <= LOSS_SLACK_MS)
		return;
	soak_violation(soak, client->path,
	    "LOST %s entry=%u ended without an answer after %" G_GUINT64_FORMAT
	    " ms, planned work %s",
	    client->path, client->entry->number, waited_ms,
	    is_planned ? "near" : "not near");
}

static void
on_result(const caller_result_t *result, void *arg)
{
	client_t *client = arg;
	soak_t *soak = client->soak;

	switch (result->outcome) {
	case CALLER_ANSWERED:
		soak->answered++;
		break;
	case CALLER_NOT_SENT:
		soak->not_sent++;
		break;
	case CALLER_UNANSWERED:
		judge_unanswered(client,
		    gw_elapsed_us(result->ended_us, result->sent_us) /
			GW_US_PER_MS);
		break;
	default:
		soak->timed_out++;
		if (was_undisturbed(client) && soak->cpu_percent == 100)
			soak_violation(soak, client->path,
			    "LOST %s entry=%u has no answer within its "
			    "deadline",
			    client->path, client->entry->number);
	}
	client->done(result, client->arg);
}

static client_t *
draw_idle(void)
{
	uint32_t from = (uint32_t)g_random_int_range(0, CLIENTS);

	for (uint32_t i = 0; i < CLIENTS; i++) {
		client_t *client = &clients[(from + i) % CLIENTS];

		if (!caller_is_busy(client->caller))
			return client;
	}
	return NULL;
}

/*
 * Sends a request from a client that has none in progress, on its connection.
 * Returns false if all are busy.
 */
bool
clients_send(soak_t *soak, const char *method, const char *path,
    const char *key, const char *body, caller_done_t done, void *arg)
{
	client_t *client = draw_idle();
	caller_request_t request = {.method = method,
	    .path = path,
	    .host = HOST,
	    .key = key,
	    .body = body,
	    .deadline_ms = DEADLINE_MS,
	    .timeout_ms = TIMEOUT_MS};

	if (client == NULL)
		return false;
	if (!caller_is_connected(client->caller))
		client->entry = draw_entry(soak);
	request.addr = client->entry->front;
	g_strlcpy(client->path, path, sizeof(client->path));
	client->sent_ms = soak_now_ms();
	client->done = done;
	client->arg = arg;
	caller_send(client->caller, &request, on_result, client);
	return true;
}

/*
 * Starts the clients, and the checks by which the ingress selects an entry
 * process for a new connection.
 */
void
clients_start(soak_t *soak)
{
	for (uint32_t i = 0; i < CLIENTS; i++) {
		clients[i].soak = soak;
		clients[i].caller = caller_new(soak->rt);
		clients[i].entry = &soak->entries[0];
	}
	for (uint32_t i = 0; i < soak->entry_count; i++) {
		entry_t *entry = &soak->entries[i];
		g_autofree char *text = g_strdup_printf("127.0.0.1:%u",
		    soak->port_base + PORT_FRONT + entry->number);
		gw_err_t error;

		(void)gw_addr_parse(&entry->front, text, &error);
		entry->ready = soak_client(soak, PORT_READY + entry->number);
	}
	on_probe_due(&probe_timer, soak);
}
