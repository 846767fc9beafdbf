#ifndef GWCTL_COMMAND_H
#define GWCTL_COMMAND_H

#include "ctl.h"

/* Runs a sub-command on the arguments after its name; returns the exit status.
 */
typedef int (*command_fn_t)(ctl_t *, int argc, char **argv);

typedef struct {
	const char *group; /* first word */
	const char *name;  /* second word, or NULL */
	const char *args;  /* for the usage message */
	int args_min;
	int args_max;
	bool applies; /* takes --expect-generation and --wait */
	command_fn_t run;
} command_t;

const command_t *command_lookup(int argc, char **argv, int *words);
void command_print_usage(void);

int command_check(ctl_t *, int argc, char **argv);
int command_apply(ctl_t *, int argc, char **argv);
int command_show(ctl_t *, int argc, char **argv);
int command_diff(ctl_t *, int argc, char **argv);
int command_history(ctl_t *, int argc, char **argv);
int command_status(ctl_t *, int argc, char **argv);
int command_pools(ctl_t *, int argc, char **argv);
int command_instances(ctl_t *, int argc, char **argv);
int command_waves(ctl_t *, int argc, char **argv);
int command_waves_start(ctl_t *, int argc, char **argv);
int command_waves_halt(ctl_t *, int argc, char **argv);
int command_jobs(ctl_t *, int argc, char **argv);
int command_jobs_cancel(ctl_t *, int argc, char **argv);
int command_jobs_submit(ctl_t *, int argc, char **argv);
int command_explain(ctl_t *, int argc, char **argv);
int command_entry_teams(ctl_t *, int argc, char **argv);
int command_entry_job(ctl_t *, int argc, char **argv);

#endif
