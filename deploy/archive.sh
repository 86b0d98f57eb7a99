#!/bin/sh
# Leaves target/saffronferry.jsa, the classes of a dispatcher in the form that a JVM maps in place of loading them: a
# restart then serves in about half the time. A dispatcher that finds no fitting archive starts without it.
cd "$(dirname "$0")/.." || exit 1
rm -f target/saffronferry.jsa
BALANCER_CONFIG=examples/config.json timeout -k 10 -s TERM 3 java @deploy/serve.jvm -Djava.io.tmpdir="${TMPDIR:-/tmp}" \
    -XX:ArchiveClassesAtExit=target/saffronferry.jsa -jar target/saffronferry.jar serve > target/archive.log 2>&1
test -s target/saffronferry.jsa || echo "no class archive was made: see target/archive.log" >&2
exit 0
