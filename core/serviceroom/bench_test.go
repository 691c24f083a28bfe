package serviceroom

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkRenew measures one renewal of 33 entries at which 4 generations wait each.
func BenchmarkRenew(b *testing.B) {
	l := tightLedger(1_000_000)
	now := start
	var renewals []Renewal
	for i := range simEntries {
		r := Renewal{Entry: fmt.Sprint("entry-", i), Running: map[string]int{}, Generations: 8}
		for j := range 4 {
			r.Running[fmt.Sprint("caller-", (i+j)%simCallers)] = 7500
			d := waiting(uint64(j), fmt.Sprint("caller-", (i*5+j)%simCallers), 3823)
			d.Patience = time.Hour
			r.Waiting = append(r.Waiting, d)
		}
		renewals = append(renewals, r)
	}
	l.SetCapacity(start, Capacity{Engines: 44, Total: 1_000_000, Used: 900_000, Fullest: 26_000})
	for i := 0; b.Loop(); i++ {
		now += 3 * time.Millisecond
		l.Renew(now, renewals[i%simEntries])
	}
}
