package contract

import (
	"fmt"
	"maps"
	"math/rand"
	"reflect"
	"testing"

	"arbutusmast.example/arbutusmast/core/message"
)

// randomSection returns a random section that is valid in most cases.
func randomSection(rng *rand.Rand) (string, map[string]string) {
	name := func(prefix string) string { return fmt.Sprint(prefix, rng.Intn(4)) }
	switch rng.Intn(8) {
	case 0:
		return "failure-domain " + name("d"), map[string]string{"region": name("r")}
	case 1:
		return "host " + name("h"), map[string]string{"failure_domain": name("d")}
	case 2:
		return "backend-server " + name("b"), map[string]string{
			"host": name("h"), "service": name("s"), "address": "127.0.0.1:" + name("80")}
	case 3:
		return "service " + name("s"), map[string]string{"kind": "generation"}
	case 4:
		return "model " + name("m"), map[string]string{"service": name("s"), "versions": "v1"}
	case 5:
		return "caller " + name("c"), map[string]string{"key_sha256": fmt.Sprintf("%064d", rng.Intn(6)), "weight": name("")}
	case 6:
		return "route " + name("r"), map[string]string{"service": name("s"), "model": name("m"), "callers": name("c")}
	}
	return "objective " + name("o"), map[string]string{"service": name("s"), "kind": "whole"}
}

// TestUpdate guards against a configuration that differs from a full Build after
// many updates, and against an update that modifies the previous configuration,
// which concurrent readers still use.
func TestUpdate(t *testing.T) {
	accepted := 0
	for seed := int64(1); seed <= 40; seed++ {
		rng := rand.New(rand.NewSource(seed))
		sections := Sections{}
		config := &Config{}
		for revision := message.Revision(1); revision < 200; revision++ {
			next, set, removed := maps.Clone(sections), Sections{}, []string(nil)
			for range rng.Intn(6) {
				header, keys := randomSection(rng)
				delete(next, header)
				if rng.Intn(3) == 0 {
					delete(set, header)
					removed = append(removed, header)
					continue
				}
				next[header], set[header] = keys, keys
			}
			before, _ := Build(config.Revision, sections)
			want, faults := Build(revision, next)
			got, updateFaults := Update(config, revision, set, removed)
			if (faults == nil) != (updateFaults == nil) {
				t.Fatalf("seed %d, revision %d: Build has faults %v, Update %v", seed, revision, faults, updateFaults)
			}
			if config.Revision > 0 && !reflect.DeepEqual(config, before) {
				t.Fatalf("seed %d, revision %d: the previous configuration was changed", seed, revision)
			}
			if faults != nil {
				continue
			}
			if len(got.Routes) == 0 {
				got.Routes = nil
			}
			if len(got.Objectives) == 0 {
				got.Objectives = nil
			}
			if !reflect.DeepEqual(got, want) {
				t.Fatalf("seed %d, revision %d:\n%+v\nwant\n%+v", seed, revision, got, want)
			}
			sections, config = next, got
			accepted++
		}
	}
	if accepted < 500 {
		t.Errorf("only %d updates were accepted", accepted)
	}
}
