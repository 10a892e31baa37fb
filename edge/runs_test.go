package edge

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"

	"buckthornridge/relay"
	"buckthornridge/upstream/exchange"
)

// runAnswers are answers to the question for the runs of a process, and what they tell. The
// body names the process and its runs.
var runAnswers = []struct {
	name, text string
	state      relay.RunState
}{
	{"a length", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n1 u", relay.Running},
	{"an interim response first", "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n1 u", relay.Running},
	{"no length", "HTTP/1.1 200 OK\r\n\r\n1 u", relay.Running},
	{"a connection that ends", "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 3\r\n\r\n1 u", relay.Running},
	{"another run", "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 3\r\n\r\n1 v", relay.NotRunning},
	{"status 000", "HTTP/1.1 000 OK\r\nContent-Length: 3\r\n\r\n1 v", relay.RunStateUnknown},
	{"a blank in a name", "HTTP/1.1 200 OK\r\nContent-Length : 9\r\n\r\n1 v", relay.RunStateUnknown},
	{"a short body", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n1 v", relay.RunStateUnknown},
	{"no bytes", "", relay.Unreachable},
}

// Guards against a stream that is continued elsewhere beside its first run since the answer of
// its upstream is no response, or is one that ends with its connection: the upstream is within
// reach.
func TestAnswersToTheQuestionForRuns(t *testing.T) {
	protocol := Protocol{
		ProcessQuestion: processQuestion,
		ReadProcess:     func(status int, body []byte) (int64, bool) { return 1, status == http.StatusOK && len(body) > 0 },
		ReadRuns: func(status int, body []byte) ([]string, bool) {
			_, run, found := strings.Cut(string(body), " ")
			return []string{run}, found && status == http.StatusOK
		},
	}
	for _, answer := range runAnswers {
		t.Run(answer.name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
			go func() {
				c, err := l.Accept()
				if err != nil {
					return
				}
				defer c.Close()
				if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					fmt.Fprint(c, answer.text)
				}
			}()
			upstream := relay.Upstream{ID: "e", Start: 1, Address: l.Addr().String()}
			pool := exchange.NewPool(nil)
			if state := askRun(t.Context(), pool, protocol, upstream, "u"); state != answer.state {
				t.Errorf("%s, needed %s", runStateNames[state], runStateNames[answer.state])
			}
			pool.DropIdle(upstream.Address)
		})
	}
}
