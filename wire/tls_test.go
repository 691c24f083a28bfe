package wire

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"
)

type authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	pem  []byte
}

func newKey(t *testing.T) *ecdsa.PrivateKey {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	return key
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	key := newKey(t)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "test authority"}, IsCA: true, BasicConstraintsValid: true,
		KeyUsage: x509.KeyUsageCertSign, NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	return &authority{cert, key, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})}
}

// write creates a certificate for an IP address and writes it to a folder, with
// its key and the certificate of the authority that the peer must use.
func (a *authority) write(t *testing.T, folder, ip string, trusted *authority) CertFiles {
	t.Helper()
	key := newKey(t)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()), Subject: pkix.Name{CommonName: "test daemon"},
		IPAddresses: []net.IP{net.ParseIP(ip)},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
		NotBefore:   time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	if err != nil {
		t.Fatal(err)
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	files := CertFiles{filepath.Join(folder, "cert.pem"), filepath.Join(folder, "key.pem"), filepath.Join(folder, "ca.pem")}
	for file, data := range map[string][]byte{
		files.Cert: pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}),
		files.Key:  pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: keyDER}),
		files.CA:   trusted.pem,
	} {
		if err := os.WriteFile(file, data, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return files
}

// newTestReloader returns a CertReloader that reads its files at each handshake.
func newTestReloader(t *testing.T, files CertFiles, onError func(error)) *CertReloader {
	t.Helper()
	r, err := NewCertReloader(files, onError)
	if err != nil {
		t.Fatal(err)
	}
	r.interval = 0
	return r
}

type Echo struct{}

func (Echo) Echo(text string, reply *string) error { *reply = text; return nil }

func serveEcho(t *testing.T, r *CertReloader) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	tlsListener, err := r.PeerListener(listener)
	if err != nil {
		t.Fatal(err)
	}
	server := NewServer(tlsListener)
	if err := server.Register("Echo", Echo{}); err != nil {
		t.Fatal(err)
	}
	go server.Serve()
	t.Cleanup(server.Close)
	return tlsListener.Addr().String()
}

func echo(t *testing.T, address string, dial Dialer) error {
	t.Helper()
	client := NewClient(address, dial)
	defer client.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	var reply string
	return client.Call(ctx, "Echo.Echo", "hello", &reply)
}

// TestMutualTLS guards against a process that acts as a daemon without a
// certificate of the authority, or with a certificate for another host.
func TestMutualTLS(t *testing.T) {
	trusted, untrusted := newAuthority(t), newAuthority(t)
	tests := []struct {
		name               string
		serverCA, clientCA *authority // authorities of the server's and the client's certificate
		serverIP           string
		plain              bool
		ok                 bool
	}{
		{"both trusted", trusted, trusted, "127.0.0.1", false, true},
		{"untrusted client", trusted, untrusted, "127.0.0.1", false, false},
		{"untrusted server", untrusted, trusted, "127.0.0.1", false, false},
		{"other host", trusted, trusted, "127.0.0.2", false, false},
		{"no TLS", trusted, trusted, "127.0.0.1", true, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			address := serveEcho(t, newTestReloader(t, tt.serverCA.write(t, t.TempDir(), tt.serverIP, trusted), nil))
			dial, err := newTestReloader(t, tt.clientCA.write(t, t.TempDir(), "127.0.0.9", trusted), nil).PeerDialer()
			if err != nil {
				t.Fatal(err)
			}
			if tt.plain {
				dial = DialTCP
			}
			if err := echo(t, address, dial); (err == nil) != tt.ok {
				t.Errorf("error = %v, want success %v", err, tt.ok)
			}
		})
	}
}

// TestCertReload guards against daemons that must be restarted after a renewal of
// certificates, and against incompletely replaced files that make a daemon refuse
// connections.
func TestCertReload(t *testing.T) {
	old, renewed := newAuthority(t), newAuthority(t)
	serverFolder, clientFolder := t.TempDir(), t.TempDir()
	failures := 0
	server := newTestReloader(t, old.write(t, serverFolder, "127.0.0.1", old), func(error) { failures++ })
	address := serveEcho(t, server)
	dial, err := newTestReloader(t, old.write(t, clientFolder, "127.0.0.1", old), nil).PeerDialer()
	if err != nil {
		t.Fatal(err)
	}
	check := func(step string, want bool) {
		t.Helper()
		if err := echo(t, address, dial); (err == nil) != want {
			t.Fatalf("%s: error = %v, want success %v", step, err, want)
		}
	}
	check("old files", true)
	if err := os.WriteFile(server.files.Key, []byte("incomplete"), 0o600); err != nil {
		t.Fatal(err)
	}
	check("incompletely replaced files", true)
	renewed.write(t, serverFolder, "127.0.0.1", renewed)
	check("server renewed", false)
	renewed.write(t, clientFolder, "127.0.0.1", renewed)
	check("both renewed", true)
	server.mu.Lock()
	defer server.mu.Unlock()
	if failures == 0 {
		t.Error("the incomplete key was not reported")
	}
}

// TestCallerConfig guards against a listener for callers that requests client
// certificates or accepts outdated versions of TLS.
func TestCallerConfig(t *testing.T) {
	ca := newAuthority(t)
	files := ca.write(t, t.TempDir(), "127.0.0.1", ca)
	files.CA = ""
	reloader := newTestReloader(t, files, nil)
	listener, err := tls.Listen("tcp", "127.0.0.1:0", reloader.CallerConfig())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for conn, err := listener.Accept(); err == nil; conn, err = listener.Accept() {
			go func() { _ = conn.(*tls.Conn).Handshake(); _ = conn.Close() }()
		}
	}()
	roots := x509.NewCertPool()
	roots.AddCert(ca.cert)
	for version, want := range map[uint16]bool{tls.VersionTLS13: true, tls.VersionTLS12: true, tls.VersionTLS11: false} {
		conn, err := tls.Dial("tcp", listener.Addr().String(),
			&tls.Config{RootCAs: roots, MinVersion: tls.VersionTLS10, MaxVersion: version})
		if (err == nil) != want {
			t.Errorf("TLS version %#x: error = %v, want success %v", version, err, want)
		}
		if err == nil {
			_ = conn.Close()
		}
	}
	if _, err := reloader.PeerDialer(); err == nil {
		t.Error("PeerDialer succeeded without an authority")
	}
	if _, err := NewCertReloader(CertFiles{Cert: files.Cert, Key: "/nonexistent"}, nil); err == nil {
		t.Error("NewCertReloader succeeded without a key file")
	}
}
