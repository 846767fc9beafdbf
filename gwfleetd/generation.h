#ifndef FLEET_GENERATION_H
#define FLEET_GENERATION_H

#include "fleet.h"
#include "manifest/manifest.h"
#include "record.h"

#define GENERATION_ROOT_KEY "/gw/manifest/root"
#define GENERATION_SECTION_PREFIX "/gw/manifest/section/"
/* Earlier roots, kept so that a peer is sent only the sections it lacks. */
#define GENERATION_HISTORY_ROOTS 64
/* Limit of concurrent section reads from the store. */
#define GENERATION_READS_MAX 8
/* The root is read at this interval too, as a watch can fail unnoticed. */
#define GENERATION_ROOT_READ_INTERVAL_MS 4000
/* Limit of the sections in a message; leaves room in a frame for the root. */
#define GENERATION_MESSAGE_MAX_BYTES (512 * 1024)

/* A manifest root with the text it was decoded from. */
typedef struct {
	manifest_root_t *root;
	char *text;
} generation_root_t;

/* The manifest in use here, and a newer one that is still incomplete. */
typedef struct {
	generation_root_t held;	  /* root is NULL if there is none */
	manifest_t *manifest;	  /* decoded from held */
	manifest_t *previous;	  /* kept until all of the fleet has held */
	generation_root_t wanted; /* sections still being read */
	GHashTable *bodies;	  /* section hash -> GBytes */
	GHashTable *reads;	  /* hashes of sections being read */
	GQueue history;		  /* generation_root_t, newest first */
	record_t root_record;
	uint64_t watch;	       /* call number of the watch; 0: none */
	uint64_t root_read_us; /* time of the last read of the root */
	uint64_t retry_us;     /* no section read before; set when one failed */
} generation_t;

void generation_init(generation_t *);
void generation_clear(generation_t *);
uint64_t generation_held(const fleet_t *);
void generation_begin_watch(fleet_t *);
void generation_end_watch(fleet_t *);
void generation_tick(fleet_t *);
void generation_on_watch(fleet_t *, const fleet_msg_t *);
void generation_receive_root(
    fleet_t *, const char *root_text, uint64_t size_bytes);
void generation_receive_sections(fleet_t *, const Gw__Sections *);
void generation_send(fleet_t *, fleet_link_t *, uint64_t peer_generation);
void generation_free_previous(fleet_t *);

#endif
