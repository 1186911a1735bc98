#!/bin/bash
# Plays the case "late-restart"; TROUBLE=0 plays it without the disruption. record.txt in this folder then says
# what was sent, answered and run. Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2 ] && [ -x target/pollendockd ] || exit 2
exec target/review-2 late-restart review/6 target/pollendockd
