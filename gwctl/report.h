#ifndef GWCTL_REPORT_H
#define GWCTL_REPORT_H

#include <glib.h>
#include <jansson.h>

#include "ctl.h"

int report_error(const gw_err_t *);
int report_problems(const char *file, const GArray *problems);
void report_json(json_t *);

#endif
