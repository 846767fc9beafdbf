#ifndef FLEET_RECORD_H
#define FLEET_RECORD_H

#include "fleet.h"

/* Delay before a failed store call is repeated. */
#define RECORD_RETRY_MS 300

typedef enum {
	RECORD_IDLE,
	RECORD_READING,
	RECORD_WRITING,
	RECORD_RESOLVING /* the write may have taken effect; reads the key */
} record_phase_t;

typedef struct record record_t;

/* Callbacks to the user of a record. */
typedef struct {
	/* The key has been read; value is NULL if it is absent. */
	void (*on_read)(fleet_t *, record_t *);
	/* The draft is in the store and has become the value. */
	void (*on_written)(fleet_t *, record_t *);
	/* Another process wrote first; value is what it wrote. */
	void (*on_lost)(fleet_t *, record_t *);
} record_ops_t;

/*
 * A key of the store that is read, and written by compare-and-swap. The draft
 * is the value being written. It doesn't change until the outcome of the write
 * is known, since a write that had no reply may still take effect. Reading the
 * key back decides that by comparing text, so every draft must differ from the
 * values before it.
 */
struct record {
	const record_ops_t *ops;
	char key[160];
	record_phase_t phase;
	uint64_t call;
	uint64_t mod_revision;	 /* of value; 0: the key is absent */
	uint64_t store_revision; /* highest store revision seen */
	uint64_t lease_id;	 /* the key is bound to it; 0: none */
	char *value;		 /* NULL: the key is absent */
	char *draft;
	uint64_t retry_us; /* when to repeat a failed call; 0: none failed */
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
