#!/bin/bash
# Plays the case "lasting-gang"; TROUBLE=0 plays it without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2 ] && [ -x target/pollendockd ] || exit 2
exec target/review-2 lasting-gang review/8 target/pollendockd
