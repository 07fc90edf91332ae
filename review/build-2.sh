#!/bin/sh
# Builds the stand-ins of the second review's scripts: the test files of package platform and those of the review, as one program.
# It runs after the build of the deploy file and needs no network.
set -eu
cd "$(dirname "$0")/.."
root=$PWD
mkdir -p target/review-2
overlay=$(mktemp)
trap 'rm -f "$overlay"' EXIT
{
    printf '{"Replace": {"%s": "%s"' "$root/platform/review_2_test.go" "$root/review/common-2/testdata/standins.go.txt"
    for file in review/[4-8]/testdata/script.go.txt; do
        [ -e "$file" ] || continue
        number=$(basename "$(dirname "$(dirname "$file")")")
        printf ', "%s": "%s"' "$root/platform/review_${number}_test.go" "$root/$file"
    done
    printf '}}\n'
} > "$overlay"
go test -c -overlay "$overlay" -o target/review-2/standins.test ./platform
