#!/bin/sh
# Guards against requests and tasks that are lost in planned work: entry processes
# that shut down, settings, configurations, upkeep and moves of machines.
. ./lib.subr

run_soak "${SOAK_SEED:-5}"
