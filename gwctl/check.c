#include <err.h>
#include <stdio.h>
#include <sysexits.h>

#include "check.h"
#include "command.h"
#include "report.h"

/*
 * Reads and checks a manifest file. On failure prints the problems, sets the
 * exit status and returns NULL.
 */
manifest_t *
check_file(const char *file, int *status)
{
	g_autoptr(GArray) problems =
	    g_array_new(FALSE, FALSE, sizeof(manifest_problem_t));
	g_autoptr(GError) error = NULL;
	g_autofree char *text = NULL;
	manifest_t *manifest;
	gsize size_bytes;

	if (!g_file_get_contents(file, &text, &size_bytes, &error)) {
		warnx("%s", error->message);
		*status = EX_NOINPUT;
		return NULL;
	}
	manifest = manifest_parse(text, size_bytes, problems);
	*status = manifest == NULL ? report_problems(file, problems) : EX_OK;
	return manifest;
}

/*
 * gwctl manifest check FILE
 */
int
command_check(ctl_t *ctl, int argc, char **argv)
{
	manifest_t *manifest;
	int status;

	(void)argc;
	manifest = check_file(argv[0], &status);
	if (manifest == NULL)
		return status;
	if (ctl->json)
		report_json(json_pack("{s:b}", "valid", 1));
	else
		(void)printf("%s: valid: %u teams, %u pools, %u routes\n",
		    argv[0], manifest->teams->len, manifest->pools->len,
		    manifest->routes->len);
	manifest_free(manifest);
	return EX_OK;
}
