package hostileclients

import (
	"bytes"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/binary"
	"encoding/pem"
	"fmt"
	"math/big"
	"net"
	"path/filepath"
	"testing"
	"time"
)

// frameBytes is what a client sends of a frame whose announced length it never reaches.
const frameBytes = 12 << 20

// gobLength returns the prefix of a gob message of n bytes.
func gobLength(n uint32) []byte {
	var b [5]byte
	b[0] = 0xfc // minus 4: the length has four bytes
	binary.BigEndian.PutUint32(b[1:], n)
	return b[:]
}

// peerListener starts the process of a listener for other daemons.
type peerListener struct {
	name  string
	start func(t *testing.T, l limits) (*process, string, func() error)
}

var peerListeners = []peerListener{
	{"platform control", func(t *testing.T, l limits) (*process, string, func() error) {
		m, version := startPlatform(t, "control", limits{machineMB, l.descriptors}), 1
		return m.process, m.peers, func() error { version++; return m.publish(version, 0) }
	}},
	{"control", func(t *testing.T, l limits) (*process, string, func() error) {
		c := startINI(t, limits{runtimeMB, l.descriptors}, "")
		return c.control, c.controlPeers, func() error { return c.status(t) }
	}},
	{"agent", func(t *testing.T, l limits) (*process, string, func() error) {
		c := startINI(t, limits{runtimeMB, l.descriptors}, "")
		return c.agent, c.agentPeers, c.call
	}},
	{"token links", func(t *testing.T, l limits) (*process, string, func() error) {
		c := startINI(t, limits{runtimeMB, l.descriptors}, "")
		return c.agent, c.links, c.call
	}},
}

// TestUnfinishedFrames guards against memory for frames of other daemons that is taken as
// announced or has no bound over connections, and against a listener that stops accepting for good.
func TestUnfinishedFrames(t *testing.T) {
	linkFrame := func(n uint32) []byte { return binary.BigEndian.AppendUint32(nil, n) }
	for _, l := range peerListeners {
		t.Run(l.name, func(t *testing.T) {
			length := gobLength
			if l.name == "token links" {
				length = linkFrame
			}
			for _, kind := range []struct {
				name   string
				script func(*rawClient)
			}{
				{"huge length announced", func(w *rawClient) { w.write(length(1 << 30)); w.writeBytes(64 << 10) }},
				{"huge length announced and filled", func(w *rawClient) { w.write(length(1 << 30)); w.writeBytes(frameBytes) }},
				{"valid length announced", func(w *rawClient) { w.write(length(1 << 20)); w.writeBytes(1) }},
				{"unfinished frames", func(w *rawClient) { w.write(length(1 << 20)); w.writeBytes(1<<20 - 1) }},
				{"large unfinished frames", func(w *rawClient) { w.write(length(frameBytes)); w.writeBytes(frameBytes - 1) }},
			} {
				t.Run(kind.name, func(t *testing.T) {
					p, address, call := l.start(t, limits{})
					pressRaw(t, p, address, connections, call, kind.script)
				})
			}
			t.Run("silent connections", func(t *testing.T) {
				p, address, _ := l.start(t, limits{descriptors: descriptorLimit})
				pressRaw(t, p, address, idleConnections, func() error { return answersAfterCrowd(address) }, func(*rawClient) {})
			})
		})
	}
}

// answersAfterCrowd connects and waits until the listener, which accepts again, closes the
// connection of a client that sends no valid frame.
func answersAfterCrowd(address string) error {
	conn, err := net.DialTimeout("tcp", address, ordinaryTimeout)
	if err != nil {
		return err
	}
	defer conn.Close()
	if _, err := conn.Write(bytes.Repeat([]byte{0x80}, 16)); err != nil {
		return err
	}
	_ = conn.SetReadDeadline(time.Now().Add(ordinaryTimeout))
	for {
		// A token link sends a frame first.
		if _, err := conn.Read(make([]byte, 64)); err != nil {
			if e, ok := err.(net.Error); ok && e.Timeout() {
				return err
			}
			return nil
		}
	}
}

// writeCertificates writes a certificate for 127.0.0.1, its key and its authority, and returns the
// settings that name them.
func writeCertificates(t *testing.T) string {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "test"}, IsCA: true, BasicConstraintsValid: true,
		KeyUsage: x509.KeyUsageCertSign | x509.KeyUsageDigitalSignature, IPAddresses: []net.IP{net.ParseIP("127.0.0.1")},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
		NotBefore:   time.Now().Add(-time.Hour), NotAfter: time.Now().Add(24 * time.Hour),
	}
	cert, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	der, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	folder := t.TempDir()
	certFile := writeFile(t, folder, "cert.pem", string(pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: cert})))
	keyFile := writeFile(t, folder, "key.pem", string(pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: der})))
	return fmt.Sprintf("[tls]\ncaller_cert = %[1]s\ncaller_key = %[2]s\npeer_cert = %[1]s\npeer_key = %[2]s\npeer_ca = %[1]s\n",
		filepath.Clean(certFile), filepath.Clean(keyFile))
}

// TestUnfinishedHandshakes guards against TLS handshakes that never end and keep the memory and
// descriptors of their connections.
func TestUnfinishedHandshakes(t *testing.T) {
	for _, l := range []struct {
		name string
		of   func(*iniCluster) (*process, string)
	}{
		{"entry callers", func(c *iniCluster) (*process, string) { return c.entry, c.callers }},
		{"agent", func(c *iniCluster) (*process, string) { return c.agent, c.agentPeers }},
		{"token links", func(c *iniCluster) (*process, string) { return c.agent, c.links }},
	} {
		for _, kind := range []struct {
			name   string
			script func(*rawClient)
		}{
			{"silent", func(*rawClient) {}},
			// A record of a ClientHello of 64 KiB in parts of 16 KiB, without the last one.
			{"unfinished hello", func(w *rawClient) {
				record := append([]byte{22, 3, 1, 0x3f, 0xff, 1, 0, 0xff, 0xff}, bytes.Repeat([]byte{0}, 0x3fff-4)...)
				w.write(record)
				for range 2 {
					w.write(append([]byte{22, 3, 1, 0x3f, 0xff}, bytes.Repeat([]byte{0}, 0x3fff)...))
				}
			}},
		} {
			t.Run(l.name+"/"+kind.name, func(t *testing.T) {
				c := startINI(t, limits{runtimeMB, descriptorLimit}, writeCertificates(t))
				p, address := l.of(c)
				pressRaw(t, p, address, idleConnections, c.call, kind.script)
			})
		}
	}
}
