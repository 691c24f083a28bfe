package daemon

import (
	"context"
	"crypto/tls"
	"net"

	"arbutusmast.example/arbutusmast/wire"
	"github.com/pkg/errors"
	"go.uber.org/zap"
)

// loadKeys reads the certificates that the settings name. Without any,
// connections are plain.
func (d *Daemon) loadKeys(context.Context) error {
	s := d.settings.TLS
	failed := func(err error) { d.logger.Warn("key files could not be read again", zap.Error(err)) }
	if s.CallerCert != "" {
		keys, err := wire.NewCertReloader(wire.CertFiles{Cert: s.CallerCert, Key: s.CallerKey}, failed)
		if err != nil {
			return err
		}
		d.callerKeys = keys
	}
	if s.PeerCert == "" {
		return nil
	}
	keys, err := wire.NewCertReloader(wire.CertFiles{Cert: s.PeerCert, Key: s.PeerKey, CA: s.PeerCA}, failed)
	if err != nil {
		return err
	}
	d.peerKeys = keys
	d.dial, err = keys.PeerDialer()
	return err
}

// listenPeers opens a listener for other daemons.
func (d *Daemon) listenPeers(address string) (net.Listener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil || d.peerKeys == nil {
		return listener, errors.Wrap(err, "listen for other daemons")
	}
	secure, err := d.peerKeys.PeerListener(listener)
	if err != nil {
		_ = listener.Close()
		return nil, err
	}
	return secure, nil
}

// listenCallers opens the listener for callers.
func (d *Daemon) listenCallers(address string) (net.Listener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil || d.callerKeys == nil {
		return listener, errors.Wrap(err, "listen for callers")
	}
	return tls.NewListener(listener, d.callerKeys.CallerConfig()), nil
}
