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

// DefaultReloadInterval is the default interval at which the files of certificates are checked
// for changes.
const DefaultReloadInterval = time.Second

// Errors of certificates and addresses.
var (
	// ErrNoAuthority means that a file of authorities holds no certificate.
	ErrNoAuthority = errors.New("no certificate authority in file")
	// ErrPlaintext means that keys would be sent in plaintext beyond loopback.
	ErrPlaintext = errors.New("plaintext is only allowed on loopback or by an explicit setting")
)

// Certificates holds the certificate and key of an entry VM, and the authorities that sign
// the certificates of the other entry VMs. They are read from files, and new connections
// use the files as last loaded.
type Certificates struct {
	certificate, key, authority string // paths; authority may be empty
	logger                      hclog.Logger
	current                     atomic.Pointer[credentials]
}

// credentials are the parsed contents of the files. They are immutable.
type credentials struct {
	files       [3][]byte // certificate, key, authority
	certificate tls.Certificate
	pool        *x509.CertPool // authorities; nil if no file of authorities is set
}

// NewCertificates loads the files. If the path of the authorities is empty, callers are
// served, but calls from other entry VMs are refused, and calls to them check their
// certificates against the system's authorities.
func NewCertificates(certificate, key, authority string, logger hclog.Logger) (*Certificates, error) {
	c := &Certificates{certificate: certificate, key: key, authority: authority, logger: logger.Named("authenticator")}
	if _, err := c.Reload(); err != nil {
		return nil, err
	}
	return c, nil
}

// Reload reads the files and reports whether they have changed. If they can't be read or
// are invalid, it returns an error, and the files as last loaded stay in force.
func (c *Certificates) Reload() (changed bool, err error) {
	files, err := c.read()
	if err != nil {
		return false, err
	}
	if current := c.current.Load(); current != nil && sameFiles(current.files, files) {
		return false, nil
	}
	fresh, err := parseCredentials(files)
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

// sameFiles reports whether the contents of all files are equal.
func sameFiles(a, b [3][]byte) bool {
	for i := range a {
		if !bytes.Equal(a[i], b[i]) {
			return false
		}
	}
	return true
}

// parseCredentials parses the contents of the files.
func parseCredentials(files [3][]byte) (*credentials, error) {
	pair, err := tls.X509KeyPair(files[0], files[1])
	if err != nil {
		return nil, err
	}
	parsed := &credentials{files: files, certificate: pair}
	if len(files[2]) == 0 {
		return parsed, nil
	}
	parsed.pool = x509.NewCertPool()
	if !parsed.pool.AppendCertsFromPEM(files[2]) {
		return nil, ErrNoAuthority
	}
	return parsed, nil
}

// Watch reloads changed files at the interval until ctx is done.
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
			c.logger.Error("certificates not loaded, the previous ones stay in force", "error", err)
		}
		if changed {
			c.logger.Info("certificates loaded", "file", c.certificate)
		}
	}
}

// CallerTLSConfig returns the TLS settings for a listener for callers, who need no
// certificate.
func (c *Certificates) CallerTLSConfig() *tls.Config {
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

// PeerTLSConfig returns the TLS settings for a listener that accepts only entry VMs with
// a certificate of the authorities.
func (c *Certificates) PeerTLSConfig() *tls.Config {
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

// ClientTLSConfig returns the TLS settings for calls to other entry VMs. The server's
// certificate is checked against the authorities and its address.
func (c *Certificates) ClientTLSConfig() *tls.Config {
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		InsecureSkipVerify: true, //nolint:gosec // VerifyConnection checks against the authorities as last loaded.
		VerifyConnection:   c.verify,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return &c.current.Load().certificate, nil
		},
	}
}

// verify checks a server's certificate against the authorities as last loaded.
func (c *Certificates) verify(state tls.ConnectionState) error {
	options := x509.VerifyOptions{DNSName: state.ServerName, Roots: c.current.Load().pool, Intermediates: x509.NewCertPool()}
	for _, certificate := range state.PeerCertificates[1:] {
		options.Intermediates.AddCert(certificate)
	}
	_, err := state.PeerCertificates[0].Verify(options)
	return err
}

// Expiry returns when the certificate in force expires.
func (c *Certificates) Expiry() time.Time { return c.current.Load().certificate.Leaf.NotAfter }

// CheckPlaintext returns ErrPlaintext unless address (host:port) is on loopback or
// plaintext is explicitly allowed.
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
