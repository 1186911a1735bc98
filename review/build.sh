#!/bin/bash
# Builds the stand-ins of the scripts. They need the standard library only.
cd "$(dirname "$0")/standin" && GOWORK=off GOFLAGS=-buildvcs=false go build -o ../bin/standin .
