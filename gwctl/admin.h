#ifndef GWCTL_ADMIN_H
#define GWCTL_ADMIN_H

#include <jansson.h>

/* Prints a JSON response as tables. */
void print_response(const json_t *);

#endif
