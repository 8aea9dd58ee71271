#!/bin/sh
# Builds and starts a small fleet on loopback: three zones with three entry instances, a
# controller for each instance, two engines and a service each, and the fake platform. Sends one
# streamed request and prints how to send the next. Stops everything on Ctrl-C.
#
# FLEET_PORT (default 7100) is the first of the ports; FLEET_ONCE=1 stops after the first request.
set -eu
cd "$(dirname "$0")/.."
./scripts/install-packages.sh
cmake -S . -B build -G Ninja >/dev/null
cmake --build build
first=${FLEET_PORT:-7100}
logs=.fleet
mkdir -p $logs
export PLANTAINSLIP_OPERATOR_KEY=${PLANTAINSLIP_OPERATOR_KEY:-example-operator-key}
export PLANTAINSLIP_PEER_KEY=${PLANTAINSLIP_PEER_KEY:-example-peer-key}
export PLANTAINSLIP_RESUME_KEY=${PLANTAINSLIP_RESUME_KEY:-example-resume-key}
platform=127.0.0.1:$((first + 90))
processes=""
stop_fleet() {
  trap - EXIT INT TERM
  # shellcheck disable=SC2086
  kill $processes 2>/dev/null || true
  wait
}
trap stop_fleet EXIT
trap 'exit 0' INT TERM
start() {
  log=$logs/$1.log
  shift
  "$@" >"$log" 2>&1 &
  processes="$processes $!"
}
await() {
  # Waits until a command succeeds, for a minute at most.
  tries=0
  until "$@" >/dev/null 2>&1; do
    tries=$((tries + 1))
    [ $tries -lt 600 ] || { echo "gave up waiting for: $*" >&2; exit 1; }
    sleep 0.1
  done
}
list_entry() {
  curl -sf "http://$platform/v1/instances" \
    -d "{\"name\":\"$1\",\"zone\":\"$2\",\"kind\":\"entry\",\"address\":\"127.0.0.1:$3\",
         \"peer_address\":\"127.0.0.1:$4\"}"
}
start platform build/tests/fake-platform --port $((first + 90))
await curl -sf "http://$platform/v1/instances"
targets=""
port=$first
for zone in sokcho gangneung samcheok; do
  for number in 1 2; do
    start "engine-$zone-$number" build/tests/fake-engine --name "engine-$zone-$number" \
      --zone $zone --platform "$platform" --checks-fencing 1
    targets="$targets\"engine-$zone-$number\":{\"deployment\":\"reader\",\"checks_fencing\":true},"
  done
  start "payments-$zone" build/tests/fake-service --name "payments-$zone" --zone $zone \
    --platform "$platform" --service payments
  for number in 1 2 3; do
    name=entry-$zone-$number
    start "$name" build/apps/plantainslip-entry --instance "$name" --zone $zone --port $port \
      --peer-port $((port + 50)) \
      --platform "$platform"
    start "controller-$zone-$number" build/apps/plantainslip-controller --instance "$name" \
      --zone $zone --platform "$platform"
    await list_entry "$name" $zone $port $((port + 50))
    port=$((port + 1))
  done
done
await curl -sf "http://127.0.0.1:$first/healthz"
build/apps/plantainslip-ctl --entry 127.0.0.1:$first config patch --base 0 --author start-fleet \
  --change "{\"deployments\":{\"reader\":{\"model\":\"reader-7b\",\"version\":\"1\"}},
             \"services\":{\"payments\":{\"repeatable\":false}},
             \"targets\":{${targets%,}}}"
request='{"model":"reader","prompt":"Summarise the safety notes of entry 17.","max_tokens":12,"stream":true}'
await curl -sf "http://127.0.0.1:$first/v1/completions" -d "$request"
curl -sN "http://127.0.0.1:$first/v1/completions" -d "$request"
cat <<EOF

The fleet is up: entry instances listen on 127.0.0.1:$first to 127.0.0.1:$((port - 1)), logs are in $logs/.
Send the next request from another terminal:

  curl -N http://127.0.0.1:$((first + 4))/v1/completions -d '$request'

See the targets:

  PLANTAINSLIP_OPERATOR_KEY=$PLANTAINSLIP_OPERATOR_KEY build/apps/plantainslip-ctl --entry 127.0.0.1:$first targets

Next: docs/API.md has the callers' interface, docs/OPERATIONS.md the operators'. Ctrl-C stops the fleet.
EOF
[ "${FLEET_ONCE:-}" = 1 ] || wait
