#!/bin/sh
# Compiles the stand-ins of the cases into target/review.
set -eu
cd "$(dirname "$0")/.."

for home in "${JAVA_HOME:-}" /usr/lib/jvm/* "$HOME"/.jdks/*; do
  version=$(sed -n 's/^JAVA_VERSION="\([0-9]*\).*/\1/p' "$home/release" 2>/dev/null || true)
  if [ -x "$home/bin/javac" ] && [ "${version:-0}" -ge 25 ]; then
    rm -rf target/review
    mkdir -p target/review/classes
    "$home/bin/javac" -Xlint:all -d target/review/classes review/standins/*.java
    echo "$home/bin/java" > target/review/java
    exit 0
  fi
done
echo "review/build.sh: no JDK of version 25 or later found." >&2
exit 1
