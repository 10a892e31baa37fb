#!/usr/bin/env bash
# Measures a control process on loopback against the number of workspaces, VMs
# and changes: resident memory, processor time and bytes read and written.
# Usage: scripts/measure-control.sh WORKSPACES VMS [CHANGES]
#
# Two control processes run against the stand-in platform. The first serves the
# applies, the second only follows, as most of a fleet does. Prints one line:
# what both cost idle each second, and what a change adds to each.
set -euo pipefail
cd "$(dirname "$0")/.."
workspaces=$1 vms=$2 changes=${3:-20}
idle=20 # seconds
dir=$(mktemp -d)
pids=()
finish() {
	for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
	wait
	rm -rf "$dir"
}
trap finish EXIT

${GO:-go} build -o "$dir/" ./cmd/buckthorn-platform ./cmd/buckthorn-control ./cmd/buckthornctl
cp -r examples/lankawrap "$dir/folder"
{
	echo '{"workspaces": {'
	od -An -v -tx1 -w64 -N $((workspaces * 64)) /dev/urandom | tr -d ' ' | awk '{
		printf "\"customer-%05d\": {\"team\": \"studios\", \"share\": 1, \"keys\": {\"%s\": \"main\", \"%s\": \"main\"}, \"budgets\": {\"main\": {}}},\n", NR, substr($0, 1, 64), substr($0, 65)
	}'
	echo '}}'
} >"$dir/folder/80-customers.jsonc"

echo '{"address": "127.0.0.1:17900"}' >"$dir/platform.jsonc"
"$dir/buckthorn-platform" "$dir/platform.jsonc" >"$dir/platform.log" 2>&1 &
pids+=($!)
sleep 0.5
for i in $(seq 3 "$vms"); do
	curl -sf -o "$dir/out" -H "X-Vm: vm-$i" 127.0.0.1:17900/v1/vms -d "{\"id\": \"vm-$i\", \"incarnation\": \"1\", \"role\": \"router\", \"data_centre\": \"colombo-a\", \"region\": \"lk-west\", \"address\": \"127.0.0.1:9\", \"peer_address\": \"127.0.0.1:9\", \"state\": \"live\"}"
done
digest=$(printf %s bootstrap | sha256sum | cut -d' ' -f1)
for i in 1 2; do
	echo "{\"vm\": \"vm-$i\", \"data_centre\": \"colombo-a\", \"region\": \"lk-west\", \"platform\": \"127.0.0.1:17900\", \"admin_listen\": \"127.0.0.1:1730$i\", \"peer_listen\": \"127.0.0.1:1740$i\", \"bootstrap\": \"$digest\"}" >"$dir/control$i.jsonc"
	"$dir/buckthorn-control" "$dir/control$i.jsonc" >"$dir/control$i.log" 2>&1 &
	pids+=($!)
	sleep 1
done
export BUCKTHORN_API=http://127.0.0.1:17301
BUCKTHORN_TOKEN=bootstrap "$dir/buckthornctl" apply "$dir/folder" >"$dir/out"
sleep 5

# sample PID prints processor time in ms, bytes read and written, RSS in KiB.
sample() {
	local ticks
	ticks=$(awk '{print $14 + $15}' "/proc/$1/stat")
	awk -v ms=$((ticks * 10)) '/^rchar|^wchar/ {bytes += $2} END {printf "%d %d ", ms, bytes}' "/proc/$1/io"
	awk '/^VmRSS/ {print $2}' "/proc/$1/status"
}

export BUCKTHORN_TOKEN=lw-admin-platform-owner-example
first=${pids[1]} second=${pids[2]}
read -r cpu1 bytes1 _ < <(sample "$first")
read -r cpu2 bytes2 _ < <(sample "$second")
sleep "$idle"
read -r idleCPU1 idleBytes1 _ < <(sample "$first")
read -r idleCPU2 idleBytes2 _ < <(sample "$second")
start=$(date +%s%N)
for i in $(seq "$changes"); do
	sed -i "0,/\"share\": [0-9]*/s//\"share\": $((i + 10))/" "$dir/folder/80-customers.jsonc"
	"$dir/buckthornctl" apply "$dir/folder" >"$dir/out"
	sleep 1
done
sleep 3
ms=$((($(date +%s%N) - start) / 1000000))
read -r endCPU1 endBytes1 rss1 < <(sample "$first")
read -r endCPU2 endBytes2 rss2 < <(sample "$second")

awk -v w="$workspaces" -v v="$vms" -v n="$changes" -v idle="$idle" -v s="$ms" \
	-v c1=$((idleCPU1 - cpu1)) -v b1=$((idleBytes1 - bytes1)) -v c2=$((idleCPU2 - cpu2)) -v b2=$((idleBytes2 - bytes2)) \
	-v C1=$((endCPU1 - idleCPU1)) -v B1=$((endBytes1 - idleBytes1)) -v C2=$((endCPU2 - idleCPU2)) -v B2=$((endBytes2 - idleBytes2)) \
	-v r1="$rss1" -v r2="$rss2" 'BEGIN {
	s /= 1000
	printf "workspaces %d, VMs %d: ", w + 10, v
	printf "serving: RSS %.1f MiB, idle %.2f ms/s CPU %.0f B/s, a change %.1f ms CPU %.0f B; ", r1 / 1024, c1 / idle, b1 / idle, (C1 - c1 / idle * s) / n, (B1 - b1 / idle * s) / n
	printf "following: RSS %.1f MiB, idle %.2f ms/s CPU %.0f B/s, a change %.1f ms CPU %.0f B\n", r2 / 1024, c2 / idle, b2 / idle, (C2 - c2 / idle * s) / n, (B2 - b2 / idle * s) / n
}'
