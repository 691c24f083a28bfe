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

// write puts a certificate for an address, its key and the authority that the
// other side must have into a folder.
func (a *authority) write(t *testing.T, folder, ip string, trusted *authority) CertFiles {
	t.Helper()
	key := newKey(t)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()), Subject: pkix.Name{CommonName: "test daemon"}, IPAddresses: []net.IP{net.ParseIP(ip)},
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

func loadTestKeys(t *testing.T, files CertFiles, failed func(error)) *CertReloader {
	t.Helper()
	k, err := NewCertReloader(files, failed)
	if err != nil {
		t.Fatal(err)
	}
	k.interval = 0
	return k
}

type Echo struct{}

func (Echo) Echo(text string, reply *string) error { *reply = text; return nil }

func serveEcho(t *testing.T, k *CertReloader) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	secure, err := k.PeerListener(listener)
	if err != nil {
		t.Fatal(err)
	}
	server := NewServer(secure)
	if err := server.Register("Echo", Echo{}); err != nil {
		t.Fatal(err)
	}
	go server.Serve()
	t.Cleanup(server.Close)
	return secure.Addr().String()
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

// TestMutualTLS guards against processes that act as a daemon without a
// certificate of the authority, or under the address of another host.
func TestMutualTLS(t *testing.T) {
	own, other := newAuthority(t), newAuthority(t)
	tests := []struct {
		name             string
		serverCA, peerCA *authority // authority of the server's and of the dialer's certificate
		serverIP         string
		plain            bool
		ok               bool
	}{
		{"both known", own, own, "127.0.0.1", false, true},
		{"unknown dialer", own, other, "127.0.0.1", false, false},
		{"unknown server", other, own, "127.0.0.1", false, false},
		{"other host", own, own, "127.0.0.2", false, false},
		{"no TLS", own, own, "127.0.0.1", true, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			address := serveEcho(t, loadTestKeys(t, tt.serverCA.write(t, t.TempDir(), tt.serverIP, own), nil))
			dial, err := loadTestKeys(t, tt.peerCA.write(t, t.TempDir(), "127.0.0.9", own), nil).PeerDialer()
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

// TestKeyFilesAreReadAgain guards against daemons that must restart when
// certificates are renewed, and against half-replaced files that cut a daemon
// off.
func TestKeyFilesAreReadAgain(t *testing.T) {
	old, renewed := newAuthority(t), newAuthority(t)
	serverFolder, clientFolder := t.TempDir(), t.TempDir()
	failures := 0
	server := loadTestKeys(t, old.write(t, serverFolder, "127.0.0.1", old), func(error) { failures++ })
	address := serveEcho(t, server)
	dial, err := loadTestKeys(t, old.write(t, clientFolder, "127.0.0.1", old), nil).PeerDialer()
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
	if err := os.WriteFile(server.files.Key, []byte("half written"), 0o600); err != nil {
		t.Fatal(err)
	}
	check("half-replaced files", true)
	renewed.write(t, serverFolder, "127.0.0.1", renewed)
	check("server renewed", false)
	renewed.write(t, clientFolder, "127.0.0.1", renewed)
	check("both renewed", true)
	server.mu.Lock()
	defer server.mu.Unlock()
	if failures == 0 {
		t.Error("the half-written key was not reported")
	}
}

// TestCallerConfig guards against a listener for callers that demands
// certificates from them or accepts outdated versions of TLS.
func TestCallerConfig(t *testing.T) {
	own := newAuthority(t)
	files := own.write(t, t.TempDir(), "127.0.0.1", own)
	files.CA = ""
	keys := loadTestKeys(t, files, nil)
	listener, err := tls.Listen("tcp", "127.0.0.1:0", keys.CallerConfig())
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
	roots.AddCert(own.cert)
	for version, want := range map[uint16]bool{tls.VersionTLS13: true, tls.VersionTLS12: true, tls.VersionTLS11: false} {
		conn, err := tls.Dial("tcp", listener.Addr().String(), &tls.Config{RootCAs: roots, MinVersion: tls.VersionTLS10, MaxVersion: version})
		if (err == nil) != want {
			t.Errorf("TLS version %#x: error = %v, want success %v", version, err, want)
		}
		if err == nil {
			_ = conn.Close()
		}
	}
	if _, err := keys.PeerDialer(); err == nil {
		t.Error("a dialer without an authority was made")
	}
	if _, err := NewCertReloader(CertFiles{Cert: files.Cert, Key: "/nonexistent"}, nil); err == nil {
		t.Error("a missing key file was accepted")
	}
}
