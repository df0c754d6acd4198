#!/bin/sh
# Exit status: 0 the rule held, 1 it was broken, 2 the case could not run. TROUBLE=0 leaves the disruption out.
exec "$(dirname "$0")/../run-case-2.sh" 10
