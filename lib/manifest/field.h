#ifndef MANIFEST_FIELD_H
#define MANIFEST_FIELD_H

#include <stdbool.h>
#include <stddef.h>
#include <inttypes.h>

#include <glib.h>
#include <jansson.h>

#define MANIFEST_PATH_BYTES 160

typedef enum {
	FIELD_NAME,   /* char[MANIFEST_NAME_BYTES] */
	FIELD_HOST,   /* char[256], lower case */
	FIELD_PREFIX, /* char[256], begins with '/' */
	FIELD_U32,
	FIELD_U64,
	FIELD_BOOL,
	FIELD_CLASS, /* request_class_t */
	FIELD_OTHER  /* read and written by the caller */
} field_kind_t;

/* One member of a JSON object and its place in a struct. */
typedef struct {
	const char *name;
	field_kind_t kind;
	size_t offset;
	bool required;
	uint64_t initial; /* number taken when the member is absent */
	uint64_t min;
	uint64_t max;
	size_t set_offset; /* bool that tells whether it is present, or 0 */
} field_t;

void field_path(
    char path[MANIFEST_PATH_BYTES], const char *parent, const char *member);
void field_read_all(const json_t *object, const char *path,
    const field_t *fields, size_t count, void *dest, GArray *problems);
json_t *field_write_all(
    const field_t *fields, size_t count, const void *source);

#endif
