#!/bin/sh
# Configuration reload on SIGHUP: valid files, invalid files, several signals in a row, and two SIGTERM
# between further SIGHUPs, as the platform sends them. Usage: reload.sh WOADTIDE. Waits for log lines only,
# at most 10 s each.
set -eu
dir=$(mktemp -d)
pid=
trap 'test -z "$pid" || kill -KILL "$pid" 2>/dev/null || true; rm -rf "$dir"' EXIT

config() {  # ADDRESS: writes a config with this discovery address
  cat >"$dir/new" <<END
{"name": "n0", "listen": "127.0.0.1:0", "discovery": "$1", "seed": "1",
 "settings": {"Categories": [{"Name": "a", "Effect": "idempotent", "DeadlineUs": 100000}]}}
END
  mv "$dir/new" "$dir/config.json"
}
await() {  # TEXT: waits until the log contains it
  tries=0
  until grep -qF "$1" "$dir/log"; do
    tries=$((tries + 1))
    if test $tries -gt 1000 || ! kill -0 "$pid"; then cat "$dir/log"; echo "no '$1'"; exit 1; fi
    sleep 0.01
  done
}

config 127.0.0.1:1
"$1" serve --config "$dir/config.json" 2>"$dir/log" &
pid=$!
await "start: n0"
config 127.0.0.2:1
kill -HUP "$pid"
await "reload: done, discovery at 127.0.0.2:1"
echo "{" >"$dir/config.json"
kill -HUP "$pid"
await "reload: refused: $dir/config.json: not JSON"
config 127.0.0.3:x
kill -HUP "$pid"
await "reload: refused: '127.0.0.3:x' is not a numeric host:port"
config 127.0.0.4:1
kill -HUP "$pid"
kill -HUP "$pid"
await "reload: done, discovery at 127.0.0.4:1"
kill -HUP "$pid"
kill -TERM "$pid"
kill -TERM "$pid"
kill -HUP "$pid"
wait "$pid"
pid=
grep -qF "end: done" "$dir/log"
