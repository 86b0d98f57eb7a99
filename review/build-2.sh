#!/bin/sh
# Builds the stand-ins and the drivers of the cases 6 to 10 into review/standins-2/target, with the JDK alone.
cd "$(dirname "$0")/standins-2" || exit 2
rm -rf target
mkdir -p target
javac -encoding UTF-8 -d target ./*.java
