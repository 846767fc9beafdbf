#ifndef SCHED_KEY_H
#define SCHED_KEY_H

#include "sched/config.h"

/* The keys of a configuration (sched_team_key_t), which are wiped when freed.
 */
GArray *sched_keys_new(void);
void sched_keys_free(GArray *);

#endif
