#!/bin/sh
# Builds the stand-ins of the cases 6 to 10 into target/review-2, with the compiler of a JDK 17 or
# later: that of JAVA_HOME, the one on the path, or one beside it. Needs no network.
set -eu

cd "$(dirname "$0")/.."
compiler=""
for candidate in "${JAVA_HOME:-}/bin/javac" "$(command -v javac || true)" "$HOME"/.jdks/*/bin/javac \
  /usr/lib/jvm/*/bin/javac; do
  if [ -x "$candidate" ] && "$candidate" --release 17 --version >/dev/null 2>&1; then
    compiler=$candidate
    break
  fi
done
if [ -z "$compiler" ]; then
  echo "build-2: no Java compiler of version 17 or later found" >&2
  exit 1
fi
rm -rf target/review-2
mkdir -p target/review-2
"$compiler" -Xlint:all --release 17 -d target/review-2 review/standins-2/*.java
