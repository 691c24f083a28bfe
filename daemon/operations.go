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
	// maxFailureLabels bounds the reasons that are counted apart.
	maxFailureLabels = 64
	shutdownTimeout  = 2 * time.Second
)

// startOperations opens the operators' listener.
func (d *Daemon) startOperations(ctx context.Context) error {
	if d.settings.Daemon.OpsListen == "" {
		return nil
	}
	listener, err := net.Listen("tcp", d.settings.Daemon.OpsListen)
	if err != nil {
		return errors.Wrap(err, "listen for operators")
	}
	d.publishGauges()
	server := observe.NewServer(d.metrics, d.ready, d.burn)
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

// followObjectives hands the objectives of a new configuration to the report.
func (d *Daemon) followObjectives(config *contract.Config) {
	if left := d.burn.SetObjectives(config.Objectives); left > 0 {
		d.logger.Warn("some objectives are not measured", zap.Int("left_out", left), observe.Revision(config.Revision))
	}
}

// ready tells the balancer and operators whether the daemon wants new work.
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

// recordEvent counts an event of an answer for the burn report and the metrics.
func (d *Daemon) recordEvent(e burn.Event) {
	d.burn.Record(e)
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
