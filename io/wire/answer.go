package wire

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"

	"golang.org/x/net/http/httpguts"
)

// ReadAnswer reads the next answer to a request with the method, past the interim ones, from a reader of the connection that was used for
// all answers before. It returns an error if the head is none; reads of the body do if the trailer is none.
func (c *Conn) ReadAnswer(reader *bufio.Reader, method string) (*http.Response, error) {
	buffered, err := reader.Peek(reader.Buffered())
	if err != nil {
		return nil, err
	}
	if err := c.expectAnswer(buffered); err != nil {
		return nil, err
	}
	for {
		response, err := http.ReadResponse(reader, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if response.StatusCode >= http.StatusOK {
			checkTrailer(response)
			return response, nil
		}
	}
}

// expectAnswer has the heads of the next answer checked, of which some bytes were read before.
func (c *Conn) expectAnswer(buffered []byte) error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.head.begin()
	_, err := c.head.scan(buffered)
	return err
}

// Transport is an http.Transport that returns whole answers only. It checks the heads of answers that don't come over TLS.
type Transport struct {
	*http.Transport
}

// NewTransport returns a Transport with the settings of another one, which must not be used any more.
func NewTransport(transport *http.Transport) *Transport {
	dial := transport.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	transport.DialContext = dialer(dial)
	return &Transport{transport}
}

// RoundTrip sends a request and returns its answer, or an error if the head is none; reads of the body return one if the trailer is none.
func (t *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if c, ok := info.Conn.(*Conn); ok {
			// Without bytes there is no error.
			_ = c.expectAnswer(nil)
		}
	}}
	response, err := t.Transport.RoundTrip(request.WithContext(httptrace.WithClientTrace(request.Context(), trace)))
	if err != nil {
		return nil, err
	}
	checkTrailer(response)
	return response, nil
}

// checkTrailer has reads of the body return an error at its end if the trailer has a name that is none. Only a body in chunks has a trailer.
func checkTrailer(response *http.Response) {
	if len(response.TransferEncoding) > 0 {
		response.Body = &checkedBody{response.Body, response}
	}
}

// checkedBody is the body of an answer, whose trailer is checked at its end.
type checkedBody struct {
	io.ReadCloser
	response *http.Response
}

// Read reads the body.
func (b *checkedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	for name, values := range b.response.Trailer {
		// A name that was only announced has no values.
		if values != nil && !httpguts.ValidHeaderFieldName(name) {
			return n, fmt.Errorf("trailer of an answer has a field named %q", name)
		}
	}
	return n, err
}
