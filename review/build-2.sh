#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into target/review-2/. They need the
# compiler and the headers of the deploy file's packages only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/standin-2/*.cpp; do
    name=$(basename "$source" .cpp)
    g++ -std=c++20 -O2 -pthread -Wall -Wextra "$source" -o "target/review-2/$name"
done
