package upstream

import "net/http"

// ObserveHeads returns a transport that passes the path of each request and the status and
// the header of its answer to observe.
func ObserveHeads(next http.RoundTripper, observe func(path string, status int, h http.Header)) http.RoundTripper {
	return observer{next: next, observe: observe}
}

type observer struct {
	next    http.RoundTripper
	observe func(path string, status int, h http.Header)
}

// RoundTrip implements http.RoundTripper.
func (o observer) RoundTrip(r *http.Request) (*http.Response, error) {
	response, err := o.next.RoundTrip(r)
	if err == nil {
		o.observe(r.URL.Path, response.StatusCode, response.Header)
	}
	return response, err
}
