package server

import (
	"net/http"
	"time"

	"filberthaven.example/authenticator"
	"filberthaven.example/configurer"
	"filberthaven.example/router"
)

// lookupKey returns a key of the document in force.
func (s *Server) lookupKey(id string) (authenticator.Key, bool) {
	document := s.copy.Current()
	if document == nil {
		return authenticator.Key{}, false
	}
	key, ok := document.Key(id)
	if !ok {
		return authenticator.Key{}, false
	}
	return authenticator.NewKey(key.ID(), key.Hash(), key.Team(), roleOf(key.Role()), key.Withdrawn(), key.Expires()), true
}

// roleOf returns the authenticator's role for a declared role.
func roleOf(role configurer.Role) authenticator.Role {
	switch role {
	case configurer.Operator:
		return authenticator.OperatorRole
	case configurer.Viewer:
		return authenticator.ViewerRole
	}
	return authenticator.TeamRole
}

// authenticate returns the caller of the operators' API. It returns configurer.ErrDenied
// unless the request's key has the role of an operator or viewer.
func authenticate(request *http.Request) (configurer.Caller, error) {
	principal, ok := router.PrincipalFrom(request.Context())
	if !ok {
		return configurer.Caller{}, configurer.ErrDenied
	}
	switch principal.Role() {
	case authenticator.OperatorRole:
		return configurer.NewCaller(principal.Key(), configurer.Operator), nil
	case authenticator.ViewerRole:
		return configurer.NewCaller(principal.Key(), configurer.Viewer), nil
	}
	return configurer.Caller{}, configurer.ErrDenied
}

// lastUse returns when a key was last used on this entry VM.
func (s *Server) lastUse(id string) (time.Time, bool) { return s.authenticator.LastUse(id) }
