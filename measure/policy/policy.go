// Package policy compares scheduling policies by simulation on virtual time. It
// drives a small fleet of simulated engines with the traffic of the two users'
// sites, runs the policy of core/placement and core/admission, two baselines and
// an oracle, and prints one table. docs/policy.md defines the metrics.
package policy

import (
	"io"
	"math/rand"
	"runtime"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Options selects what Run measures. A field with the zero value gets its
// default.
type Options struct {
	// Seeds is the number of consecutive seeds, FirstSeed the first of them.
	Seeds     int
	FirstSeed int64
	// Loads are fractions of the capacity of a site; 1 is 100%.
	Loads []float64
	// Sites and Policies filter by name. Empty lists select all.
	Sites, Policies []string
	// Shapes are the shapes of the arrival rate, "steady" and "rush". An empty
	// list that is not nil measures faults only.
	Shapes []string
	// Faults are the names of the faults to inject, at FaultLoad. "none" measures
	// that load without a fault. An empty list measures no faults.
	Faults    []string
	FaultLoad float64
	// Horizon is the virtual time during which requests arrive.
	Horizon time.Duration
	// HeldOut selects traffic that was not used to tune the policy, and other
	// seeds unless FirstSeed is set.
	HeldOut bool
	// Workers is the number of concurrent runs.
	Workers int
	// JSON selects JSON output instead of the table.
	JSON bool
}

// Defaults of Options.
const (
	defaultSeeds   = 10
	defaultHorizon = 480 * time.Second
	maxWorkers     = 4
	heldOutSeed    = 1001
)

func (o Options) withDefaults() Options {
	if o.Seeds == 0 {
		o.Seeds = defaultSeeds
	}
	if o.FirstSeed == 0 {
		o.FirstSeed = 1
		if o.HeldOut {
			o.FirstSeed = heldOutSeed
		}
	}
	if o.Loads == nil {
		o.Loads = []float64{0.5, 0.8, 1, 1.5, 2}
	}
	if o.Shapes == nil {
		o.Shapes = []string{"steady", "rush"}
	}
	if o.FaultLoad == 0 {
		o.FaultLoad = 0.8
	}
	if o.Horizon == 0 {
		o.Horizon = defaultHorizon
	}
	if o.Workers == 0 {
		o.Workers = min(maxWorkers, runtime.NumCPU())
	}
	return o
}

// policies lists the policies in the order of the table.
var policies = []struct {
	name         string
	newScheduler func(*run) scheduler
}{
	{"round-robin", newRoundRobin},
	{"least-loaded", newLeastLoaded},
	{"adaptive", newAdaptive},
	{"oracle", newOracle},
}

// job describes one row of the table.
type job struct {
	site         siteSpec
	load         float64
	shape        string
	policy       string
	newScheduler func(*run) scheduler
}

// Run performs the measurements that options selects and writes the table, or
// its JSON form, to w.
func Run(w io.Writer, options Options) error {
	o := options.withDefaults()
	if err := o.validate(); err != nil {
		return err
	}
	jobs := o.jobs()
	rows := o.measure(jobs)
	if o.JSON {
		return writeJSON(w, o, rows)
	}
	return writeTable(w, o, rows)
}

// validate returns an error if a site, policy, shape or fault is unknown.
func (o Options) validate() error {
	known := map[string][]string{"shape": {"steady", "rush"}, "fault": {"none"}}
	for _, s := range sites() {
		known["site"] = append(known["site"], s.name)
	}
	for _, p := range policies {
		known["policy"] = append(known["policy"], p.name)
	}
	for _, f := range faults {
		known["fault"] = append(known["fault"], f.name)
	}
	for kind, names := range map[string][]string{
		"site": o.Sites, "policy": o.Policies, "shape": o.Shapes, "fault": o.Faults,
	} {
		for _, name := range names {
			if !slices.Contains(known[kind], name) {
				return errors.Errorf("unknown %s %q", kind, name)
			}
		}
	}
	return nil
}

func (o Options) jobs() []job {
	var jobs []job
	all := sites()
	if o.HeldOut {
		all = heldOutSites()
	}
	for _, site := range all {
		if !selected(o.Sites, site.name) {
			continue
		}
		add := func(shape string, load float64) {
			for _, p := range policies {
				if selected(o.Policies, p.name) {
					jobs = append(jobs, job{site, load, shape, p.name, p.newScheduler})
				}
			}
		}
		for _, shape := range o.Shapes {
			for _, load := range o.Loads {
				add(shape, load)
			}
		}
		for _, fault := range o.Faults {
			add(fault, o.FaultLoad)
		}
	}
	return jobs
}

func selected(names []string, name string) bool {
	return len(names) == 0 || slices.Contains(names, name)
}

// measure runs all jobs with all seeds. The results do not depend on the number
// of workers.
func (o Options) measure(jobs []job) []Row {
	capacity := map[string]float64{}
	for _, j := range jobs {
		if _, ok := capacity[j.site.name]; !ok {
			site := j.site
			capacity[site.name] = measureCapacity(&site)
		}
	}
	results := make([][]Metrics, len(jobs))
	type task struct{ job, seed int }
	tasks := make(chan task)
	var wg sync.WaitGroup
	for i := 0; i < o.Workers; i++ {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for t := range tasks {
				results[t.job][t.seed] = o.simulate(jobs[t.job], capacity[jobs[t.job].site.name], o.FirstSeed+int64(t.seed))
			}
		}()
	}
	for i := range jobs {
		results[i] = make([]Metrics, o.Seeds)
		for s := 0; s < o.Seeds; s++ {
			tasks <- task{i, s}
		}
	}
	close(tasks)
	wg.Wait()
	rows := make([]Row, len(jobs))
	for i, j := range jobs {
		rows[i] = newRow(j, results[i])
	}
	return rows
}

// warmupFraction is the initial fraction of the horizon whose requests are not
// counted, so that a full engine with long responses in progress is measured.
// drainFraction, also a fraction of the horizon, is the time after it in which
// responses may end.
const (
	warmupFraction = 0.25
	drainFraction  = 0.2
)

// simulate runs one job with one seed. All policies receive the same requests.
func (o Options) simulate(j job, capacity float64, seed int64) Metrics {
	site := j.site
	traffic := site.generateTraffic(rand.New(rand.NewSource(seed)), capacity*j.load,
		plainCapacity(&site)*min(j.load, maxPlainLoad), o.Horizon, j.shape)
	r := newRun(&site, traffic, seed, o.Horizon+time.Duration(drainFraction*float64(o.Horizon)))
	r.collector.warmup = time.Duration(warmupFraction * float64(o.Horizon))
	r.policy = j.newScheduler(r)
	for _, f := range faults {
		if f.name == j.shape {
			f.apply(r, time.Duration(faultStart*float64(o.Horizon)), time.Duration(faultEnd*float64(o.Horizon)))
		}
	}
	r.execute()
	return r.metrics(o.Horizon)
}
