#!/bin/sh
# Builds the stand-ins of the scripts. They are plain JavaScript, so there is nothing to compile: this checks that the
# programs of the deploy file and the one library that the scripts load are there.
cd "$(dirname "$0")/.." || exit 1
for file in target/entry.cjs node_modules/smol-toml/package.json; do
	[ -e "$file" ] || { echo "$file is missing: run the build of the deploy file first"; exit 1; }
done
for file in review/lib/*.js review/[1-5]/*.js; do
	node --check "$file" || exit 1
done
