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
	held_root_t held = {0};
	manifest_t *manifest;
	gw_err_t error;
	char *text;

	(void)argc;
	(void)argv;
	manifest = fetch_manifest(ctl, &held, &error);
	if (manifest == NULL) {
		manifest_root_free(held.root);
		return report_error(&error);
	}
	if (ctl->json) {
		text = manifest_to_json(manifest);
		(void)puts(text);
		free(text);
	} else {
		(void)printf("generation %" PRIu64 ", applied by %s\n",
		    held.root->generation, held.root->applied_by);
		print_manifest(manifest);
	}
	manifest_root_free(held.root);
	manifest_free(manifest);
	return EX_OK;
}
