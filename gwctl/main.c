#include <err.h>
#include <stdio.h>
#include <stdlib.h>
#include <sysexits.h>

#include "command.h"
#include "gw/log.h"
#include "options.h"

static void
usage(const char *group)
{
	(void)fprintf(stderr, "usage: gwctl [OPTION...] COMMAND\n");
	command_print_usage();
	exit(g_strcmp0(group, "entry") == 0 ? EXIT_ENTRY_USAGE : EX_USAGE);
}

static int
run(ctl_t *ctl, const command_t *command, int argc, char **argv)
{
	int status;

	ctl->rt = gw_rt_new();
	ctl->store = store_new(ctl->rt, &ctl->store_addr, ctl->timeout_ms);
	status = command->run(ctl, argc, argv);
	store_free(ctl->store);
	gw_rt_free(ctl->rt);
	return status;
}

/*
 * Runs one sub-command of gwctl, the operators' client.
 */
int
main(int argc, char **argv)
{
	g_autofree char **args = g_new0(char *, (gsize)argc + 1);
	const command_t *command;
	ctl_t ctl = {0};
	int count, words = 0, status;

	gw_log_init("gwctl", LOG_WARNING);
	count = options_parse(&ctl, argc, argv, args);
	command = command_lookup(count, args, &words);
	if (command == NULL || count - words < command->args_min ||
	    count - words > command->args_max)
		usage(args[0]);
	if (options_apply_given(&ctl) && !command->applies)
		errx(EX_USAGE,
		    "--expect-generation and --wait go with 'manifest apply'");
	status = run(&ctl, command, count - words, args + words);
	if (fflush(stdout) != 0)
		err(EX_IOERR, "standard output");
	return status;
}
