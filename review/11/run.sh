#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
exec java -cp 'target/review-3:platform/target/verbena-router.jar:platform/target/lib/*' \
	io.verbenacleat.platform.BusyCase review/11/record.txt
