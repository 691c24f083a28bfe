package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// site holds the figures of a small deployment, as the pages give them for lsl-booking.
const (
	memoryMB      = 134
	contactWindow = 3 * time.Second
	graceSeconds  = 8
	ackTime       = 4 * time.Second
)

// machine is one machine of the deployment, at a loopback address of its own.
type machine struct {
	name, ip, zone string
	disk           bool
}

// process is a daemon that the platform started.
type process struct {
	machine *machine
	role    string
	cmd     *exec.Cmd
	done    chan struct{}
}

// platform starts daemons with rendered settings, and serves the list of replicas.
type platform struct {
	root, folder, prefix string
	ports                ports
	seeds                []*machine
	zones                map[string]string
	record               *recorder

	mu        sync.Mutex
	replicas  []*replica
	processes []*process
	list      *http.Server
}

// ports are the same on all machines.
type ports struct{ front, ready, control, internal, list, app int }

// newPlatform finds free loopback addresses and ports and serves the list of replicas.
func newPlatform(record *recorder) (*platform, error) {
	root, err := filepath.Abs(filepath.Join("..", ".."))
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	p := &platform{root: root, folder: folder, record: record, zones: map[string]string{}}
	pid := os.Getpid()
	p.prefix = fmt.Sprintf("127.%d.%d.", 16+pid%200, 1+(pid/200)%250)
	base := 20000 + pid%20000
	for ; ; base++ {
		if base > 60000 {
			return nil, errors.New("no free ports")
		}
		p.ports = ports{front: base, ready: base + 1, control: base + 2, list: base + 3, app: base + 4, internal: base + 10}
		if p.portsFree() {
			break
		}
	}
	l, err := net.Listen("tcp", p.address(250, p.ports.list))
	if err != nil {
		return nil, err
	}
	p.list = &http.Server{Handler: http.HandlerFunc(p.serveList)}
	go func() { _ = p.list.Serve(l) }()
	return p, nil
}

func (p *platform) address(host, port int) string {
	return fmt.Sprintf("%s%d:%d", p.prefix, host, port)
}

// portsFree reports whether all ports of the deployment are free on this computer.
func (p *platform) portsFree() bool {
	for offset := 0; offset < 32; offset++ {
		l, err := net.Listen("tcp", fmt.Sprintf("0.0.0.0:%d", p.ports.front+offset))
		if err != nil {
			return false
		}
		_ = l.Close()
	}
	return true
}

// addMachine adds a machine in a zone.
func (p *platform) addMachine(host int, zone string, disk bool) *machine {
	p.zones[zone] = "great-lakes"
	return &machine{name: fmt.Sprintf("front-%s-%d", zone, host), ip: fmt.Sprintf("%s%d", p.prefix, host), zone: zone, disk: disk}
}

func (p *platform) serveList(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/replicas" {
		http.NotFound(w, r)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	zone := r.URL.Query().Get("zone")
	entries := []any{}
	for _, replica := range p.replicas {
		if zone == "" || replica.zone == zone {
			entries = append(entries, replica.entry())
		}
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"instances": entries, "next": nil})
}

// settings returns the values from which the settings of a process are rendered.
func (p *platform) settings(m *machine, role string, first bool) map[string]string {
	var seeds []string
	for _, seed := range p.seeds {
		seeds = append(seeds, fmt.Sprintf("%s:%d", seed.ip, p.ports.control))
	}
	values := map[string]string{
		"node-name": m.name, "role": role, "ip": m.ip, "zone": m.zone, "internal-port-range.0": fmt.Sprint(p.ports.internal),
		"seeds": strings.Join(seeds, ","), "bootstrap": fmt.Sprint(first), "bounds.grace-s": fmt.Sprint(graceSeconds),
		"cloud-api.address": p.address(250, p.ports.list), "cloud-api.rate-per-s": "40.0",
		"fault-tolerance.machines": "1", "fault-tolerance.zones": "0", "fault-tolerance.regions": "0",
		"limits.cpu-share": "0.72", "limits.memory-mb": fmt.Sprint(memoryMB),
		"bounds.retry-budget-ratio": "0.2", "bounds.budget-slack": "58", "bounds.budget-window-s": "10",
		"bounds.revoke-fail-closed": "true", "bounds.revoke-ms": "5000",
	}
	switch role {
	case "entry":
		values["listen.front"] = fmt.Sprintf("%s:%d", m.ip, p.ports.front)
		values["listen.ready"] = fmt.Sprintf("%s:%d", m.ip, p.ports.ready)
	case "control":
		values["listen.control"] = fmt.Sprintf("%s:%d", m.ip, p.ports.control)
		if m.disk {
			values["data-dir"] = filepath.Join(p.folder, m.name)
		}
	}
	return values
}

var placeholder = regexp.MustCompile(`{{([a-z0-9.-]+)}}`)

// render fills in deploy/settings.ini.
func (p *platform) render(values map[string]string) (string, error) {
	template, err := os.ReadFile(filepath.Join(p.root, "deploy", "settings.ini"))
	if err != nil {
		return "", err
	}
	text := string(template)
	before, rest, found := strings.Cut(text, "{{#zones}}")
	section, after, closed := strings.Cut(rest, "{{/zones}}")
	if !found || !closed {
		return "", errors.New("deploy/settings.ini has no section of zones")
	}
	zones := ""
	for zone, region := range p.zones {
		zones += strings.NewReplacer("{{@}}", zone, "{{.}}", region).Replace(section)
	}
	text = before + zones + after
	return placeholder.ReplaceAllStringFunc(text, func(name string) string {
		return values[strings.Trim(name, "{}")]
	}), nil
}

// command returns the words of the command of a role in deploy/system.toml.
func (p *platform) command(role string) ([]string, error) {
	deploy, err := os.ReadFile(filepath.Join(p.root, "deploy", "system.toml"))
	if err != nil {
		return nil, err
	}
	_, section, found := strings.Cut(string(deploy), "[roles."+role+"]")
	match := regexp.MustCompile(`(?m)^run = "([^"]+)"`).FindStringSubmatch(section)
	if !found || match == nil {
		return nil, fmt.Errorf("deploy/system.toml has no role %s", role)
	}
	return strings.Fields(match[1]), nil
}

// start starts a daemon of a role on a machine.
func (p *platform) start(m *machine, role string, first bool) (*process, error) {
	text, err := p.render(p.settings(m, role, first))
	if err != nil {
		return nil, err
	}
	path := filepath.Join(p.folder, m.name+"-"+role+".ini")
	if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
		return nil, err
	}
	words, err := p.command(role)
	if err != nil {
		return nil, err
	}
	log, err := os.OpenFile(filepath.Join(p.folder, m.name+"-"+role+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command(filepath.Join(p.root, words[0]), words[1:]...)
	cmd.Dir, cmd.Stdout, cmd.Stderr = p.root, log, log
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "ARBUTUSMAST_BOOT=" + path}
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	started := &process{machine: m, role: role, cmd: cmd, done: make(chan struct{})}
	go func() {
		_ = cmd.Wait()
		close(started.done)
	}()
	p.mu.Lock()
	p.processes = append(p.processes, started)
	p.mu.Unlock()
	p.record.note("platform", "%s on %s started, pid %d", role, m.name, cmd.Process.Pid)
	return started, nil
}

// running reports whether a process has not ended.
func (s *process) running() bool {
	select {
	case <-s.done:
		return false
	default:
		return true
	}
}

// signal sends a signal to a process that this platform started.
func (s *process) signal(signal syscall.Signal) {
	if s.running() {
		_ = s.cmd.Process.Signal(signal)
	}
}

// stop ends everything that the platform started.
func (p *platform) stop() {
	for _, s := range p.processes {
		s.signal(syscall.SIGKILL)
	}
	for _, s := range p.processes {
		<-s.done
	}
	for _, replica := range p.replicas {
		replica.crash()
	}
	_ = p.list.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(p.folder)
	} else {
		fmt.Println("logs are kept in", p.folder)
	}
}

// waitReady waits until a front machine answers its readiness probe with 200.
func (p *platform) waitReady(m *machine, timeout time.Duration) bool {
	client := &http.Client{Timeout: 500 * time.Millisecond}
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		response, err := client.Get(fmt.Sprintf("http://%s:%d/readiness", m.ip, p.ports.ready))
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return true
		}
	}
	return false
}

// put sends a desired state to a control machine and returns the status, 0 for no answer.
func (p *platform) put(m *machine, document string) (int, string) {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Post(fmt.Sprintf("http://%s:%d/Config.Put", m.ip, p.ports.control), "application/json", strings.NewReader(document))
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	text := make([]byte, 300)
	n, _ := response.Body.Read(text)
	return response.StatusCode, strings.TrimSpace(string(text[:n]))
}

// putUntilAcked sends a desired state again until a control machine acknowledges it.
func (p *platform) putUntilAcked(machines []*machine, document string, timeout time.Duration) bool {
	end := time.Now().Add(timeout)
	for try := 0; time.Now().Before(end); try++ {
		m := machines[try%len(machines)]
		if status, text := p.put(m, document); status == http.StatusOK {
			p.record.note("operator", "desired state acknowledged by %s", m.name)
			return true
		} else if try < 3*len(machines) {
			p.record.note("operator", "%s answered %d %s", m.name, status, text)
		}
		time.Sleep(200 * time.Millisecond)
	}
	return false
}
