package exchange

import "net/http"

// expectResponse announces a response to the connection.
func (c *conn) expectResponse() error {
	buffered, err := c.reader.Peek(c.reader.Buffered())
	if err != nil {
		return err
	}
	return c.raw.ExpectResponse(buffered)
}

// readHead reads the head of the response to a request with a method. It skips interim
// responses.
func (c *conn) readHead(method string) (*http.Response, error) {
	request := &http.Request{Method: method}
	for {
		response, err := http.ReadResponse(c.reader, request)
		if err != nil || response.StatusCode >= http.StatusOK {
			return response, err
		}
	}
}
