#!/bin/sh
# Builds the stand-ins of the second review's cases. Run after the build of the deploy file.
cd "$(dirname "$0")/stand-ins-2" || exit 2
mkdir -p target/classes
exec javac --release 17 -d target/classes ./*.java
