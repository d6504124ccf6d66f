#!/usr/bin/env bash
# Builds the stand-ins and the scripts' programs into target/review, with the JDK of the deploy build.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
rm -rf target/review
mkdir -p target/review
target/jdk/bin/javac --release 21 -d target/review review/standins/review/*.java
cp review/standins/wire.properties target/review/
