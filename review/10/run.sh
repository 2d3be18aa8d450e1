#!/usr/bin/env bash
# With TROUBLE=0 the case runs without its disruption.
here=$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)
exec "$here/../stage-2/run_case.sh" cold_return "$here"
