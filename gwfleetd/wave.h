#ifndef FLEET_WAVE_H
#define FLEET_WAVE_H

#include "fleet.h"
#include "record.h"

extern const record_ops_t waves_ops;

void wave_free(void *);
plan_wave_t *wave_find(const fleet_t *, const char *name);
void waves_tick(fleet_t *);
void waves_finish(fleet_t *);
void wave_handle_command(fleet_t *, const fleet_msg_t *);
void wave_record_failed(fleet_t *, const char *instance_id);
bool wave_record_done(fleet_t *, const member_instance_t *);
json_t *waves_json(const GPtrArray *);

#endif
