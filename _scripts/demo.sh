#!/usr/bin/env bash
# Builds the product and its stand-ins, runs 3 entries, 4 engines, 1 service
# and the platform as processes of their own, sends prompts and calls, prints
# a table, and stops all by process id.
set -euo pipefail
cd "$(dirname "$0")/.."
base=${DEMO_PORT:-17800}
work=$(mktemp -d)
pids=()
stop_all() {
  [ "${#pids[@]}" -eq 0 ] || kill "${pids[@]}" 2>/dev/null || true
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  rm -rf "$work"
}
trap stop_all EXIT

mkdir -p bin
go build -o bin/ ./cmd/...

key=demo-key
digest=$(printf %s "$key" | sha256sum | cut -d' ' -f1)
at() { echo "127.0.0.1:$((base + $1))"; }

{
  cat <<YAML
Revision: 1
Models:
  - Name: model
    Versions: ["1"]
Organisations:
  - Name: demo
    KeyDigest: $digest
    Models: [model]
    Services: [dispatch]
    MaxInFlight: 100
Services:
  - Name: dispatch
    Instances: [service-1]
    Calls:
      - {Name: lookup, Repeatable: true}
      - {Name: truck, Repeatable: false}
Limits: {MaxPromptTokens: 1100000, MaxNewTokens: 1000, MaxTimeout: 5m, DefaultTimeout: 30s, MaxGroup: 4, MaxInFlight: 500}
Policy: {ShortTokens: 4000, ShortWeight: 5}
Engines:
YAML
  for i in 1 2 3 4; do
    echo "  - {Name: engine-$i, Model: model, Version: \"1\", Role: Mixed, MemoryTokens: 400000, PrefillRate: 200000, ChecksFences: true, ChecksOrders: false}"
  done
} >"$work/document.yaml"

{
  printf '{"instances":['
  for i in 1 2 3; do
    printf '{"name":"entry-%s","kind":"entry","address":"%s","peer_address":"%s","data_centre":"dc-%s","state":"live"},' "$i" "$(at "$i")" "$(at $((10 + i)))" "$i"
  done
  for i in 1 2 3 4; do
    printf '{"name":"engine-%s","kind":"engine","address":"%s","data_centre":"dc-1","state":"live"},' "$i" "$(at $((20 + i)))"
  done
  printf '{"name":"service-1","kind":"service","address":"%s","data_centre":"dc-1","state":"live"}]}' "$(at 30)"
} >"$work/instances.json"

bin/sapphireramp check "$work/document.yaml"
run() {
  local log=$1
  shift
  "$@" 2>"$work/$log.log" &
  pids+=($!)
}
run platform bin/standin platform --address "$(at 0)" --config "$work/document.yaml" --instances "$work/instances.json"
for i in 1 2 3 4; do
  run "engine-$i" bin/standin engine --address "$(at $((20 + i)))" --name "engine-$i"
done
run service bin/standin service --address "$(at 30)" --name dispatch
for i in 1 2 3; do
  cat >"$work/entry-$i.yaml" <<YAML
Name: entry-$i
DataCentre: dc-$i
Address: $(at "$i")
PeerAddress: $(at $((10 + i)))
Platform: $(at 0)
Peers: [$(at 11), $(at 12), $(at 13)]
Callers: {AddressLife: 1s, DrainSlack: 100ms}
YAML
  run "entry-$i" bin/sapphireramp entry --settings "$work/entry-$i.yaml"
done

entries="$(at 1),$(at 2),$(at 3)"
ready=
for _ in $(seq 100); do
  if [ "$(bin/sapphireramp addresses --entry "$(at 1)" 2>/dev/null | wc -l)" = 3 ]; then ready=1; break; fi
  sleep 0.1
done
if [ -z "$ready" ]; then
  echo "demo: the entries did not become ready" >&2
  cat "$work"/*.log >&2
  exit 1
fi
sleep 1.5 # one listing of every engine's holds

failed=0
printf '%-16s %s\n' request result
show() {
  local name=$1
  shift
  local line
  if line=$("$@" --entry "$entries" --key "$key" --timeout 40s 2>&1 | tail -n 1); then
    printf '%-16s %s\n' "$name" "$line"
  else
    printf '%-16s FAILED %s\n' "$name" "$line"
    failed=1
  fi
}
for tokens in 1000 8000 100000 1000000; do
  show "prompt $tokens" bin/sapphireramp ask --model model --tokens "$tokens" --quiet
done
show "call lookup" bin/sapphireramp call dispatch lookup
show "call truck" bin/sapphireramp call dispatch truck --once
if [ "$failed" -ne 0 ]; then
  cat "$work"/entry-*.log >&2
  exit 1
fi
echo "demo: all answered"
