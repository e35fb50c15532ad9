#!/bin/sh
# Builds the stand-ins and the cases. To be run after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
rm -rf review/build
mkdir -p review/build
javac -cp target/saffronshore.jar -d review/build review/lib/*.java review/[0-9]/*.java
