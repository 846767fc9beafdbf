#ifndef SCHED_NAME_H
#define SCHED_NAME_H

/* Ids and names from outside: host labels of up to 63 bytes, with the NUL. */
#define SCHED_LABEL_BYTES 64
/* The same, or a pool's name with the mark of a part. */
#define SCHED_NAME_BYTES 96

#endif
