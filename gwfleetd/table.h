#ifndef FLEET_TABLE_H
#define FLEET_TABLE_H

#include "fleet.h"
#include "record.h"

extern const record_ops_t table_ops;

void table_claim(fleet_t *);
member_table_t *table_draft(const fleet_t *);
void table_write(fleet_t *, member_table_t *draft);

#endif
