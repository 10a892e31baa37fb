package httpconn

import (
	"errors"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// scannedHeads are bytes of responses, and whether their heads are well-formed.
var scannedHeads = map[string]bool{
	"HTTP/1.1 200 OK\r\nA: b\r\nContent-Length: 2\r\n\r\n\x00\n":              true,
	"HTTP/1.0 404\r\n\r\nno\nhead":                                            true,
	"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 \r\nContent-Length: 0\r\n\r\n": true,
	"HTTP/1.1 000 OK\r\n\r\n":                                                 false,
	"HTTP/1.1 200 OK\r\nA : b\r\n\r\n":                                        false,
	"HTTP/1.1 200 OK\r\nA: b\r\n C: d\r\n\r\n":                                false,
	"HTTP/1.1 200 OK\r\nA: b\n\r\n":                                           false,
	"HTTP/1.1 204 OK\r\nTransfer-Encoding: a\r\n\r\n":                         false,
	strings.Repeat("HTTP/1.1 103 Early\r\n\r\n", 9):                           false,
	"HTTP/1.1 200 OK\r\nA: " + strings.Repeat("b", MaxHeadBytes) + "\r\n\r\n": false,
}

// Guards against a verdict that depends on how the bytes of a head arrive, and against bytes of
// a body that are taken for a head.
func TestHeadsArriveInAnyParts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		for text, valid := range scannedHeads {
			var s headScanner
			var err error
			for rest := text; len(rest) > 0 && err == nil; {
				n := rapid.IntRange(1, len(rest)).Draw(t, "part")
				err = s.scan([]byte(rest[:n]))
				rest = rest[n:]
			}
			if refused := errors.Is(err, ErrMalformed) || errors.Is(err, ErrHeadTooLarge); valid == refused || valid != s.done {
				t.Fatalf("%q: done %t, error %v", text[:min(60, len(text))], s.done, err)
			}
		}
	})
}
