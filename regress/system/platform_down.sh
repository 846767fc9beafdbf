# Guards against instances that are considered ended, or are rebooted while
# requests run on them. The platform's list of instances is stale, then the
# platform is down.
. ./lib.subr
start_system
start_load 16000 18
start_wave 1 && echo "a wave is started"
control_platform '{"do":"set","stale":true}'
sleep 4
control_platform '{"do":"set","stale":false,"down":true}'
sleep 4
control_platform '{"do":"set","down":false}'
wait_for "the wave continues" 10 reboots_begun 1 2
wait_for "no instance is lost" 10 table_has 1 7 '.state != "ended"'
verify_run 2 false
