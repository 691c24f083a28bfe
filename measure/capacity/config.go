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

// configPoints are the slopes over the number of callers.
type configPoints struct {
	snapshot, encode, decode, delta, build, update, apply, copy, garbage, registry, operator []Point
}

// measureConfiguration measures the configuration of the whole fleet.
func measureConfiguration(b *bench) error {
	var p configPoints
	for _, callers := range b.sizes([]int{1000, 5000, 18000}, []int{50, 100, 200}) {
		if err := p.measure(b, callers); err != nil {
			return err
		}
	}
	b.slope(snapshotBytes, "callers", "bytes", p.snapshot)
	b.slope(deltaBytes, "callers", "bytes of a change of one caller", p.delta)
	b.slope(snapshotEncode, "callers", "ms at the leader", p.encode)
	b.slope(snapshotDecode, "callers", "ms at a daemon", p.decode)
	b.slope(configBuild, "callers", "ms to validate and build the whole", p.build)
	b.slope(configUpdate, "callers", "ms to put a change of one caller in force", p.update)
	b.slope(configApply, "callers", "ms to accept a change at the leader", p.apply)
	b.slope(configMemory, "callers", "bytes of a daemon's copy", p.copy)
	b.slope(configGarbage, "callers", "bytes allocated at a daemon to put a change in force", p.garbage)
	b.slope(operatorBytes, "callers", "bytes from the operators' tool for a change", p.operator)
	b.slope(registryMemory, "callers", "bytes at a control member", p.registry)
	return nil
}

func (p *configPoints) measure(b *bench, callers int) error {
	size := float64(callers)
	whole := sections(callers, fleetHosts, fleetServers, fleetModels)
	encoded, err := registry.EncodeSections(whole)
	if err != nil {
		return err
	}
	p.snapshot = append(p.snapshot, Point{size, float64(len(encoded))})
	p.encode = append(p.encode, Point{size, milliseconds(b, func() { _, err = registry.EncodeSections(whole) })})
	var kept registry.EncodedSections
	var decoded contract.Sections
	p.decode = append(p.decode, Point{size, milliseconds(b, func() {
		if kept, err = registry.DecodeEncodedSections(encoded); err == nil {
			decoded, err = kept.Sections()
		}
	})})
	if err != nil {
		return err
	}
	change := map[string]map[string]string{"caller team-00001": {"key_sha256": whole["caller team-00001"]["key_sha256"], "weight": "3"}}
	var faults []contract.Fault
	var built *contract.Config
	p.build = append(p.build, Point{size, milliseconds(b, func() { built, faults = contract.Build(1, decoded) })})
	put := func() {
		if _, faults = contract.Update(built, 2, change, nil); len(faults) == 0 {
			err = kept.Apply(change, nil)
		}
	}
	p.update = append(p.update, Point{size, milliseconds(b, put)})
	if len(faults) > 0 {
		return errors.Errorf("the generated configuration has faults: %v", faults[:1])
	}
	p.garbage = append(p.garbage, Point{size, allocatedBytes(put)})
	if err := p.memory(size, encoded); err != nil {
		return err
	}
	return p.leader(b, size, whole, change)
}

// memory measures the copy of a daemon: the encoded sections that other daemons
// may fetch, and the configuration in force.
func (p *configPoints) memory(size float64, encoded []byte) error {
	before := heldBytes()
	held, err := registry.DecodeEncodedSections(encoded)
	if err != nil {
		return err
	}
	config, err := buildEncoded(held)
	if err != nil {
		return err
	}
	p.copy = append(p.copy, Point{size, heldBytes() - before})
	runtime.KeepAlive(held)
	runtime.KeepAlive(config)
	return nil
}

func buildEncoded(e registry.EncodedSections) (*contract.Config, error) {
	whole, err := e.Sections()
	if err != nil {
		return nil, err
	}
	config, faults := contract.Build(1, whole)
	if len(faults) > 0 {
		return nil, errors.Errorf("the generated configuration has faults: %v", faults[0])
	}
	return config, nil
}

// leader measures the acceptance of changes and what a daemon gets of them.
func (p *configPoints) leader(b *bench, size float64, whole contract.Sections, change map[string]map[string]string) error {
	before := heldBytes()
	l, err := startLeader()
	if err != nil {
		return err
	}
	defer l.close()
	if err := l.declare("whole", whole); err != nil {
		return err
	}
	p.registry = append(p.registry, Point{size, heldBytes() - before})
	n := 0
	p.apply = append(p.apply, Point{size, milliseconds(b, func() {
		n++
		change["caller team-00001"]["weight"] = fmt.Sprint(n + 3)
		if e := l.declare(fmt.Sprintf("change-%d", n), registry.ApplyDelta(whole, change, nil)); e != nil {
			err = e
		}
	})})
	if err != nil {
		return err
	}
	var reply message.ConfigReply
	peer := newStandinPeer(0, l.address)
	defer peer.client.Close()
	fetch := func() (int64, error) {
		from := peer.traffic.total()
		reply = message.ConfigReply{}
		err := peer.client.Call(b.ctx, "Control.Config", message.ConfigRequest{From: message.Revision(n)}, &reply)
		return peer.traffic.total() - from, err
	}
	// The first exchange carries the type descriptors of gob as well.
	if _, err := fetch(); err != nil {
		return err
	}
	got, err := fetch()
	if err == nil && len(reply.Deltas) != 1 {
		err = errors.Errorf("%d deltas instead of one", len(reply.Deltas))
	}
	if err != nil {
		return err
	}
	p.delta = append(p.delta, Point{size, float64(got)})
	return p.operate(b, size, l, registry.ApplyDelta(whole, change, nil))
}

// operate sends a change as the operators' tool does, with all sections.
func (p *configPoints) operate(b *bench, size float64, l *leader, s contract.Sections) error {
	tool := newStandinPeer(0, l.address)
	defer tool.client.Close()
	var revision message.Revision
	l.machine.View(func(r *registry.Registry) { revision = r.Revision() })
	ctx, cancel := context.WithTimeout(b.ctx, time.Minute)
	defer cancel()
	s["caller team-00002"] = s["caller team-00001"]
	s = registry.ApplyDelta(s, nil, []string{"caller team-00001"})
	var reply message.ApplyReply
	err := tool.client.Call(ctx, "Control.Apply", message.ApplyRequest{
		Credential: credential, ChangeID: "operate", Operator: "capacity", Expected: revision, Sections: s,
	}, &reply)
	if err == nil && !reply.Accepted {
		err = errors.Errorf("the change was not accepted: %v", reply.Faults)
	}
	p.operator = append(p.operator, Point{size, float64(tool.traffic.total())})
	return err
}

// allocatedBytes returns what a call allocates, kept or not.
func allocatedBytes(call func()) float64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	call()
	runtime.ReadMemStats(&after)
	return float64(after.TotalAlloc - before.TotalAlloc)
}

// milliseconds returns the median time of five calls.
func milliseconds(b *bench, call func()) float64 {
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
