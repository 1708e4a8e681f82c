package mustardhook

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/go-faster/errors"

	"mustardhook/internal/wire/setup"
)

type (
	// AuthorityError says that a file holds no certificate of an authority.
	AuthorityError struct{ File string }
)

// Error names the file.
func (e *AuthorityError) Error() string { return "no certificate in " + e.File }

// serverTLS reads the files of a port. With an authority, clients must show a
// certificate that it signed.
func serverTLS(files setup.TLS) (*tls.Config, error) {
	config, pool, err := readTLS(files)
	if err != nil || pool == nil {
		return config, err
	}
	config.ClientCAs = pool
	config.ClientAuth = tls.RequireAndVerifyClientCert
	return config, nil
}

// clientTLS reads the files of the peers' port for calls to other entries, which
// show certificates that the same authority signed.
func clientTLS(files setup.TLS) (*tls.Config, error) {
	config, pool, err := readTLS(files)
	if err != nil {
		return nil, err
	}
	config.RootCAs = pool
	return config, nil
}

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
