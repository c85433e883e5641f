#!/usr/bin/env bash
# The stand-ins are Python programs (the standard library only), which need no build; the interpreter
# comes with libglib2.0-dev, which the deploy file names. This checks that they can be loaded.
set -eu
cd "$(dirname "$0")"
export PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=standin
/usr/bin/python3 -c 'import cloud, net, rules, state, worker, world'
for case in [1-3]/case.py; do
    /usr/bin/python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$case"
done
