#include "events.h"

static bool store_is_away;

static void
run_store_back(follow_up_t *follow_up)
{
	soak_print(follow_up->soak, "the store is back");
	store_is_away = false;
	events_control(follow_up->soak, follow_up->soak->store_api,
	    "{\"down\":\"no\",\"delay_ms\":0}");
}

static void
disturb(soak_t *soak, uint32_t for_ms, const char *what, const char *fault)
{
	if (store_is_away)
		return;
	store_is_away = true;
	soak_print(soak, "the store %s for %u ms", what, for_ms);
	events_control(soak, soak->store_api, "%s", fault);
	(void)events_disrupt_for(soak, for_ms, run_store_back);
}

void
event_store_refuses(soak_t *soak)
{
	disturb(soak, events_draw(soak, 1000, 4000), "refuses",
	    "{\"down\":\"refuse\"}");
}

void
event_store_dark(soak_t *soak)
{
	disturb(soak, events_draw(soak, 1000, 4000), "does not respond",
	    "{\"down\":\"hang\"}");
}

void
event_store_slow(soak_t *soak)
{
	disturb(soak, events_draw(soak, 1000, 4000), "is slow",
	    "{\"delay_ms\":300}");
}

/*
 * Writes take effect without a response.
 */
void
event_store_loses(soak_t *soak)
{
	disturb(soak, events_draw(soak, 500, 1500), "loses responses",
	    "{\"lose_answers\":6}");
}

void
event_store_forgets(soak_t *soak)
{
	disturb(soak, events_draw(soak, 200, 500), "forgets its history",
	    "{\"compact\":true,\"cut_watches\":true}");
}

void
event_config(soak_t *soak)
{
	if (store_is_away)
		return;
	soak_print(soak, "configuration %u", soak->config_version + 1);
	config_put(soak);
}
