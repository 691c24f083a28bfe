package wire

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"net"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// reloadInterval is the minimum time between two reads of the certificate files.
// The files are read at the start of a handshake, so an idle daemon never reads
// them.
const reloadInterval = time.Second

// CertFiles holds the names of PEM files. CA contains the authority for the
// peers' certificates. It is empty for the callers' listener, because callers have
// no certificates.
type CertFiles struct {
	Cert, Key, CA string
}

// CertReloader holds the certificate of a process and reloads it when its files
// change. While the files are unreadable or do not match, which happens during a
// replacement, the last valid contents stay in use. It is safe for concurrent
// use.
type CertReloader struct {
	files    CertFiles
	onError  func(error)
	interval time.Duration

	mu       sync.Mutex
	lastRead time.Time
	contents [3][]byte
	current  keyMaterial
}

// keyMaterial is the parsed content of the files.
type keyMaterial struct {
	cert tls.Certificate
	ca   *x509.CertPool
}

// NewCertReloader reads certificate files. If a later reload fails, it calls
// onError, at most once per second. onError may be nil.
func NewCertReloader(files CertFiles, onError func(error)) (*CertReloader, error) {
	r := &CertReloader{files: files, onError: onError, interval: reloadInterval}
	if err := r.reload(); err != nil {
		return nil, err
	}
	return r, nil
}

// reload reads the files and parses them if they have changed.
func (r *CertReloader) reload() error {
	r.lastRead = time.Now()
	var contents [3][]byte
	for i, file := range []string{r.files.Cert, r.files.Key, r.files.CA} {
		if file == "" {
			continue
		}
		data, err := os.ReadFile(file)
		if err != nil {
			return errors.Wrap(err, "read certificate files")
		}
		contents[i] = data
	}
	// The contents are compared, because a replaced file may have the same size and
	// modification time.
	if bytes.Equal(contents[0], r.contents[0]) && bytes.Equal(contents[1], r.contents[1]) &&
		bytes.Equal(contents[2], r.contents[2]) {
		return nil
	}
	cert, err := tls.X509KeyPair(contents[0], contents[1])
	if err != nil {
		return errors.Wrapf(err, "load certificate %s with key %s", r.files.Cert, r.files.Key)
	}
	next := keyMaterial{cert: cert}
	if r.files.CA != "" {
		next.ca = x509.NewCertPool()
		if !next.ca.AppendCertsFromPEM(contents[2]) {
			return errors.Errorf("%s contains no certificate", r.files.CA)
		}
	}
	r.contents, r.current = contents, next
	return nil
}

// material returns the current certificate and authority. It reloads the files
// first if the interval has passed.
func (r *CertReloader) material() keyMaterial {
	r.mu.Lock()
	defer r.mu.Unlock()
	if time.Since(r.lastRead) >= r.interval {
		if err := r.reload(); err != nil && r.onError != nil {
			r.onError(err)
		}
	}
	return r.current
}

// CallerConfig returns the TLS configuration of a listener for callers. It
// requests no client certificates, because callers authenticate with bearer keys.
func (r *CertReloader) CallerConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			cert := r.material().cert
			return &cert, nil
		},
	}
}

// PeerListener returns a TLS listener that accepts only clients with a certificate
// of the configured authority.
func (r *CertReloader) PeerListener(listener net.Listener) (net.Listener, error) {
	if r.files.CA == "" {
		return nil, errors.New("connections between daemons require a certificate authority")
	}
	return tls.NewListener(listener, &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			m := r.material()
			return &tls.Config{
				MinVersion:   tls.VersionTLS13,
				Certificates: []tls.Certificate{m.cert},
				ClientAuth:   tls.RequireAndVerifyClientCert,
				ClientCAs:    m.ca,
				// A resumed session would stay trusted after its authority was replaced.
				SessionTicketsDisabled: true,
			}, nil
		},
	}), nil
}

// PeerDialer returns a Dialer with mutual TLS. The certificate of the server must
// contain the IP address that is dialed.
func (r *CertReloader) PeerDialer() (Dialer, error) {
	if r.files.CA == "" {
		return nil, errors.New("connections between daemons require a certificate authority")
	}
	return func(ctx context.Context, address string) (net.Conn, error) {
		host, _, err := net.SplitHostPort(address)
		if err != nil {
			return nil, errors.Wrap(err, "dial with TLS")
		}
		conn, err := DialTCP(ctx, address)
		if err != nil {
			return nil, err
		}
		m := r.material()
		tlsConn := tls.Client(conn, &tls.Config{
			MinVersion:   tls.VersionTLS13,
			ServerName:   host,
			Certificates: []tls.Certificate{m.cert},
			RootCAs:      m.ca,
		})
		ctx, cancel := context.WithTimeout(ctx, DialTimeout)
		defer cancel()
		if err := tlsConn.HandshakeContext(ctx); err != nil {
			_ = conn.Close()
			return nil, errors.Wrapf(err, "TLS handshake with %s", address)
		}
		return tlsConn, nil
	}, nil
}
