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

// reloadInterval bounds how often key files are read. They are read when a
// handshake begins, so idle daemons do not read them at all.
const reloadInterval = time.Second

// CertFiles names PEM files. CA is the authority that signs the other side's
// certificates; it is empty for callers, who have none.
type CertFiles struct {
	Cert, Key, CA string
}

// CertReloader holds the certificate of a process and follows changes of its files.
// When the files are unreadable or do not fit together, which happens while
// they are being replaced, the last good contents stay in use. It is safe for
// concurrent use.
type CertReloader struct {
	files    CertFiles
	failed   func(error)
	interval time.Duration

	mu      sync.Mutex
	read    time.Time
	content [3][]byte
	current keyMaterial
}

type keyMaterial struct {
	cert tls.Certificate
	ca   *x509.CertPool
}

// NewCertReloader reads key files. Later failures to read them again are passed to
// failed, at most once a second.
func NewCertReloader(files CertFiles, failed func(error)) (*CertReloader, error) {
	k := &CertReloader{files: files, failed: failed, interval: reloadInterval}
	if err := k.reload(); err != nil {
		return nil, err
	}
	return k, nil
}

func (k *CertReloader) reload() error {
	k.read = time.Now()
	var content [3][]byte
	for i, file := range []string{k.files.Cert, k.files.Key, k.files.CA} {
		if file == "" {
			continue
		}
		data, err := os.ReadFile(file)
		if err != nil {
			return errors.Wrap(err, "read key files")
		}
		content[i] = data
	}
	// Contents are compared because a replaced file can have the same size and
	// time.
	if bytes.Equal(content[0], k.content[0]) && bytes.Equal(content[1], k.content[1]) && bytes.Equal(content[2], k.content[2]) {
		return nil
	}
	cert, err := tls.X509KeyPair(content[0], content[1])
	if err != nil {
		return errors.Wrapf(err, "certificate %s with key %s", k.files.Cert, k.files.Key)
	}
	next := keyMaterial{cert: cert}
	if k.files.CA != "" {
		next.ca = x509.NewCertPool()
		if !next.ca.AppendCertsFromPEM(content[2]) {
			return errors.Errorf("%s holds no certificate", k.files.CA)
		}
	}
	k.content, k.current = content, next
	return nil
}

func (k *CertReloader) material() keyMaterial {
	k.mu.Lock()
	defer k.mu.Unlock()
	if time.Since(k.read) >= k.interval {
		if err := k.reload(); err != nil && k.failed != nil {
			k.failed(err)
		}
	}
	return k.current
}

// CallerConfig returns the configuration of a listener for callers, who prove
// who they are by their bearer keys.
func (k *CertReloader) CallerConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			cert := k.material().cert
			return &cert, nil
		},
	}
}

// PeerListener returns a listener that accepts only processes with a
// certificate of the peer authority.
func (k *CertReloader) PeerListener(listener net.Listener) (net.Listener, error) {
	if k.files.CA == "" {
		return nil, errors.New("connections between daemons need an authority for certificates")
	}
	return tls.NewListener(listener, &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			m := k.material()
			return &tls.Config{
				MinVersion:   tls.VersionTLS13,
				Certificates: []tls.Certificate{m.cert},
				ClientAuth:   tls.RequireAndVerifyClientCert,
				ClientCAs:    m.ca,
				// A resumed session would keep trust in an authority that was replaced.
				SessionTicketsDisabled: true,
			}, nil
		},
	}), nil
}

// PeerDialer returns a Dialer with mutual TLS. The certificate of the other
// side must name the IP address that is dialed.
func (k *CertReloader) PeerDialer() (Dialer, error) {
	if k.files.CA == "" {
		return nil, errors.New("connections between daemons need an authority for certificates")
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
		m := k.material()
		secure := tls.Client(conn, &tls.Config{
			MinVersion:   tls.VersionTLS13,
			ServerName:   host,
			Certificates: []tls.Certificate{m.cert},
			RootCAs:      m.ca,
		})
		ctx, cancel := context.WithTimeout(ctx, DialTimeout)
		defer cancel()
		if err := secure.HandshakeContext(ctx); err != nil {
			_ = conn.Close()
			return nil, errors.Wrapf(err, "TLS handshake with %s", address)
		}
		return secure, nil
	}, nil
}
