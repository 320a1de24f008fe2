package commands

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"strings"
	"time"

	"filberthaven.example/configurer"
	"filberthaven.example/server"
)

// callTimeout is the timeout of one call to an entry VM.
const callTimeout = 30 * time.Second

var errNoAddress = errors.New("--address or FILBERTHAVEN_ADDRESS is required")

// httpClient returns the client for calls to entry VMs. It trusts the certificates of
// --authority instead of the system's if that is set.
func (e *environment) httpClient() (*http.Client, error) {
	client := &http.Client{Timeout: callTimeout}
	if e.Authority == "" {
		return client, nil
	}
	pem, err := os.ReadFile(e.Authority)
	if err != nil {
		return nil, err
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, fmt.Errorf("%s: no PEM certificate", e.Authority)
	}
	client.Transport = &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS13}}
	return client, nil
}

// client returns the client of the operators' API.
func (e *environment) client() (*configurer.Client, error) {
	if e.Address == "" {
		return nil, &exitError{exitUsage, errNoAddress}
	}
	client, err := e.httpClient()
	if err != nil {
		return nil, err
	}
	return configurer.NewClient(e.Address, e.Key, client), nil
}

// status requests the status of the fleet from an entry VM.
func (e *environment) status(ctx context.Context) (server.Status, error) {
	var status server.Status
	if e.Address == "" {
		return status, &exitError{exitUsage, errNoAddress}
	}
	client, err := e.httpClient()
	if err != nil {
		return status, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, strings.TrimSuffix(e.Address, "/")+"/v1/status", http.NoBody)
	if err != nil {
		return status, err
	}
	request.Header.Set("Authorization", "Bearer "+e.Key)
	response, err := client.Do(request)
	if err != nil {
		return status, fmt.Errorf("%w: %w", configurer.ErrUnreachable, err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return status, fmt.Errorf("status: %s", response.Status)
	}
	return status, json.NewDecoder(response.Body).Decode(&status)
}
