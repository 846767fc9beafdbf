#ifndef POLICY_FAIRQ_IMPL_H
#define POLICY_FAIRQ_IMPL_H

#include "policy/cost.h"
#include "policy/fairq.h"
#include "policy/share.h"

/* The queue's record of an item; link is in one list at a time. */
typedef struct fairq_entry fairq_entry_t;
typedef struct fairq_team fairq_team_t;

struct fairq_entry {
	fairq_item_t *item;
	fairq_team_t *team;
	GList link;
};

/*
 * Queued requests of one class of one team. The class with the lowest tag is
 * served next.
 */
typedef struct {
	GQueue items;		 /* fairq_entry_t */
	share_account_t account; /* among the team's classes */
	cost_mean_t mean; /* slot time of the team's requests of the class */
} fairq_class_queue_t;

/*
 * A team. The team with the lowest tag is served next. Costs are microseconds
 * of slot time.
 */
struct fairq_team {
	char name[MANIFEST_NAME_BYTES];
	uint32_t weight; /* 0: unset, removed once idle */
	uint32_t queued;
	uint32_t queued_of[CLASS_COUNT];
	uint32_t running;
	share_account_t account; /* among the teams */
	share_t class_share;	 /* of the team's slot time */
	fairq_class_queue_t classes[CLASS_COUNT];
};

struct fairq {
	const fairq_ops_t *ops;
	const gw_clock_t *clock;
	uint32_t max_items;	 /* limit of queued, without those running */
	uint32_t slots;		 /* usable by this router now */
	uint32_t upcoming_slots; /* usable from upcoming_from_us, 0 unknown */
	uint64_t upcoming_from_us;
	uint32_t queued;
	GHashTable *teams;	    /* name -> fairq_team_t */
	fairq_team_t *default_team; /* of requests of teams without a weight */
	GQueue order;	       /* queued entries by arrival, fairq_fifo only */
	GQueue running;	       /* fairq_entry_t */
	uint32_t running_long; /* running settlement and archive requests */
	uint32_t running_archive;
	uint64_t running_cost_us; /* sum of the charges of running requests */
	share_t share;		  /* of the slot time, among the teams */
	uint64_t overruns_charged_us;	/* when charge_overruns() last ran */
	uint64_t quick_window_start_us; /* start of the present window */
	uint64_t quick_work_us; /* slot time of quick work in the window */
	uint32_t quick_reserved_slots; /* slots that other classes leave free */
	cost_t cost;
	/* Mean time from arrival to deadline. */
	cost_mean_t allowed_wait[CLASS_COUNT];
};

struct fairq_ops {
	const char *name;
	fairq_verdict_t (*admit)(
	    const fairq_t *, const fairq_team_t *, const fairq_item_t *);
	/* The next entry to start, still linked, or NULL. */
	fairq_entry_t *(*pick)(fairq_t *);
	void (*enqueue)(fairq_t *, fairq_entry_t *);
	void (*dequeue)(fairq_t *, fairq_entry_t *);
	void (*started)(fairq_t *, fairq_entry_t *);
	void (*finished)(fairq_t *, fairq_entry_t *, uint64_t service_us);
	uint64_t (*estimate_wait_us)(
	    const fairq_t *, const fairq_team_t *, request_class_t);
};

#endif
