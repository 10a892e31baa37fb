#!/usr/bin/env bash
# Measures routers as processes on loopback, for docs/CAPACITY.md. Needs curl.
#
#   scripts/measure-router.sh cpu VMS          processor time and table calls per
#                                              request, for answers of 1 to 400 tokens
#   scripts/measure-router.sh idle VMS         table calls, and what control processes
#                                              cost, in a fleet without requests
#   scripts/measure-router.sh streams VMS      memory with 250, 500, 1000 open streams
#   scripts/measure-router.sh connections VMS  memory of router 1 with 2500, 5000 and
#                                              10000 idle connections
#
# VMS is the number of VMs. Runs at once need BASE_PORTs that are 1000 apart.
set -uo pipefail
cd "$(dirname "$0")/.."
[ $# -eq 2 ] || { sed -n '2,13p' "$0" >&2; exit 2; }
mode=$1 VMS=$2
export BASE_PORT=${BASE_PORT:-28000}
RUN=$(mktemp -d)
mkdir "$RUN/lankawrap"
cp examples/lankawrap/*.jsonc "$RUN/lankawrap"
slots=16 step=10ms
[ "$mode" = streams ] && slots=256 step=400ms
sed -i -E "s/\"slots\": 16/\"slots\": $slots/" "$RUN"/lankawrap/*.jsonc
FOLDER=$RUN/lankawrap
. scripts/fleet.sh
# The engines' own settings are the fleet's, but for the time of a step.
eval "plain_$(declare -f fleet_settings_upstreams)"
fleet_settings_upstreams() {
	plain_fleet_settings_upstreams
	sed -i "s/\"engine\": {/&\"step_base\": \"$step\", /" "$RUN"/settings/design-*.jsonc
}
# Another run's platform would take this run's processes for its own.
if (http_get "$(fleet_platform)" /healthz) >/dev/null 2>&1; then
	echo "port $BASE_PORT is in use" >&2
	rm -rf "$RUN"
	exit 1
fi
trap 'fleet_down; rm -rf "$RUN"' EXIT
fleet_up >"$RUN/up" 2>&1 || { cat "$RUN/up" >&2; exit 1; }
fleet_top_up 100000000 >"$RUN/up" 2>&1

# routers_cpu prints the processor time of all routers together, in ms.
routers_cpu() {
	local i
	for i in $(seq "$VMS"); do cat "/proc/$(cat "$RUN/pid/router-$i")/stat"; done |
		awk '{ms += ($14 + $15) * 10} END {print ms}'
}
# routers_rss prints the resident memory of routers FIRST to LAST together, in KiB.
routers_rss() {
	local i
	for i in $(seq "$1" "$2"); do cat "/proc/$(cat "$RUN/pid/router-$i")/status"; done |
		awk '/^VmRSS/ {kib += $2} END {print kib}'
}
# table prints the reads and scans, transactions and rows written so far.
table() {
	http_get "$(fleet_platform)" /debug/counters | tr ',{}' '\n' | awk -F: '
		/"reads"|"scans"/ {reads += $2} /"txns"/ {txns = $2} /"rows_written"/ {rows = $2}
		END {print reads, txns, rows}'
}
# ask COUNT TOKENS TOGETHER sends streamed requests, so many at once, through all
# routers in turn, and leaves one line per answer with its HTTP status.
ask() {
	local i workspaces
	mapfile -t workspaces < <(fleet_workspaces)
	for i in $(seq "$1"); do
		[ "$i" -gt 1 ] && echo next
		echo "url = http://$(fleet_router $((i % VMS + 1)))/v1/chat/completions"
		echo "header = \"Authorization: Bearer $(fleet_prefix)-${workspaces[i % ${#workspaces[@]}]}-example\""
		echo "data = \"{\\\"model\\\":\\\"livery-large\\\",\\\"stream\\\":true,\\\"max_tokens\\\":$2,\\\"metadata\\\":{\\\"kind\\\":\\\"full_brief\\\"},\\\"messages\\\":[{\\\"role\\\":\\\"user\\\",\\\"content\\\":\\\"a wrap $i of $RANDOM [[tokens=$2]]\\\"}]}\""
		echo "output = /dev/null"
		echo 'write-out = "%{http_code}\n"'
	done >"$RUN/ask-$1-$2-$4"
	curl -sN --parallel --parallel-immediate --parallel-max "$3" -K "$RUN/ask-$1-$2-$4" >"$RUN/answers-$4" 2>/dev/null
}
# controls prints processor time in ms, bytes read and written, and resident KiB
# of all control processes together.
controls() {
	local i pid
	for i in $(seq "$VMS"); do
		pid=$(cat "$RUN/pid/control-$i")
		cat "/proc/$pid/stat" "/proc/$pid/io" "/proc/$pid/status"
	done | awk '/^[0-9]/ {ms += ($14 + $15) * 10} /^rchar|^wchar/ {bytes += $2} /^VmRSS/ {kib += $2}
		END {printf "%d ms, %d B, %d KiB", ms, bytes, kib}'
}
load() { cut -d' ' -f1 /proc/loadavg; }

# measure_idle SETTLE SECONDS: control processes share the journals by a list that
# they look at each 30 s, so a fleet has settled only after that.
measure_idle() {
	local cpu a
	sleep "$1"
	echo "controls before: $(controls)"
	cpu=$(routers_cpu) a=$(table)
	sleep "$2"
	echo "idle: $(($(routers_cpu) - cpu)) ms of all routers in $2 s; reads, transactions, rows before: $a; after: $(table); load $(load)"
	echo "controls after: $(controls)"
}

measure_cpu() {
	local tokens cpu cpu2 t0 t1 a b
	measure_idle 5 10
	for tokens in 1 100 400; do
		cpu=$(routers_cpu) a=$(table) t0=$(date +%s%N)
		ask 600 "$tokens" 60 "$tokens"
		t1=$(date +%s%N) cpu2=$(routers_cpu) b=$(table)
		echo "600 requests of $tokens tokens: $(((t1 - t0) / 1000000)) ms, routers' processor time $((cpu2 - cpu)) ms;" \
			"reads, transactions, rows before: $a; after: $b; statuses: $(sort "$RUN/answers-$tokens" | uniq -c | tr -s '\n ' ' '); controls $(controls); load $(load)"
	done
}

measure_streams() {
	local open part before during
	for open in 250 500 1000; do
		sleep 3
		before=$(routers_rss 1 "$VMS")
		for part in $(seq $((open / 250))); do ask 250 80 250 "$open-$part" & done
		sleep 20
		during=$(routers_rss 1 "$VMS")
		echo "$open streams: RSS of all routers $before KiB before, $during KiB after 20 s; active:" \
			"$(for i in $(seq "$VMS"); do http_get "$(fleet_router_admin "$i")" /debug/vars | grep -i '"[a-z_.]*active[a-z_]*"' | tr -d '\n'; done); load $(load)"
		sleep 35
		cat "$RUN"/answers-"$open"-* | sort | uniq -c
	done
}

measure_connections() {
	local fd n before
	before=$(routers_rss 1 1)
	for n in $(seq 10000); do
		exec {fd}<>"/dev/tcp/127.0.0.1/$(fleet_port 401)"
		printf 'GET /none HTTP/1.1\r\nHost: router\r\n\r\n' >&"$fd"
		case $n in 2500 | 5000 | 10000)
			sleep 1
			echo "$n idle connections: RSS $before KiB before, $(routers_rss 1 1) KiB; open sockets $(ls "/proc/$(cat "$RUN/pid/router-1")/fd" | wc -l); load $(load)"
			;;
		esac
	done
}

case "$mode" in
idle) measure_idle 45 20 ;;
*) "measure_$mode" ;;
esac
