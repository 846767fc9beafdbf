#include <stdio.h>
#include <string.h>

#include "command.h"

static const command_t commands[] = {
    {"manifest", "check", "FILE", 1, 1, false, command_check},
    {"manifest", "apply", "FILE", 1, 1, true, command_apply},
    {"manifest", "show", "", 0, 0, false, command_show},
    {"manifest", "diff", "FILE", 1, 1, false, command_diff},
    {"manifest", "history", "", 0, 0, false, command_history},
    {"status", NULL, "", 0, 0, false, command_status},
    {"pools", NULL, "", 0, 0, false, command_pools},
    {"instances", NULL, "", 0, 0, false, command_instances},
    {"waves", "start", "NAME", 1, 1, false, command_waves_start},
    {"waves", "halt", "NAME", 1, 1, false, command_waves_halt},
    {"waves", NULL, "", 0, 0, false, command_waves},
    {"jobs", "submit", "FILE", 1, 1, false, command_jobs_submit},
    {"jobs", "cancel", "ID", 1, 1, false, command_jobs_cancel},
    {"jobs", NULL, "", 0, 0, false, command_jobs},
    {"explain", NULL, "instance=ID|pool=NAME|job=ID", 1, 1, false,
	command_explain},
    {"entry", "teams", "--address IP:PORT[,IP:PORT...]", 0, 0, false,
	command_entry_teams},
    {"entry", "job", "ID --address IP:PORT[,IP:PORT...]", 1, 1, false,
	command_entry_job},
};

/*
 * Returns the sub-command that the arguments begin with, or NULL when there is
 * none. words receives the number of arguments that make up its name.
 */
const command_t *
command_lookup(int argc, char **argv, int *words)
{
	const command_t *command;

	for (size_t i = 0; i < G_N_ELEMENTS(commands); i++) {
		command = &commands[i];
		*words = command->name == NULL ? 1 : 2;
		if (argc < *words || strcmp(command->group, argv[0]) != 0)
			continue;
		if (command->name == NULL ||
		    strcmp(command->name, argv[1]) == 0)
			return command;
	}
	return NULL;
}

/*
 * Prints the usage of each sub-command on standard error.
 */
void
command_print_usage(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(commands); i++)
		(void)fprintf(stderr, "       gwctl %s%s%s %s\n",
		    commands[i].group, commands[i].name == NULL ? "" : " ",
		    commands[i].name == NULL ? "" : commands[i].name,
		    commands[i].args);
}
