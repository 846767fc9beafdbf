#ifndef FLEET_VIEW_H
#define FLEET_VIEW_H

#include "fleet.h"
#include "session.h"

void view_send(fleet_t *, session_t *);
void views_send(fleet_t *);

#endif
