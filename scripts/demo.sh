#!/usr/bin/env bash
# Runs a small fleet on the loopback address for the operators' folder given
# (examples/lankawrap if none): platform, upstreams, 3 VMs with a router and a
# control process each. It streams one caption, confirms one order twice under
# one key, shows the budget before and after, and stops everything.
set -euo pipefail
cd "$(dirname "$0")/.."
FOLDER=${1:-examples/lankawrap}
RUN=$(mktemp -d "${TMPDIR:-/tmp}/buckthorn-demo.XXXXXX")
export RUN FOLDER
. scripts/fleet.sh
trap 'fleet_down; rm -rf "$RUN"' EXIT

case "$(basename "$FOLDER")" in
preiswarte) key=pw-desk-example workspace=desk model=survey-small kind=form_help confirm=/v1/services/records/submissions ;;
*) key=lw-counter-colombo-example workspace=counter-colombo model=panel-small kind=caption confirm=/v1/services/orders/confirmations ;;
esac

# post ROUTER PATH KEY BODY prints the answer as it arrives, and its status.
post() {
	local host port
	host=$(fleet_router "$1") port=${host##*:}
	exec 8<>"/dev/tcp/127.0.0.1/$port"
	printf 'POST %s HTTP/1.0\r\nHost: demo\r\nAuthorization: Bearer %s\r\nIdempotency-Key: %s\r\nContent-Length: %d\r\n\r\n%s' \
		"$2" "$key" "$3" "${#4}" "$4" >&8
	cat <&8
	exec 8<&- 8>&-
}

# text prints the words of a streamed answer as they come.
text() {
	local line word
	while IFS= read -r line; do
		[[ $line == *'"content":"'* ]] || continue
		word=${line#*\"content\":\"}
		printf '%s' "${word%%\"*}"
	done
	echo
}

echo "== starting platform, upstreams, controls and routers (logs in $RUN/log)"
fleet_up
fleet_top_up 100000
echo "== budget before"
fleet_ctl budget "$workspace/main"
echo "== a $kind, streamed by router 1"
post 1 /v1/chat/completions demo-caption \
	"{\"model\": \"$model\", \"stream\": true, \"max_tokens\": 60, \"metadata\": {\"kind\": \"$kind\"}, \"messages\": [{\"role\": \"user\", \"content\": \"Three words for a blue delivery van [[tokens=40]]\"}]}" | text
echo "== an order confirmed at router 2, and again at router 3 with the same key: it runs once"
for router in 2 3; do
	post "$router" "$confirm" demo-order '{"order": 17}' | tail -n 1
	echo
done
sleep 11 # the journals are folded each 10 s
echo "== budget after"
fleet_ctl budget "$workspace/main"
echo "== every budget checked from the table alone"
fleet_ctl audit --budgets
echo "== versions in force"
fleet_ctl status
echo "== stopping"
