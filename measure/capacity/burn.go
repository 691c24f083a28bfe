package capacity

import (
	"fmt"
	"runtime"
	"time"

	"arbutusmast.example/arbutusmast/burnreport"
	"arbutusmast.example/arbutusmast/core/burn"
	"arbutusmast.example/arbutusmast/core/contract"
	"arbutusmast.example/arbutusmast/observe"
)

// burnEvents is the number of events that one timed loop records.
const burnEvents = 400_000

// objectives returns n objectives on the time between tokens. Objectives of this
// kind keep a histogram and get an event for each token.
func objectives(n int) []contract.Objective {
	list := make([]contract.Objective, n)
	for i := range list {
		list[i] = contract.Objective{
			Name: fmt.Sprint(i), Service: fmt.Sprintf("service-%d", i%fleetModels),
			Kind:  contract.ObjectiveBetweenTokens,
			Bound: 59*time.Millisecond + time.Duration(i), Target: 0.95,
		}
	}
	return list
}

// measureBurn measures the cost of an entry's burn objectives.
func measureBurn(b *bench) error {
	var memory, cpu, metric []Point
	events := burnEvents
	if b.quick {
		events = 1000
	}
	for _, n := range b.sizes([]int{6, 12, 24, 48}, []int{1, 2, 3}) {
		memory = append(memory, Point{float64(n), recorderMemory(n)})
		collector := burnreport.NewCollector("capacity", nil)
		collector.SetObjectives(objectives(n))
		cpu = append(cpu,
			Point{float64(n), nanosecondsPerCall(events, func(i int) { collector.Record(tokenEvent(i)) })})
		histogram := observe.NewMetrics().Histogram("between_tokens_seconds")
		metric = append(metric,
			Point{float64(n), nanosecondsPerCall(events, func(i int) { histogram.Record(tokenEvent(i).Duration) })})
	}
	b.addSlope(burnObjectiveMemory, "objectives", "bytes with all slots in use", memory)
	b.addSlope(burnEventCPU, "objectives", "ns/event", cpu)
	b.addSlope(metricEventCPU, "objectives", "ns/histogram value", metric)
	return nil
}

// tokenEvents are built once, so that the timed loops only record them.
var tokenEvents = func() []burn.Event {
	events := make([]burn.Event, 1024*fleetModels)
	for i := range events {
		events[i] = burn.Event{
			Kind: contract.ObjectiveBetweenTokens, Service: fmt.Sprintf("service-%d", i%fleetModels),
			TeamClass: "standard",
			Duration:  25*time.Millisecond + time.Duration(i*7919%50000)*time.Microsecond, BackendServer: "server-001",
		}
	}
	return events
}()

// tokenEvent returns the i-th event. The times between tokens range from 25 to
// 75 ms.
func tokenEvent(i int) burn.Event { return tokenEvents[i%len(tokenEvents)] }

// recorderMemory returns the memory of a recorder with n objectives and events in
// all its slots.
func recorderMemory(n int) float64 {
	before := liveBytes()
	now := time.Unix(1785000000, 0)
	recorder := burn.NewRecorder(now)
	recorder.SetObjectives(objectives(n))
	// The longest window is 72 h. Steps of 13 min fill each slot of the longer
	// windows. The events of the last 5 min fill the slots of the shortest.
	for at := time.Duration(0); at < 72*time.Hour; at += 13 * time.Minute {
		for i := range 20 * fleetModels {
			recorder.Record(now.Add(at), tokenEvent(i*37+int(at/time.Minute)))
		}
	}
	for at := 72 * time.Hour; at < 72*time.Hour+5*time.Minute; at += 5 * time.Second {
		for i := range 20 * fleetModels {
			recorder.Record(now.Add(at), tokenEvent(i*37+int(at/time.Second)))
		}
	}
	used := liveBytes() - before
	runtime.KeepAlive(recorder)
	return used
}

// nanosecondsPerCall returns the mean time of a call in a sequential loop.
func nanosecondsPerCall(calls int, call func(i int)) float64 {
	started := time.Now()
	for i := range calls {
		call(i)
	}
	return float64(time.Since(started).Nanoseconds()) / float64(calls)
}
