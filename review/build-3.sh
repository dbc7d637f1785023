#!/bin/sh
# Builds the stand-ins of the cases of review 3, after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-3
javac -nowarn -d target/review-3 -cp 'platform/target/verbena-router.jar:platform/target/lib/*' \
	platform/src/test/java/io/verbenacleat/platform/FakeStoreServer.java review/kit-3/*.java
