#!/usr/bin/env bash
# Upgrades every proxy of a fleet under load, from one program to another and back, as the platform does it: the clients' listener
# stays open, a second process takes over, and the first is told to end. Ends with 0 if no request was lost.
#
#     experiments/upgrade-from.sh OLD_BINARY NEW_BINARY
#
# The testbed (LAB, or chalkwalk-testbed beside the new program) plays 22 s on loopback, and is ended after 55 s. It starts this script
# instead of a proxy, which holds the listener (perl opens it, as bash can't) and starts and ends the two programs on it.
set -euo pipefail

hold() {
    # The listener as descriptor 4, for this shell and all that it starts.
    exec perl -MSocket -MPOSIX=dup2 -e '
        my ($ip, $port) = split /:/, $ENV{ROUTER_LISTEN};
        socket(my $s, PF_INET, SOCK_STREAM, 0) or die "socket: $!";
        setsockopt($s, SOL_SOCKET, SO_REUSEADDR, 1) or die "setsockopt: $!";
        bind($s, sockaddr_in($port, inet_aton($ip))) && listen($s, 1024) or die "$ENV{ROUTER_LISTEN}: $!";
        dup2(fileno($s), 4) // die "dup2: $!";
        exec @ARGV or die "exec: $!";' "$BASH" "$0" --holding
}

# Starts a program on the listener, and waits until it says that it is ready; what does not is ended.
start() {
    nth=$((nth + 1))
    local console="${ROUTER_LISTEN%:*}" port=$((21000 + nth))
    ROUTER_CONSOLE="$console:$port" ROUTER_FD=4 "$1" serve &
    pid=$!
    echo "$pid" >>"$WORK/pids"
    local tries
    for tries in $(seq 300); do
        if [[ $(control "$console" "$port" GET ready) == *" 200 "* ]]; then
            return
        fi
        sleep 0.02
    done
    echo "$ROUTER_NAME: $1 is not ready after $tries tries" >>"$WORK/faults"
    kill -KILL "$pid" 2>/dev/null || true
    return 1
}

# The first line that the operators' door answers a call with.
control() {
    (
        exec 3<>"/dev/tcp/$1/$2" || exit 0
        printf '%s /control/%s HTTP/1.1\r\nHost: c\r\n\r\n' "$3" "$4" >&3
        IFS= read -r -t 2 line <&3 && echo "$line"
    ) 2>/dev/null || true
}

pause() {
    sleep "$1" &
    wait $! || true
}

switch_to() {
    local before=$pid status=0
    if ! start "$1"; then
        # As the platform does: the one before goes on.
        pid=$before
        return
    fi
    kill -TERM "$before"
    wait "$before" || status=$?
    if [ "$status" -ne 0 ]; then
        echo "$ROUTER_NAME: the program before $1 ended with $status" >>"$WORK/faults"
    fi
    # What an operator said to the first process of all has come this far.
    if grep -q '"cache-000":{"at":[0-9]*,"out":true}' "$TMPDIR"/chalkwalk.*."$pid".handover; then
        echo "$ROUTER_NAME: $1" >>"$WORK/switches"
    fi
}

holding() {
    export TMPDIR="$WORK/$ROUTER_NAME"
    mkdir -p "$TMPDIR"
    nth=0
    trap 'kill -TERM $(jobs -p); wait "$pid"; exit $?' TERM
    start "$OLD" || exit 1
    pause 2
    control "${ROUTER_LISTEN%:*}" 21001 POST cache-nodes/cache-000/offline >/dev/null
    pause 4
    switch_to "$NEW"
    pause 8
    switch_to "$OLD"
    wait "$pid"
}

case "${1:-}" in
--hold) hold ;;
--holding)
    holding
    exit
    ;;
esac
if [ $# -ne 2 ]; then
    echo "usage: $0 OLD_BINARY NEW_BINARY" >&2
    exit 2
fi
OLD=$(realpath "$1")
NEW=$(realpath "$2")
LAB=${LAB:-$(dirname "$NEW")/chalkwalk-testbed}
WORK=$(mktemp -d)
export OLD NEW WORK
# Nothing stays behind, whatever ended the shells that hold the listeners.
clean_up() {
    local pid
    for pid in $(cat "$WORK/pids" 2>/dev/null); do
        if [ -r "/proc/$pid/environ" ] && tr '\0' '\n' <"/proc/$pid/environ" | grep -qxF "WORK=$WORK"; then
            kill -KILL "$pid" 2>/dev/null || true
        fi
    done
    rm -rf "$WORK"
}
trap clean_up EXIT
cat >"$WORK/play.toml" <<'PLAY'
title = "Upgrades under load, there and back"
seed = 61
seconds = 22

[world]
zones = ["north", "south"]
caches = 6

[fleet]
proxies = 3

[load]
rate = 200
clients = 30
keys = 500
retries = 0

[[namespace]]
name = "page"
share = 7
target_ms = 400
limit_ms = 1000
work_ms = 4

[[namespace]]
name = "record"
share = 3
write = true
repeats = "tagged"
window_ms = 1500
target_ms = 1000
limit_ms = 1500
work_ms = 4

[bounds]
in_time = 0.8
killed_per_thousand = 0
PLAY
failed=0
timeout -k 5 55 "$LAB" run "$WORK/play.toml" --json "$WORK/figures.json" --logs "$WORK/logs" \
    --proxy "bash '$(realpath "$0")' --hold" || failed=1
for lost in unanswered killed not_taken; do
    if ! grep -qs "^  \"$lost\": 0,\?$" "$WORK/figures.json"; then
        echo "lost: $(grep -s "\"$lost\"" "$WORK/figures.json" || echo "the testbed does not say \"$lost\"")" >&2
        failed=1
    fi
done
switches=$(grep -c . "$WORK/switches" 2>/dev/null || true)
if [ -s "$WORK/faults" ]; then
    cat "$WORK/faults" >&2
    failed=1
fi
if [ "${switches:-0}" -ne 6 ]; then
    echo "${switches:-0} of 6 upgrades, each with what an operator said before, took place" >&2
    failed=1
fi
if [ "$failed" -eq 0 ]; then
    echo "no request lost over 6 upgrades"
fi
exit "$failed"
