#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. Needs the build of the deploy file first.
cd "$(dirname "$0")/.." || exit 2
rm -rf review/kit-2/target && mkdir -p review/kit-2/target \
	&& javac -nowarn -encoding UTF-8 -cp 'platform/target/lib/*' -d review/kit-2/target review/kit-2/*.java
