#!/usr/bin/env bash
# Lays beside the site files here what the bench wants there, from the folder of a deployment that has it. These files are
# the operators': git ignores them.
set -euo pipefail
here=$(cd "$(dirname "$0")" && pwd)
from=${1:-$here/../../../given/kit/more/mass/other}
for file in real.json wire.json unlock.txt; do
  [ -f "$from/$file" ] || { echo "lay.sh: $from has no $file; name the folder of a deployment that does" >&2; exit 1; }
  install -m 644 "$from/$file" "$here/$file"
done
