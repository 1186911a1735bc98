#!/bin/bash
# Plays the case "full"; TROUBLE=0 plays it without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2 ] && [ -x target/pollendockd ] || exit 2
exec target/review-2 full review/10 target/pollendockd
