#!/usr/bin/env bash
# Plays the case; exits with 1 if the rule was broken, 0 if it held, 2 if the
# case couldn't run. TROUBLE=0 plays it without the disruption.
# Build before: the build line of deploy/system.toml, then review/build-2.sh.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
program=target/daemon/kestrelreeld
scene=target/review-2/scene
{ [ -x "$program" ] && [ -x "$scene" ]; } || exit 2
timeout -k 2 110 "$scene" unanswered-leave "$program" "$here/record.txt"
result=$?
[ "$result" -le 1 ] || result=2
exit "$result"
