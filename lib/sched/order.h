#ifndef SCHED_ORDER_H
#define SCHED_ORDER_H

#include "sched/sched.h"

/*
 * The order in which jobs get room when a pool cannot do all that it is asked
 * to. Placing, sending starts and admission use the same one. There are
 * several, so that one can be compared with the baseline.
 */
typedef struct sched_order sched_order_t;
extern const sched_order_t sched_order_cpu; /* baseline: no priorities */
/* By priority, and by the larger of the shares of CPU and memory. */
extern const sched_order_t sched_order_priority;
/* Sets the order; the default is sched_order_priority. */
void sched_pool_set_order(sched_pool_t *, const sched_order_t *);

#endif
