#!/bin/sh
# Builds what the cases of the second review start. Their stand-ins are plain modules for Node.js, which only have to be readable;
# the entries come from the build of the deploy file.
cd "$(dirname "$0")/.." || exit 2
[ -f target/entry.cjs ] || npm run --silent bundle || exit 2
for module in review/lib-2/*.mjs review/6/*.mjs review/7/*.mjs review/8/*.mjs review/9/*.mjs review/10/*.mjs; do
	[ ! -f "$module" ] || node --check "$module" || exit 2
done
