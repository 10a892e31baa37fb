package exchange

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"buckthornridge/httpconn"
	"buckthornridge/upstream"
)

const (
	// identifyTimeout bounds a question for the process of a connection.
	identifyTimeout = 300 * time.Millisecond
	// maxIdentityBytes bounds the answer.
	maxIdentityBytes = 256 << 10
	// identifyTries is how many connections are asked for one request: an idle one may
	// have been closed by its upstream.
	identifyTries = 2
)

// Identification asks an upstream which process it is. An upstream may restart under its
// id and address, and a list of upstreams tells that only later; a connection ends with
// its process.
type Identification struct {
	// OpenedSince spares connections that were opened earlier.
	OpenedSince time.Time
	// Process, if not 0, is the only process that may get the request. Without it the
	// request is sent even if the process does not say which one it is.
	Process int64
	// Target is the path of the question, a GET request.
	Target string
	// Read decodes the answer.
	Read func(status int, body []byte) (process int64, ok bool)
}

// identify makes sure that the process of a connection is known, if the request asks for
// it. It returns the connection to use, which is another one if the given one was closed.
func (p *Pool) identify(ctx context.Context, c *conn, r *Request) (*conn, error) {
	if r.Identify == nil {
		return c, nil
	}
	q := r.Identify()
	if q == nil {
		return c, nil
	}
	for try := 1; c.process == 0 && !c.openedAt.Before(q.OpenedSince); try++ {
		reusable, err := p.ask(ctx, c, q)
		if err == nil && reusable {
			break
		}
		if err == nil {
			err = errEndsWithAnswer
		}
		p.discard(c)
		if ctx.Err() != nil || try == identifyTries || r.OpenOnly {
			return nil, upstream.WrapError("identify", c.address, upstream.ErrNotSent, errors.Join(context.Cause(ctx), err))
		}
		if c, err = p.open(ctx, c.address, r.ConnectTimeout); err != nil {
			return nil, err
		}
	}
	if q.Process != 0 && c.process != 0 && c.process != q.Process {
		p.put(c, defaultIdle)
		return nil, upstream.WrapError("identify", c.address, upstream.ErrNotSent, upstream.ErrOtherProcess)
	}
	return c, nil
}

// Identify opens a connection, asks which process has it, and keeps it for later requests.
// The process is 0 if it did not tell.
func (p *Pool) Identify(ctx context.Context, address string, q *Identification) (process int64, err error) {
	c, err := p.open(ctx, address, 0)
	if err != nil {
		return 0, err
	}
	reusable, err := p.ask(ctx, c, q)
	if err != nil || !reusable {
		p.discard(c)
	} else {
		p.put(c, defaultIdle)
	}
	if err != nil {
		return 0, upstream.WrapError("identify", address, upstream.ErrNotSent, err)
	}
	return c.process, nil
}

// ErrInvalidAnswer reports that an upstream answered a question with a malformed or incomplete
// response.
var ErrInvalidAnswer = eris.New("no valid answer to the question for the process")

// errEndsWithAnswer reports a connection that closes after the answer to a question.
var errEndsWithAnswer = eris.New("the connection ends with the answer")

// ask asks for the process of a connection. It reports whether the connection can be reused;
// after an error it can't.
func (p *Pool) ask(ctx context.Context, c *conn, q *Identification) (reusable bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, identifyTimeout)
	defer cancel()
	stop := context.AfterFunc(ctx, c.abort)
	defer stop()
	p.counters.Identified.Add(1)
	question := &Request{Method: http.MethodGet, Target: q.Target, Host: c.address}
	if _, err := send(c, question); err != nil {
		return false, err
	}
	answer, err := c.readHead(http.MethodGet)
	if errors.Is(err, httpconn.ErrMalformed) || errors.Is(err, httpconn.ErrHeadTooLarge) {
		err = errors.Join(ErrInvalidAnswer, err)
	}
	if err != nil {
		return false, err
	}
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxIdentityBytes+1))
	if err == nil && len(body) > maxIdentityBytes {
		err = upstream.ErrTooLarge
	}
	if err != nil && ctx.Err() == nil {
		err = errors.Join(ErrInvalidAnswer, err)
	}
	if err != nil {
		return false, err
	}
	process, ok := q.Read(answer.StatusCode, body)
	switch {
	case ok:
		c.process, c.unidentified = process, false
	case q.Process != 0:
		return false, eris.Errorf("status %d does not tell the process", answer.StatusCode)
	default:
		c.unidentified = true
	}
	return !answer.Close && !wantsClose(answer.Header) && stop(), nil
}
