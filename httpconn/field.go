package httpconn

import (
	"bytes"
	"net/http"
	"strings"

	"github.com/rotisserie/eris"
	"golang.org/x/net/http/httpguts"
)

// framing holds the fields of a head that determine where its body ends.
type framing struct {
	length  string // the value of Content-Length; empty without one
	encoded bool   // it has Transfer-Encoding
}

// parseField checks one field line. Obsolete line folding, a line that begins with a blank, is
// refused as RFC 9112, 5.2 permits: it can't be told from a stray blank in a name.
func (f *framing) parseField(line []byte) error {
	name, value, found := bytes.Cut(line, []byte(":"))
	if !found || !httpguts.ValidHeaderFieldName(string(name)) || !httpguts.ValidHeaderFieldValue(string(value)) {
		return malformed("field line", line)
	}
	switch http.CanonicalHeaderKey(string(name)) {
	case "Content-Length":
		f.length = strings.TrimSpace(string(value))
	case "Transfer-Encoding":
		f.encoded = true
	}
	return nil
}

// check returns an error if the end of the body is ambiguous (RFC 9112, 6.1 and 6.3).
func (f *framing) check(status int, http10 bool) error {
	bodiless := !isFinal(status) || status == http.StatusNoContent
	switch {
	case f.encoded && (f.length != "" || http10 || bodiless):
		return eris.Wrapf(ErrMalformed, "status %d, Transfer-Encoding with Content-Length %q", status, f.length)
	case bodiless && strings.Trim(f.length, "0") != "":
		return eris.Wrapf(ErrMalformed, "status %d, Content-Length %q", status, f.length)
	}
	return nil
}

// CheckHead returns ErrMalformed unless a status and fields can be those of a final response.
// It is for heads that another process has read.
func CheckHead(status int, header http.Header) error {
	if !isFinal(status) {
		return eris.Wrapf(ErrMalformed, "status %d of a final response", status)
	}
	for name, values := range header {
		if !httpguts.ValidHeaderFieldName(name) {
			return malformed("field name", []byte(name))
		}
		for _, value := range values {
			if !httpguts.ValidHeaderFieldValue(value) {
				return malformed("value of "+name, []byte(value))
			}
		}
	}
	return checkStatus(status)
}
