#ifndef PLATFORM_INSTANCE_H
#define PLATFORM_INSTANCE_H

#include <stdint.h>

#include <glib.h>
#include <jansson.h>

typedef enum {
	INSTANCE_LIVE,
	INSTANCE_LEAVING,
	INSTANCE_ENDED
} instance_state_t;

/* Current state of an instance; the instance list may lag behind it. */
typedef struct {
	char id[64];
	uint32_t incarnation;
	char address[48];
	uint16_t port;
	char data_centre[64];
	char failure_domain[64];
	char kind[16]; /* "worker" or "entry" */
	instance_state_t state;
	uint32_t cpu_millis;
	uint32_t memory_mib;
	uint32_t accelerators;
	uint64_t reboot_due_us; /* end of the reboot; 0: none in progress */
	uint32_t reboots;
	GHashTable *operation_ids; /* accepted reboots */
} instance_t;

instance_t *instance_new(const json_t *);
void instance_free(void *);
json_t *instance_json(const instance_t *);
void instance_restart(instance_t *);

#endif
