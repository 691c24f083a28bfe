package capacity

import (
	"math"

	"arbutusmast.example/arbutusmast/core/registry"
)

// Assumed values of hosts and settings.
const (
	// entryCores is the number of processors of an entry host, and
	// entryUtilization the share of them that the peak load may use.
	entryCores       = 8
	entryUtilization = 0.6
	// entryMaxStreams is the default limit of streams at one entry.
	entryMaxStreams = 4096
	// placementSubset is the default of placement.Config.SubsetSize.
	placementSubset = 32
	// replayRetentionSeconds is the default retention of ended responses at an agent.
	replayRetentionSeconds = 60
)

// nonRepeatableShares are the assumed shares of non-repeatable requests.
var nonRepeatableShares = []float64{0.01, 0.05, 0.10}

// ledger derives the cost of the call ledger, which records non-repeatable calls.
func (d *derivation) ledger() {
	const role = "control leader"
	s := d.scale
	cpu, bytes, record := d.mean(ledgerCallLeaderCPU), d.mean(ledgerCallBytes), d.perSize(ledgerRecordMemory)
	for _, share := range nonRepeatableShares {
		calls := share * s.RequestsPerSecond
		prefix := formatNumber(share*100) + "% not repeatable: "
		d.add(role, prefix+"processor time without replication", calls*cpu*1e-4, "% of a core", 0, "#/s * # µs",
			calls, cpu)
		d.add(role, prefix+"traffic with entries", calls*bytes, "B/s", 0, "#/s * # B", calls, bytes)
		records := d.add(role, prefix+"records kept", calls*s.LedgerRetention, "records", registry.MaxCalls,
			"#/s * # s", calls, s.LedgerRetention)
		d.add(role, prefix+"memory of the records", records*record, "bytes", 0, "# * # B", records, record)
	}
	maxCalls := float64(registry.MaxCalls)
	d.add(role, "calls that the ledger can keep", maxCalls/s.LedgerRetention, "calls/s", 0, "MaxCalls # / # s",
		maxCalls, s.LedgerRetention)
	d.add(role, "that share of the requests", maxCalls/s.LedgerRetention/s.RequestsPerSecond*100, "%", 0, "# / #",
		maxCalls/s.LedgerRetention, s.RequestsPerSecond)
	d.add(role, "memory of a full ledger", maxCalls*record, "bytes", 0, "# * # B", maxCalls, record)
	d.add(role, "snapshot of a full ledger", d.at(ledgerSnapshotTime, maxCalls)*1e-3, "s", 0, "slope at # records",
		maxCalls)
}

// log derives the cost of the replicated log at the members of the control group.
func (d *derivation) log() {
	s := d.scale
	bytes := d.at(logCommitBytesByMembers, s.ControlMembers)
	d.add("control follower", "registry with the configuration", d.at(configLeaderMemory, s.Callers), "bytes", 0,
		"as at the leader")
	for _, share := range nonRepeatableShares {
		calls := share * s.RequestsPerSecond
		commits := 2 * calls
		prefix := formatNumber(share*100) + "% not repeatable: "
		d.add("control leader", prefix+"commits", commits, "commits/s", d.slope(logCommitsPerSecond).Last(),
			"2 * #/s; the most measured is the bound", calls)
		d.add("control leader", prefix+"replication traffic", commits*bytes, "B/s", 0, "#/s * # B between # members",
			commits, bytes, s.ControlMembers)
		leader, follower := d.slope(logCommitLeaderCPU).Last(), d.slope(logCommitFollowerCPU).Last()
		d.add("control leader", prefix+"processor time with replication", commits*leader*1e-4, "% of a core", 0,
			"#/s * # µs", commits, leader)
		d.add("control follower", prefix+"processor time", commits*follower*1e-4, "% of a core", 0, "#/s * # µs",
			commits, follower)
	}
}

// entriesFor returns the number of entries that the load needs by processor time
// and MaxStreams if each has the given number of links, the cores that all of them
// use, and the processor time of a token in µs.
func (d *derivation) entriesFor(links float64) (count, cores, perToken float64) {
	s := d.scale
	streams := s.TokensPerSecond / s.TokensPerSecondPerStream
	request := d.at(requestEntryCPU, s.BackendServers)
	for count = math.Ceil(streams / entryMaxStreams); count < 10_000; count++ {
		perToken = d.at(tokenEntryCPU, 100*count*links/streams)
		cores = (s.TokensPerSecond*perToken + s.RequestsPerSecond*request) * 1e-6
		if cores <= count*entryCores*entryUtilization {
			return count, cores, perToken
		}
	}
	return math.NaN(), math.NaN(), math.NaN()
}

func (d *derivation) agents() float64 { return d.scale.BackendServers / 2 }

// subsetLinks returns the number of agents that hold the backend servers of one
// entry's subsets: placementSubset servers of each model, and two on each host.
func (d *derivation) subsetLinks() float64 {
	share := min(1, placementSubset*d.scale.Models/d.scale.BackendServers)
	return math.Round(d.agents() * (1 - (1-share)*(1-share)))
}

// linksWithinBudget returns the number of links whose idle heartbeats stay within
// the traffic budget, packet headers included.
func (d *derivation) linksWithinBudget() float64 {
	return math.Floor(d.scale.BudgetBytesPerSecond / d.idleLinkBytes())
}

// idleLinkBytes returns the bytes/s of one idle link with a heartbeat in each
// direction, packet headers included.
func (d *derivation) idleLinkBytes() float64 {
	return d.perSize(linkIdleBytes) + 2*packetOverheadBytes/heartbeatSeconds
}

func (d *derivation) entry() {
	const role = "entry"
	s := d.scale
	streams := d.add(role, "open streams, all entries", s.TokensPerSecond/s.TokensPerSecondPerStream, "streams", 0,
		"# tokens/s / # tokens/s of a stream", s.TokensPerSecond, s.TokensPerSecondPerStream)
	minEntries := d.add(role, "entries by MaxStreams", math.Ceil(streams/entryMaxStreams), "entries", 0, "# / #",
		streams, entryMaxStreams)
	request := d.at(requestEntryCPU, s.BackendServers)
	d.add(role, "requests, all entries", s.RequestsPerSecond*request*1e-6, "cores", 0, "#/s * # µs",
		s.RequestsPerSecond, request)
	d.add(role, "agents in the subsets of one entry", d.subsetLinks(), "agents", 0, "# * (1 - (1 - # * # / #)^2)",
		d.agents(), placementSubset, s.Models, s.BackendServers)
	for _, links := range []float64{d.subsetLinks(), d.linksWithinBudget()} {
		count, cores, perToken := d.entriesFor(links)
		prefix := "links to " + formatNumber(links) + " agents: "
		d.add(role, prefix+"tokens and requests, all entries", cores, "cores", 0, "#/s * # µs + #/s * # µs",
			s.TokensPerSecond, perToken, s.RequestsPerSecond, request)
		d.add(role, prefix+"entries", count, "entries", 0, "# cores / (# * #) per host, at least #", cores,
			entryCores, entryUtilization, minEntries)
		d.add(role, prefix+"backend servers in no entry's subset",
			s.BackendServers*math.Pow(1-links/d.agents(), count), "backend servers", 0,
			"# * (1 - # / #)^#", s.BackendServers, links, d.agents(), count)
		d.add(role, prefix+"streams at one entry", streams/count, "streams", entryMaxStreams, "# / #", streams, count)
		d.add(role, prefix+"memory of streams at one entry", streams/count*d.perSize(streamEntryMemory), "bytes", 0,
			"# * # B", streams/count, d.perSize(streamEntryMemory))
		d.add(role, prefix+"traffic to callers at one entry", s.TokensPerSecond/count*d.mean(tokenCallerBytes), "B/s",
			0, "#/s / # * # B", s.TokensPerSecond, count, d.mean(tokenCallerBytes))
		d.add(role, prefix+"idle links, payload", links*d.perSize(linkIdleBytes), "B/s", s.BudgetBytesPerSecond,
			"# * # B/s", links, d.perSize(linkIdleBytes))
		d.add(role, prefix+"idle links, with packets", links*d.idleLinkBytes(), "B/s", s.BudgetBytesPerSecond,
			"# * # B/s", links, d.idleLinkBytes())
	}
	perObjective := d.perSize(burnObjectiveMemory)
	d.add(role, "burn report, 48 objectives", 48*perObjective, "bytes", 0, "48 * # B", perObjective)
	d.add(role, "burn report, all entries", s.TokensPerSecond*d.at(burnEventCPU, 12)*1e-9, "cores", 0, "#/s * # ns",
		s.TokensPerSecond, d.at(burnEventCPU, 12))
}

func (d *derivation) agent() {
	const role = "agent"
	s := d.scale
	agents := d.agents()
	streams := s.TokensPerSecond / s.TokensPerSecondPerStream
	tokenRate := d.add(role, "tokens", s.TokensPerSecond/agents, "tokens/s", 0, "#/s / #", s.TokensPerSecond, agents)
	// The measured agent holds all backend servers of the fleet. The part of the
	// cost that grows with them does not apply to an agent with two.
	request := d.slope(requestAgentCPU).Fixed
	d.add(role, "requests", s.RequestsPerSecond/agents*request*1e-6, "cores", 0, "#/s * # µs",
		s.RequestsPerSecond/agents, request)
	for _, links := range []float64{d.subsetLinks(), d.linksWithinBudget()} {
		count, _, _ := d.entriesFor(links)
		perAgent := count * links / agents
		prefix := "entries with links to " + formatNumber(links) + ": "
		perToken := d.at(tokenAgentCPU, 100*count*links/streams)
		d.add(role, prefix+"processor time", (tokenRate*perToken+s.RequestsPerSecond/agents*request)*1e-6, "cores", 0,
			"#/s * # µs + #/s * # µs", tokenRate, perToken, s.RequestsPerSecond/agents, request)
		d.add(role, prefix+"links", perAgent, "links", 0, "# * # / #", count, links, agents)
		d.add(role, prefix+"memory of links", perAgent*d.perSize(linkAgentMemory), "bytes", s.BudgetBytes, "# * # B",
			perAgent, d.perSize(linkAgentMemory))
	}
	openStreams := streams / agents
	streamSeconds := s.TokensPerSecond / s.RequestsPerSecond / s.TokensPerSecondPerStream
	keptResponses := s.RequestsPerSecond / agents * (streamSeconds + replayRetentionSeconds)
	d.add(role, "open streams", openStreams, "streams", 0, "# / #", streams, agents)
	d.add(role, "answers kept for replay", keptResponses, "answers", 0, "#/s * (# s + # s)",
		s.RequestsPerSecond/agents, streamSeconds, replayRetentionSeconds)
	d.add(role, "memory of answers and streams", keptResponses*d.perSize(streamAgentMemory), "bytes", 0,
		"# * # B, an upper bound", keptResponses, d.perSize(streamAgentMemory))
	keptTokens := tokenRate * (streamSeconds/2 + replayRetentionSeconds)
	d.add(role, "memory of tokens kept", keptTokens*d.perSize(replayTokenMemory), "bytes", 64<<20,
		"#/s * (# s + # s) * # B", tokenRate, streamSeconds/2, replayRetentionSeconds, d.perSize(replayTokenMemory))
	d.add(role, "link traffic", tokenRate*d.mean(tokenLinkBytes), "B/s", 0, "#/s * # B", tokenRate,
		d.mean(tokenLinkBytes))
}
