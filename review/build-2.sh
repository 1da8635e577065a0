#!/usr/bin/env bash
# Builds the stand-ins of the cases in review/4 to review/8 into
# target/review-2, with the packages of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
g++ -std=c++20 -O1 -Wall -Wextra -pthread review/standins-2/*.cc \
  -lboost_json -o target/review-2/scene
