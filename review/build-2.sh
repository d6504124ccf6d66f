#!/usr/bin/env bash
# Builds the stand-ins and the cases of the second review into target/review-2/, with the JDK that
# the build of the deploy file has linked; needs no network and no library.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
java_home="$(readlink -f target/jdk)"
rm -rf target/review-2
mkdir -p target/review-2
"$java_home/bin/javac" -nowarn -d target/review-2 review/standins-2/review2/*.java
cp review/standins-2/wire.properties target/review-2/
