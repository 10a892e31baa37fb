package edge

import (
	"errors"
	"io"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"buckthornridge/httpconn"
	"buckthornridge/relay"
)

// headStream is a peer's answer with a head alone.
type headStream struct{ head forwardMessage }

func (s headStream) Next(message, _ any) error {
	into, ok := message.(*forwardMessage)
	if !ok {
		return io.EOF
	}
	*into = s.head
	return nil
}

func (s headStream) Close() error { return nil }

// malformedForwards are heads that a process of an earlier version passes on.
var malformedForwards = []forwardMessage{{}, {Status: 20}, {Status: 100}, {Status: 101}, {Status: 600},
	{Status: 200, Header: http.Header{"Order Id": {"7"}}}, {Status: 200, Header: http.Header{"Order": {"a\x01"}}}}

// Guards against a head that is none of a response and that comes through another VM, whose
// process may be of an earlier version.
func TestMalformedHeadThroughAPeer(t *testing.T) {
	protocol := Protocol{ReadHead: func(status int, h http.Header) relay.Head { return relay.Head{Status: status, Header: h} }}
	for _, head := range malformedForwards {
		is := is.New(t)
		err := (&forwardedResponse{stream: headStream{head}}).readHead(protocol)
		is.True(errors.Is(err, httpconn.ErrMalformed))
	}
	is := is.New(t)
	is.NoErr((&forwardedResponse{stream: headStream{forwardMessage{Status: 200, Header: http.Header{"A": {"b\t\xe9", ""}}}}}).readHead(protocol))
}
