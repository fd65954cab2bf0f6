#!/bin/sh
# Builds the stand-ins and the cases into target/review.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
javac --release 17 -d target/review review/common/*.java review/[0-9]/*.java
