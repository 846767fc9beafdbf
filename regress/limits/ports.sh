#!/bin/sh
# Guards against the same at the ports that only the load balancer, scrapers and
# other entry processes should reach. Each kind has a process of its own.
. ./lib.subr

start_all 6
attack 1 silent "$(ready_port 1)" 300
attack 2 header "$(ready_port 2)" 300
attack 3 unread-metrics "$(($(peer_port 3) + 1))" 300
attack 4 whole "$(ready_port 4)" 300
attack 5 silent "$(peer_port 5)" 800
attack 6 frame "$(peer_port 6)" 160
