#!/bin/sh
# Builds the stand-ins and the programs of the cases, after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
rm -rf review/target
mkdir -p review/target/classes
javac -nowarn -d review/target/classes -cp 'platform/target/lib/*' review/standins/*.java
