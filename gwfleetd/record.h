#ifndef FLEET_RECORD_H
#define FLEET_RECORD_H

#include "fleet.h"

/* Wait before a failed store call is repeated. */
#define RECORD_RETRY_MS 300

typedef enum {
	RECORD_IDLE,
	RECORD_READING,
	RECORD_WRITING,
	RECORD_RESOLVING /* the write may have taken effect: reading the key */
} record_phase_t;

typedef struct record record_t;

/* What the owner of a record is told. */
typedef struct {
	/* The value as read; NULL when the key is absent. */
	void (*on_read)(fleet_t *, record_t *);
	/* The draft is in the store and is now the value. */
	void (*on_written)(fleet_t *, record_t *);
	/* Another write came first; the value is what it wrote. */
	void (*on_lost)(fleet_t *, record_t *);
} record_ops_t;

/*
 * One key that its owner reads and writes by compare-and-swap. A draft stays
 * unchanged until its outcome is known, since a write whose answer was lost may
 * still arrive; values must therefore differ from each other.
 */
struct record {
	const record_ops_t *ops;
	char key[160];
	record_phase_t phase;
	uint64_t call;
	uint64_t mod_revision;	 /* of value */
	uint64_t store_revision; /* highest one seen */
	uint64_t lease_id;	 /* for the write; 0 for none */
	char *value;		 /* NULL: absent */
	char *draft;
	uint64_t retry_us; /* 0: no call to repeat */
	bool sent;	   /* the draft may have reached the store */
};

void record_init(record_t *, const record_ops_t *, const char *key);
void record_clear(record_t *);
void record_read(fleet_t *, record_t *);
void record_write(fleet_t *, record_t *, char *draft);
void record_cancel(fleet_t *, record_t *);
void record_tick(fleet_t *, record_t *);
bool record_idle(const record_t *);

#endif
