# Guards against --wait ending although a data centre has not confirmed the
# generation, and against a malformed status that counts as a confirmation.
. ./lib.subr
start_store
put /gw/dc/bb-1/status '{"data_centre":"bb-1","generation":1,"epoch":7}'
put /gw/dc/bb-2/status '{"data_centre":"bb-2","generation":"1","epoch":7}'
run manifest apply "$GW_TOP/examples/birlik.json" --wait --wait-timeout-s 1
put /gw/dc/bb-2/status '{"data_centre":"bb-2","generation":0,"epoch":7}'
put /gw/dc/bb-3/status '{"data_centre":"bb-1","generation":1,"epoch":7}'
run manifest apply "$GW_TOP/examples/birlik.json" --wait --wait-timeout-s 0
put /gw/dc/bb-2/status '{"data_centre":"bb-2","generation":2,"epoch":7}'
(sleep 0.5; put /gw/dc/bb-3/status '{"data_centre":"bb-3","generation":1,"epoch":7}') &
late=$!
run manifest apply "$GW_TOP/examples/birlik.json" --wait --wait-timeout-s 10
wait $late
