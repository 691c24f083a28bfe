package capacity

import (
	"math"
	"strings"

	"arbutusmast.example/arbutusmast/core/host"
)

// Line is one derived cost with the formula behind it.
type Line struct {
	Role, Item, Formula, Unit string
	Value                     float64
	// Budget is the largest allowed value. Zero means that there is none.
	Budget float64
}

func (l Line) verdict() string {
	switch {
	case l.Budget == 0:
		return ""
	case l.Value <= l.Budget:
		return "within " + formatNumber(l.Budget)
	}
	return "ABOVE " + formatNumber(l.Budget)
}

const (
	daySeconds = 86400
	// heartbeatSeconds is the interval of daemons' heartbeats.
	heartbeatSeconds = 2
	// A host that restarts is reported as leaving, dead, live, and live with
	// healthy backend servers. A host that fails is reported as dead, and its
	// replacement twice as live.
	changesPerRestart = 4
	changesPerFailure = 3
	// gcHeapFactor is the ratio of the heap size before a garbage collection to the
	// live heap, with the default GOGC of 100.
	gcHeapFactor = 2
	// packetOverheadBytes is the overhead of one small message: the IP and TCP
	// headers, with timestamps, of its packet and of the acknowledgement.
	packetOverheadBytes = 104
)

// derivation collects the lines derived from the slopes.
type derivation struct {
	scale  Scale
	slopes map[string]Slope
	lines  []Line
}

// Derive returns the costs at a scale. A slope that was not measured counts as
// NaN, and lines whose value depends on one are left out.
func Derive(scale Scale, slopes []Slope) []Line {
	d := &derivation{scale: scale, slopes: map[string]Slope{}}
	for _, s := range slopes {
		d.slopes[s.Name] = s
	}
	d.daemon()
	d.controlLeader()
	d.ledger()
	d.log()
	d.entry()
	d.agent()
	d.operatorTool()
	// JSON cannot encode NaN or infinity.
	finite := d.lines[:0]
	for _, l := range d.lines {
		if math.IsNaN(l.Budget) {
			l.Budget = 0
		}
		if !math.IsNaN(l.Value) && !math.IsInf(l.Value, 0) {
			finite = append(finite, l)
		}
	}
	return finite
}

func (d *derivation) slope(name string) Slope {
	s, ok := d.slopes[name]
	if !ok {
		s.Fixed, s.PerSize = math.NaN(), math.NaN()
		s.Points = []Point{{0, math.NaN()}}
	}
	return s
}

func (d *derivation) at(name string, size float64) float64 { return d.slope(name).At(size) }
func (d *derivation) perSize(name string) float64          { return d.slope(name).PerSize }
func (d *derivation) mean(name string) float64             { return d.slope(name).Mean() }

// add appends a line and returns its value. Each # of the formula is replaced by
// the next of the numbers.
func (d *derivation) add(role, item string, value float64, unit string, budget float64, formula string,
	numbers ...float64) float64 {
	for _, n := range numbers {
		formula = strings.Replace(formula, "#", formatNumber(n), 1)
	}
	d.lines = append(d.lines, Line{Role: role, Item: item, Formula: formula, Unit: unit, Value: value, Budget: budget})
	return value
}

// daemon derives the cost of the control plane at each daemon.
func (d *derivation) daemon() {
	const role = "daemon"
	s := d.scale
	heartbeatSize := d.mean(heartbeatBytes)
	idle := d.add(role, "heartbeats", heartbeatSize/heartbeatSeconds, "B/s", 0, "# B / # s", heartbeatSize,
		heartbeatSeconds)
	changes := s.RestartsPerDay*changesPerRestart + s.FailuresPerDay*changesPerFailure
	memberSize := d.perSize(memberChangeBytes)
	members := d.add(role, "changed members", changes*memberSize/daySeconds, "B/s", 0, "(#*# + #*#) * # B / 86,400 s",
		s.RestartsPerDay, changesPerRestart, s.FailuresPerDay, changesPerFailure, memberSize)
	deltaSize := d.mean(configDeltaBytes)
	deltas := d.add(role, "configuration deltas", s.ChangesPerDay*deltaSize/daySeconds, "B/s", 0,
		"# * # B / 86,400 s", s.ChangesPerDay, deltaSize)
	snapshotSize := d.at(configSnapshotBytes, s.Callers)
	starts := s.RestartsPerDay + s.FailuresPerDay
	snapshots := d.add(role, "snapshots after restarts", starts/s.Daemons*snapshotSize/daySeconds, "B/s", 0,
		"# / # * # B / 86,400 s", starts, s.Daemons, snapshotSize)
	d.add(role, "control traffic", idle+members+deltas+snapshots, "B/s", s.BudgetBytesPerSecond, "# + # + # + #",
		idle, members, deltas, snapshots)
	lostHosts := min(s.Daemons/s.FailureDomains, host.MaxChangesPerReply)
	d.add(role, "a failure domain is lost, within one heartbeat", idle+lostHosts*memberSize/heartbeatSeconds, "B/s",
		s.BudgetBytesPerSecond, "# + # hosts * # B / # s", idle, lostHosts, memberSize, heartbeatSeconds)
	returningHosts := min(s.Daemons/s.Regions, host.MaxChangesPerReply)
	d.add(role, "a region returns after a cut, within one heartbeat", idle+returningHosts*memberSize/heartbeatSeconds,
		"B/s", s.BudgetBytesPerSecond, "# + # hosts * # B / # s", idle, returningHosts, memberSize, heartbeatSeconds)
	heartbeatPercent := d.mean(heartbeatDaemonCPU) * 1e-6 / heartbeatSeconds * 100
	updateTime := d.at(configPutChange, s.Callers)
	updatePercent := updateTime * 1e-3 * s.ChangesPerDay / daySeconds * 100
	idlePercent := 2 * d.perSize(agentIdleCPU)
	d.add(role, "duties of an idle agent", idlePercent, "% of a core", s.BudgetCorePercent, "2 backend servers * # %",
		d.perSize(agentIdleCPU))
	d.add(role, "control processor time", heartbeatPercent+updatePercent, "% of a core", s.BudgetCorePercent,
		"# µs / # s + # ms * # / 86,400 s", d.mean(heartbeatDaemonCPU), heartbeatSeconds, updateTime, s.ChangesPerDay)
	copySize := d.at(configCopyMemory, s.Callers)
	d.add(role, "configuration copy with room for collection", gcHeapFactor*copySize, "bytes", s.BudgetBytes,
		"# * # B", gcHeapFactor, copySize)
	decodeTime, buildTime := d.at(configSnapshotDecode, s.Callers), d.at(configValidate, s.Callers)
	inForce := d.at(inForceMax, s.Daemons)
	d.add(role, "last daemon has a change in force", inForce+updateTime*1e-3, "s", s.BudgetInForceSeconds,
		"# s + # ms", inForce, updateTime)
	d.add(role, "whole configuration at a start, processor time", decodeTime+buildTime, "ms", 0,
		"# ms decode + # ms build", decodeTime, buildTime)
}

func (d *derivation) controlLeader() {
	const role = "control leader"
	s := d.scale
	heartbeatCPU := d.at(heartbeatLeaderCPU, s.Daemons)
	rate := s.Daemons / heartbeatSeconds
	d.add(role, "heartbeats", rate*heartbeatCPU*1e-4, "% of a core", 0, "# / # s * # µs", s.Daemons, heartbeatSeconds,
		heartbeatCPU)
	d.add(role, "heartbeat traffic", rate*d.mean(heartbeatBytes), "B/s", 0, "# / # s * # B", s.Daemons,
		heartbeatSeconds, d.mean(heartbeatBytes))
	d.add(role, "connections and members", d.at(heartbeatMemory, s.Daemons), "bytes", 0,
		"slope at # daemons, stand-in side included", s.Daemons)
	acceptTime := d.at(configApplyLeader, s.Callers)
	d.add(role, "configuration changes", acceptTime*1e-3*s.ChangesPerDay/daySeconds*100, "% of a core", 0,
		"# ms * # / 86,400 s", acceptTime, s.ChangesPerDay)
	d.add(role, "registry with the configuration", d.at(configLeaderMemory, s.Callers), "bytes", 0,
		"slope at # callers", s.Callers)
	snapshotSize := d.at(configSnapshotBytes, s.Callers)
	starts := s.RestartsPerDay + s.FailuresPerDay
	d.add(role, "snapshots to restarted daemons", starts*snapshotSize/daySeconds, "B/s", 0, "# * # B / 86,400 s",
		starts, snapshotSize)
	domainHosts := s.Daemons / s.FailureDomains
	d.add(role, "a failure domain returns: snapshots", domainHosts*snapshotSize, "bytes", 0, "# hosts * # B",
		domainHosts, snapshotSize)
	d.add(role, "a failure domain is lost: changed members",
		(s.Daemons-domainHosts)*domainHosts*d.perSize(memberChangeBytes), "bytes", 0, "# daemons * # hosts * # B",
		s.Daemons-domainHosts, domainHosts, d.perSize(memberChangeBytes))
}

func (d *derivation) operatorTool() {
	s := d.scale
	d.add("operator tool", "apply of a change", d.at(operatorApplyBytes, s.Callers), "bytes", 0, "slope at # callers",
		s.Callers)
	d.add("operator tool", "all changes of a day", d.at(operatorApplyBytes, s.Callers)*s.ChangesPerDay, "bytes", 0,
		"# * # B", s.ChangesPerDay, d.at(operatorApplyBytes, s.Callers))
}
