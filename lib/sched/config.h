#ifndef SCHED_CONFIG_H
#define SCHED_CONFIG_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "sched/sched.h"

/*
 * A queue: the host and path at which callers reach it, and the limits of its
 * jobs.
 */
typedef struct {
	char *name;
	char *host;
	char *path_prefix;
	/*
	 * Identifies host and path_prefix, which are all that callers know of a
	 * queue. Its name and its pool may change.
	 */
	char key[SCHED_QUEUE_KEY_BYTES];
	char pool[SCHED_NAME_BYTES];
	uint32_t priority; /* logged; not used for placement */
	uint32_t max_attempts;
	/*
	 * A job should end within objective_ms plus stretch_permille
	 * thousandths of the estimated time of its longest chain of steps.
	 */
	uint32_t objective_ms;
	uint32_t stretch_permille;
	uint32_t timeout_ms;
	/*
	 * Placement advice: time for a response (a base plus a time per item)
	 * and how long the advice is valid; advice_valid_ms 0: no advice.
	 */
	uint32_t advice_decide_ms;
	uint32_t advice_per_item_ms;
	uint32_t advice_valid_ms;
	bool is_public; /* callers need no key, and its jobs have no team */
} sched_queue_t;

typedef struct {
	char name[SCHED_NAME_BYTES];
	bool enforces_capacity; /* its instances refuse tasks without room */
	bool standby;		/* its machines are switched off */
} sched_pool_config_t;

/* A key of a team, and the index of the team. */
typedef struct {
	sched_key_digest_t digest;
	guint team;
} sched_team_key_t;

/* One version of the operators' configuration. */
typedef struct {
	uint64_t version;
	GArray *queues; /* sched_queue_t */
	GArray *pools;	/* sched_pool_config_t */
	bool has_teams; /* it has a list of teams, so that callers need keys */
	GArray *teams;	/* sched_team_config_t */
	GArray *keys;	/* sched_team_key_t */
	/* Limits on callers; 0: none on the header and on times. */
	uint32_t body_max_bytes;
	uint32_t header_max_bytes;
	uint32_t
	    header_timeout_ms;	  /* from the first byte to the header's end */
	uint32_t idle_timeout_ms; /* of a connection without a request */
} sched_config_t;

/* Sets the key of a queue from its host and path_prefix. */
void sched_queue_set_key(sched_queue_t *);

sched_config_t *sched_config_new(void);
void sched_config_free(sched_config_t *);
const sched_queue_t *sched_config_find_queue(const sched_config_t *,
    const char *host, size_t host_bytes, const char *path, size_t path_bytes);
/* Returns whether the queue with this key is in the pool. */
bool sched_config_has_queue(
    const sched_config_t *, const char *key, const char *pool);
/* Returns how many pools run tasks: all but those on standby. */
uint32_t sched_config_pool_count(const sched_config_t *);
/* Returns the queue with this key, or NULL. */
const sched_queue_t *sched_config_queue_by_key(
    const sched_config_t *, const char *key);

/* Sets the digest of a caller's key. */
void sched_key_digest(sched_key_digest_t *, const void *key, size_t size_bytes);
/*
 * Adds a key of the last team. Returns false if the configuration has it
 * already.
 */
bool sched_config_add_key(sched_config_t *, const sched_key_digest_t *);
/* What a caller's key is worth at a queue. */
typedef enum {
	SCHED_KEY_NOT_NEEDED,
	SCHED_KEY_OF_TEAM,
	SCHED_KEY_MISSING,
	SCHED_KEY_UNKNOWN
} sched_key_verdict_t;
/*
 * Checks the key of a caller, NULL if it sent none. Sets *team, which belongs
 * to the configuration, to NULL unless the verdict is SCHED_KEY_OF_TEAM.
 */
sched_key_verdict_t sched_config_check_key(const sched_config_t *,
    const sched_queue_t *, const sched_key_digest_t *,
    const sched_team_config_t **team);

/*
 * Returns whether a queue that the configuration lacks can be said not to
 * exist. The configuration was the newest one at current_us (0: never known);
 * a newer one may be in force apply_ms after it was written.
 */
bool sched_config_is_current(
    uint64_t current_us, uint64_t now_us, uint32_t apply_ms);

/* A submission, and what is known here when it arrives. */
typedef struct {
	const sched_config_t *config; /* in force here; NULL: none */
	/*
	 * The newest version by which another process has sent a queue's jobs
	 * away from here; 0: none.
	 */
	uint64_t seen_version;
	uint64_t version;  /* by which the submission was sent here */
	const char *queue; /* in that version */
	/* See sched_queue_t; NULL or empty: not known. */
	const char *queue_key;
	const char *pool;
	const char *team;	       /* of the caller; empty: none */
	const sched_key_digest_t *key; /* NULL: not known */
} sched_config_claim_t;

/*
 * Returns whether the submission may be accepted: the queue is still there and
 * the key still the team's, or no newer configuration is known here.
 */
bool sched_config_allows(const sched_config_claim_t *);
/*
 * Returns whether the key of a submission is the team's at the queue. One that
 * came without a key from a process that sends none is allowed.
 */
bool sched_config_allows_key(const sched_config_t *, const sched_queue_t *,
    const char *team, const sched_key_digest_t *key);

#endif
