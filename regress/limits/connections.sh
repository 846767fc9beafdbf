#!/bin/sh
# Guards against connections that take all memory or all descriptors: headers that
# never end, connections that send nothing, pipelined requests, answers that are
# never read, and streams of HTTP/2. Each kind has a process of its own.
. ./lib.subr

start_all 5
attack 1 header "$(front 1)" 550
attack 2 silent "$(front 2)" 800
attack 3 pipelined "$(front 3)" 60
attack 4 unread "$(front 4)" 60
attack 5 http2 "$(front 5)" 60
