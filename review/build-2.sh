#!/bin/bash
# Builds the stand-ins of the second review into target/. It needs no network.
set -e
cd "$(dirname "$0")/standin2"
GOWORK=off go build -o ../../target/review-2 .
