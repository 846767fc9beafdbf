#ifndef STORE_REQUEST_H
#define STORE_REQUEST_H

#include <inttypes.h>

/* Request bodies of the etcd JSON gateway; the caller frees them with free().
 */
char *store_encode_range(const char *key);
char *store_encode_put(
    const char *key, const void *value, uint64_t size_bytes, uint64_t lease_id);
char *store_encode_put_if(const char *key, uint64_t expected_mod_revision,
    const void *value, uint64_t size_bytes, uint64_t lease_id);
char *store_encode_lease_grant(uint32_t ttl_s);
char *store_encode_lease_id(uint64_t lease_id);
char *store_encode_watch(const char *key, uint64_t from_revision);

#endif
