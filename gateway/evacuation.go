package gateway

import (
	"time"

	"arbutusmast.example/arbutusmast/core/backend"
	"arbutusmast.example/arbutusmast/core/verdict"
	"arbutusmast.example/arbutusmast/fleet"
	"github.com/pkg/errors"
	"go.uber.org/zap"
)

// errEvacuated is returned for a request that is not sent, because the failure domain of its
// server was evacuated after the server had been chosen.
var errEvacuated = errors.New("the failure domain of the server is evacuated")

const (
	// maxCopyUse is how long after this entry learned of an evacuation a generation may still
	// continue at a copy in that failure domain. An agent that had not learned of it may have
	// stopped the generation for the copy just before.
	maxCopyUse = time.Second
	// copyUseRatio bounds that time to a fraction of the time in which an evacuation has to be
	// in force. The rest covers the way of the order to this entry.
	copyUseRatio = 5
)

// checkEvacuated returns errEvacuated if a request must not be sent to a server. A generation
// that continues at a copy may be sent for a short time after the entry learned of the
// evacuation.
func (g *Gateway) checkEvacuated(server backend.Server, continues bool) error {
	learnedAt, evacuated := g.options.Fleet.View().Evacuations[server.FailureDomain]
	if !evacuated || continues && fleet.SinceBoot()-learnedAt <= g.copyUse() {
		return nil
	}
	return errEvacuated
}

// copyUse returns how long copies in an evacuated failure domain may be used.
func (g *Gateway) copyUse() time.Duration {
	if bound := g.options.EvacuationBound; bound > 0 {
		return min(maxCopyUse, bound/copyUseRatio)
	}
	return maxCopyUse
}

// refuseEvacuated refuses the request if all servers of its service are in evacuated failure
// domains, and reports whether it did.
func (x *exchange) refuseEvacuated() bool {
	view := x.g.options.Fleet.View()
	if len(view.Evacuations) == 0 {
		return false
	}
	servers := 0
	for _, server := range view.Servers {
		if server.Service != x.service {
			continue
		}
		if !view.IsEvacuated(server.FailureDomain) {
			return false
		}
		servers++
	}
	if servers == 0 {
		return false
	}
	x.refuse("all failure domains of the service are evacuated", verdict.ReasonOverloaded,
		zap.Int("evacuated_servers", servers))
	return true
}
