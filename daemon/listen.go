package daemon

import (
	"context"
	"crypto/tls"
	"net"

	"arbutusmast.example/arbutusmast/wire"
	"github.com/pkg/errors"
	"go.uber.org/zap"
)

// loadKeys loads the certificates and keys named in the settings. Without them,
// connections are not encrypted.
func (d *Daemon) loadKeys(context.Context) error {
	s := d.settings.TLS
	onReloadError := func(err error) { d.logger.Warn("cannot reload key files", zap.Error(err)) }
	if s.CallerCert != "" {
		keys, err := wire.NewCertReloader(wire.CertFiles{Cert: s.CallerCert, Key: s.CallerKey}, onReloadError)
		if err != nil {
			return err
		}
		d.callerKeys = keys
	}
	if s.PeerCert == "" {
		return nil
	}
	keys, err := wire.NewCertReloader(wire.CertFiles{Cert: s.PeerCert, Key: s.PeerKey, CA: s.PeerCA}, onReloadError)
	if err != nil {
		return err
	}
	d.peerKeys = keys
	d.dial, err = keys.PeerDialer()
	return err
}

// listenPeers opens a listener for other daemons, with TLS if peer keys are
// loaded.
func (d *Daemon) listenPeers(address string) (net.Listener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil || d.peerKeys == nil {
		return listener, errors.Wrap(err, "listen for peers")
	}
	tlsListener, err := d.peerKeys.PeerListener(listener)
	if err != nil {
		_ = listener.Close()
		return nil, err
	}
	return tlsListener, nil
}

// listenCallers opens the listener for callers, with TLS if caller keys are
// loaded.
func (d *Daemon) listenCallers(server *gracefulServer, address string) (net.Listener, error) {
	listener, err := server.listen(address)
	if err != nil || d.callerKeys == nil {
		return listener, errors.Wrap(err, "listen for callers")
	}
	return tls.NewListener(listener, d.callerKeys.CallerConfig()), nil
}
