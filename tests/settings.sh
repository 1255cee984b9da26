# Checks that the operator file under deploy/ states every default correctly: compared with an empty file,
# nothing differs. Usage: settings.sh WOADTIDE FILE
set -eu
woadtide=$1 file=$2
empty=$(mktemp)
trap 'rm -f "$empty"' EXIT
"$woadtide" settings check --operator "$file"
said=$("$woadtide" settings diff --operator "$file" --against "$empty")
test -z "$said" || { echo "differs from the defaults: $said"; exit 1; }
echo '[log]
format = "json"' > "$empty"
"$woadtide" settings diff --operator "$file" --against "$empty" | grep -q 'log.format: "text" -> "json" (on SIGHUP)'
