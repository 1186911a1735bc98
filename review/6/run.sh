#!/bin/bash
# Plays the case "late-restart"; TROUBLE=0 plays it without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2 ] && [ -x target/pollendockd ] || exit 2
exec target/review-2 late-restart review/6 target/pollendockd
