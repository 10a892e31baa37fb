package service

import (
	"net/http"
	"strings"
	"time"
)

const (
	// endlessLimit bounds a response without end, for a client that never closes.
	endlessLimit = time.Minute
	endlessChunk = 32 << 10
)

// endlessResponse is a response without end: how it begins, and what repeats.
type endlessResponse struct{ begin, repeat string }

var endless = map[FaultKind]endlessResponse{
	EndlessHead:    {"HTTP/1.1 200 OK\r\n", "A: b\r\n"},
	EndlessInterim: {"", "HTTP/1.1 102 Processing\r\n\r\n"},
	EndlessBody:    {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nbody\r\n"},
}

// writeEndlessly writes a response until the client closes.
func writeEndlessly(w http.ResponseWriter, response endlessResponse) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer conn.Close()
	if err := conn.SetWriteDeadline(time.Now().Add(endlessLimit)); err != nil {
		return
	}
	_, err = conn.Write([]byte(response.begin))
	for chunk := []byte(strings.Repeat(response.repeat, endlessChunk/len(response.repeat))); err == nil; {
		_, err = conn.Write(chunk) // fails once the client has closed
	}
}
