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

// tlsFiles are the TLS key and certificate files of a fleet.
type tlsFiles struct {
	c         *qt.C
	folder    string
	authority *authenticator.Authority
}

// newTLSFiles creates a private certificate authority and writes its certificate.
func newTLSFiles(c *qt.C) *tlsFiles {
	authority, err := authenticator.NewAuthority("test")
	c.Assert(err, qt.IsNil)
	f := &tlsFiles{c: c, folder: c.TempDir(), authority: authority}
	f.write("authority.pem", authority.Certificate())
	return f
}

// write replaces a file atomically, so that no reader sees a partial file.
func (f *tlsFiles) write(name string, data []byte) {
	path := filepath.Join(f.folder, name)
	f.c.Assert(os.WriteFile(path+".new", data, 0o600), qt.IsNil)
	f.c.Assert(os.Rename(path+".new", path), qt.IsNil)
}

// issue writes a new key and certificate for an entry VM.
func (f *tlsFiles) issue(id string) {
	certificate, key, err := f.authority.Issue(id, []string{"127.0.0.1"}, certificateLifetime)
	f.c.Assert(err, qt.IsNil)
	f.write(id+".key", key)
	f.write(id+".pem", certificate)
}

// settings returns the TLS section of an entry VM's settings.
func (f *tlsFiles) settings(id string) string {
	path := func(name string) string { return filepath.Join(f.folder, name) }
	return fmt.Sprintf("\n[tls]\ncertificate = %s\nkey = %s\nauthority = %s\nreload = 1s\nworkers = no\n",
		path(id+".pem"), path(id+".key"), path("authority.pem"))
}

// client returns the TLS configuration of a caller.
func (f *tlsFiles) client() *tls.Config {
	pool := x509.NewCertPool()
	f.c.Assert(pool.AppendCertsFromPEM(f.authority.Certificate()), qt.IsTrue)
	return &tls.Config{RootCAs: pool}
}

// serial returns the serial number of the certificate that an entry VM presents.
func (p *processes) serial(e *entry) string {
	connection, err := tls.Dial("tcp", e.listen, p.tlsFiles.client())
	p.c.Assert(err, qt.IsNil)
	defer connection.Close()
	return connection.ConnectionState().PeerCertificates[0].SerialNumber.String()
}
