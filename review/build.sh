#!/bin/sh
# Compiles the stand-ins of the cases. Needs only the JDK; run from any folder, after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
javac -nowarn -d target/review review/kit/*.java
