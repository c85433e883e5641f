#!/bin/sh
# Checks that everything the cases 4 to 8 start is there. Their stand-ins are Python programs, which need no build.
cd "$(dirname "$0")/.." || exit 2
[ -x target/linenlandingd ] || { echo "target/linenlandingd is missing: run the build of deploy/service.toml first"; exit 2; }
for file in review/standin-2/*.py review/[4-8]/case.py; do
    python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file" || exit 2
done
echo "the stand-ins of the cases 4 to 8 are ready"
