package messenger_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"filberthaven.example/messenger"
	qt "github.com/frankban/quicktest"
)

// encodingRecorder is an HTTP transport that records the content encoding of the last
// response.
type encodingRecorder struct{ lastEncoding string }

func (e *encodingRecorder) RoundTrip(request *http.Request) (*http.Response, error) {
	response, err := messenger.NewTransport(nil).RoundTrip(request)
	if err == nil {
		e.lastEncoding = response.Header.Get("Content-Encoding")
	}
	return response, err
}

// TestCompression asserts that only long responses are compressed, since a compressor
// takes more memory than the daemon of a small VM can spare.
func TestCompression(t *testing.T) {
	c := qt.New(t)
	transport := &encodingRecorder{}
	m, err := messenger.New(messenger.WithClient(&http.Client{Transport: transport}, "http"))
	c.Assert(err, qt.IsNil)
	mux := http.NewServeMux()
	messenger.Handle(m, mux, "/echo/say", func(_ context.Context, request *echoRequest) (*echoResponse, error) {
		return &echoResponse{Text: request.Text}, nil
	})
	server := httptest.NewServer(mux)
	c.Cleanup(server.Close)
	for _, test := range []struct {
		name, encoding string
		length         int
	}{{"short", "", 100}, {"long", "gzip", 10_000}} {
		c.Run(test.name, func(c *qt.C) {
			text := strings.Repeat("m", test.length)
			response, err := messenger.Call[echoRequest, echoResponse](t.Context(), m, server.Listener.Addr().String(), "/echo/say", &echoRequest{Text: text})
			c.Assert(err, qt.IsNil)
			c.Assert(response.Text, qt.Equals, text)
			c.Assert(transport.lastEncoding, qt.Equals, test.encoding)
		})
	}
}
