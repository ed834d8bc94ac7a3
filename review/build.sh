#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts into review/bin.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
for source in stand/*.cpp; do
    g++ -std=c++20 -O1 -Wall -pthread -o "bin/$(basename "$source" .cpp)" \
        "$source"
done
