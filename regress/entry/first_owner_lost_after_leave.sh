#!/bin/sh
# Guards against tasks that last and wait too long after their instance left while
# the store was away, because the owner is lost that saw their runs end.
. ./leave.subr

start_lasting
leave_without_store
lose "$first"
run_again
doubles
