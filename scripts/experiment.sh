#!/usr/bin/env bash
# Runs one scenario on a fresh fleet of processes and writes its report:
#   scripts/experiment.sh NAME SEED FILE.json
# Exit code 0 only if every bar of zero held. Runs at once need BASE_PORTs that
# are 1000 apart; FOLDER, VMS and RUN are as in fleet.sh. RUN, with settings and
# logs, is removed after a run that passed, unless KEEP is set.
set -uo pipefail
cd "$(dirname "$0")/.."
[ $# -eq 3 ] || { sed -n '2,7p' "$0" >&2; exit 2; }
name=$1 seed=$2 report=$3
case "$name" in scale-small) : "${VMS:=8}" ;; esac
export BASE_PORT=${BASE_PORT:-20000}
RUN=${RUN:-$(mktemp -d "${TMPDIR:-/tmp}/buckthorn-$name-XXXXXX")}
. scripts/fleet.sh

# load_settings writes the tool's settings.
load_settings() {
	local i comma=""
	echo "{\"platform\": \"$(fleet_platform)\", \"token\": \"$(fleet_token)\", \"requests\": \"$RUN/requests\", \"keys\": {"
	fleet_workspaces | while read -r workspace; do
		echo "$comma\"$workspace\": \"$(fleet_prefix)-$workspace-example\""
		comma=","
	done
	echo "}, \"vms\": ["
	comma=""
	for i in $(seq 1 "$VMS"); do
		echo "$comma{\"id\": \"vm-$i\", \"router\": \"$(fleet_router "$i")\", \"router_admin\": \"$(fleet_router_admin "$i")\","
		echo "\"api\": \"$(fleet_api "$i")\", \"control_pid\": \"$RUN/pid/control-$i\"}"
		comma=","
	done
	echo "]}"
}

# serve_requests does to this run's processes what the tool asks for.
serve_requests() {
	local verb target
	while read -r verb target; do
		[ -f "$RUN/pid/$target" ] || { echo "no process $target" >&2; continue; }
		case "$verb" in
		kill | stop | cont | term) fleet_signal "${verb^^}" "$target" ;;
		start) fleet_start "$target" ;;
		restart) fleet_restart "$target" & ;;
		esac
	done <"$RUN/requests"
}

mkdir -p "$RUN"
mkfifo "$RUN/requests"
trap 'fleet_down' EXIT
fleet_up || { echo "the fleet did not start; logs: $RUN/log" >&2; exit 1; }
load_settings >"$RUN/load.jsonc"
# Both ends stay open on 9, so that the reader sees no end before the run's.
exec 9<>"$RUN/requests"
serve_requests &
server=$!
"$BIN/buckthorn-load" run --scenario "$name" --seed "$seed" --settings "$RUN/load.jsonc" --report "$report" 9>&-
code=$?
kill "$server" 2>/dev/null
trap - EXIT
fleet_down
if [ "$code" -eq 0 ] && [ -z "${KEEP:-}" ]; then rm -r "$RUN"; else echo "settings and logs: $RUN" >&2; fi
exit "$code"
