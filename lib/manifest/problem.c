#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include "manifest/problem.h"

/*
 * Truncates a text at the first invalid UTF-8 sequence, such as a character
 * that did not fit whole into the buffer.
 */
static void
cut_invalid(char *text)
{
	const char *end;

	if (!g_utf8_validate(text, -1, &end))
		text[end - text] = '\0';
}

/*
 * Adds a problem. When the list is nearly full, the last entry says that there
 * are more, and later problems are dropped.
 */
void
manifest_problem_add(GArray *problems, const char *path, const char *fmt, ...)
{
	manifest_problem_t problem;
	va_list ap;

	if (problems->len >= MANIFEST_PROBLEMS_MAX)
		return;
	if (problems->len == MANIFEST_PROBLEMS_MAX - 1) {
		path = "$";
		fmt = "there are further problems";
	}
	g_strlcpy(problem.path, path, sizeof(problem.path));
	va_start(ap, fmt);
	(void)vsnprintf(problem.reason, sizeof(problem.reason), fmt, ap);
	va_end(ap);
	cut_invalid(problem.path);
	cut_invalid(problem.reason);
	g_array_append_val(problems, problem);
}

/*
 * Tells whether there is a problem at the member of path or inside its value.
 */
bool
manifest_has_problem_at(
    const GArray *problems, const char *path, const char *member)
{
	g_autofree char *start = g_strconcat(path, member, NULL);

	for (guint i = 0; i < problems->len; i++)
		if (g_str_has_prefix(
			g_array_index(problems, manifest_problem_t, i).path,
			start))
			return true;
	return false;
}
