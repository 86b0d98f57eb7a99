#!/bin/sh
# Builds the stand-ins and the drivers of all cases into review/target, with the JDK alone.
cd "$(dirname "$0")" || exit 2
rm -rf target
mkdir -p target/classes
javac -d target/classes standins/*.java
