package admin

import (
	"compress/gzip"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"

	"buckthornridge/settings"
)

// Limits of a request body after decompression. A document of 6,100 workspaces
// has about 2 MB.
const (
	maxConfigBytes = 16 << 20
	maxBodyBytes   = 64 << 10
)

// readBody reads a whole body of at most limit bytes. A body may be compressed
// with gzip; the limit applies to the decompressed data too, so that a small
// body can't exhaust the memory.
func readBody(c call, limit int64) ([]byte, error) {
	body := http.MaxBytesReader(c.w, c.Body, limit)
	var reader io.Reader = body
	switch encoding := c.Header.Get("Content-Encoding"); encoding {
	case "", "identity":
	case "gzip":
		decompressed, err := gzip.NewReader(body)
		if err != nil {
			return nil, newProblem(ProblemMalformed, "the body is no gzip: "+err.Error())
		}
		reader = decompressed
	default:
		return nil, newProblem(ProblemMalformed, fmt.Sprintf("Content-Encoding %q is not known", encoding))
	}
	data, err := io.ReadAll(io.LimitReader(reader, limit+1))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) || int64(len(data)) > limit {
		return nil, newProblem(ProblemTooLarge, fmt.Sprintf("the body is over %d bytes", limit))
	}
	if err != nil {
		return nil, newProblem(ProblemMalformed, "the body could not be read: "+err.Error())
	}
	return data, nil
}

// bodyName is the file name that parse errors of a body show.
const bodyName = "body"

// decodeBody decodes a body into a request; unknown and duplicate keys are
// errors.
func decodeBody(c call, limit int64, into any) (*settings.Node, error) {
	data, err := readBody(c, limit)
	if err != nil {
		return nil, err
	}
	root, faults := settings.Parse(bodyName, data)
	if len(faults) == 0 {
		faults = settings.Bind(root, into)
	}
	if len(faults) > 0 {
		return nil, newProblem(ProblemMalformed, faults.Error())
	}
	return root, nil
}

// queryNumber returns a numeric query parameter, or fallback if it is not given.
func queryNumber(c call, name string, fallback uint64) (uint64, error) {
	text := c.URL.Query().Get(name)
	if text == "" {
		return fallback, nil
	}
	n, err := strconv.ParseUint(text, 10, 63)
	if err != nil {
		return 0, newProblem(ProblemMalformed, fmt.Sprintf("%s: want a whole number, found %q", name, text))
	}
	return n, nil
}

// Limits of the number of entries in a list reply.
const (
	defaultListLimit = 50
	maxListLimit     = 1000
)

func listLimit(c call) (int, error) {
	n, err := queryNumber(c, "limit", defaultListLimit)
	return int(min(n, maxListLimit)), err
}
