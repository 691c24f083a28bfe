package capacity

import (
	"arbutusmast.example/arbutusmast/core/host"
	"math"
	"strings"
)

// Line is one derived cost with its arithmetic.
type Line struct {
	Role, Item, Formula, Unit string
	Value                     float64
	// Budget is the largest allowed value; zero means none.
	Budget float64
}

func (l Line) verdict() string {
	switch {
	case l.Budget == 0:
		return ""
	case l.Value <= l.Budget:
		return "within " + number(l.Budget)
	}
	return "ABOVE " + number(l.Budget)
}

const (
	daySeconds = 86400
	// heartbeatSeconds is the interval of daemons' heartbeats.
	heartbeatSeconds = 2
	// A host that restarts is reported as leaving, dead, live, and live with
	// healthy backend servers; one that fails is reported as dead, and its
	// replacement as live twice.
	changesPerRestart = 4
	changesPerFailure = 3
	// gcFactor is the size of the heap before a collection relative to what is
	// held, with the default GOGC of 100.
	gcFactor = 2
	// packetBytes is what one small message costs beside its payload: the headers
	// of IP and TCP with timestamps, of its packet and of the acknowledgement.
	packetBytes = 104
)

// derivation collects lines.
type derivation struct {
	scale  Scale
	slopes map[string]Slope
	lines  []Line
}

// Derive returns the costs at a scale. Slopes that were not measured count as
// NaN, which shows in all that depends on them.
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
	d.tool()
	// JSON has no NaN.
	known := d.lines[:0]
	for _, l := range d.lines {
		if math.IsNaN(l.Budget) {
			l.Budget = 0
		}
		if !math.IsNaN(l.Value) && !math.IsInf(l.Value, 0) {
			known = append(known, l)
		}
	}
	return known
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
func (d *derivation) per(name string) float64              { return d.slope(name).PerSize }
func (d *derivation) mean(name string) float64             { return d.slope(name).Mean() }

// add records a line. Each # of the formula stands for one of the numbers.
func (d *derivation) add(role, item string, value float64, unit string, budget float64, formula string, numbers ...float64) float64 {
	for _, n := range numbers {
		formula = strings.Replace(formula, "#", number(n), 1)
	}
	d.lines = append(d.lines, Line{Role: role, Item: item, Formula: formula, Unit: unit, Value: value, Budget: budget})
	return value
}

// daemon derives the control overhead of each daemon.
func (d *derivation) daemon() {
	const role = "daemon"
	s := d.scale
	beat := d.mean(heartbeatBytes)
	idle := d.add(role, "heartbeats", beat/heartbeatSeconds, "B/s", 0, "# B / # s", beat, heartbeatSeconds)
	changes := s.RestartsPerDay*changesPerRestart + s.FailuresPerDay*changesPerFailure
	member := d.per(memberBytes)
	members := d.add(role, "changed members", changes*member/daySeconds, "B/s", 0, "(#*# + #*#) * # B / 86,400 s",
		s.RestartsPerDay, changesPerRestart, s.FailuresPerDay, changesPerFailure, member)
	delta := d.mean(deltaBytes)
	deltas := d.add(role, "configuration deltas", s.ChangesPerDay*delta/daySeconds, "B/s", 0, "# * # B / 86,400 s", s.ChangesPerDay, delta)
	snapshot := d.at(snapshotBytes, s.Callers)
	starts := s.RestartsPerDay + s.FailuresPerDay
	snapshots := d.add(role, "snapshots after restarts", starts/s.Daemons*snapshot/daySeconds, "B/s", 0,
		"# / # * # B / 86,400 s", starts, s.Daemons, snapshot)
	d.add(role, "control traffic", idle+members+deltas+snapshots, "B/s", s.BudgetBytesPerSecond, "# + # + # + #", idle, members, deltas, snapshots)
	lost := min(s.Daemons/s.FailureDomains, host.MaxChangesPerReply)
	d.add(role, "a failure domain is lost, within one heartbeat", idle+lost*member/heartbeatSeconds, "B/s", s.BudgetBytesPerSecond,
		"# + # hosts * # B / # s", idle, lost, member, heartbeatSeconds)
	cut := min(s.Daemons/s.Regions, host.MaxChangesPerReply)
	d.add(role, "a region returns after a cut, within one heartbeat", idle+cut*member/heartbeatSeconds, "B/s", s.BudgetBytesPerSecond,
		"# + # hosts * # B / # s", idle, cut, member, heartbeatSeconds)
	beats := d.mean(heartbeatDaemon) * 1e-6 / heartbeatSeconds * 100
	put := d.at(configUpdate, s.Callers)
	apply := put * 1e-3 * s.ChangesPerDay / daySeconds * 100
	waiting := 2 * d.per(agentIdle)
	d.add(role, "duties of an idle agent", waiting, "% of a core", s.BudgetCorePercent, "2 backend servers * # %", d.per(agentIdle))
	d.add(role, "control processor time", beats+apply, "% of a core", s.BudgetCorePercent,
		"# µs / # s + # ms * # / 86,400 s", d.mean(heartbeatDaemon), heartbeatSeconds, put, s.ChangesPerDay)
	held := d.at(configMemory, s.Callers)
	d.add(role, "configuration copy with room for collection", gcFactor*held, "bytes", s.BudgetBytes, "# * # B", gcFactor, held)
	decode, build := d.at(snapshotDecode, s.Callers), d.at(configBuild, s.Callers)
	inForce := d.at(inForceMax, s.Daemons)
	d.add(role, "last daemon has a change in force", inForce+put*1e-3, "s", s.BudgetInForceSeconds, "# s + # ms", inForce, put)
	d.add(role, "whole configuration at a start, processor time", decode+build, "ms", 0, "# ms decode + # ms build", decode, build)
}

func (d *derivation) controlLeader() {
	const role = "control leader"
	s := d.scale
	beat := d.at(heartbeatLeader, s.Daemons)
	rate := s.Daemons / heartbeatSeconds
	d.add(role, "heartbeats", rate*beat*1e-4, "% of a core", 0, "# / # s * # µs", s.Daemons, heartbeatSeconds, beat)
	d.add(role, "heartbeat traffic", rate*d.mean(heartbeatBytes), "B/s", 0, "# / # s * # B", s.Daemons, heartbeatSeconds, d.mean(heartbeatBytes))
	d.add(role, "connections and members", d.at(heartbeatMemory, s.Daemons), "bytes", 0, "slope at # daemons, stand-in side included", s.Daemons)
	accept := d.at(configApply, s.Callers)
	d.add(role, "configuration changes", accept*1e-3*s.ChangesPerDay/daySeconds*100, "% of a core", 0, "# ms * # / 86,400 s", accept, s.ChangesPerDay)
	d.add(role, "registry with the configuration", d.at(registryMemory, s.Callers), "bytes", 0, "slope at # callers", s.Callers)
	snapshot := d.at(snapshotBytes, s.Callers)
	starts := s.RestartsPerDay + s.FailuresPerDay
	d.add(role, "snapshots to restarted daemons", starts*snapshot/daySeconds, "B/s", 0, "# * # B / 86,400 s", starts, snapshot)
	domain := s.Daemons / s.FailureDomains
	d.add(role, "a failure domain returns: snapshots", domain*snapshot, "bytes", 0, "# hosts * # B", domain, snapshot)
	d.add(role, "a failure domain is lost: changed members", (s.Daemons-domain)*domain*d.per(memberBytes), "bytes", 0,
		"# daemons * # hosts * # B", s.Daemons-domain, domain, d.per(memberBytes))
}

func (d *derivation) tool() {
	s := d.scale
	d.add("operator tool", "apply of a change", d.at(operatorBytes, s.Callers), "bytes", 0, "slope at # callers", s.Callers)
	d.add("operator tool", "all changes of a day", d.at(operatorBytes, s.Callers)*s.ChangesPerDay, "bytes", 0, "# * # B", s.ChangesPerDay, d.at(operatorBytes, s.Callers))
}
