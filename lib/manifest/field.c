#include <stdio.h>
#include <string.h>

#include "manifest/field.h"
#include "manifest/manifest.h"
#include "manifest/problem.h"

#define HOST_BYTES 256
#define PREFIX_BYTES 256

/*
 * Formats the JSON path of an object's member. Names that are not plain are
 * quoted in brackets; long ones are cut.
 */
void
field_path(
    char path[MANIFEST_PATH_BYTES], const char *parent, const char *member)
{
	bool plain = *member != '\0';

	for (const char *c = member; *c != '\0'; c++)
		plain =
		    plain && (g_ascii_isalnum(*c) || *c == '_' || *c == '-');
	(void)snprintf(path, MANIFEST_PATH_BYTES,
	    plain ? "%.90s.%.60s" : "%.90s[\"%.60s\"]", parent, member);
}

/*
 * Tells whether the text is a valid name: letters, digits, '.', '_' and '-',
 * the first a letter or digit. Names become parts of store keys and of URLs.
 */
static bool
is_name(const char *text)
{
	if (!g_ascii_isalnum(*text) || strlen(text) >= MANIFEST_NAME_BYTES)
		return false;
	for (; *text != '\0'; text++)
		if (!g_ascii_isalnum(*text) && strchr("._-", *text) == NULL)
			return false;
	return true;
}

static bool
is_host(const char *text)
{
	if (*text == '\0' || strlen(text) >= HOST_BYTES)
		return false;
	for (; *text != '\0'; text++)
		if (!g_ascii_islower(*text) && !g_ascii_isdigit(*text) &&
		    strchr(".-", *text) == NULL)
			return false;
	return true;
}

static bool
is_prefix(const char *text)
{
	if (*text != '/' || strlen(text) >= PREFIX_BYTES)
		return false;
	for (; *text != '\0'; text++)
		if (!g_ascii_isgraph(*text) || *text == '?' || *text == '#')
			return false;
	return true;
}

/*
 * Copies a string that passes the check. Returns NULL, or why it is refused.
 */
static const char *
decode_text(char *dest, size_t dest_bytes, const json_t *value,
    bool (*check)(const char *), const char *reason)
{
	if (!json_is_string(value))
		return "must be a string";
	if (!check(json_string_value(value)))
		return reason;
	g_strlcpy(dest, json_string_value(value), dest_bytes);
	return NULL;
}

static const char *
decode_number(
    const field_t *field, const json_t *value, void *dest, char reason[80])
{
	json_int_t number = json_integer_value(value);

	if (!json_is_integer(value))
		return "must be a whole number";
	if (number < 0 || (uint64_t)number < field->min ||
	    (uint64_t)number > field->max) {
		(void)snprintf(reason, 80,
		    "must be from %" PRIu64 " to %" PRIu64, field->min,
		    field->max);
		return reason;
	}
	if (field->kind == FIELD_U32)
		*(uint32_t *)dest = (uint32_t)number;
	else
		*(uint64_t *)dest = (uint64_t)number;
	return NULL;
}

static const char *
decode_bool(const json_t *value, bool *dest)
{
	if (!json_is_boolean(value))
		return "must be true or false";
	*dest = json_is_true(value);
	return NULL;
}

static const char *
decode_class(const json_t *value, request_class_t *dest)
{
	if (json_is_string(value) &&
	    request_class_parse(json_string_value(value), dest))
		return NULL;
	return "must be \"quick\", \"settlement\" or \"archive\"";
}

/*
 * Decodes one value into a struct member. Returns NULL, or why it is refused.
 */
static const char *
decode_value(
    const field_t *field, const json_t *value, char *dest, char reason[80])
{
	switch (field->kind) {
	case FIELD_NAME:
		return decode_text(dest, MANIFEST_NAME_BYTES, value, is_name,
		    "must be 1 to 63 letters, digits, '.', '_' or '-', the "
		    "first a letter or digit");
	case FIELD_HOST:
		return decode_text(dest, HOST_BYTES, value, is_host,
		    "must be a host name in lower case without a port");
	case FIELD_PREFIX:
		return decode_text(dest, PREFIX_BYTES, value, is_prefix,
		    "must begin with '/' and have no space, '?' or '#'");
	case FIELD_U32:
	case FIELD_U64:
		return decode_number(field, value, dest, reason);
	case FIELD_BOOL:
		return decode_bool(value, (bool *)(void *)dest);
	case FIELD_CLASS:
		return decode_class(value, (request_class_t *)(void *)dest);
	case FIELD_OTHER:
		break;
	}
	return NULL;
}

static void
set_default(const field_t *field, char *dest)
{
	if (field->kind == FIELD_U32)
		*(uint32_t *)(void *)dest = (uint32_t)field->default_value;
	else if (field->kind == FIELD_U64)
		*(uint64_t *)(void *)dest = field->default_value;
}

static void
report_unknown(const json_t *object, const char *path, const field_t *fields,
    size_t count, GArray *problems)
{
	char member[MANIFEST_PATH_BYTES];
	const json_t *value;
	const char *name;
	size_t i;

	json_object_foreach((json_t *)object, name, value)
	{
		for (i = 0; i < count; i++)
			if (strcmp(fields[i].name, name) == 0)
				break;
		if (i < count)
			continue;
		field_path(member, path, name);
		manifest_problem_add(problems, member, "unknown key");
	}
}

/*
 * Decodes an object into a struct, which the caller has zeroed. Unknown,
 * missing and malformed keys are added to problems.
 */
void
field_decode_all(const json_t *object, const char *path, const field_t *fields,
    size_t count, void *dest, GArray *problems)
{
	char member[MANIFEST_PATH_BYTES], text[80], *dest_field;
	const json_t *value;
	const char *reason;

	report_unknown(object, path, fields, count, problems);
	for (size_t i = 0; i < count; i++) {
		dest_field = (char *)dest + fields[i].offset;
		value = json_object_get(object, fields[i].name);
		reason = NULL;
		if (value != NULL)
			reason =
			    decode_value(&fields[i], value, dest_field, text);
		else if (fields[i].required)
			reason = "is missing";
		else
			set_default(&fields[i], dest_field);
		if (value != NULL && fields[i].present_offset != 0)
			*((bool *)dest + fields[i].present_offset) = true;
		if (reason == NULL)
			continue;
		field_path(member, path, fields[i].name);
		manifest_problem_add(problems, member, "%s", reason);
	}
}

/*
 * Returns the JSON value of one struct member, or NULL for an empty string.
 */
static json_t *
encode_value(const field_t *field, const char *source)
{
	switch (field->kind) {
	case FIELD_NAME:
	case FIELD_HOST:
	case FIELD_PREFIX:
		return *source == '\0' ? NULL : json_string(source);
	case FIELD_U32:
		return json_integer(*(const uint32_t *)(const void *)source);
	case FIELD_U64:
		return json_integer(
		    (json_int_t) * (const uint64_t *)(const void *)source);
	case FIELD_BOOL:
		return json_boolean(*(const bool *)source);
	case FIELD_CLASS:
		return json_string(request_class_name(
		    *(const request_class_t *)(const void *)source));
	case FIELD_OTHER:
		break;
	}
	return NULL;
}

/*
 * Encodes a struct as a JSON object with the keys in the order of fields.
 * Absent and empty ones are left out.
 */
json_t *
field_encode_all(const field_t *fields, size_t count, const void *source)
{
	json_t *object = json_object(), *value;

	for (size_t i = 0; i < count; i++) {
		if (fields[i].present_offset != 0 &&
		    !*((const bool *)source + fields[i].present_offset))
			continue;
		value = encode_value(
		    &fields[i], (const char *)source + fields[i].offset);
		if (value != NULL)
			json_object_set_new(object, fields[i].name, value);
	}
	return object;
}
