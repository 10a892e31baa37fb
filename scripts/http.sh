# http_get HOST:PORT PATH prints the body and fails unless the status is 200.
# It needs bash alone: a fresh machine may have neither curl nor wget.
http_get() {
	local host=${1%:*} port=${1##*:} status line
	exec 9<>"/dev/tcp/$host/$port" || return 1
	printf 'GET %s HTTP/1.0\r\nHost: %s\r\n\r\n' "$2" "$1" >&9
	read -r -t 5 _ status _ <&9 || status=0
	while IFS= read -r -t 5 line <&9 && [ "$line" != $'\r' ]; do :; done
	cat <&9
	exec 9<&- 9>&-
	[ "$status" = 200 ]
}
