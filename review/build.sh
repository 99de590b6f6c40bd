#!/bin/sh
# Compiles the stand-ins of the cases into target/review, with a JDK found as ./build finds it.
set -eu
cd "$(dirname "$0")/.."

MINIMUM_VERSION=25

# Prints the feature version of the JDK in directory $1, or 0.
feature_version() {
  [ -x "$1/bin/javac" ] || { echo 0; return; }
  version=$(sed -n 's/^JAVA_VERSION="\([0-9]*\).*/\1/p' "$1/release" 2>/dev/null)
  echo "${version:-0}"
}

java_on_path=$(command -v javac 2>/dev/null || true)
home_on_path=""
siblings=""
if [ -n "$java_on_path" ]; then
  home_on_path=$(dirname "$(dirname "$(readlink -f "$java_on_path")")")
  siblings=$(dirname "$home_on_path")
fi
for home in "${JAVA_HOME:-}" "$home_on_path" ${siblings:+"$siblings"/*} "$HOME"/.jdks/* /usr/lib/jvm/*; do
  [ -n "$home" ] || continue
  if [ "$(feature_version "$home")" -ge "$MINIMUM_VERSION" ]; then
    rm -rf target/review
    mkdir -p target/review/classes
    "$home/bin/javac" -Xlint:all -Werror -d target/review/classes review/standins/*.java
    echo "$home/bin/java" > target/review/java
    exit 0
  fi
done
echo "review/build.sh: no JDK of version $MINIMUM_VERSION or later found." >&2
exit 1
