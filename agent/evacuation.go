package agent

import (
	"time"

	"arbutusmast.example/arbutusmast/core/contract"
	"arbutusmast.example/arbutusmast/core/execution"
	"arbutusmast.example/arbutusmast/core/message"
	"arbutusmast.example/arbutusmast/core/verdict"
)

// EvacuationList provides the evacuated failure domains. A Fleet may implement it; if
// it does not, no failure domain is evacuated.
type EvacuationList interface {
	Evacuations() message.EvacuationSet
}

// evacuationRetryAfter is the retry delay in refusals because of an evacuation.
const evacuationRetryAfter = time.Second

// isEvacuated reports whether this host is in an evacuated failure domain, the one that
// the configuration declares for it or the one that it reports itself. The agent
// refuses requests then, because entries may act on a stale view.
func (a *Agent) isEvacuated(config *contract.Config) bool {
	list, ok := a.options.Fleet.(EvacuationList)
	if !ok {
		return false
	}
	reported := ""
	for _, m := range a.options.Fleet.Members() {
		if m.Host == a.options.Host {
			reported = m.FailureDomain
		}
	}
	return list.Evacuations().ContainsAny(config.Hosts[a.options.Host].FailureDomain, reported)
}

// evacuationRefusal returns the refusal of a request on an evacuated host.
func evacuationRefusal() message.Refusal {
	return message.NewRefusal(verdict.ReasonLeaving, "the failure domain of the backend server is evacuated",
		evacuationRetryAfter)
}

// refuseWaiting ends the runs that wait in a queue and were never sent to a backend
// server, so that entries place them elsewhere. Runs that were paused after they
// started stay. The caller holds a.mu.
func (a *Agent) refuseWaiting() {
	now := time.Now()
	for id, r := range a.runs {
		if record, ok := a.table.Get(id); !ok || record.State != execution.Waiting {
			continue
		}
		a.table.End(now, id, verdict.NotRun)
		r.backend.removeRun(r)
		r.setDelivered()
		if r.finish(message.End{Verdict: verdict.NotRun, Refusal: evacuationRefusal()}) {
			a.ended = append(a.ended, endedRun{id, now})
		}
	}
}
