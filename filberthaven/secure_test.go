package main_test

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"filberthaven.example/authenticator"
	qt "github.com/frankban/quicktest"
)

const certificateLifetime = time.Hour

// secureFiles are the TLS key and certificate files of a fleet.
type secureFiles struct {
	c         *qt.C
	folder    string
	authority *authenticator.Authority
}

// newSecureFiles creates a private certificate authority and writes its certificate.
func newSecureFiles(c *qt.C) *secureFiles {
	authority, err := authenticator.NewAuthority("test")
	c.Assert(err, qt.IsNil)
	s := &secureFiles{c: c, folder: c.TempDir(), authority: authority}
	s.write("authority.pem", authority.Certificate())
	return s
}

// write replaces a file atomically, so that no reader sees a partial file.
func (s *secureFiles) write(name string, data []byte) {
	path := filepath.Join(s.folder, name)
	s.c.Assert(os.WriteFile(path+".new", data, 0o600), qt.IsNil)
	s.c.Assert(os.Rename(path+".new", path), qt.IsNil)
}

// issue writes a new key and certificate for an entry VM.
func (s *secureFiles) issue(id string) {
	certificate, key, err := s.authority.Issue(id, []string{"127.0.0.1"}, certificateLifetime)
	s.c.Assert(err, qt.IsNil)
	s.write(id+".key", key)
	s.write(id+".pem", certificate)
}

// settings returns the TLS section of an entry VM's settings.
func (s *secureFiles) settings(id string) string {
	path := func(name string) string { return filepath.Join(s.folder, name) }
	return fmt.Sprintf("\n[tls]\ncertificate = %s\nkey = %s\nauthority = %s\nreload = 1s\nworkers = no\n",
		path(id+".pem"), path(id+".key"), path("authority.pem"))
}

// client returns the TLS configuration of a caller.
func (s *secureFiles) client() *tls.Config {
	pool := x509.NewCertPool()
	s.c.Assert(pool.AppendCertsFromPEM(s.authority.Certificate()), qt.IsTrue)
	return &tls.Config{RootCAs: pool}
}

// serial returns the serial number of the certificate that an entry VM presents.
func (p *processes) serial(e *entry) string {
	connection, err := tls.Dial("tcp", e.listen, p.secure.client())
	p.c.Assert(err, qt.IsNil)
	defer connection.Close()
	return connection.ConnectionState().PeerCertificates[0].SerialNumber.String()
}
