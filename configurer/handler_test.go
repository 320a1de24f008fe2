package configurer

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"filberthaven.example/emulator"
	qt "github.com/frankban/quicktest"
	"github.com/go-chi/chi/v5"
)

// newAPI returns a server of the operators' API and its store. Callers give their role in
// the header Role.
func newAPI(c *qt.C) (*httptest.Server, *emulator.Store) {
	store := emulator.NewStore()
	configCopy := NewCopy()
	authenticate := func(r *http.Request) (Caller, error) {
		return NewCaller("ada", Role(r.Header.Get("Role"))), nil
	}
	router := chi.NewRouter()
	router.Mount(BasePath, NewHandler(NewWriter(store.KV(), configCopy), configCopy, WithAuthenticate(authenticate)))
	server := httptest.NewServer(router)
	c.Cleanup(server.Close)
	return server, store
}

// apiResponse is a decoded response of the API.
type apiResponse struct {
	status      int
	contentType string
	problem     problem // empty if the status is 200
}

func send(c *qt.C, server *httptest.Server, role Role, method, path, body string) apiResponse {
	c.Helper()
	request, err := http.NewRequest(method, server.URL+BasePath+path, strings.NewReader(body))
	c.Assert(err, qt.IsNil)
	request.Header.Set("Role", string(role))
	response, err := http.DefaultClient.Do(request)
	c.Assert(err, qt.IsNil)
	defer response.Body.Close()
	decoded := apiResponse{status: response.StatusCode, contentType: response.Header.Get("Content-Type")}
	if decoded.status != http.StatusOK {
		c.Assert(json.NewDecoder(response.Body).Decode(&decoded.problem), qt.IsNil)
	}
	return decoded
}

func assertProblem(c *qt.C, response apiResponse, status int, name string) {
	c.Helper()
	c.Assert(response.status, qt.Equals, status)
	c.Assert(response.problem.Type, qt.Equals, name)
	c.Assert(response.contentType, qt.Equals, "application/problem+json")
}

// applyBody returns the body of a request that applies the text on the revision.
func applyBody(c *qt.C, revision uint64, text string) string {
	var body bytes.Buffer
	c.Assert(json.NewEncoder(&body).Encode(applyRequest{Revision: revision, Files: filesWire{"fleet.ini": text}, Reason: "test"}), qt.IsNil)
	return body.String()
}

func TestHandler(t *testing.T) {
	c := qt.New(t)
	server, store := newAPI(c)
	assertProblem(c, send(c, server, Viewer, http.MethodGet, "/document", ""), http.StatusNotFound, "norevision")
	c.Assert(send(c, server, Operator, http.MethodPost, "/apply", applyBody(c, 0, fleetText)).status, qt.Equals, http.StatusOK)

	c.Run("roles", func(c *qt.C) {
		for _, path := range []string{"/apply", "/rollback", "/drain", "/return", "/withdraw", "/grant", "/limit"} {
			assertProblem(c, send(c, server, Viewer, http.MethodPost, path, "{}"), http.StatusForbidden, "denied")
			assertProblem(c, send(c, server, NoRole, http.MethodPost, path, "{}"), http.StatusForbidden, "denied")
		}
		for _, path := range []string{"/document", "/history", "/history/1", "/force"} {
			assertProblem(c, send(c, server, NoRole, http.MethodGet, path, ""), http.StatusForbidden, "denied")
			c.Assert(send(c, server, Viewer, http.MethodGet, path, "").status, qt.Equals, http.StatusOK)
		}
	})
	c.Run("faults name file, line and key", func(c *qt.C) {
		response := send(c, server, Operator, http.MethodPost, "/apply", applyBody(c, 1, fleetText+"[team \"x\"]\nshare = much\n"))
		assertProblem(c, response, http.StatusUnprocessableEntity, "refused")
		c.Assert(response.problem.Faults, qt.DeepEquals, []problemFault{{
			File: "fleet.ini", Line: 13, Section: `[team "x"]`, Key: "share", Detail: `bad value: want a number: "much"`,
		}})
	})
	c.Run("malformed requests", func(c *qt.C) {
		for path, body := range map[string]string{
			"/apply":    `{"revision":1,"files":{"a.ini":"[centre \"a\"]"},"reason":" "}`,
			"/drain":    `{"reason":"power"}`,
			"/return":   `{"centre":"a","vm":"b","reason":"power"}`,
			"/withdraw": `{"key":"team00000000","reason":""}`,
			"/grant":    `{"key":"0123456789ab","hash":"12","team":"cremona","reason":"new"}`,
			"/limit":    `{"team":"cremona","key":"share","value":"1","reason":"new"}`,
			"/rollback": `{"to":-1}`,
			"/plan":     `{"filess":{}}`,
		} {
			assertProblem(c, send(c, server, Operator, http.MethodPost, path, body), http.StatusBadRequest, "request")
		}
	})
	c.Run("large body", func(c *qt.C) {
		body := applyBody(c, 1, strings.Repeat("#", bodyLimit))
		assertProblem(c, send(c, server, Operator, http.MethodPost, "/apply", body), http.StatusBadRequest, "request")
	})
	c.Run("key-value service down", func(c *qt.C) {
		store.SetFaults(emulator.Down())
		response := send(c, server, Operator, http.MethodPost, "/drain", `{"centre":"a","reason":"power"}`)
		assertProblem(c, response, http.StatusServiceUnavailable, "unavailable")
		c.Assert(send(c, server, Viewer, http.MethodGet, "/document", "").status, qt.Equals, http.StatusOK)
	})
}

// FuzzHandler checks that each error caused by a request body is a problem of a known type.
func FuzzHandler(f *testing.F) {
	paths := []string{"/plan", "/apply", "/rollback", "/drain", "/return", "/withdraw", "/grant", "/limit"}
	for i := range paths {
		f.Add(i, `{"revision":1,"to":1,"files":{"a.ini":"[centre \"a\"]"},"reason":"x"}`)
		f.Add(i, `{"centre":"a","key":"limit","team":"cremona","value":"2","reason":"x"}`)
		f.Add(i, `{"key":"0123456789ab","hash":"`+emptyHash+`","team":"cremona","replaces":"team00000000","reason":"x"}`)
	}
	configCopy := NewCopy()
	w := NewWriter(emulator.NewStore().KV(), configCopy)
	operator := func(*http.Request) (Caller, error) { return NewCaller("ada", Operator), nil }
	handler := NewHandler(w, configCopy, WithAuthenticate(operator))
	f.Fuzz(func(t *testing.T, index int, body string) {
		c := qt.New(t)
		if configCopy.Revision() == 0 {
			applyFirst(c, w)
		}
		path := paths[uint(index)%uint(len(paths))]
		recorder := httptest.NewRecorder()
		handler.ServeHTTP(recorder, httptest.NewRequest(http.MethodPost, path, strings.NewReader(body)))
		if recorder.Code == http.StatusOK {
			return
		}
		var p problem
		c.Assert(json.Unmarshal(recorder.Body.Bytes(), &p), qt.IsNil)
		c.Assert(p.Type, qt.Not(qt.Equals), "about:blank", qt.Commentf("%s", p.Detail))
	})
}
