#ifndef CAPACITY_BENCH_H
#define CAPACITY_BENCH_H

/* The benchmarks. Each prints its measurements and the lines fitted to them. */
void bench_log(void);
void bench_manifest(void);
void bench_queue(void);
void bench_wire(void);

#endif
