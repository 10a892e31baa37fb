package upstream

import "net/http"

// ObserveHeaders returns a transport that passes the path of each request and the header of
// its answer to observe.
func ObserveHeaders(next http.RoundTripper, observe func(path string, h http.Header)) http.RoundTripper {
	return observer{next: next, observe: observe}
}

type observer struct {
	next    http.RoundTripper
	observe func(path string, h http.Header)
}

// RoundTrip implements http.RoundTripper.
func (o observer) RoundTrip(r *http.Request) (*http.Response, error) {
	response, err := o.next.RoundTrip(r)
	if err == nil {
		o.observe(r.URL.Path, response.Header)
	}
	return response, err
}
