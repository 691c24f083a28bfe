package main

import (
	"errors"
	"fmt"
	"math/rand"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Offsets of the ports of a machine from the first of the ports between daemons.
const (
	internalPorts = 16
	portFront     = 20
	portReady     = 21
	portControl   = 22
	portReplica   = 23
	portList      = 24
	lowestPort    = 20000
	highestPort   = 32000
)

const (
	zone   = "hall-a"
	region = "region-a"
)

// system is a deployment: front machines with a disk that run control and entry, and side machines.
type system struct {
	*record
	folder    string
	firstPort int
	subnet    int
	platform  *platform

	mu        sync.Mutex
	processes map[string]*process
	fronts    []string
	// settings holds further fields of the platform's settings, by name.
	settings map[string]string
}

// process is a running daemon.
type process struct {
	command *exec.Cmd
	exited  chan struct{}
}

func newSystem(rec *record) (*system, error) {
	folder, err := os.MkdirTemp("", "review-rig-")
	if err != nil {
		return nil, err
	}
	s := &system{record: rec, folder: folder, processes: map[string]*process{}, settings: map[string]string{}}
	for try := 0; try < 100 && s.platform == nil; try++ {
		s.subnet, s.firstPort = 20+rand.Intn(200), lowestPort+50*rand.Intn((highestPort-lowestPort)/50)
		s.platform, err = newPlatform(s, s.address("127.0.0.1", portList))
	}
	return s, err
}

// address returns an address of a machine by the offset of its port.
func (s *system) address(ip string, offset int) string {
	return fmt.Sprintf("%s:%d", ip, s.firstPort+offset)
}

// frontIP and sideIP return the addresses of machines.
func (s *system) frontIP(n int) string { return fmt.Sprintf("127.%d.1.%d", s.subnet, 10+n) }
func (s *system) sideIP(n int) string  { return fmt.Sprintf("127.%d.2.%d", s.subnet, 10+n) }

// startFronts starts n front machines with a disk, each with a control process and an entry.
func (s *system) startFronts(n int) error {
	for i := range n {
		s.fronts = append(s.fronts, s.frontIP(i))
	}
	for _, ip := range s.fronts {
		if err := s.start("control", ip, true, "", ""); err != nil {
			return err
		}
		if err := s.start("entry", ip, true, "", ""); err != nil {
			return err
		}
	}
	return nil
}

// fields returns the fields of the platform's settings of one process.
func (s *system) fields(role, ip string, firstStart bool, app, service string) map[string]string {
	var seeds []string
	for i := range min(3, len(s.fronts)) {
		seeds = append(seeds, s.address(s.fronts[i], portControl))
	}
	f := map[string]string{
		"node-name": role + "-" + ip, "role": role, "ip": ip, "zone": zone, "internal-port-range.0": fmt.Sprint(s.firstPort),
		"seeds": strings.Join(seeds, ","), "bootstrap": fmt.Sprint(firstStart), "data-dir": "", "bounds.grace-s": "8",
		"cloud-api.address": s.platform.address, "cloud-api.rate-per-s": "40.0",
		"fault-tolerance.machines": "1", "fault-tolerance.zones": "0", "fault-tolerance.regions": "0",
		"limits.cpu-share": "0.72", "limits.memory-mb": "134", "bounds.retry-budget-ratio": "0.2", "bounds.budget-slack": "58",
		"bounds.budget-window-s": "10", "bounds.revoke-fail-closed": "true", "bounds.revoke-ms": "5000",
		"contracts": "base,drain,config,cost,retry,recover,engine,stream,tenants",
	}
	switch role {
	case "control":
		f["listen.control"], f["data-dir"] = s.address(ip, portControl), filepath.Join(s.folder, "data-"+ip)
	case "entry":
		f["listen.front"], f["listen.ready"] = s.address(ip, portFront), s.address(ip, portReady)
	case "agent":
		f["app"], f["service"] = app, service
	}
	for name, value := range s.settings {
		f[name] = value
	}
	return f
}

var (
	zonesSection = regexp.MustCompile(`(?s)\{\{#zones\}\}(.*?)\{\{/zones\}\}`)
	placeholder  = regexp.MustCompile(`\{\{([a-z0-9.-]+)\}\}`)
)

// render fills in the template of the deploy file as the platform does, as far as the template needs it.
func render(template string, fields map[string]string) string {
	text := zonesSection.ReplaceAllStringFunc(template, func(section string) string {
		body := zonesSection.FindStringSubmatch(section)[1]
		return strings.NewReplacer("{{@}}", zone, "{{.}}", region).Replace(body)
	})
	return placeholder.ReplaceAllStringFunc(text, func(p string) string { return fields[strings.Trim(p, "{}")] })
}

// start starts a process of a role.
func (s *system) start(role, ip string, firstStart bool, app, service string) error {
	template, err := os.ReadFile("deploy/settings.ini")
	if err != nil {
		return err
	}
	name := role + "-" + ip
	path := filepath.Join(s.folder, name+".ini")
	if err := os.WriteFile(path, []byte(render(string(template), s.fields(role, ip, firstStart, app, service))), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(s.folder, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	p := &process{command: exec.Command("target/arbutusmast", "-platform"), exited: make(chan struct{})}
	p.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + s.folder, "LANG=C", "ARBUTUSMAST_BOOT=" + path}
	p.command.Stdout, p.command.Stderr = log, log
	if err := p.command.Start(); err != nil {
		return err
	}
	go func() {
		_ = p.command.Wait()
		close(p.exited)
	}()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.processes[name] = p
	return nil
}

// signal sends a signal to a process.
func (s *system) signal(role, ip string, signal syscall.Signal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p := s.processes[role+"-"+ip]; p != nil {
		s.printf("%v to %s-%s", signal, role, ip)
		_ = p.command.Process.Signal(signal)
	}
}

// logOf returns what a process has logged.
func (s *system) logOf(role, ip string) string {
	text, _ := os.ReadFile(filepath.Join(s.folder, role+"-"+ip+".log"))
	return string(text)
}

// await calls ready until it returns true.
func await(what string, limit time.Duration, ready func() bool) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if ready() {
			return nil
		}
	}
	return errors.New("waited in vain for " + what)
}

// close ends all processes that were started, and removes the folder.
func (s *system) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.processes {
		_ = p.command.Process.Signal(syscall.SIGCONT)
		_ = p.command.Process.Kill()
		<-p.exited
	}
	if os.Getenv("KEEP") != "" {
		s.printf("logs are kept in %s", filepath.Base(s.folder))
		return
	}
	_ = os.RemoveAll(s.folder)
}

// listen listens on an address of this machine.
func listen(address string) (net.Listener, error) { return net.Listen("tcp", address) }
