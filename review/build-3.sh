#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15; run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
mkdir -p target/review-3
target/jdk/bin/javac -Xlint:all -d target/review-3 review/standins-3/*.java
