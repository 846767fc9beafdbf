#ifndef GWENTRYD_INSPECT_JSON_H
#define GWENTRYD_INSPECT_JSON_H

#include <jansson.h>

#include "sched/describe.h"

/* JSON of what operators see; the caller releases it with json_decref(). */
json_t *inspect_json_team(const sched_team_view_t *);
json_t *inspect_json_job(const sched_job_view_t *);

#endif
