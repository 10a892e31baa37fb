#!/usr/bin/env bash
# Runs each test of some packages in a process of its own, as many at a time as there are
# processors: split-tests.sh [-race] PACKAGE...
# Environment: GO, the go command; LIMIT, the time for one test; SKIP, a pattern of tests.
# Fails if a test fails or if one that is listed has no result.
set -euo pipefail

flags=""
if [ "${1:-}" = -race ]; then
	flags=-race
	shift
fi
work="$(mktemp -d)"
trap 'rm -rf "$work"' EXIT

# The tests of a package: its binary and one test a line. go vet has its own step.
list_tests() {
	local binary="$work/${1//\//_}.test" directory
	directory="$("$GO" list -f '{{.Dir}}' "$1")"
	"$GO" test -c -vet=off $flags -o "$binary" "$1"
	(cd "$directory" && "$binary" -test.list '^(Test|Fuzz|Example)') | while read -r test; do
		if [ -z "$SKIP" ] || ! grep -qE "$SKIP" <<<"$test"; then
			echo "$1 $directory $binary $test"
		fi
	done
}

run_test() {
	local output="$work/output-${1//\//_}-$4" status=0
	(cd "$2" && "$3" -test.run "^$4\$" -test.v -test.timeout "$LIMIT") >"$output" 2>&1 || status=$?
	if [ "$status" -eq 0 ] && grep -qE "^--- (PASS|SKIP): $4 " "$output"; then
		echo "ok   $1 $(grep -oE "^--- (PASS|SKIP): $4 .*" "$output" | cut -c5-)"
		rm "$output"
		return
	fi
	echo "FAIL $1 $4 (status $status)"
	cat "$output"
}
export -f list_tests run_test
export work flags

# Each package writes a list of its own: lines of several would mix.
printf '%s\n' "$@" | xargs -P "$(nproc)" -I {} bash -eo pipefail -c 'list_tests "$1" >"$work/list-${1//\//_}"' list_tests {}
cat "$work"/list-* >"$work/tests"
# Those of the package with the most tests that take long come first.
sort -s -t ' ' -k1,1 <(grep '/edge ' "$work/tests" || true) >"$work/order"
grep -v '/edge ' "$work/tests" >>"$work/order" || true
xargs -a "$work/order" -P "$(nproc)" -L 1 bash -c 'run_test "$@"' run_test | tee "$work/results"

listed="$(wc -l <"$work/tests")"
passed="$(grep -c '^ok   ' "$work/results" || true)"
echo "$passed passed, $((listed - passed)) failed"
[ "$passed" -eq "$listed" ]
