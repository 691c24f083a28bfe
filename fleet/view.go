package fleet

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"arbutusmast.example/arbutusmast/core/backend"
	"arbutusmast.example/arbutusmast/core/desired"
	"arbutusmast.example/arbutusmast/core/failuredomain"
	"arbutusmast.example/arbutusmast/core/message"
	"arbutusmast.example/arbutusmast/core/quarantine"
	"arbutusmast.example/arbutusmast/core/serverhealth"
	"arbutusmast.example/arbutusmast/core/serverlimit"
)

// View is an immutable copy of the desired state and the list of backend servers.
type View struct {
	// Table is nil until a desired state has been received.
	Table   *desired.Table
	Version uint64
	// Servers are the backend servers, with the leaving marks of the reports applied.
	// Reports are their loads by address; an entry has only those of the servers that it
	// places requests on.
	Servers []backend.Server
	Reports map[string]backend.Report
	// Members and Leader are peer addresses of the control group.
	Members []string
	Leader  string

	// Limits are the limits that backend servers named, by server id, also those that
	// ended lately.
	Limits map[string]serverlimit.Observation
	// Parts are what the control group knows of parts of prompts that may crash backend
	// servers.
	Parts []quarantine.PartStatus
	// Standings are the backend servers that are not sound, by the outcomes that all entries
	// saw.
	Standings Standings
	// Tight are the services whose memory is nearly used up, as of TightStamp.
	Tight      map[string]bool
	TightStamp Stamp
	// Evacuations are the evacuated failure domains, with the time since boot at which this
	// daemon learned of each evacuation.
	Evacuations map[string]time.Duration
	// EndedEvacuations are the failure domains whose evacuation ended, with the revision of the
	// set at the last end. A daemon may learn of an end without having known the evacuation.
	EndedEvacuations map[string]uint64
	// evacuationStates are the failure domains that orders named, as of evacuationRevision.
	evacuationStates   map[string]failuredomain.Status
	evacuationRevision uint64

	listStamp, limitsStamp, partsStamp, standingsStamp Stamp
	// quarantined are the quarantine entries, with remaining times as of quarantinedAt.
	quarantined   []message.Quarantine
	quarantinedAt time.Duration
}

// Quarantined reports whether the request with this digest is suspected of crashing backend
// servers, and for how much longer it must not run: 0 for a suspect that may still run.
func (v *View) Quarantined(digest string) (remaining time.Duration, suspect bool) {
	for _, q := range v.quarantined {
		if left := q.For - (SinceBoot() - v.quarantinedAt); q.Digest == digest && left > 0 {
			if q.Suspect {
				return 0, true
			}
			return left, true
		}
	}
	return 0, false
}

// IsEvacuated reports whether operators have evacuated a failure domain, so that its backend
// servers must not get requests.
func (v *View) IsEvacuated(failureDomain string) bool {
	_, evacuated := v.Evacuations[failureDomain]
	return evacuated
}

// HasSuspects reports whether there may be any suspected or quarantined request.
func (v *View) HasSuspects() bool { return len(v.quarantined) > 0 }

// applyList applies the changes of the list in a reply, and reports whether the view changed.
// Slices and maps of the previous view are left as they are.
func (v *View) applyList(reply *WatchReply) bool {
	sameSource := reply.List.Source == v.listStamp.Source
	changed := false
	if reply.AllServers || sameSource && reply.List.Number > v.listStamp.Number {
		v.applyServers(reply)
		v.quarantined, v.quarantinedAt = reply.Quarantine, SinceBoot()
		changed = true
	}
	if reply.AllLoads || sameSource && reply.List.Loads > v.listStamp.Loads {
		v.applyLoads(reply)
		changed = true
	}
	if changed {
		v.listStamp = reply.List
	}
	return changed
}

func (v *View) applyServers(reply *WatchReply) {
	byID := make(map[string]backend.Server, len(v.Servers)+len(reply.Servers))
	if !reply.AllServers {
		for _, server := range v.Servers {
			byID[server.ID] = server
		}
	}
	for _, server := range reply.Servers {
		byID[server.ID] = coldHere(server)
	}
	for _, id := range reply.RemovedServers {
		delete(byID, id)
	}
	v.Servers = slices.SortedFunc(maps.Values(byID), func(a, b backend.Server) int { return cmp.Compare(a.ID, b.ID) })
	if v.Servers == nil {
		v.Servers = []backend.Server{}
	}
}

func (v *View) applyLoads(reply *WatchReply) {
	loads := make(map[string]backend.Report, len(v.Reports)+len(reply.Reports))
	if !reply.AllLoads {
		maps.Copy(loads, v.Reports)
	}
	for _, r := range reply.Reports {
		loads[r.Address] = r
	}
	for _, address := range reply.RemovedReports {
		delete(loads, address)
	}
	v.Reports = loads
}

// applyTables replaces the limits, parts, standings and tight services by those in a reply that was
// made at a time, and reports whether the view changed.
func (v *View) applyTables(reply *WatchReply, made time.Duration) (changed bool) {
	if reply.HasLimits {
		v.Limits, v.limitsStamp = make(map[string]serverlimit.Observation, len(reply.Limits)), reply.LimitsStamp
		for server, age := range reply.Limits {
			v.Limits[server] = age.At(made)
		}
		changed = true
	}
	if reply.HasParts {
		v.Parts, v.partsStamp = make([]quarantine.PartStatus, 0, len(reply.Parts)), reply.PartsStamp
		for _, s := range reply.Parts {
			v.Parts = append(v.Parts, s.Absolute(made))
		}
		changed = true
	}
	if reply.HasStandings {
		v.Standings, v.standingsStamp = make(Standings, len(reply.Standings)), reply.StandingsStamp
		for _, s := range reply.Standings {
			v.Standings[s.Service] = make(map[string]serverhealth.Status, len(s.Servers))
			for _, status := range s.Servers {
				v.Standings[s.Service][status.Server] = status
			}
		}
		changed = true
	}
	if reply.HasTight {
		v.Tight, v.TightStamp = make(map[string]bool, len(reply.Tight)), reply.TightStamp
		for _, service := range reply.Tight {
			v.Tight[service] = true
		}
		changed = true
	}
	return changed
}
