#ifndef GWROUTED_FLEET_H
#define GWROUTED_FLEET_H

typedef struct router router_t;

/* Connections to all gwfleetd processes of the data centre. */
typedef struct fleet fleet_t;

fleet_t *fleet_new(router_t *);
void fleet_free(fleet_t *);
void fleet_schedule_ack(fleet_t *);
void fleet_send_goodbye(fleet_t *);

#endif
