package daemon

import (
	"context"
	"time"

	"arbutusmast.example/arbutusmast/control"
	"arbutusmast.example/arbutusmast/core/consensus"
	"arbutusmast.example/arbutusmast/core/message"
	"arbutusmast.example/arbutusmast/core/registry"
	"arbutusmast.example/arbutusmast/declaration"
	"arbutusmast.example/arbutusmast/settings"
	"github.com/pkg/errors"
	"go.uber.org/zap"
)

// bootstrapChangeID is the same on all members and at every start, so that the
// bootstrap configuration is applied only once.
const bootstrapChangeID = "bootstrap"

const bootstrapRetryInterval = 250 * time.Millisecond

// startControl starts the control role: the replicated log, the service on top
// of it, and the bootstrap of an empty group.
func (d *Daemon) startControl(ctx context.Context) error {
	if !d.settings.Daemon.Has(settings.RoleControl) {
		return nil
	}
	bootstrap, err := d.readBootstrap()
	if err != nil {
		return err
	}
	machine := control.NewRegistryMachine()
	node, err := d.startNode(machine)
	if err != nil {
		return err
	}
	service := control.NewService(control.Options{
		Log: node, Machine: machine, Group: node, Metrics: d.metrics,
		OperatorKeySHA256: d.settings.Control.OperatorKeySHA256, Logger: d.logger,
		Header: func() message.Header {
			return message.Header{
				Host: d.settings.Daemon.Host, Incarnation: d.incarnation, PeerAddress: d.settings.Daemon.PeerListen,
			}
		},
	})
	go service.Run(ctx)
	if bootstrap != nil {
		go d.applyBootstrap(ctx, service, machine, bootstrap)
	}
	return d.rpc.Register(control.ServiceName, service)
}

// startNode starts this daemon's member of the replicated log and registers its
// RPC service.
func (d *Daemon) startNode(machine *control.RegistryMachine) (*control.Node, error) {
	s := d.settings.Control
	members := map[consensus.MemberID]string{consensus.MemberID(s.MemberID): d.settings.Daemon.PeerListen}
	for id, address := range s.Members {
		members[consensus.MemberID(id)] = address
	}
	node, err := control.StartNode(control.NodeConfig{
		Folder: s.DataFolder, ID: consensus.MemberID(s.MemberID), Members: members, Join: s.Join, Dial: d.dial,
		Logger: d.logger,
	}, machine)
	if err != nil {
		return nil, err
	}
	d.closers = append(d.closers, node.Stop)
	d.publishNodeMetrics(node)
	go func() {
		<-node.Done()
		if err := node.Err(); err != nil {
			d.failures <- err
		}
	}()
	return node, node.Register(d.rpc)
}

// publishNodeMetrics publishes the metrics that reveal a slow disk or a growing
// log.
func (d *Daemon) publishNodeMetrics(node *control.Node) {
	gauge := func(name string, read func(control.Metrics) float64) {
		d.metrics.Gauge(name, func() float64 { return read(node.Metrics()) })
	}
	gauge("control_log_entries_count", func(m control.Metrics) float64 { return float64(m.LogEntries) })
	gauge("control_log_bytes", func(m control.Metrics) float64 { return float64(m.LogBytes) })
	gauge("control_log_syncs_count", func(m control.Metrics) float64 { return float64(m.Syncs) })
	gauge("control_log_sync_seconds", func(m control.Metrics) float64 { return m.SyncSeconds })
	gauge("control_log_slowest_sync_seconds", func(m control.Metrics) float64 { return m.SlowestSync })
	gauge("control_unapplied_count", func(m control.Metrics) float64 { return float64(m.Unapplied) })
	gauge("control_messages_dropped_count", func(m control.Metrics) float64 { return float64(m.MessagesDropped) })
}

// readBootstrap reads the bootstrap folder. It returns nil if none is
// configured.
func (d *Daemon) readBootstrap() (*declaration.Declaration, error) {
	folder := d.settings.Control.BootstrapFolder
	if folder == "" {
		return nil, nil
	}
	bootstrap, err := declaration.ReadFolder(folder)
	return bootstrap, errors.Wrap(err, "read bootstrap folder")
}

// applyBootstrap applies the bootstrap declaration if the group has no
// configuration yet. It retries until a configuration exists.
func (d *Daemon) applyBootstrap(
	ctx context.Context, service *control.Service, machine *control.RegistryMachine, bootstrap *declaration.Declaration,
) {
	ticker := time.NewTicker(bootstrapRetryInterval)
	defer ticker.Stop()
	for {
		var revision message.Revision
		machine.View(func(r *registry.Registry) { revision = r.Revision() })
		if revision > 0 {
			return
		}
		reply, err := service.ApplySections(&message.ApplyRequest{
			ChangeID: bootstrapChangeID, Operator: "bootstrap", Comment: d.settings.Control.BootstrapFolder,
			Sections: bootstrap.Sections,
		})
		if err == nil && len(reply.Faults) > 0 {
			d.failures <- errors.Errorf("bootstrap folder is invalid: %v", reply.Faults)
			return
		}
		if err != nil {
			d.logger.Debug("bootstrap waits for a leader", zap.Error(err))
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
