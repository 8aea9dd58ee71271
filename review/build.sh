#!/bin/sh
# Builds every stand-in that a script of the review starts, into target/review.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/tools/*.cpp; do
  name=$(basename "$source" .cpp)
  c++ -std=c++20 -O1 -g -Wall -Wextra -pthread -o "target/review/$name" "$source"
done
