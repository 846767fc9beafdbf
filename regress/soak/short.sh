#!/bin/sh
# Guards against rules broken when instances leave, the store is away and entry
# processes are lost, all within seconds: a short run of the soak.
. ./lib.subr

run_soak "${SOAK_SEED:-7}"
