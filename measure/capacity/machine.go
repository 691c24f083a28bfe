package capacity

import (
	"os"
	"runtime"
	"strconv"
	"strings"
)

// Machine describes where a run took place.
type Machine struct {
	Processor   string
	Processors  int
	GOMAXPROCS  int
	MemoryBytes int64
	Kernel      string
	Go          string
	// LoadAverage is the load average at the start of the run. Other load on the
	// machine distorts the measured times.
	LoadAverage string
}

// readMachine returns what the kernel reports. Fields that cannot be read stay
// empty.
func readMachine() Machine {
	m := Machine{Processors: runtime.NumCPU(), GOMAXPROCS: runtime.GOMAXPROCS(0), Go: runtime.Version()}
	m.Processor = procField("/proc/cpuinfo", "model name")
	if kb, err := strconv.ParseInt(strings.TrimSuffix(procField("/proc/meminfo", "MemTotal"), " kB"), 10, 64); err == nil {
		m.MemoryBytes = kb << 10
	}
	m.Kernel = "Linux " + strings.TrimSpace(readText("/proc/sys/kernel/osrelease"))
	if load := strings.Fields(readText("/proc/loadavg")); len(load) > 0 {
		m.LoadAverage = load[0]
	}
	return m
}

func readText(path string) string {
	// A file that cannot be read leaves its fields of the report empty.
	text, _ := os.ReadFile(path)
	return string(text)
}

func procField(path, name string) string {
	for _, line := range strings.Split(readText(path), "\n") {
		key, value, ok := strings.Cut(line, ":")
		if ok && strings.TrimSpace(key) == name {
			return strings.TrimSpace(value)
		}
	}
	return ""
}
