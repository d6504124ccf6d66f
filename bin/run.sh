# Runs the programs of the project from the libraries in bench/target/lib. Sourced by the scripts.
run_root="$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)"
. "$run_root/bin/jdk.sh"

# Builds when there is no build or when a source is newer than it.
build_if_needed() {
  local stamp="$run_root/bench/target/lib/built"
  if [ -f "$stamp" ] && [ -z "$(find "$run_root"/{kernel,core,entry,cli,standin,bench}/src/main \
      "$run_root"/{kernel,core,entry,cli,standin,bench}/pom.xml "$run_root/pom.xml" \
      -type f -newer "$stamp" -print -quit)" ]; then
    return 0
  fi
  echo "Building, once (about a minute) ..." >&2
  local log="$run_root/bench/target/build.log"
  mkdir -p "$run_root/bench/target"
  if ! "$run_root/bin/mvnw.sh" -q package -Dmaven.test.skip=true > "$log" 2>&1; then
    tail -n 40 "$log" >&2
    echo "The build failed; the whole log is in $log" >&2
    return 1
  fi
  touch "$stamp"
}

# Replaces the shell by a program: run_program HEAP MAIN-CLASS ARGUMENTS...
run_program() {
  local heap="$1" main="$2" quiet=()
  shift 2
  # Without these, Pekko's use of Unsafe and the absent SLF4J provider print warnings at each start.
  if "$JAVA_HOME/bin/java" --sun-misc-unsafe-memory-access=allow -version > /dev/null 2>&1; then
    quiet=(--sun-misc-unsafe-memory-access=allow)
  fi
  exec "$JAVA_HOME/bin/java" "-Xmx$heap" -XX:+UseSerialGC -Dslf4j.internal.verbosity=ERROR \
    "${quiet[@]}" -cp "$run_root/bench/target/lib/*:$run_root/bench/target/*" "$main" "$@"
}
