#include <signal.h>

#include "events.h"

static bool
is_up(const entry_t *entry)
{
	return entry->process.running && !entry->process.stopped;
}

/*
 * Draws an entry process that runs. One other that runs is left at least.
 */
static entry_t *
draw_entry(soak_t *soak)
{
	uint32_t at = events_draw(soak, 0, soak->entry_count), count = 0;

	for (uint32_t i = 0; i < soak->entry_count; i++)
		count += is_up(&soak->entries[i]);
	return count >= 2 && is_up(&soak->entries[at]) ? &soak->entries[at]
						       : NULL;
}

static void
run_start_entry(follow_up_t *follow_up)
{
	entry_t *entry = follow_up->entry;
	follow_up_t *again;

	if (entry->process.running) {
		again = events_later(follow_up->soak, 500, run_start_entry);
		again->entry = entry;
		again->is_planned = follow_up->is_planned;
		return;
	}
	soak_print(follow_up->soak, "entry %u starts", entry->number);
	entry_start(follow_up->soak, entry);
	soak_disrupt(follow_up->soak, follow_up->is_planned);
}

static void
start_later(soak_t *soak, entry_t *entry, uint32_t delay_ms, bool is_planned)
{
	follow_up_t *start = events_later(soak, delay_ms, run_start_entry);

	start->entry = entry;
	start->is_planned = is_planned;
}

/*
 * Ends an entry process. It returns after a while, or stays away while three
 * others remain.
 */
static void
end_entry(soak_t *soak, int signum, const char *what)
{
	entry_t *entry = draw_entry(soak);
	uint32_t return_ms = events_draw(soak, 500, 6000), present = 0;
	bool returns = events_draw(soak, 0, 4) > 0;
	bool is_planned = signum == SIGTERM;

	if (entry == NULL)
		return;
	for (uint32_t i = 0; i < soak->entry_count; i++)
		present += !soak->entries[i].stays_away;
	entry->stays_away = !returns && present > 3;
	soak_print(soak, "entry %u gets %s%s", entry->number, what,
	    entry->stays_away ? " and stays away" : "");
	process_signal(&entry->process, signum);
	if (is_planned)
		entry->planned_ms = soak_now_ms() + GRACE_MS + 1000;
	soak_disrupt(soak, is_planned);
	if (!entry->stays_away)
		start_later(soak, entry, return_ms, is_planned);
}

void
event_kill(soak_t *soak)
{
	end_entry(soak, SIGKILL, "SIGKILL");
}

void
event_term(soak_t *soak)
{
	end_entry(soak, SIGTERM, "SIGTERM");
}

/*
 * Kills all entry processes at one moment. They start again together, except
 * for one at times.
 */
void
event_kill_all(soak_t *soak)
{
	uint32_t return_ms = events_draw(soak, 100, 3000);
	uint32_t away = events_draw(soak, 0, 2 * soak->entry_count);

	soak_print(soak, "all entry processes get SIGKILL, back after %u ms",
	    return_ms);
	for (uint32_t i = 0; i < soak->entry_count; i++) {
		entry_t *entry = &soak->entries[i];
		bool was_up = is_up(entry);

		if (!was_up)
			continue;
		process_signal(&entry->process, SIGKILL);
		entry->stays_away = i == away && soak->entry_count > 3;
		if (!entry->stays_away)
			start_later(soak, entry, return_ms, false);
	}
	soak_disrupt(soak, false);
}

static void
run_continue(follow_up_t *follow_up)
{
	soak_print(
	    follow_up->soak, "entry %u continues", follow_up->entry->number);
	process_signal(&follow_up->entry->process, SIGCONT);
}

void
event_stop(soak_t *soak)
{
	entry_t *entry = draw_entry(soak);
	uint32_t for_ms = events_draw(soak, 500, 6000);

	if (entry == NULL)
		return;
	soak_print(
	    soak, "entry %u gets SIGSTOP for %u ms", entry->number, for_ms);
	process_signal(&entry->process, SIGSTOP);
	events_disrupt_for(soak, for_ms, run_continue)->entry = entry;
}

/*
 * The settings of an entry process have changed; here they are the same.
 */
void
event_hup(soak_t *soak)
{
	entry_t *entry = draw_entry(soak);

	if (entry == NULL)
		return;
	soak_print(soak, "entry %u gets SIGHUP", entry->number);
	process_signal(&entry->process, SIGHUP);
	entry->planned_ms =
	    MAX(entry->planned_ms, soak_now_ms() + CONFIG_APPLY_MS);
}
