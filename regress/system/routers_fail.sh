# Guards against an instance that reboots, or a slot that is granted to another
# router, while a router that was killed or paused may still use it.
. ./lib.subr
start_system
start_load 14000 14
# A router that acknowledges that an instance leaves, with no request on it, allows
# the reboot. One that is stopped until it is killed acknowledges nothing.
send_signal router11 STOP
start_wave 1 && start_wave 2 && echo "the waves are started"
send_signal router11 KILL
send_signal router21 STOP
sleep 5
send_signal router21 CONT
control_platform '{"do":"end","id":"e11"}'
echo "router 1 of dc1 has ended, router 1 of dc2 continues"
wait_for "the wave of dc2 makes progress" 12 reboots_begun 2 1
sleep 5
# The requests of a killed router may run until the hard deadline of 30 s.
reboots_begun 1 1 >/dev/null ||
    echo "the wave of dc1 waits for the hard deadline"
verify_run 2 true
