#ifndef FLEET_GENERATION_H
#define FLEET_GENERATION_H

#include "fleet.h"
#include "manifest/manifest.h"
#include "record.h"

#define GENERATION_ROOT_KEY "/gw/manifest/root"
#define GENERATION_SECTION_PREFIX "/gw/manifest/section/"
/* Roots kept to send a peer only what its generation lacks. */
#define GENERATION_HISTORY 64
/* Section reads that may wait for the store at the same time. */
#define GENERATION_READS 8
/* A watch can fail silently; the root is read again at this interval. */
#define GENERATION_REREAD_MS 4000
/* Bytes of sections in one message; the rest of a frame is for the root. */
#define GENERATION_MESSAGE_BYTES (512 * 1024)

/* A manifest root with the text it was decoded from. */
typedef struct {
	manifest_root_t *root;
	char *text;
} generation_root_t;

/* The manifest in force here, and a newer one that is still incomplete. */
typedef struct {
	generation_root_t held; /* root NULL: none */
	manifest_t *manifest;	/* of held */
	manifest_t *previous;	/* until held is in force everywhere */
	generation_root_t wanted;
	GHashTable *bodies; /* section hash -> GBytes */
	GHashTable *reads;  /* section hash -> call number being read */
	GQueue history;	    /* generation_root_t, newest first */
	record_t root_record;
	uint64_t watch;	     /* number of the watch; 0: none */
	uint64_t watched_us; /* when the root was read last */
	uint64_t retry_us;   /* of section reads that failed */
} generation_t;

void generation_init(generation_t *);
void generation_clear(generation_t *);
uint64_t generation_held(const fleet_t *);
void generation_begin_watch(fleet_t *);
void generation_end_watch(fleet_t *);
void generation_tick(fleet_t *);
void generation_on_watch(fleet_t *, const fleet_msg_t *);
void generation_offer(fleet_t *, const char *root_text, uint64_t size_bytes);
void generation_take_sections(fleet_t *, const Gw__Sections *);
void generation_send(fleet_t *, fleet_link_t *, uint64_t peer_generation);
void generation_in_force(fleet_t *);

#endif
