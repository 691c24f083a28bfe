package peerstate

import (
	"crypto/sha256"
	"fmt"
	"math/rand"
	"runtime"
	"testing"

	"arbutusmast.example/arbutusmast/core/contract"
	"arbutusmast.example/arbutusmast/core/message"
	"arbutusmast.example/arbutusmast/core/registry"
)

// scaleSections returns a configuration at the design scale: 6 failure domains,
// 410 hosts, one service and the given numbers of callers and backend servers.
func scaleSections(callers, servers int) contract.Sections {
	s := contract.Sections{"service generate": {"kind": "generation"},
		"model m": {"service": "generate", "versions": "v1, v2"}, "route r": {"service": "generate", "model": "m", "version": "v1"}}
	for i := range 6 {
		s[fmt.Sprint("failure-domain fd", i)] = map[string]string{"region": fmt.Sprint("region", i%2)}
	}
	for i := range 410 {
		s[fmt.Sprint("host h", i)] = map[string]string{"failure_domain": fmt.Sprint("fd", i%6)}
	}
	for i := range servers {
		s[fmt.Sprint("backend-server s", i)] = map[string]string{"host": fmt.Sprint("h", i%410), "service": "generate",
			"address": fmt.Sprintf("127.0.%d.%d:8000", i/250, i%250+1), "memory_blocks": "8192", "checks_fencing": "true"}
	}
	for i := range callers {
		s[fmt.Sprint("caller team", i)] = map[string]string{
			"key_sha256": fmt.Sprintf("%x", sha256.Sum256([]byte{byte(i), byte(i >> 8)})),
			"weight":     fmt.Sprint(i%7 + 1), "max_concurrent": "64"}
	}
	return s
}

func heapBytes() float64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

// BenchmarkDelta measures a change of one caller at a daemon: the time to apply
// it, the memory of the copy and the size of the snapshot.
func BenchmarkDelta(b *testing.B) {
	for _, size := range [][2]int{{0, 0}, {0, 810}, {4500, 810}, {9000, 810}, {18000, 810}} {
		b.Run(fmt.Sprintf("callers=%d/servers=%d", size[0], size[1]), func(b *testing.B) {
			snapshot, err := registry.EncodeSections(scaleSections(size[0], size[1]))
			if err != nil {
				b.Fatal(err)
			}
			before := heapBytes()
			s := New([]string{"x"}, rand.New(rand.NewSource(1)))
			control := Action{Kind: FetchFromControl}
			s.FinishFetch(0, control, &message.ConfigReply{Revision: 1, Current: true, Snapshot: snapshot}, Outcome{})
			if s.FetchError() != nil {
				b.Fatal(s.FetchError())
			}
			copied := heapBytes() - before
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				revision := message.Revision(i + 2)
				set := map[string]map[string]string{"caller new": {"key_sha256": fmt.Sprintf("%064x", i), "weight": "2"}}
				s.FinishFetch(0, control, &message.ConfigReply{Revision: revision, Current: true,
					Deltas: []message.ConfigDelta{{Revision: revision, Set: set}}}, Outcome{})
			}
			if s.Revision() != message.Revision(b.N+1) {
				b.Fatal(s.FetchError())
			}
			b.ReportMetric(copied/1e6, "copy-MB")
			b.ReportMetric(float64(len(snapshot))/1e6, "snapshot-MB")
		})
	}
}
