#!/bin/sh
# Starts the jar appended to this script on a Java runtime of at least version 25.
minimum=25
feature_version() {
  [ -x "$1/bin/java" ] || { echo 0; return; }
  version=$(sed -n 's/^JAVA_VERSION="\([0-9]*\).*/\1/p' "$1/release" 2>/dev/null)
  echo "${version:-0}"
}
java_on_path=$(command -v java 2>/dev/null || true)
home_on_path=""
siblings=""
if [ -n "$java_on_path" ]; then
  home_on_path=$(dirname "$(dirname "$(readlink -f "$java_on_path")")")
  siblings=$(dirname "$home_on_path")
fi
for home in "${JAVA_HOME:-}" "$home_on_path" ${siblings:+"$siblings"/*} "$HOME"/.jdks/* /usr/lib/jvm/*; do
  [ -n "$home" ] || continue
  if [ "$(feature_version "$home")" -ge "$minimum" ]; then
    # shellcheck disable=SC2086
    exec "$home/bin/java" -XX:+UseSerialGC -XX:TieredStopAtLevel=4 -Xss512k \
      --enable-native-access=ALL-UNNAMED --sun-misc-unsafe-memory-access=allow \
      ${BULRUSHWEIR_JAVA_OPTIONS:--Xmx256m} -jar "$0" "$@"
  fi
done
echo "bulrushweir: no Java runtime of version $minimum or later found;" >&2
echo "install one (for example Temurin 25) or point JAVA_HOME at it." >&2
exit 69
