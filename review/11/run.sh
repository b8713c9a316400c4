#!/usr/bin/env bash
# Plays the case; see claim.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2

[ -x target/review/standin-3 ] && [ -x target/release/fuchsiatackd ] || exit 2
exec target/review/standin-3 play late-delete review/11
