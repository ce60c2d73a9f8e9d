#!/bin/sh
# Compiles the stand-ins and the cases. Needs the JDK alone; run after the build of the deploy file.
set -e
cd "$(dirname "$0")"
rm -rf build
mkdir -p build
javac --release 17 -d build src/review/*.java
echo "review: built"
