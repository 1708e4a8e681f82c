package mustardhook

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/go-faster/errors"

	"mustardhook/internal/wire/setup"
)

type (
	// AuthorityError reports that a file contains no certificate of an authority.
	AuthorityError struct{ File string }
)

// Error returns the message with the name of the file.
func (e *AuthorityError) Error() string { return "no certificate authority found in " + e.File }

// serverTLS returns the TLS configuration of a port. If the files include an authority,
// clients must present a certificate signed by it.
func serverTLS(files setup.TLS) (*tls.Config, error) {
	config, pool, err := readTLS(files)
	if err != nil || pool == nil {
		return config, err
	}
	config.ClientCAs = pool
	config.ClientAuth = tls.RequireAndVerifyClientCert
	return config, nil
}

// clientTLS returns the TLS configuration for calls to the peers' ports of other
// entries. Their certificates must be signed by the same authority.
func clientTLS(files setup.TLS) (*tls.Config, error) {
	config, pool, err := readTLS(files)
	if err != nil {
		return nil, err
	}
	config.RootCAs = pool
	return config, nil
}

// readTLS loads the key pair and the certificate pool of the authority. The pool is nil
// if no authority is configured.
func readTLS(files setup.TLS) (*tls.Config, *x509.CertPool, error) {
	pair, err := tls.LoadX509KeyPair(files.Certificate, files.Key)
	if err != nil {
		return nil, nil, errors.Wrap(err, "read certificate")
	}
	config := &tls.Config{Certificates: []tls.Certificate{pair}, MinVersion: tls.VersionTLS12}
	if files.ClientCA == "" {
		return config, nil, nil
	}
	text, err := os.ReadFile(files.ClientCA)
	if err != nil {
		return nil, nil, errors.Wrap(err, "read authority")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(text) {
		return nil, nil, &AuthorityError{files.ClientCA}
	}
	return config, pool, nil
}
