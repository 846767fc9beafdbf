#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sysexits.h>

#include "command.h"
#include "fetch.h"
#include "print.h"
#include "report.h"

/*
 * gwctl manifest show
 */
int
command_show(ctl_t *ctl, int argc, char **argv)
{
	stored_root_t stored = {0};
	manifest_t *manifest;
	gw_err_t error;
	char *text;

	(void)argc;
	(void)argv;
	manifest = fetch_manifest(ctl, &stored, &error);
	if (manifest == NULL) {
		manifest_root_free(stored.root);
		return report_error(&error);
	}
	if (ctl->json) {
		text = manifest_to_json(manifest);
		(void)puts(text);
		free(text);
	} else {
		(void)printf("generation %" PRIu64 ", applied by %s\n",
		    stored.root->generation, stored.root->applied_by);
		print_manifest(manifest);
	}
	manifest_root_free(stored.root);
	manifest_free(manifest);
	return EX_OK;
}
