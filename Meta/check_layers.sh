#!/usr/bin/env bash
# Fails when a library includes one that comes after it in the layer order of
# CMakeLists.txt. With a dependency cycle between the libraries, the decision logic
# could not be used without sockets.
set -euo pipefail
cd "$(dirname "$0")/.."
read -r -a ORDER < <(sed -n '/^set(COMFREYRILL_LIBRARIES/,/)/p' CMakeLists.txt | tr '\n' ' ' |
  sed -e "s/^set(COMFREYRILL_LIBRARIES//" -e "s/).*//" -e "s/\$/\n/")
STATUS=0
for ((I = 0; I < ${#ORDER[@]}; ++I)); do
  for ((J = I + 1; J < ${#ORDER[@]}; ++J)); do
    [ -d "Libraries/${ORDER[I]}" ] || continue
    if grep -rnE "#include [<\"]${ORDER[J]}/" "Libraries/${ORDER[I]}"; then
      echo "layers: ${ORDER[I]} must not include ${ORDER[J]}; move the shared code to an earlier library" >&2
      STATUS=1
    fi
  done
done
exit $STATUS
