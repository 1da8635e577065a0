# Functions that run a sample cluster on loopback addresses: three data centres
# (kumluca, demre, serik) with 3, 3 and 2 boxes and 50 stand-in workers. To be
# sourced after `work` names a folder for settings, data and logs.
bin=$PWD/build/release
centres=(kumluca demre serik)
sizes=(3 3 2)
workers=(17 17 16)
export KESTRELREEL_VIA=127.0.1.1:7401,127.0.1.2:7401,127.0.1.3:7401,127.0.2.1:7401,127.0.2.2:7401,127.0.2.3:7401,127.0.3.1:7401,127.0.3.2:7401
declare -A pid

# Ends all processes of the cluster, by their ids.
stop_cluster() {
  for it in "${pid[@]}"; do kill -TERM "$it" 2> /dev/null; done
  for it in "${pid[@]}"; do wait "$it" 2> /dev/null; done
}

# until_true SECONDS COMMAND...: polls until the command succeeds.
until_true() {
  local end=$((SECONDS + $1))
  shift
  until "$@" 2> /dev/null; do
    ((SECONDS < end)) || return 1
    sleep 0.2
  done
}

# start_box NAME [OPTIONS]
start_box() {
  "$bin/daemon/kestrelreeld" --settings "$work/settings/$1.json" "${@:2}" \
    2>> "$work/logs/$1.log" &
  pid[$1]=$!
}

start_cluster() {
  rm -rf "$work"
  mkdir -p "$work/logs"
  support/settings "$work/settings" "$work/data" kumluca:3 demre:3 serik:2
  for d in 0 1 2; do
    "$bin/support/standin" --name "${centres[$d]}" \
      --ip "127.0.$((d + 1)).100" --workers "${workers[$d]}" \
      2> "$work/logs/${centres[$d]}-workers.log" &
    pid[${centres[$d]}-workers]=$!
    start_box "${centres[$d]}-1" --new-cluster
    for ((i = 2; i <= sizes[d]; ++i)); do start_box "${centres[$d]}-$i"; done
  done
}

json() { "$bin/cli/kestrelreel" "$1" --output json; }
count() { grep -o "$1" | wc -l; }
boxes_live() { [ "$(json status | count '"live":true')" = "$1" ]; }
is_running() { [ "$(json tasks | count '"phase":"running"')" -ge "$1" ]; }
leader() { json status | tr '{' '\n' | grep '"role":"leader"' |
  sed 's/.*"box":"\([^"]*\)".*/\1/'; }
has_leader() { [ -n "$(leader)" ]; }
# Where each service's replica and each plan runs, with its attempt.
placement() { json tasks | tr '{' '\n' |
  grep '"phase":"running"' | grep -v vent-history |
  sed 's/.*"task":"\([^"]*\)".*"worker":"\([^"]*\)","attempt":\([0-9]*\).*/\1 \2 \3/' |
  sort; }
# http_get IP:PORT PATH: prints the answer with its header.
http_get() {
  exec 3<> "/dev/tcp/${1%:*}/${1#*:}" || return 1
  printf 'GET %s HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n' "$2" >&3
  cat <&3
  exec 3<&-
}
# ready_at IP:PORT: whether the box at that admin address takes callers.
ready_at() { http_get "$1" /readyz | grep -q "^HTTP/1.1 200"; }
# counter DATA-CENTRE-NUMBER NAME: what its backend servers and workers saw.
counter() {
  http_get "127.0.$1.100:7600" /counters | grep -o "\"$2\":[0-9]*" | cut -d: -f2
}
