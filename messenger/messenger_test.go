package messenger_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"connectrpc.com/connect"
	"filberthaven.example/messenger"
	qt "github.com/frankban/quicktest"
)

type echoRequest struct{ Text string }

type echoResponse struct{ Text string }

func TestCall(t *testing.T) {
	c := qt.New(t)
	m, err := messenger.New()
	c.Assert(err, qt.IsNil)
	mux := http.NewServeMux()
	messenger.Handle(m, mux, "/echo/say", func(_ context.Context, request *echoRequest) (*echoResponse, error) {
		if request.Text == "" {
			return nil, connect.NewError(connect.CodeInvalidArgument, errors.New("empty text"))
		}
		return &echoResponse{Text: strings.ToUpper(request.Text)}, nil
	})
	server := httptest.NewServer(mux)
	c.Cleanup(server.Close)
	address := server.Listener.Addr().String()

	c.Run("answer", func(c *qt.C) {
		response, err := messenger.Call[echoRequest, echoResponse](t.Context(), m, address, "/echo/say", &echoRequest{Text: "maize"})
		c.Assert(err, qt.IsNil)
		c.Assert(response.Text, qt.Equals, "MAIZE")
	})
	c.Run("error keeps its code", func(c *qt.C) {
		_, err := messenger.Call[echoRequest, echoResponse](t.Context(), m, address, "/echo/say", &echoRequest{})
		c.Assert(connect.CodeOf(err), qt.Equals, connect.CodeInvalidArgument)
	})
	c.Run("unreachable", func(c *qt.C) {
		_, err := messenger.Call[echoRequest, echoResponse](t.Context(), m, "127.0.0.1:1", "/echo/say", &echoRequest{})
		c.Assert(connect.CodeOf(err), qt.Equals, connect.CodeUnavailable)
	})
}
