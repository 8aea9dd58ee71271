#!/bin/sh
# With TROUBLE=0 the disruption is left out.
exec "$(dirname "$0")/../stand-ins-3/run-case.sh" 11
