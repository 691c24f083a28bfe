package serverhealth

import "time"

// SoundCount is the number of requests of a route that succeeded at a server.
type SoundCount struct {
	Server, Route string
	Count         int
}

// Batch holds what one entry saw at the servers of one service since its last batch.
type Batch struct {
	Service string
	Sound   []SoundCount
	// Samples holds the failures and the outcomes of probes.
	Samples []Sample
	// Dropped is the number of failures that did not fit.
	Dropped int
}

// maxSamples bounds the samples in a batch. At about 60 bytes each and ten batches a second,
// that is 20 KB a second while everything fails.
const maxSamples = 32

// maxSoundCounts bounds the pairs of server and route in a batch whose successes are counted.
const maxSoundCounts = 64

// Collector gathers the outcomes that one entry reports to the other entries. It is not
// safe for concurrent use.
type Collector struct {
	services map[string]*Batch
	urgent   bool
}

// NewCollector returns an empty Collector.
func NewCollector() *Collector { return &Collector{services: map[string]*Batch{}} }

// Add adds an outcome. Failures, probes and what is seen of a server that is not sound should
// be reported soon.
func (c *Collector) Add(service string, sample Sample, sound bool) {
	c.urgent = c.urgent || !sound || sample.Failed
	b := c.services[service]
	if b == nil {
		b = &Batch{Service: service}
		c.services[service] = b
	}
	if sample.Failed || sample.Probe {
		if len(b.Samples) >= maxSamples {
			b.Dropped++
			return
		}
		b.Samples = append(b.Samples, sample)
		return
	}
	for i := range b.Sound {
		if b.Sound[i].Server == sample.Server && b.Sound[i].Route == sample.Route {
			b.Sound[i].Count++
			return
		}
	}
	if len(b.Sound) < maxSoundCounts {
		b.Sound = append(b.Sound, SoundCount{sample.Server, sample.Route, 1})
	}
}

// Urgent reports whether there are outcomes that should be reported soon.
func (c *Collector) Urgent() bool { return c.urgent }

// Empty reports whether there is nothing to report.
func (c *Collector) Empty() bool { return len(c.services) == 0 }

// Take returns what was gathered and empties the Collector.
func (c *Collector) Take() []Batch {
	var batches []Batch
	for _, b := range c.services {
		batches = append(batches, *b)
	}
	clear(c.services)
	c.urgent = false
	return batches
}

// ObserveBatch counts what an entry saw. It returns the servers whose state changed.
func (t *Table) ObserveBatch(now time.Duration, b Batch) (changed []string) {
	for _, s := range b.Sound {
		if t.ObserveSound(now, s.Server, s.Route, s.Count) {
			changed = append(changed, s.Server)
		}
	}
	for _, sample := range b.Samples {
		if t.Observe(now, sample) {
			changed = append(changed, sample.Server)
		}
	}
	return changed
}
