package authenticator_test

import (
	"crypto/tls"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"
	"time"

	"filberthaven.example/authenticator"
	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"
)

// folder is the path of a folder with the certificate files of a VM.
type folder string

// write issues a certificate for loopback and writes it with its key and authority.
func (f folder) write(c *qt.C, authority *authenticator.Authority, name string) {
	certificate, key, err := authority.Issue(name, []string{"127.0.0.1"}, time.Hour)
	c.Assert(err, qt.IsNil)
	for file, data := range map[string][]byte{"cert": certificate, "key": key, "ca": authority.Certificate()} {
		c.Assert(os.WriteFile(filepath.Join(string(f), file), data, 0o600), qt.IsNil)
	}
}

// load returns the certificates in the folder.
func (f folder) load(c *qt.C) *authenticator.Certificates {
	in := func(file string) string { return filepath.Join(string(f), file) }
	certificates, err := authenticator.NewCertificates(in("cert"), in("key"), in("ca"), hclog.NewNullLogger())
	c.Assert(err, qt.IsNil)
	return certificates
}

// serve starts a server with those settings and returns its URL.
func serve(c *qt.C, settings *tls.Config) string {
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusNoContent)
	}))
	server.TLS = settings
	server.StartTLS()
	c.Cleanup(server.Close)
	return server.URL
}

// get calls the URL on a new connection and returns the common name of the server's
// certificate.
func get(url string, settings *tls.Config) (string, error) {
	client := &http.Client{Transport: &http.Transport{TLSClientConfig: settings, DisableKeepAlives: true}}
	response, err := client.Get(url)
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	return response.TLS.PeerCertificates[0].Subject.CommonName, nil
}

func TestCertificates(t *testing.T) {
	c := qt.New(t)
	authority, err := authenticator.NewAuthority("development")
	c.Assert(err, qt.IsNil)
	foreign, err := authenticator.NewAuthority("stranger")
	c.Assert(err, qt.IsNil)
	server, client, other := folder(c.TempDir()), folder(c.TempDir()), folder(c.TempDir())
	server.write(c, authority, "entry-1")
	client.write(c, authority, "entry-2")
	other.write(c, foreign, "entry-3")
	certificates := server.load(c)
	url := serve(c, certificates.PeerTLSConfig())

	c.Run("entry VMs trust each other", func(c *qt.C) {
		name, err := get(url, client.load(c).ClientTLSConfig())
		c.Assert(err, qt.IsNil)
		c.Assert(name, qt.Equals, "entry-1")
	})
	c.Run("a certificate of another authority is refused", func(c *qt.C) {
		_, err := get(url, other.load(c).ClientTLSConfig())
		c.Assert(err, qt.IsNotNil)
	})
	c.Run("a call without a certificate is refused", func(c *qt.C) {
		_, err := get(url, &tls.Config{InsecureSkipVerify: true})
		c.Assert(err, qt.IsNotNil)
	})
	c.Run("callers need no certificate", func(c *qt.C) {
		name, err := get(serve(c, certificates.CallerTLSConfig()), &tls.Config{InsecureSkipVerify: true})
		c.Assert(err, qt.IsNil)
		c.Assert(name, qt.Equals, "entry-1")
	})
	c.Run("invalid files leave the previous ones in force", func(c *qt.C) {
		c.Assert(os.WriteFile(filepath.Join(string(server), "key"), []byte("half"), 0o600), qt.IsNil)
		_, err := certificates.Reload()
		c.Assert(err, qt.IsNotNil)
		_, err = get(url, client.load(c).ClientTLSConfig())
		c.Assert(err, qt.IsNil)
	})
	c.Run("new files are used without a restart", func(c *qt.C) {
		server.write(c, authority, "entry-1-new")
		changed, err := certificates.Reload()
		c.Assert(err, qt.IsNil)
		c.Assert(changed, qt.IsTrue)
		name, err := get(url, client.load(c).ClientTLSConfig())
		c.Assert(err, qt.IsNil)
		c.Assert(name, qt.Equals, "entry-1-new")
	})
}

func TestAuthority(t *testing.T) {
	c := qt.New(t)
	authority, err := authenticator.NewAuthority("development")
	c.Assert(err, qt.IsNil)
	key, err := authority.Key()
	c.Assert(err, qt.IsNil)
	parsed, err := authenticator.ParseAuthority(authority.Certificate(), key)
	c.Assert(err, qt.IsNil)
	files := folder(c.TempDir())
	files.write(c, parsed, "entry-1")
	c.Assert(files.load(c).Expiry().After(time.Now()), qt.IsTrue)
}

func TestCheckPlaintext(t *testing.T) {
	c := qt.New(t)
	for _, address := range []string{"127.0.0.1:80", "[::1]:80", "localhost:80"} {
		c.Assert(authenticator.CheckPlaintext(address, false), qt.IsNil)
	}
	for _, address := range []string{"0.0.0.0:80", ":80", "10.0.0.1:80", "example.org:80"} {
		c.Assert(authenticator.CheckPlaintext(address, false), qt.ErrorIs, authenticator.ErrPlaintext)
		c.Assert(authenticator.CheckPlaintext(address, true), qt.IsNil)
	}
}
