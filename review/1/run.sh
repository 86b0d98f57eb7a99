#!/bin/sh
# Bad clients send hundreds of requests at once. With TROUBLE=0 the same is done without that.
# Exit code: 1 the rule was broken, 0 it held, 2 the case could not run. Needs the build of the deploy file and ../build.sh.
TROUBLE="${TROUBLE:-1}"
export TROUBLE
cd "$(dirname "$0")" || exit 2
test -f ../target/classes/Case.class || exit 2
java -Xmx512m -cp ../target/classes Case requests-at-once . &
driver=$!
# a run that is broken off ends its processes, too
trap 'kill -TERM "$driver"; wait "$driver"; exit 2' HUP INT TERM
wait "$driver"
case $? in
    0) exit 0 ;;
    10) exit 1 ;;
    *) exit 2 ;;
esac
