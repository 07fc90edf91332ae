#!/bin/sh
# Builds the stand-ins of the review's scripts: the test files of package platform and those of the review, as one program.
# It runs after the build of the deploy file and needs no network.
set -eu
cd "$(dirname "$0")/.."
root=$PWD
mkdir -p target/review
overlay=$(mktemp)
trap 'rm -f "$overlay"' EXIT
{
    printf '{"Replace": {"%s": "%s"' "$root/platform/review_common_test.go" "$root/review/testdata/common.go.txt"
    for file in review/[0-9]*/testdata/case.go.txt; do
        [ -e "$file" ] || continue
        number=$(basename "$(dirname "$(dirname "$file")")")
        printf ', "%s": "%s"' "$root/platform/review_${number}_test.go" "$root/$file"
    done
    printf '}}\n'
} > "$overlay"
go test -c -overlay "$overlay" -o target/review/standins.test ./platform
