#!/usr/bin/env bash
# Runs all tests with the race detector, and those of packages with bubbles again
# without it: with it, bubbles run on one processor (package bubble), so that each
# test of these packages gets a process of its own. Tests listed in KNOWN-RED.txt are
# skipped and printed; each line there reads: test, command, seed, seen, issue.
set -euo pipefail
cd "$(dirname "$0")/.."

export GO="${GO:-go}"
# Tests that measure a process need the machine for themselves, and come last.
alone='^TestCrowd'
known='^$'
skip="$alone"
if [ -f KNOWN-RED.txt ]; then
	while IFS=, read -r name rest; do
		case "$name" in ''|'#'*) continue ;; esac
		echo "KNOWN RED, skipped: $name,$rest"
		skip="$skip|^${name}\$"
		known="$known|^${name}\$"
	done <KNOWN-RED.txt
fi

# One package a line, with what its tests import.
listed="$("$GO" list -f '{{.ImportPath}} {{join .TestImports " "}} {{join .XTestImports " "}}' ./...)"
mapfile -t bubbles < <(awk '/ buckthornridge\/bubble( |$)/ {print $1}' <<<"$listed")
mapfile -t others < <(awk '!/ buckthornridge\/bubble( |$)/ {print $1}' <<<"$listed")
if git grep -lF 'synctest.Test(' -- '*.go' ':!bubble/bubble.go'; then
	echo "use bubble.Test in these files"
	exit 1
fi

# A package's tests may take long beside other work; go's own limit is ten minutes.
export LIMIT=30m SKIP="$skip"

failed=0
"$GO" test -race -count=1 -timeout="$LIMIT" -skip "$skip" "${others[@]}" &
others_pid=$!
scripts/split-tests.sh -race "${bubbles[@]}" || failed=1
wait "$others_pid" || failed=1
echo "Without the race detector, bubbles on all processors:"
scripts/split-tests.sh "${bubbles[@]}" || failed=1
echo "Alone:"
"$GO" test -count=1 -timeout="$LIMIT" -run "$alone" -skip "$known" ./platform || failed=1
exit "$failed"
