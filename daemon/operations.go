package daemon

import (
	"context"
	"net"
	"time"

	"arbutusmast.example/arbutusmast/core/burn"
	"arbutusmast.example/arbutusmast/core/contract"
	"arbutusmast.example/arbutusmast/observe"
	"github.com/pkg/errors"
	"go.uber.org/zap"
)

const (
	// maxFailureLabels limits the number of failure reasons with a counter of their
	// own.
	maxFailureLabels = 64
	shutdownTimeout  = 2 * time.Second
)

// startOperatorServer opens the operators' listener and serves health, metrics,
// profiles and the burn report.
func (d *Daemon) startOperatorServer(ctx context.Context) error {
	if d.settings.Daemon.OpsListen == "" {
		return nil
	}
	listener, err := net.Listen("tcp", d.settings.Daemon.OpsListen)
	if err != nil {
		return errors.Wrap(err, "listen for operators")
	}
	d.publishGauges()
	server := observe.NewServer(d.metrics, d.ready, d.burnCollector, newReporter("ops", d.logger, d.metrics))
	go func() {
		if err := server.Serve(listener); err != nil {
			d.failures <- errors.Wrap(err, "serve operators")
		}
	}()
	d.closers = append(d.closers, func() {
		ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
		defer cancel()
		_ = server.Shutdown(ctx)
	})
	return nil
}

// updateObjectives passes the objectives of a new configuration to the burn
// collector.
func (d *Daemon) updateObjectives(config *contract.Config) {
	if omitted := d.burnCollector.SetObjectives(config.Objectives); omitted > 0 {
		d.logger.Warn("too many objectives, some are not measured",
			zap.Int("left_out", omitted), observe.Revision(config.Revision))
	}
}

// ready reports to load balancers and operators whether the daemon accepts new
// work, and if not, why.
func (d *Daemon) ready() (bool, string) {
	switch {
	case d.draining.Load():
		return false, "the daemon is draining"
	case d.state != nil && !d.state.Ready():
		return false, "no configuration is confirmed yet"
	}
	return true, ""
}

func (d *Daemon) publishGauges() {
	d.metrics.Gauge("config_revision", func() float64 {
		if d.state == nil {
			return 0
		}
		return float64(d.state.Revision())
	})
	if d.entry != nil {
		d.metrics.Gauge("entry_requests_in_progress_count", func() float64 { return float64(d.entry.ActiveRequests()) })
	}
	if d.agent != nil {
		d.metrics.Gauge("agent_executions_in_progress_count", func() float64 { return float64(d.agent.Active()) })
	}
}

// recordEvent records an event of a response in the burn report and the metrics.
func (d *Daemon) recordEvent(e burn.Event) {
	d.burnCollector.Record(e)
	switch e.Kind {
	case contract.ObjectiveFirstToken:
		d.metrics.Histogram("entry_first_token_seconds").Record(e.Duration)
		d.metrics.Counter("entry_delivered_tokens").Add(1)
	case contract.ObjectiveBetweenTokens:
		d.metrics.Counter("entry_delivered_tokens").Add(max(e.Times, 1))
		if e.Times <= 1 {
			d.metrics.Histogram("entry_between_tokens_seconds").Record(e.Duration)
		}
	case contract.ObjectiveStall:
		d.metrics.Histogram("entry_stall_seconds").Record(e.Duration)
	case contract.ObjectiveWhole:
		d.metrics.Counter("entry_answers_total").Add(1)
		if e.Failed {
			d.metrics.Counters("entry_failures_total", maxFailureLabels).Add(string(e.Reason), 1)
		}
	case contract.ObjectivePreemptions:
		d.metrics.Counter("entry_preemptions_total").Add(int64(e.Count))
	}
}
