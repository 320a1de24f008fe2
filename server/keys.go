package server

import (
	"errors"
	"net/http"
	"strings"

	"filberthaven.example/authenticator"
	"filberthaven.example/configurer"
)

// lookupKey returns a key of the declarations in force.
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

// roleOf returns what a declared role allows.
func roleOf(role configurer.Role) authenticator.Role {
	switch role {
	case configurer.Operator:
		return authenticator.OperatorRole
	case configurer.Viewer:
		return authenticator.ViewerRole
	}
	return authenticator.TeamRole
}

// identify returns who calls the operators' API, or configurer.ErrDenied.
func (s *Server) identify(request *http.Request) (configurer.Caller, error) {
	principal, err := s.keys.Authenticate(request)
	if err != nil {
		return configurer.Caller{}, errors.Join(configurer.ErrDenied, err)
	}
	switch principal.Role() {
	case authenticator.OperatorRole:
		return configurer.NewCaller(principal.Key(), configurer.Operator), nil
	case authenticator.ViewerRole:
		return configurer.NewCaller(principal.Key(), configurer.Viewer), nil
	}
	return configurer.Caller{}, configurer.ErrDenied
}

// isOperatorPath reports whether a path belongs to the operators' API.
func isOperatorPath(path string) bool {
	return path == configurer.BasePath || strings.HasPrefix(path, configurer.BasePath+"/")
}
