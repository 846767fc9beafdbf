#ifndef STORE_REQUEST_H
#define STORE_REQUEST_H

#include <inttypes.h>

/* Request bodies of the JSON gateway; the caller frees them with free(). */
char *store_request_range(const char *key);
char *store_request_put(
    const char *key, const void *value, uint64_t size_bytes, uint64_t lease_id);
char *store_request_put_if(const char *key, uint64_t expected_mod_revision,
    const void *value, uint64_t size_bytes, uint64_t lease_id);
char *store_request_lease_grant(uint32_t ttl_s);
char *store_request_lease(uint64_t lease_id);
char *store_request_watch(const char *key, uint64_t from_revision);

#endif
