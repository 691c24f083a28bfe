package capacity

import (
	"bytes"
	"context"
	"math"
	"runtime"
	"runtime/pprof"
	"syscall"
	"time"

	"github.com/google/pprof/profile"
	"github.com/pkg/errors"
)

// Roles to which processor time is attributed. A goroutine inherits the label of
// the goroutine that starts it.
const (
	roleLeader = "leader"
	roleDaemon = "daemon"
	roleEntry  = "entry"
	roleAgent  = "agent"
	roleCaller = "caller"
	roleEngine = "engine"
)

// phaseDuration is the length of a phase. The CPU profile takes 100 samples/s of
// each processor in use, so a phase has some hundred samples.
const phaseDuration = 2 * time.Second

const roleLabel = "role"

// withRole runs start with the profile label of a role.
func withRole(role string, start func()) {
	pprof.Do(context.Background(), pprof.Labels(roleLabel, role), func(context.Context) { start() })
}

// usage is the processor time of one phase, in seconds.
type usage struct {
	wallSeconds      float64
	cpuSeconds       float64
	cpuSecondsByRole map[string]float64
	samples          int64
}

// processCPUSeconds returns the processor time of this process.
func processCPUSeconds() (float64, error) {
	var r syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &r); err != nil {
		return 0, errors.Wrap(err, "getrusage")
	}
	seconds := func(t syscall.Timeval) float64 { return float64(t.Sec) + float64(t.Usec)*1e-6 }
	return seconds(r.Utime) + seconds(r.Stime), nil
}

// measureIdle measures the processor use of the idle process, which is subtracted
// from each phase. The lowest of several measurements excludes the cost of start-up
// and of the first profile.
func (b *bench) measureIdle() error {
	lowest := math.Inf(1)
	for range 3 {
		u, err := b.measurePhase(func() error {
			time.Sleep(b.duration(time.Second))
			return nil
		})
		if err != nil {
			return err
		}
		lowest = min(lowest, u.cpuSeconds/u.wallSeconds)
	}
	b.idleCores = lowest
	b.report.IdleCores = lowest
	return nil
}

// measurePhase runs work and attributes its processor time to roles. Samples
// without a label are from the runtime, such as scheduling and garbage collection.
// Their time is divided among the roles in proportion to the labeled samples.
func (b *bench) measurePhase(work func() error) (usage, error) {
	runtime.GC()
	var raw bytes.Buffer
	if err := pprof.StartCPUProfile(&raw); err != nil {
		return usage{}, errors.Wrap(err, "start CPU profile")
	}
	started := time.Now()
	before, err := processCPUSeconds()
	if err == nil {
		err = work()
	}
	wall := time.Since(started).Seconds()
	after, afterErr := processCPUSeconds()
	pprof.StopCPUProfile()
	if err != nil {
		return usage{}, err
	}
	if afterErr != nil {
		return usage{}, afterErr
	}
	u := usage{
		wallSeconds: wall, cpuSeconds: max(0, after-before-b.idleCores*wall), cpuSecondsByRole: map[string]float64{},
	}
	return u, u.splitByRole(&raw)
}

func (u *usage) splitByRole(raw *bytes.Buffer) error {
	p, err := profile.Parse(raw)
	if err != nil {
		return errors.Wrap(err, "parse CPU profile")
	}
	labeled := int64(0)
	counts := map[string]int64{}
	for _, s := range p.Sample {
		u.samples += s.Value[0]
		if roles := s.Label[roleLabel]; len(roles) > 0 {
			counts[roles[0]] += s.Value[0]
			labeled += s.Value[0]
		}
	}
	for role, n := range counts {
		u.cpuSecondsByRole[role] = u.cpuSeconds * float64(n) / float64(labeled)
	}
	return nil
}

// liveBytes returns the memory of live heap objects and of stacks after a garbage
// collection.
func liveBytes() float64 {
	// Objects in pools and objects with finalizers are freed only by a second
	// collection.
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}

// microsecondsPerOperation returns the processor time of one operation in µs.
func microsecondsPerOperation(seconds float64, operations int64) float64 {
	if operations == 0 {
		return 0
	}
	return seconds * 1e6 / float64(operations)
}
