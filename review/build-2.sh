#!/usr/bin/env bash
# Compiles the stand-ins and the cases of the second review into target/review-2, with the libraries of the program.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
mapfile -t sources < <(find review/lib-2 review/[0-9]/src -name '*.java' 2>/dev/null | sort)
javac -nowarn -proc:none -d target/review-2 -cp target/saffronshore.jar "${sources[@]}"
