#ifndef SCHED_NAME_H
#define SCHED_NAME_H

/*
 * Size of ids and names from outside: host labels of up to 63 bytes, with the
 * NUL.
 */
#define SCHED_LABEL_BYTES 64
/* Size of the same, or of a pool's name with the suffix of a shard. */
#define SCHED_NAME_BYTES 96

#endif
