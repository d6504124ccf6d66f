#!/usr/bin/env bash
# Builds the stand-ins and the cases of the third review into target/review-3/, with the JDK that the
# build of the deploy file has linked; needs no network and no library.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
rm -rf target/review-3
mkdir -p target/review-3
target/jdk/bin/javac -Xlint:all -d target/review-3 review/standins-3/*.java
cp review/standins-3/wire.properties target/review-3/
