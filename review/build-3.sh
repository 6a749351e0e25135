#!/bin/sh
# Builds the stand-ins that the scripts of the third review start; needs the JDK alone.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-3
javac -d target/review-3 review/harness-3/*.java
