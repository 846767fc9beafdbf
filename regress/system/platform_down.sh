# Guards against instances taken for ended, or rebooted with work on them, when
# the platform's list is stale and then the platform is down.
. ./lib.subr
start_system
start_load 16000 18
start_wave 1 && echo "a wave is started"
control_platform '{"do":"set","stale":true}'
sleep 4
control_platform '{"do":"set","stale":false,"down":true}'
sleep 4
control_platform '{"do":"set","down":false}'
wait_for "the wave goes on" 10 reboots 1 2
wait_for "no instance is lost" 10 table_has 1 7 '.state != "ended"'
finish 2 false
