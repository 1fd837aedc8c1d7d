#!/usr/bin/env bash
# Runs the tests of packages under the race detector. Any race, failure or crash is a failure.
#
# Tests with a paused clock (testing/synctest) run on one processor, each in a process of its own, as
# many at a time as the machine has cores. The runtime gives all goroutines of such a test one thread
# state of the detector for their timers, and uses it without a lock when a goroutine reads a timer
# channel that is due (runtime/time.go, maybeRunChan): two goroutines that do so at once crash the
# detector. _fixtures/detector shows it within 0.1 s; on one processor it can't happen.
set -uo pipefail
cd "$(dirname "$0")/.."
dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT
shared=() paused=()
for package in "$@"; do
  if grep -qs '"testing/synctest"' "$package"/*_test.go; then paused+=("$package"); else shared+=("$package"); fi
done

alone() {
  started=$SECONDS
  cd "$1" || return 1
  if ! output=$(GOMAXPROCS=1 timeout 300 "$3" -test.count=1 -test.run "^$2\$" 2>&1); then
    printf 'FAIL\t%s of %s\t%ss\n%s\n' "$2" "$1" "$((SECONDS - started))" "$output"
    return 1
  fi
}
export -f alone

verdict=0
[ "${#shared[@]}" -eq 0 ] || go test -race -count=1 "${shared[@]}" || verdict=1
for package in "${paused[@]}"; do
  program="$dir/$(basename "$package").test"
  go test -race -c -o "$program" "$package" || exit 1
  tests=$("$program" -test.list .) || exit 1
  for test in $tests; do printf '%s %s %s\n' "$package" "$test" "$program"; done >>"$dir/tests"
  printf 'one by one\t%s\t%s tests\n' "$package" "$(wc -w <<<"$tests")"
done
[ ! -s "$dir/tests" ] || xargs -P "$(nproc)" -L 1 bash -c 'alone "$@"' alone <"$dir/tests" || verdict=1
exit "$verdict"
