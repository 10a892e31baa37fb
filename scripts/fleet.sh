# Functions to start and stop a fleet of plain processes on the loopback
# address. Source this file; it runs nothing by itself.
#
# Variables (all have defaults):
#   RUN        directory of this run: settings, logs, pids
#   FOLDER     operators' folder with upstreams on 127.0.0.1:7xxx
#   BASE_PORT  first port of this run (7000); runs at once need 1000 ports each
#   BASELINE   true: routers write the table for each request (false)
#   VMS        number of VMs, each a router and a control process (3)
#   BIN        where the programs are (bin)

# shellcheck source=scripts/http.sh
. "$(dirname "${BASH_SOURCE[0]}")/http.sh"

: "${BIN:=bin}" "${BASE_PORT:=7000}" "${VMS:=3}" "${FOLDER:=examples/lankawrap}"
: "${READY_TRIES:=150}" # of 0.1 s each
fleet_port() { echo $((BASE_PORT + $1)); }
fleet_platform() { echo "127.0.0.1:$(fleet_port 0)"; }
fleet_router() { echo "127.0.0.1:$(fleet_port $((400 + $1)))"; }
fleet_router_admin() { echo "127.0.0.1:$(fleet_port $((600 + $1)))"; }
fleet_api() { echo "127.0.0.1:$(fleet_port $((300 + $1)))"; }

# fleet_prefix gives the start of the folder's example keys and tokens.
fleet_prefix() { case "$(basename "$FOLDER")" in preiswarte) echo pw ;; *) echo lw ;; esac; }
fleet_token() { echo "$(fleet_prefix)-admin-platform-owner-example"; }

# fleet_write_settings writes one settings file per process into $RUN, and a
# copy of the folder with this run's ports.
fleet_write_settings() {
	mkdir -p "$RUN/settings" "$RUN/log" "$RUN/pid" "$RUN/folder"
	for file in "$FOLDER"/*.jsonc; do
		sed -E "s/127\.0\.0\.1:7([0-9]{3})/127.0.0.1:${BASE_PORT%000}\1/" "$file" >"$RUN/folder/$(basename "$file")"
	done
	fleet_settings_platform
	fleet_settings_upstreams
	local i
	for i in $(seq 1 "$VMS"); do fleet_settings_vm "$i"; done
}

fleet_settings_platform() {
	echo "{\"address\": \"$(fleet_platform)\", \"vm_list_lag\": \"${VM_LIST_LAG:-1s}\"}" >"$RUN/settings/platform.jsonc"
}

# fleet_settings_upstreams reads the engines and servers from the folder, where
# each stands on a line of its own.
fleet_settings_upstreams() {
	local line id kind address dc own slots fencing
	local entry='^ *"([^"]+)": \{"kind": "(engine|service)", "address": "([^"]+)", "data_centre": "([^"]+)"(.*)'
	: >"$RUN/upstreams"
	while IFS= read -r line; do
		[[ $line =~ $entry ]] || continue
		id=${BASH_REMATCH[1]} kind=${BASH_REMATCH[2]} address=${BASH_REMATCH[3]} dc=${BASH_REMATCH[4]}
		line=${BASH_REMATCH[5]}
		if [ "$kind" = engine ]; then
			slots=$(fleet_field slots "$line") fencing=$(fleet_field fencing "$line")
			own="\"engine\": {\"models\": $(fleet_field models "$line"), \"slots\": ${slots:-16}, \"fencing\": ${fencing:-false}}"
		else
			own="\"service\": {\"name\": $(fleet_field service "$line")}"
		fi
		echo "{\"id\": \"$id\", \"kind\": \"$kind\", \"address\": \"$address\", \"data_centre\": \"$dc\", \"region\": \"$FLEET_REGION\", \"platform\": \"$(fleet_platform)\", $own}" \
			>"$RUN/settings/$id.jsonc"
		echo "$id" >>"$RUN/upstreams"
	done < <(cat "$RUN"/folder/*.jsonc)
}

# fleet_field NAME LINE prints a field's list, string, number or boolean.
fleet_field() {
	local field="\"$1\": (\\[[^]]*\\]|\"[^\"]*\"|[a-z0-9]+)"
	if [[ $2 =~ $field ]]; then echo "${BASH_REMATCH[1]}"; fi
}

fleet_settings_vm() {
	local i=$1 dcs dc
	read -ra dcs <<<"$FLEET_DATA_CENTRES"
	dc=${dcs[$(((i - 1) % ${#dcs[@]}))]}
	local place="\"vm\": \"vm-$i\", \"data_centre\": \"$dc\", \"region\": \"$FLEET_REGION\", \"platform\": \"$(fleet_platform)\""
	cat >"$RUN/settings/router-$i.jsonc" <<-END
		{$place, "listen": "$(fleet_router "$i")", "admin_listen": "$(fleet_router_admin "$i")",
		"peer_listen": "127.0.0.1:$(fleet_port $((500 + i)))", "drain_limit": "30s", "baseline": ${BASELINE:-false}}
	END
	cat >"$RUN/settings/control-$i.jsonc" <<-END
		{$place, "admin_listen": "$(fleet_api "$i")", "peer_listen": "127.0.0.1:$(fleet_port $((350 + i)))",
		"bootstrap": "$(printf %s "$(fleet_token)" | sha256sum | cut -d' ' -f1)"}
	END
}

# fleet_places sets the region and the data centres from the folder.
fleet_places() {
	local places="$FOLDER/10-fleet.jsonc"
	FLEET_REGION=$(sed -nE 's/.*"region": *"([^"]+)".*/\1/p' "$places" | head -n 1)
	FLEET_DATA_CENTRES=$(sed -nE 's/^ *"([^"]+)": *\{"region".*/\1/p' "$places" | tr '\n' ' ')
}

# fleet_start NAME starts the process of $RUN/settings/NAME.jsonc.
fleet_start() {
	local name=$1 program
	case "$name" in
	platform) program=buckthorn-platform ;;
	router-*) program=buckthorn-router ;;
	control-*) program=buckthorn-control ;;
	*) program=buckthorn-upstream ;;
	esac
	"$BIN/$program" "$RUN/settings/$name.jsonc" >>"$RUN/log/$name.log" 2>&1 &
	echo $! >"$RUN/pid/$name"
}

# fleet_signal SIGNAL NAME sends a signal to one process of this run.
fleet_signal() { kill "-$1" "$(cat "$RUN/pid/$2")" 2>/dev/null; }

# fleet_alive NAME tells whether the process runs; one that ended and was not
# waited for does not.
fleet_alive() {
	local state
	state=$(sed 's/.*) //' "/proc/$(cat "$RUN/pid/$1")/stat" 2>/dev/null) || return 1
	[ -n "$state" ] && [ "${state%% *}" != Z ]
}

# fleet_restart NAME is a planned stop and a start.
fleet_restart() {
	local try
	fleet_signal TERM "$1"
	for try in $(seq 1 $((${RESTART_SECONDS:-40} * 10))); do
		fleet_alive "$1" || break
		sleep 0.1
	done
	fleet_start "$1"
}

# fleet_wait_http HOST:PORT PATH waits until the address answers 200.
fleet_wait_http() {
	local try
	for try in $(seq 1 "$READY_TRIES"); do
		(http_get "$1" "$2") >/dev/null 2>&1 && return 0
		sleep 0.1
	done
	echo "not ready: $1$2" >&2
	return 1
}

# fleet_ctl calls buckthornctl on the first VM's administration API.
fleet_ctl() { BUCKTHORN_TOKEN=$(fleet_token) BUCKTHORN_API="http://$(fleet_api 1)" "$BIN/buckthornctl" "$@"; }

# fleet_up starts everything and returns once every router serves callers.
fleet_up() {
	local name i
	fleet_places
	fleet_write_settings
	fleet_start platform
	fleet_wait_http "$(fleet_platform)" /healthz || return 1
	# Another run on the same ports would answer for this one.
	fleet_alive platform || { echo "ports from $BASE_PORT are in use" >&2; return 1; }
	while read -r name; do fleet_start "$name"; done <"$RUN/upstreams"
	for i in $(seq 1 "$VMS"); do fleet_start "control-$i"; done
	for i in $(seq 1 "$VMS"); do fleet_wait_http "$(fleet_api "$i")" /healthz || return 1; done
	fleet_ctl apply "$RUN/folder" || return 1
	for i in $(seq 1 "$VMS"); do fleet_start "router-$i"; done
	for i in $(seq 1 "$VMS"); do
		fleet_wait_http "$(fleet_router_admin "$i")" /readyz || return 1
		fleet_wait_http "$(fleet_api "$i")" /readyz || return 1
	done
}

# fleet_workspaces lists the folder's workspaces.
fleet_workspaces() { sed -nE 's/^    "([^"]+)": \{$/\1/p' "$FOLDER"/70-workspaces.jsonc; }

# fleet_top_up TOKENS buys so many tokens for every workspace's main budget.
fleet_top_up() {
	local workspace
	for workspace in $(fleet_workspaces); do
		fleet_ctl topup "$workspace/main" "$1" --id first || return 1
	done
}

# fleet_down stops every process of this run: TERM, the platform last because a
# planned stop hands over through it, and KILL for what is left after
# STOP_SECONDS. CONT lets a stopped process see the signal.
fleet_down() {
	local file
	for file in "$RUN"/pid/*; do
		[ "$(basename "$file")" = platform ] && continue
		kill -CONT "$(cat "$file")" 2>/dev/null || true
		kill -TERM "$(cat "$file")" 2>/dev/null || true
	done
	fleet_wait_ended platform
	fleet_signal TERM platform || true
	fleet_wait_ended ""
	for file in "$RUN"/pid/*; do kill -KILL "$(cat "$file")" 2>/dev/null || true; done
	wait 2>/dev/null || true
	return 0
}

# fleet_wait_ended NAME waits until all processes but this one ended.
fleet_wait_ended() {
	local tries=$((${STOP_SECONDS:-8} * 10))
	while [ "$tries" -gt 0 ] && fleet_any_alive "$1"; do
		sleep 0.1
		tries=$((tries - 1))
	done
}

# fleet_any_alive BUT tells whether any process but this one runs.
fleet_any_alive() {
	local file name
	for file in "$RUN"/pid/*; do
		name=$(basename "$file")
		[ "$name" != "$1" ] && fleet_alive "$name" && return 0
	done
	return 1
}
