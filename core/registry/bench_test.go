package registry

import (
	"fmt"
	"testing"
	"time"

	"arbutusmast.example/arbutusmast/core/message"
)

// BenchmarkCall measures one call that begins and finishes with a response of 1 KB,
// without the replicated log, and the snapshot of the resulting ledger.
func BenchmarkCall(b *testing.B) {
	r := New()
	bytes := 0
	apply := func(i int, c Command) {
		c.Time = time.Duration(i) * time.Millisecond
		encoded, err := EncodeCommand(&c)
		if err != nil {
			b.Fatal(err)
		}
		bytes += len(encoded)
		if err, failed := r.Apply(r.Index()+1, encoded).(error); failed {
			b.Fatal(err)
		}
	}
	for i := range b.N {
		key, request := fmt.Sprintf("key-%016d", i), message.RequestID(fmt.Sprintf("entry-pinecrest-%016d", i))
		apply(i, Command{BeginCall: &BeginCall{Caller: "front-desk", Key: key, BodyDigest: fmt.Sprintf("%064d", i),
			Request: request}})
		apply(i, Command{FinishCall: &FinishCall{Caller: "front-desk", Key: key, Request: request,
			Response: message.RecordedResponse{Status: 200, Body: make([]byte, 1024)}}})
	}
	b.StopTimer()
	start := time.Now()
	image := r.Image()
	captureTime := time.Since(start)
	snapshot, err := image.Encode()
	if err != nil {
		b.Fatal(err)
	}
	b.ReportMetric(float64(bytes)/float64(b.N), "log-B/op")
	b.ReportMetric(float64(len(snapshot))/float64(r.Calls()), "snapshot-B/call")
	b.ReportMetric(float64(time.Since(start).Microseconds())/float64(r.Calls()), "snapshot-us/call")
	b.ReportMetric(float64(captureTime.Nanoseconds())/float64(r.Calls()), "captured-ns/call")
}
