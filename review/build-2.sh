#!/bin/sh
# Builds the stand-ins that the scripts of review/4 to review/8 start; they need the JDK only.
set -e
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
javac -encoding UTF-8 -d target/review-2 review/standin-2/*.java
