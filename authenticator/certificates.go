package authenticator

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"net"
	"os"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/samber/oops"
)

// DefaultReload is the time between two looks at the files of certificates.
const DefaultReload = time.Second

// Errors of TLS settings.
var (
	// ErrNoAuthority means that a file of authorities holds no certificate.
	ErrNoAuthority = errors.New("no certificate authority in file")
	// ErrPlaintext means that an address would carry keys in plaintext.
	ErrPlaintext = errors.New("plaintext is only allowed on loopback or by an explicit setting")
)

// Certificates is a certificate with its key, and the authorities that other
// entry VMs are checked against, as read from files. Connections that are opened
// after a change use the new ones.
type Certificates struct {
	certificate, key, authority string // paths; authority may be empty
	logger                      hclog.Logger
	current                     atomic.Pointer[material]
}

// material is what the files hold. It is not changed after it is made.
type material struct {
	files       [3][]byte // certificate, key, authority
	certificate tls.Certificate
	pool        *x509.CertPool // nil: the system's
}

// NewCertificates reads the files. The file of authorities may be empty: then
// callers are served, and other entry VMs are not trusted.
func NewCertificates(certificate, key, authority string, logger hclog.Logger) (*Certificates, error) {
	c := &Certificates{certificate: certificate, key: key, authority: authority, logger: logger.Named("authenticator")}
	if _, err := c.Reload(); err != nil {
		return nil, err
	}
	return c, nil
}

// Reload reads the files and reports whether they changed. What does not fit
// together is left out with an error, and what was read before stays in force.
func (c *Certificates) Reload() (changed bool, err error) {
	files, err := c.read()
	if err != nil {
		return false, err
	}
	if known := c.current.Load(); known != nil && sameFiles(known.files, files) {
		return false, nil
	}
	fresh, err := parseMaterial(files)
	if err != nil {
		return false, oops.Wrapf(err, "load %s, %s and %q", c.certificate, c.key, c.authority)
	}
	c.current.Store(fresh)
	return true, nil
}

// read returns the files' contents.
func (c *Certificates) read() (files [3][]byte, err error) {
	for i, path := range []string{c.certificate, c.key, c.authority} {
		if path == "" {
			continue
		}
		if files[i], err = os.ReadFile(path); err != nil {
			return files, oops.Wrapf(err, "read certificates")
		}
	}
	return files, nil
}

// sameFiles reports whether the contents are the same.
func sameFiles(a, b [3][]byte) bool {
	for i := range a {
		if !bytes.Equal(a[i], b[i]) {
			return false
		}
	}
	return true
}

// parseMaterial checks what the files hold.
func parseMaterial(files [3][]byte) (*material, error) {
	pair, err := tls.X509KeyPair(files[0], files[1])
	if err != nil {
		return nil, err
	}
	m := &material{files: files, certificate: pair}
	if len(files[2]) == 0 {
		return m, nil
	}
	m.pool = x509.NewCertPool()
	if !m.pool.AppendCertsFromPEM(files[2]) {
		return nil, ErrNoAuthority
	}
	return m, nil
}

// Watch reloads the files when they change, until ctx is done.
func (c *Certificates) Watch(ctx context.Context, interval time.Duration) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		changed, err := c.Reload()
		if err != nil {
			c.logger.Error("certificates not loaded, the old ones stay", "error", err)
		}
		if changed {
			c.logger.Info("certificates loaded", "file", c.certificate)
		}
	}
}

// CallerSettings returns the TLS settings for callers.
func (c *Certificates) CallerSettings() *tls.Config {
	settings := &tls.Config{MinVersion: tls.VersionTLS12}
	settings.GetConfigForClient = func(*tls.ClientHelloInfo) (*tls.Config, error) {
		return &tls.Config{
			MinVersion:   tls.VersionTLS12,
			Certificates: []tls.Certificate{c.current.Load().certificate},
			NextProtos:   []string{"h2", "http/1.1"},
		}, nil
	}
	return settings
}

// PeerSettings returns the TLS settings for a listener that only entry VMs with a
// certificate of the authorities may call.
func (c *Certificates) PeerSettings() *tls.Config {
	settings := &tls.Config{MinVersion: tls.VersionTLS13}
	settings.GetConfigForClient = func(*tls.ClientHelloInfo) (*tls.Config, error) {
		current := c.current.Load()
		if current.pool == nil {
			return nil, ErrNoAuthority
		}
		return &tls.Config{
			MinVersion:   tls.VersionTLS13,
			Certificates: []tls.Certificate{current.certificate},
			ClientAuth:   tls.RequireAndVerifyClientCert,
			ClientCAs:    current.pool,
			NextProtos:   []string{"h2", "http/1.1"},
		}, nil
	}
	return settings
}

// ClientSettings returns the TLS settings for calls to other entry VMs. The other's
// certificate is checked against the authorities and its address.
func (c *Certificates) ClientSettings() *tls.Config {
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		InsecureSkipVerify: true, //nolint:gosec // VerifyConnection checks against the newest authorities.
		VerifyConnection:   c.verify,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return &c.current.Load().certificate, nil
		},
	}
}

// verify checks a server's certificate against the newest authorities.
func (c *Certificates) verify(state tls.ConnectionState) error {
	options := x509.VerifyOptions{DNSName: state.ServerName, Roots: c.current.Load().pool, Intermediates: x509.NewCertPool()}
	for _, certificate := range state.PeerCertificates[1:] {
		options.Intermediates.AddCert(certificate)
	}
	_, err := state.PeerCertificates[0].Verify(options)
	return err
}

// Expiry returns when the certificate in force ends.
func (c *Certificates) Expiry() time.Time { return c.current.Load().certificate.Leaf.NotAfter }

// CheckPlaintext returns ErrPlaintext unless address (host:port) is on loopback
// or plaintext is allowed explicitly.
func CheckPlaintext(address string, allowed bool) error {
	if allowed {
		return nil
	}
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return oops.Wrapf(err, "address %q", address)
	}
	if ip := net.ParseIP(host); host == "localhost" || ip != nil && ip.IsLoopback() {
		return nil
	}
	return oops.Wrapf(ErrPlaintext, "address %q", address)
}
