# Guards against an instance that reboots, or a slot granted again, while a
# router that was killed or frozen may still use it.
. ./lib.subr
start_system
start_load 14000 14
start_wave 1 && start_wave 2 && echo "the waves are started"
stop router11 KILL
stop router21 STOP
sleep 5
stop router21 CONT
control_platform '{"do":"end","id":"e11"}'
echo "router 1 of dc1 has ended, the one of dc2 goes on"
wait_for "the wave of dc2 makes progress" 12 reboots 2 1
sleep 5
# A killed router's requests may run on for the hard deadline of 30 s.
reboots 1 1 >/dev/null || echo "the wave of dc1 waits for the hard deadline"
finish 2 true
