package capacity

import (
	"context"
	"fmt"
	"runtime"
	"time"

	"arbutusmast.example/arbutusmast/core/contract"
	"arbutusmast.example/arbutusmast/core/message"
	"arbutusmast.example/arbutusmast/core/registry"
	"github.com/pkg/errors"
)

const (
	fleetHosts   = 410
	fleetServers = 810
	fleetModels  = 6
)

// configPoints holds the points of the slopes over the number of callers.
type configPoints struct {
	snapshot, encode, decode, delta, validate, update, apply, copy, allocated, registry, operator []Point
}

// measureConfiguration measures the configuration of the whole fleet.
func measureConfiguration(b *bench) error {
	var p configPoints
	for _, callers := range b.sizes([]int{1000, 5000, 18000}, []int{50, 100, 200}) {
		if err := p.measure(b, callers); err != nil {
			return err
		}
	}
	b.addSlope(configSnapshotBytes, "callers", "bytes", p.snapshot)
	b.addSlope(configDeltaBytes, "callers", "bytes of a change of one caller", p.delta)
	b.addSlope(configSnapshotEncode, "callers", "ms at the leader", p.encode)
	b.addSlope(configSnapshotDecode, "callers", "ms at a daemon", p.decode)
	b.addSlope(configValidate, "callers", "ms to validate and build the whole", p.validate)
	b.addSlope(configPutChange, "callers", "ms to put a change of one caller in force", p.update)
	b.addSlope(configApplyLeader, "callers", "ms to accept a change at the leader", p.apply)
	b.addSlope(configCopyMemory, "callers", "bytes of a daemon's copy", p.copy)
	b.addSlope(configChangeAllocated, "callers", "bytes allocated at a daemon to put a change in force", p.allocated)
	b.addSlope(operatorApplyBytes, "callers", "bytes from the operators' tool for a change", p.operator)
	b.addSlope(configLeaderMemory, "callers", "bytes at a control member", p.registry)
	return nil
}

func (p *configPoints) measure(b *bench, callers int) error {
	size := float64(callers)
	declared := sections(callers, fleetHosts, fleetServers, fleetModels)
	encoded, err := registry.EncodeSections(declared)
	if err != nil {
		return err
	}
	p.snapshot = append(p.snapshot, Point{size, float64(len(encoded))})
	p.encode = append(p.encode,
		Point{size, medianMilliseconds(b, func() { _, err = registry.EncodeSections(declared) })})
	var current registry.EncodedSections
	var decoded contract.Sections
	p.decode = append(p.decode, Point{size, medianMilliseconds(b, func() {
		if current, err = registry.DecodeEncodedSections(encoded); err == nil {
			decoded, err = current.Sections()
		}
	})})
	if err != nil {
		return err
	}
	change := map[string]map[string]string{"caller team-00001": {
		"key_sha256": declared["caller team-00001"]["key_sha256"], "weight": "3",
	}}
	var faults []contract.Fault
	var config *contract.Config
	p.validate = append(p.validate,
		Point{size, medianMilliseconds(b, func() { config, faults = contract.Build(1, decoded) })})
	update := func() {
		if _, faults = contract.Update(config, 2, change, nil); len(faults) == 0 {
			err = current.Apply(change, nil)
		}
	}
	p.update = append(p.update, Point{size, medianMilliseconds(b, update)})
	if len(faults) > 0 {
		return errors.Errorf("generated configuration has faults: %v", faults[:1])
	}
	p.allocated = append(p.allocated, Point{size, allocatedBytes(update)})
	if err := p.measureMemory(size, encoded); err != nil {
		return err
	}
	return p.measureLeader(b, size, declared, change)
}

// measureMemory measures the copy of a daemon: the encoded sections, which other
// daemons may fetch, and the configuration in force.
func (p *configPoints) measureMemory(size float64, encoded []byte) error {
	before := liveBytes()
	current, err := registry.DecodeEncodedSections(encoded)
	if err != nil {
		return err
	}
	config, err := buildFromEncoded(current)
	if err != nil {
		return err
	}
	p.copy = append(p.copy, Point{size, liveBytes() - before})
	runtime.KeepAlive(current)
	runtime.KeepAlive(config)
	return nil
}

func buildFromEncoded(e registry.EncodedSections) (*contract.Config, error) {
	declared, err := e.Sections()
	if err != nil {
		return nil, err
	}
	config, faults := contract.Build(1, declared)
	if len(faults) > 0 {
		return nil, errors.Errorf("generated configuration has faults: %v", faults[0])
	}
	return config, nil
}

// measureLeader measures the acceptance of changes at the leader, and the delta
// that a daemon receives.
func (p *configPoints) measureLeader(b *bench, size float64, declared contract.Sections,
	change map[string]map[string]string) error {
	before := liveBytes()
	leader, err := startControlLeader()
	if err != nil {
		return err
	}
	defer leader.close()
	if err := leader.applySections("whole", declared); err != nil {
		return err
	}
	p.registry = append(p.registry, Point{size, liveBytes() - before})
	n := 0
	p.apply = append(p.apply, Point{size, medianMilliseconds(b, func() {
		n++
		change["caller team-00001"]["weight"] = fmt.Sprint(n + 3)
		if e := leader.applySections(fmt.Sprintf("change-%d", n), registry.ApplyDelta(declared, change, nil)); e != nil {
			err = e
		}
	})})
	if err != nil {
		return err
	}
	var reply message.ConfigReply
	peer := newSimulatedPeer(0, leader.address)
	defer peer.client.Close()
	fetch := func() (int64, error) {
		before := peer.traffic.total()
		reply = message.ConfigReply{}
		err := peer.client.Call(b.ctx, "Control.Config", message.ConfigRequest{From: message.Revision(n)}, &reply)
		return peer.traffic.total() - before, err
	}
	// The first exchange on a connection also carries the type descriptors of gob.
	if _, err := fetch(); err != nil {
		return err
	}
	deltaBytes, err := fetch()
	if err == nil && len(reply.Deltas) != 1 {
		err = errors.Errorf("got %d deltas, want 1", len(reply.Deltas))
	}
	if err != nil {
		return err
	}
	p.delta = append(p.delta, Point{size, float64(deltaBytes)})
	return p.measureOperator(b, size, leader, registry.ApplyDelta(declared, change, nil))
}

// measureOperator sends a change with all sections, as the operator tool does.
func (p *configPoints) measureOperator(b *bench, size float64, leader *controlLeader, s contract.Sections) error {
	tool := newSimulatedPeer(0, leader.address)
	defer tool.client.Close()
	var revision message.Revision
	leader.machine.View(func(r *registry.Registry) { revision = r.Revision() })
	ctx, cancel := context.WithTimeout(b.ctx, time.Minute)
	defer cancel()
	s["caller team-00002"] = s["caller team-00001"]
	s = registry.ApplyDelta(s, nil, []string{"caller team-00001"})
	var reply message.ApplyReply
	err := tool.client.Call(ctx, "Control.Apply", message.ApplyRequest{
		Credential: credential, ChangeID: "operate", Operator: "capacity", Expected: revision, Sections: s,
	}, &reply)
	if err == nil && !reply.Accepted {
		err = errors.Errorf("change was not accepted: %v", reply.Faults)
	}
	p.operator = append(p.operator, Point{size, float64(tool.traffic.total())})
	return err
}

// allocatedBytes returns the total bytes that a call allocates.
func allocatedBytes(call func()) float64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	call()
	runtime.ReadMemStats(&after)
	return float64(after.TotalAlloc - before.TotalAlloc)
}

// medianMilliseconds returns the median time of five calls, or of three in a quick
// run.
func medianMilliseconds(b *bench, call func()) float64 {
	tries := 5
	if b.quick {
		tries = 3
	}
	times := make([]float64, tries)
	for i := range times {
		runtime.GC()
		started := time.Now()
		call()
		times[i] = time.Since(started).Seconds() * 1e3
	}
	return percentile(times, 50)
}
