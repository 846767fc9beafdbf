#ifndef CAPACITY_BENCH_H
#define CAPACITY_BENCH_H

/* The groups of measurements. Each prints its fits. */
void bench_log(void);
void bench_manifest(void);
void bench_queue(void);
void bench_wire(void);

#endif
