package authenticator

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"net"
	"time"

	"github.com/samber/oops"
)

// authorityLifetime is the validity of an authority's certificate.
const authorityLifetime = 365 * 24 * time.Hour

// maxClockSkew is the largest expected difference between the clocks of VMs. The validity
// of a certificate begins that long before it is issued.
const maxClockSkew = 5 * time.Minute

// Authority is a private certificate authority for development and trials.
type Authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

// NewAuthority returns a new authority with that name.
func NewAuthority(name string) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, oops.Wrapf(err, "make the authority's key")
	}
	now := time.Now()
	template := &x509.Certificate{
		Subject:               pkix.Name{CommonName: name},
		NotBefore:             now.Add(-maxClockSkew),
		NotAfter:              now.Add(authorityLifetime),
		IsCA:                  true,
		MaxPathLenZero:        true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign | x509.KeyUsageCRLSign,
	}
	data, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		return nil, oops.Wrapf(err, "sign the authority's certificate")
	}
	certificate, err := x509.ParseCertificate(data)
	return &Authority{certificate: certificate, key: key}, oops.Wrapf(err, "read the authority's certificate")
}

// ParseAuthority returns the authority whose certificate and key are given as PEM.
func ParseAuthority(certificate, key []byte) (*Authority, error) {
	certificateBlock, _ := pem.Decode(certificate)
	keyBlock, _ := pem.Decode(key)
	if certificateBlock == nil || keyBlock == nil {
		return nil, ErrNoAuthority
	}
	parsed, err := x509.ParseCertificate(certificateBlock.Bytes)
	if err != nil {
		return nil, oops.Wrapf(err, "read the authority's certificate")
	}
	parsedKey, err := x509.ParseECPrivateKey(keyBlock.Bytes)
	if err != nil {
		return nil, oops.Wrapf(err, "read the authority's key")
	}
	return &Authority{certificate: parsed, key: parsedKey}, nil
}

// Certificate returns the authority's certificate as PEM.
func (a *Authority) Certificate() []byte { return encodePEM("CERTIFICATE", a.certificate.Raw) }

// Key returns the authority's key as PEM. It must not be copied to VMs.
func (a *Authority) Key() ([]byte, error) { return encodeKey(a.key) }

// Issue returns a certificate and its key as PEM for a VM with those host names and IP
// numbers. The certificate is valid for servers and for clients.
func (a *Authority) Issue(name string, hosts []string, lifetime time.Duration) (certificate, key []byte, err error) {
	pair, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, nil, oops.Wrapf(err, "make a key")
	}
	now := time.Now()
	template := &x509.Certificate{
		Subject:     pkix.Name{CommonName: name},
		NotBefore:   now.Add(-maxClockSkew),
		NotAfter:    now.Add(lifetime),
		KeyUsage:    x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	for _, host := range hosts {
		if ip := net.ParseIP(host); ip != nil {
			template.IPAddresses = append(template.IPAddresses, ip)
			continue
		}
		template.DNSNames = append(template.DNSNames, host)
	}
	data, err := x509.CreateCertificate(rand.Reader, template, a.certificate, pair.Public(), a.key)
	if err != nil {
		return nil, nil, oops.Wrapf(err, "sign the certificate of %s", name)
	}
	key, err = encodeKey(pair)
	return encodePEM("CERTIFICATE", data), key, err
}

// encodeKey returns a key as PEM.
func encodeKey(key *ecdsa.PrivateKey) ([]byte, error) {
	data, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return nil, oops.Wrapf(err, "encode a key")
	}
	return encodePEM("EC PRIVATE KEY", data), nil
}

// encodePEM returns data as a PEM block of the type kind.
func encodePEM(kind string, data []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: data})
}
