# Sets JAVA_HOME to the first JDK of version 21 or newer. Sourced by the other scripts.
jdk_version() {
  "$1/bin/java" -XshowSettings:properties -version 2>&1 | sed -n 's/^ *java.specification.version = \([0-9]*\).*/\1/p'
}

select_jdk() {
  local on_path=""
  if command -v java >/dev/null 2>&1; then
    on_path="$(dirname "$(dirname "$(readlink -f "$(command -v java)")")")"
  fi
  local candidate version
  for candidate in "${JAVA_HOME:-}" "$on_path" /usr/lib/jvm/*; do
    [ -n "$candidate" ] && [ -x "$candidate/bin/javac" ] || continue
    version="$(jdk_version "$candidate")"
    if [ -n "$version" ] && [ "$version" -ge 21 ]; then
      export JAVA_HOME="$candidate"
      return 0
    fi
  done
  echo "bergamotcross needs a JDK of version 21 or newer and found none." >&2
  echo "Install one (for example Eclipse Temurin 25) or set JAVA_HOME to it." >&2
  return 1
}

select_jdk || exit 1
