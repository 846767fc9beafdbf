#include <string.h>

#include "gw/setting.h"
#include "member/member.h"
#include "settings.h"

static int
find_choice(settings_t *s, gw_err_t *err)
{
	const choice_ops_t *all[] = {&choice_power_two, &choice_random};

	for (size_t i = 0; i < G_N_ELEMENTS(all); i++)
		if (strcmp(all[i]->name, s->choice_text) == 0)
			s->choice = all[i];
	if (s->choice != NULL)
		return 0;
	gw_err_set(err, GW_ERR_INVALID, "read settings", "",
	    "--choice: '%s' is neither power-of-two nor random",
	    s->choice_text);
	return -1;
}

static int
find_queue(settings_t *s, gw_err_t *err)
{
	if (strcmp(s->queue_text, "fair") == 0)
		s->queue = &fairq_fair;
	else if (strcmp(s->queue_text, "fifo") == 0)
		s->queue = &fairq_fifo;
	else {
		gw_err_set(err, GW_ERR_INVALID, "read settings", "",
		    "--queue: '%s' is neither fair nor fifo", s->queue_text);
		return -1;
	}
	return 0;
}

/*
 * Parses the addresses of routers of other data centres; the list may be empty.
 */
static int
parse_spill(settings_t *s, gw_err_t *err)
{
	gw_addr_t addr;
	char **parts;
	int rc = 0;

	s->spill = g_array_new(FALSE, FALSE, sizeof(gw_addr_t));
	parts = g_strsplit(s->spill_text, ",", -1);
	for (char **part = parts; *part != NULL && rc == 0; part++) {
		rc = gw_addr_parse(&addr, *part, err);
		if (rc == 0)
			g_array_append_val(s->spill, addr);
	}
	g_strfreev(parts);
	return rc;
}

static int
check_settings(settings_t *s, gw_err_t *err)
{
	if (strlen(s->node_id) >= GW_NAME_BYTES || s->node_id[0] == '\0') {
		gw_err_set(err, GW_ERR_INVALID, "read settings", "",
		    "--node-id: must have 1 to %d bytes", GW_NAME_BYTES - 1);
		return -1;
	}
	if (find_choice(s, err) != 0 || find_queue(s, err) != 0)
		return -1;
	return parse_spill(s, err);
}

/*
 * Reads the settings from flags and environment, and checks them. Returns -1
 * with an error that names the setting.
 */
int
settings_load(settings_t *s, int argc, char **argv, gw_err_t *err)
{
	const gw_setting_t table[] = {
	    {"listen", GW_SETTING_ADDR, &s->listen, "127.0.0.1:8080",
		"address for callers", 0, 0},
	    {"admin", GW_SETTING_ADDR, &s->admin, "127.0.0.1:8081",
		"address of /healthz, /readyz and /metrics", 0, 0},
	    {"node-id", GW_SETTING_TEXT, &s->node_id, NULL,
		"name of this entry instance", 0, 0},
	    {"data-centre", GW_SETTING_TEXT, &s->data_centre, NULL,
		"name of this data centre", 0, 0},
	    {"fleet", GW_SETTING_ADDRS, &s->fleet, NULL,
		"every gwfleetd of the data centre", 0, 0},
	    {"spill", GW_SETTING_TEXT, &s->spill_text, "",
		"routers of other data centres", 0, 0},
	    {"queue-max", GW_SETTING_U32, &s->queue_max, "2000",
		"queued requests per pool", 1, 100000},
	    {"body-max-bytes", GW_SETTING_U32, &s->body_max_bytes, "1048576",
		"largest request body", 0, 67108864},
	    {"connections-max", GW_SETTING_U32, &s->connections_max, "10000",
		"callers' connections", 1, 100000},
	    {"caller-idle-ms", GW_SETTING_U32, &s->caller_idle_ms, "60000",
		"time after which a caller's idle connection is closed", 100,
		3600000},
	    {"endpoint-idle-ms", GW_SETTING_U32, &s->endpoint_idle_ms, "2000",
		"time after which an idle endpoint connection is closed", 100,
		3600000},
	    {"deadline-ms", GW_SETTING_U32, &s->deadline_ms, "30000",
		"deadline of a request whose route has none", 1, 3600000},
	    {"drain-delay-ms", GW_SETTING_U32, &s->drain_delay_ms, "1000",
		"time between failing /readyz and closing the listener", 0,
		600000},
	    {"drain-linger-ms", GW_SETTING_U32, &s->drain_linger_ms, "1000",
		"time in which idle connections may still send a request", 0,
		600000},
	    {"drain-max-ms", GW_SETTING_U32, &s->drain_max_ms, "60000",
		"time after which the shutdown ends even if requests run", 0,
		3600000},
	    {"choice", GW_SETTING_TEXT, &s->choice_text, "power-of-two",
		"choice of endpoint: power-of-two or random", 0, 0},
	    {"queue", GW_SETTING_TEXT, &s->queue_text, "fair",
		"queue discipline: fair or fifo", 0, 0},
	};

	if (gw_settings_load(table, G_N_ELEMENTS(table), argc, argv,
		"Routes callers' requests to endpoint instances.", err) != 0)
		return -1;
	return check_settings(s, err);
}
