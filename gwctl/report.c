#include <err.h>
#include <stdio.h>
#include <stdlib.h>
#include <sysexits.h>

#include "report.h"

/*
 * Prints an error with its step and peer. Returns the exit status.
 */
int
report_error(const gw_err_t *error)
{
	warnx("%s%s%s: %s", error->step, *error->peer == '\0' ? "" : " ",
	    error->peer, error->text);
	switch (error->code) {
	case GW_ERR_INVALID:
	case GW_ERR_LIMIT:
		return EX_DATAERR;
	case GW_ERR_NOT_FOUND:
		return EX_NOINPUT;
	case GW_ERR_CONFLICT:
		return EXIT_CONFLICT;
	case GW_ERR_UNKNOWN:
		return EXIT_OUTCOME_UNKNOWN;
	case GW_ERR_UNAVAILABLE:
	case GW_ERR_TIMEOUT:
		return EX_UNAVAILABLE;
	case GW_OK:
	case GW_ERR_SYSTEM:
		break;
	}
	return EX_OSERR;
}

/*
 * Prints the problems of a manifest, one a line. Returns the exit status.
 */
int
report_problems(const char *file, const GArray *problems)
{
	const manifest_problem_t *problem;

	for (guint i = 0; i < problems->len; i++) {
		problem = &g_array_index(problems, manifest_problem_t, i);
		(void)fprintf(stderr, "%s: %s: %s\n", file, problem->path,
		    problem->reason);
	}
	warnx("%s: %u problem%s, nothing was applied", file, problems->len,
	    problems->len == 1 ? "" : "s");
	return EX_DATAERR;
}

/*
 * Prints a JSON value and drops the caller's reference to it.
 */
void
report_json(json_t *value)
{
	char *text = json_dumps(value, JSON_INDENT(2));

	(void)puts(text);
	free(text);
	json_decref(value);
}
