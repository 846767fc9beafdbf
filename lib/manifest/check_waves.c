#include <stdio.h>

#include "manifest/check.h"
#include "manifest/problem.h"

static void
check_wave_pool(const manifest_t *manifest, const manifest_wave_t *wave,
    guint index, const char *path, GArray *problems)
{
	const char *name = g_ptr_array_index(wave->pools, index);
	const manifest_budget_t *budget = manifest_find_budget(manifest, name);
	guint first;

	if (manifest_find_pool(manifest, name) == NULL)
		manifest_problem_add(
		    problems, path, "pool \"%.63s\" is not defined", name);
	else if (budget != NULL && budget->max_unavailable == 0)
		manifest_problem_add(problems, path,
		    "the budget of pool \"%s\" allows no planned stop", name);
	if (g_ptr_array_find_with_equal_func(
		wave->pools, name, g_str_equal, &first) &&
	    first != index)
		manifest_problem_add(problems, path,
		    "pool \"%.63s\" is already in the wave", name);
}

/*
 * Checks the maintenance waves.
 */
void
manifest_check_waves(const manifest_t *manifest, GArray *problems)
{
	const manifest_wave_t *wave;
	char path[64];

	for (guint i = 0; i < manifest->waves->len; i++) {
		wave = &g_array_index(manifest->waves, manifest_wave_t, i);
		(void)snprintf(path, sizeof(path), "$.waves[%u].pools", i);
		if (wave->pools->len == 0 &&
		    !manifest_has_problem_at(problems, path, ""))
			manifest_problem_add(problems, path, "names no pool");
		for (guint j = 0; j < wave->pools->len; j++) {
			(void)snprintf(
			    path, sizeof(path), "$.waves[%u].pools[%u]", i, j);
			check_wave_pool(manifest, wave, j, path, problems);
		}
	}
}
