#!/usr/bin/env bash
# Starts a small fleet on loopback with stand-ins for the platform and the backend servers, sends real calls of several
# tenants while faults come and go, checks and shows what happened, and stops everything that it started.
set -euo pipefail
cd "$(dirname "$0")/.."

build="Build/default"
rate="${FULMAR_RATE:-150}"
seconds="${FULMAR_SECONDS:-12}"
seed="${FULMAR_SEED:-1}"
faults="${FULMAR_FAULTS:-on}"
tenants="${FULMAR_TENANTS:-on}"
# Shorter than the default of 5 s, so that keys are removed and out of bounds within a short run.
revocation_ms=3000
crowd=120
# fulmar-load waits this long until the configuration is in force.
settling_s=0
zones=(agadir agadir taroudant taroudant tiznit tiznit)
fleet_key="example-fleet-key-example-fleet-key"
operator_key="example-operator-key-example-operator"

directory="$(mktemp -d)"
pids=()

stop_all() {
    for pid in "${pids[@]}"; do
        kill "$pid" 2>/dev/null || true
    done
    for pid in "${pids[@]}"; do
        wait "$pid" 2>/dev/null || true
    done
    rm -rf "$directory"
}
trap stop_all EXIT

say() { printf '\n== %s\n' "$*"; }

# Prints the first port of a free block of the given length.
free_block() {
    local base port
    for base in $(shuf -i 20000-30000 -n 50); do
        for port in $(seq "$base" $((base + $1 - 1))); do
            if (exec 3<>"/dev/tcp/127.0.0.1/$port") 2>/dev/null; then
                continue 2
            fi
        done
        echo "$base"
        return
    done
    echo "no free ports" >&2
    exit 1
}

start() {
    local name="$1"
    shift
    "$@" >"$directory/$name.out" 2>"$directory/$name.log" &
    pids+=("$!")
    last_pid="$!"
}

wait_for() {
    local what="$1"
    shift
    for _ in $(seq 100); do
        if "$@" >/dev/null 2>&1; then
            return
        fi
        sleep 0.1
    done
    echo "gave up waiting for $what; logs:" >&2
    tail -n 5 "$directory"/*.log >&2
    exit 1
}

endpoint_of() { sed -n 's/^listening on //p' "$directory/$1.out" | head -n 1; }

base="$(free_block 20)"
platform="127.0.0.1:$base"
say "platform stand-in on $platform"
start platform "$build/Tests/StandIns/standin-platform" --port "$base" --admin-port $((base + 1))
wait_for "the platform" curl -s "http://$platform/v1/kv/profiles/?recurse"

# With tenants, callers go by the promises of statuses. The crowd nearly fills an account of 16 MiB.
tenant_settings() {
    [ "$tenants" = on ] || return 0
    cat <<EOF
routing: route-table
edge: {tenant: tenant, statuses: by-promise}
tenants: {strict-revocation: true, revocation-bound: ${revocation_ms}ms}
limits: {memory-bytes: 16777216}
EOF
}

write_settings() {
    local index="$1"
    cat >"$directory/fulmard-$index.yaml" <<EOF
instance: desk-$index
zone: ${zones[$index]}
region: souss-massa
callers: 127.0.0.1:$((base + 2 + 2 * index))
control: 127.0.0.1:$((base + 3 + 2 * index))
peers: [127.0.0.1:$((base + 3))]
platform: [$platform]
fleet-key: $fleet_key
operator-key: $operator_key
trace: {sampled-share: 0.05}
leave-timeout: 10s
$(tenant_settings)
EOF
}

# Says which processes have ended though nobody ended them.
report_ended() {
    local index ended=0
    for index in "${!fulmard_pids[@]}"; do
        if [ "$index" != "$killed" ] && ! kill -0 "${fulmard_pids[$index]}" 2>/dev/null; then
            echo "fulmard-$index ended by itself; its last lines:"
            tail -n 5 "$directory/fulmard-$index.out" "$directory/fulmard-$index.log"
            ended=1
        fi
    done
    return "$ended"
}

cat >"$directory/fulmarctl.yaml" <<EOF
nodes: [$(for index in "${!zones[@]}"; do printf '127.0.0.1:%s%s' $((base + 3 + 2 * index)) "$([ "$index" -lt $((${#zones[@]} - 1)) ] && echo ', ')"; done)]
platform: [$platform]
operator-key: $operator_key
EOF

say "${#zones[@]} fulmard in ${#zones[@]} instances and 3 availability zones"
ingresses=()
fulmard_pids=()
for index in "${!zones[@]}"; do
    write_settings "$index"
    start "fulmard-$index" "$build/Services/fulmard/fulmard" --settings "$directory/fulmard-$index.yaml"
    fulmard_pids+=("$last_pid")
    ingresses+=(--ingress "127.0.0.1:$((base + 2 + 2 * index))")
done

control="$build/Utilities/fulmarctl/fulmarctl --config $directory/fulmarctl.yaml"
say "profiles published with fulmarctl"
for profile in office-desk vratka-desk; do
    wait_for "the fleet" $control profile publish "Profiles/$profile.yaml" --author demo --wait 3s
    $control profile show "$profile" | head -n 3
done

say "backend servers announce themselves"
backends=()
backend_names=()
for index in "${!zones[@]}"; do
    for service in commission-desk:office-desk collection-desk:vratka-desk; do
        for copy in 1 2; do
            name="${service%%:*}-$index-$copy"
            start "$name" "$build/Tests/StandIns/standin-backend" --id "$name" --service "${service%%:*}" --profile "${service##*:}" \
                --secret-marker soak-key- --control "127.0.0.1:$((base + 3 + 2 * index))" --mean-service-ms 15 --seed "$((index * 10 + copy))" --drain-ms 1000
            backend_names+=("$name")
        done
    done
done
for name in "${backend_names[@]}"; do
    wait_for "$name" grep -q "listening on" "$directory/$name.out"
    backends+=(--backend "$(endpoint_of "$name")")
done
# A young process grants no idempotency keys until it must have heard of every holder (10 s).
sleep 11
$control status

load_options=()
if [ "$tenants" = on ]; then
    settling_s=4
    load_options=(--platform "$platform" --revocation-bound-ms "$revocation_ms" --crowd "$crowd")
fi

silence_platform() { curl -fs -X PUT "http://127.0.0.1:$((base + 1))/standin/fault" -d "{\"mode\": \"$1\"}"; }

# For longer than the revocation bound, one process is paused, or none learns of new configurations. Either may then know
# keys that were removed meanwhile.
if [ "$tenants$faults" = onon ]; then
    RANDOM="$seed"
    paused=$((1 + RANDOM % 4))
    fault_after=$((settling_s + 2 + RANDOM % 3))
    fault_of_all=$((RANDOM % 2))
    say "for 6 s, $([ "$fault_of_all" = 1 ] && echo "the platform will answer no reads" || echo "one fulmard will be paused")"
    (
        sleep "$fault_after"
        if [ "$fault_of_all" = 1 ]; then silence_platform silent-reads; else kill -STOP "${fulmard_pids[$paused]}"; fi
        sleep 6
        if [ "$fault_of_all" = 1 ]; then silence_platform up; else kill -CONT "${fulmard_pids[$paused]}"; fi
    ) >/dev/null &
    pids+=("$!")
fi

killed=none
if [ "$faults" = on ]; then
    say "faults to come: one backend server 10 times slower, one cutting answers, one with silent connections, one fulmard killed"
    killed=5
    (
        sleep $((settling_s + 3))
        curl -fs -X POST "http://$(endpoint_of commission-desk-1-1)/fault" -d '{"slow_factor": 10}'
        curl -fs -X POST "http://$(endpoint_of collection-desk-2-1)/fault" -d '{"cut_share": 1}'
        curl -fs -X POST "http://$(endpoint_of commission-desk-3-1)/fault" -d '{"silent": true}'
        sleep 2
        kill -9 "${fulmard_pids[$killed]}"
    ) >/dev/null &
    pids+=("$!")
fi

say "$rate requests per second for $seconds s"
status=0
"$build/Tests/System/fulmar-load" "${ingresses[@]}" "${backends[@]}" --service commission-desk --service collection-desk \
    --rate "$rate" --seconds "$seconds" --seed "$seed" "${load_options[@]}" || status=$?
report_ended || status=1
if grep -l soak-key- "$directory"/fulmard-*.out "$directory"/fulmard-*.log; then
    echo "an API key is in these logs"
    status=1
fi

if [ "$faults" = on ]; then
    say "what the fleet decided"
    $control explain backend commission-desk-1-1 | tail -n 12 || true
    $control status || true
fi

say "stopping: every process finishes what is in flight and leaves by itself"
exit "$status"
