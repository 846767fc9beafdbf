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
	FIELD_OTHER  /* decoded and encoded by the caller */
} field_kind_t;

/* A key of a JSON object and the struct member that its value is stored in. */
typedef struct {
	const char *name;
	field_kind_t kind;
	size_t offset;
	bool required;
	uint64_t default_value; /* number to use when the key is absent */
	uint64_t min;
	uint64_t max;
	size_t present_offset; /* of a bool: the key is present; 0 none */
} field_t;

void field_path(
    char path[MANIFEST_PATH_BYTES], const char *parent, const char *member);
void field_decode_all(const json_t *object, const char *path,
    const field_t *fields, size_t count, void *dest, GArray *problems);
json_t *field_encode_all(
    const field_t *fields, size_t count, const void *source);

#endif
