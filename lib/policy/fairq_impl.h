#ifndef POLICY_FAIRQ_IMPL_H
#define POLICY_FAIRQ_IMPL_H

#include "policy/cost.h"
#include "policy/fairq.h"

/* A queue's own record of an item, linked into one list at a time. */
typedef struct fairq_entry fairq_entry_t;
typedef struct fairq_team fairq_team_t;

struct fairq_entry {
	fairq_item_t *item;
	fairq_team_t *team;
	GList link;
};

/* Requests of one class of one team, with its virtual start tag. */
typedef struct {
	GQueue items; /* fairq_entry_t */
	uint64_t tag;
	cost_mean_t mean;
} fairq_line_t;

/* A team; tags are slot time divided by weight, times FAIRQ_TAG_SCALE. */
struct fairq_team {
	char name[MANIFEST_NAME_BYTES];
	uint32_t weight;
	uint32_t queued;
	uint32_t queued_of[CLASS_COUNT];
	uint32_t running;
	uint64_t tag;
	uint64_t line_clock; /* virtual time among the team's classes */
	fairq_line_t lines[CLASS_COUNT];
};

struct fairq {
	const fairq_ops_t *ops;
	const gw_clock_t *clock;
	uint32_t max_items;
	uint32_t slots;
	uint32_t slots_soon;
	uint64_t soon_us;
	uint32_t queued;
	GHashTable *teams;   /* name -> fairq_team_t */
	fairq_team_t *other; /* requests of teams that were not set */
	GQueue order;	     /* FIFO: all entries by arrival */
	GQueue running;	     /* fairq_entry_t */
	uint32_t running_long;
	uint32_t running_archive;
	uint64_t running_cost_us;
	uint64_t virtual_clock;
	uint64_t recharged_us;
	uint64_t quick_since_us; /* window of the measured quick load */
	uint64_t quick_work_us;
	uint32_t quick_slots; /* slots left to quick work */
	cost_t cost;
	cost_mean_t patience[CLASS_COUNT]; /* waits that callers allow */
};

struct fairq_ops {
	const char *name;
	fairq_verdict_t (*admit)(
	    const fairq_t *, const fairq_team_t *, const fairq_item_t *);
	/* The next entry to start, still linked, or NULL. */
	fairq_entry_t *(*pick)(fairq_t *);
	void (*queued)(fairq_t *, fairq_entry_t *);
	void (*unqueued)(fairq_t *, fairq_entry_t *);
	void (*started)(fairq_t *, fairq_entry_t *);
	void (*finished)(fairq_t *, fairq_entry_t *, uint64_t service_us);
	uint64_t (*wait_us)(
	    const fairq_t *, const fairq_team_t *, request_class_t);
};

#endif
