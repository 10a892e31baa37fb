package upstream_test

import (
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"buckthornridge/upstream"
)

// malformedHeads begin bytes that are no response, though net/http makes one of them.
var malformedHeads = []string{
	"HTTP/1.1 000 Trouble\r\nContent-Length: 16\r\n\r\n",
	"HTTP/1.1 600 Trouble\r\nContent-Length: 16\r\n\r\n",
	"HTTP/1.1 101 Switching Protocols\r\n\r\n",
	"HTTP/3.7 503 Trouble\r\nContent-Length: 16\r\n\r\n",
	"HTTP/1.1 503 Trouble\r\nContent-Length : 99\r\n\r\n",
	"HTTP/1.1 200 OK\r\nLoad Report: 1\r\nContent-Length: 16\r\n\r\n",
	"HTTP/1.1 503 Trouble\r\nServer: a\r\n Content-Length: 99\r\n\r\n",
	"HTTP/1.0 503 Trouble\r\nTransfer-Encoding: chunked\r\n\r\n",
}

// Guards against bytes that are no response and that a client of the own path takes for one:
// for a reply, for the report of an engine, or for the word that a request did not run.
func TestMalformedHeadsAreNoResponses(t *testing.T) {
	for _, head := range malformedHeads {
		t.Run(head, func(t *testing.T) {
			is := is.New(t)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				c, _, err := http.NewResponseController(w).Hijack()
				if err != nil {
					t.Error(err)
					return
				}
				fmt.Fprint(c, head+`{"error":"full"}`)
				c.Close()
			}))
			defer server.Close()
			address, transport := strings.TrimPrefix(server.URL, "http://"), upstream.NewTransport()
			_, err := upstream.NewService(address, transport).Do(t.Context(), upstream.Call{Method: "POST", Path: "/x"})
			is.True(errors.Is(err, upstream.ErrBroken))
			engine := upstream.NewEngine(address, transport)
			_, err = engine.Load(t.Context())
			is.True(errors.Is(err, upstream.ErrBroken))
			_, err = engine.Generate(t.Context(), newGenerate("s", "p", 4))
			is.True(errors.Is(err, upstream.ErrBroken))
			is.True(!errors.Is(err, upstream.ErrRefused))
		})
	}
}
