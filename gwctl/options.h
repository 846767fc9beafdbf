#ifndef GWCTL_OPTIONS_H
#define GWCTL_OPTIONS_H

#include "ctl.h"

/*
 * Reads options and environment. Moves the arguments that are not options to
 * args and returns their number. Exits the program on a usage error.
 */
int options_parse(ctl_t *, int argc, char **argv, char **args);
bool options_apply_given(const ctl_t *);

#endif
