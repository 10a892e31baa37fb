package httpconn

import (
	"bytes"
	"net/http"
	"strings"

	"github.com/rotisserie/eris"
	"golang.org/x/net/http/httpguts"
)

// framing is what a head says of where its body ends.
type framing struct {
	length  string // the value of Content-Length; empty without one
	encoded bool   // with Transfer-Encoding
}

// parseField checks one line of a head. A line that begins with a blank continues the value
// before it in obsolete heads; it may as well be a stray blank in a name.
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

// check returns an error where it is in doubt where the body ends: readers differ in what they
// then take for it (RFC 9112, 6.1 and 6.3).
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

// CheckHead returns ErrMalformed for the parts of a head that are not those of a final
// response, for heads that arrive in another way than over a Conn.
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
