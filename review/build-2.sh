#!/usr/bin/env bash
# Builds the stand-ins that the scripts of this review start. Needs the JDK only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
javac -encoding UTF-8 -Xlint:-serial -d target/review-2 review/lib-2/*.java review/[4-7]/src/test/java/*.java
