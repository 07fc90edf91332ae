#!/usr/bin/env bash
# SPDX-FileCopyrightText: Copyright The sailhead contributors
# SPDX-License-Identifier: MIT
#
# check.sh verifies each model over all its states. For each rule that the head of a model lists, it also verifies that the
# mutant without the rule violates an assertion, as a model that nothing can break proves nothing.
set -euo pipefail
cd "$(dirname "$0")"
build=$(mktemp -d)
trap 'rm -rf "$build"' EXIT
failures=0

# verify NAME [RULE] prints the report of the verifier for a model, or for its mutant without a rule. A failure of spin or
# gcc is not fatal here: the logs are printed in place of a report, in which the caller then does not find what it needs.
verify() {
  local dir="$build/$1-${2:-model}"
  mkdir -p "$dir"
  ( cd "$dir" && spin -a ${2:+-D"$2"} "$OLDPWD/$1.pml" >spin.log 2>&1 &&
    gcc -O1 -DSAFETY -DMEMLIM=3072 -o pan pan.c 2>gcc.log && ./pan -E -m2000000 >report 2>&1 ) || true
  cat "$dir/report" 2>/dev/null || cat "$dir/spin.log" "$dir/gcc.log" 2>/dev/null || true
}

for file in *.pml; do
  name=${file%.pml}
  report=$(verify "$name")
  states=$(sed -n 's/^ *\([0-9.e+]*\) states, stored.*/\1/p' <<<"$report")
  if grep -q 'errors: 0' <<<"$report" && ! grep -qE 'max search depth|out of memory|aborted' <<<"$report" && [ -n "$states" ]; then
    echo "spec $name: holds, $states states"
  else
    echo "spec $name: DOES NOT HOLD"; sed -n 1,20p <<<"$report"; failures=$((failures + 1))
  fi
  for rule in $(sed -n 's/^ \*   \([A-Z]\{4,\}\) .*/\1/p' "$file"); do
    report=$(verify "$name" "$rule")
    if grep -qE 'assertion violated' <<<"$report"; then
      echo "mutant $name/$rule: violates an assertion, as expected"
    else
      echo "mutant $name/$rule: VIOLATES NO ASSERTION"; sed -n 1,8p <<<"$report"; failures=$((failures + 1))
    fi
  done
done
[ "$failures" -eq 0 ]
