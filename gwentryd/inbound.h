#ifndef GWENTRYD_INBOUND_H
#define GWENTRYD_INBOUND_H

#include "wire/conn.h"

/*
 * Bounds the connections that other processes, or whoever reaches the port,
 * open to this one. The load: many connections that send nothing, or frames
 * that do not end.
 */
typedef struct {
	gw_rt_t *rt;
	GQueue links; /* inbound_link_t */
	uint32_t connections_max;
	uint64_t closed; /* because of a bound */
	uint64_t logged_us;
} inbound_t;

/* One connection. */
typedef struct {
	inbound_t *inbound;
	gw_conn_t *conn;  /* NULL once closed, or while it is being closed */
	bool has_sent;	  /* a whole message */
	uint64_t last_us; /* when it was accepted, or sent its last message */
	GList link;
} inbound_link_t;

void inbound_init(inbound_t *, gw_rt_t *);
/* Sets the bound on connections from the process's descriptors. */
void inbound_set_descriptors(inbound_t *, uint32_t descriptors);
/* Adds an accepted connection, and closes others if there are too many. */
void inbound_add(inbound_t *, inbound_link_t *, gw_conn_t *);
void inbound_remove(inbound_link_t *);
/* Records a whole message. */
void inbound_record_message(inbound_link_t *);
/* Closes connections while incomplete frames hold too many bytes. */
void inbound_bound_partial(inbound_t *);

#endif
