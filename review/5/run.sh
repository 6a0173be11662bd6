#!/bin/sh
# Runs the case; TROUBLE=0 leaves the disruption out.
TROUBLE=${TROUBLE:-1} exec "$(dirname "$0")/../run-case.sh" 5 late-heartbeat
