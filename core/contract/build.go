package contract

import (
	"fmt"
	"sort"
	"strings"

	"arbutusmast.example/arbutusmast/core/message"
)

// Fault is one validation error of a declaration.
type Fault struct {
	Section string
	Key     string
	Problem string
}

// String returns "[section] key: problem", or "[section]: problem" without a key.
func (f Fault) String() string {
	if f.Key == "" {
		return fmt.Sprintf("[%s]: %s", f.Section, f.Problem)
	}
	return fmt.Sprintf("[%s] %s: %s", f.Section, f.Key, f.Problem)
}

// Build converts sections into a Config. It returns all faults that it finds; if
// there are any, the Config is nil.
func Build(revision message.Revision, sections Sections) (*Config, []Fault) {
	b := &builder{config: &Config{
		Revision:        revision,
		FailureDomains:  map[string]FailureDomain{},
		Hosts:           map[string]Host{},
		BackendServers:  map[string]BackendServer{},
		Services:        map[string]Service{},
		Models:          map[string]Model{},
		Callers:         map[string]Caller{},
		callersByDigest: map[string]string{},
	}}
	headers := make([]string, 0, len(sections))
	for header := range sections {
		headers = append(headers, header)
	}
	sort.Strings(headers)
	for _, header := range headers {
		b.addSection(header, sections[header])
	}
	b.checkReferences()
	if len(b.faults) > 0 {
		return nil, b.faults
	}
	return b.config, nil
}

// builder assembles a Config and collects the faults of its sections.
type builder struct {
	config *Config
	faults []Fault
}

func (b *builder) addFault(section, key, format string, args ...any) {
	b.faults = append(b.faults, Fault{section, key, fmt.Sprintf(format, args...)})
}

func (b *builder) addSection(header string, keys map[string]string) {
	kind, name, ok := strings.Cut(header, " ")
	if !ok || strings.TrimSpace(name) == "" || strings.ContainsAny(name, " \t,") {
		b.addFault(header, "", "the section header must be a kind and one name without spaces or commas")
		return
	}
	r := &sectionReader{builder: b, section: header, keys: keys, used: map[string]bool{}}
	switch kind {
	case "failure-domain":
		b.config.FailureDomains[name] = FailureDomain{Name: name, Region: r.required("region")}
	case "host":
		b.config.Hosts[name] = Host{Name: name, FailureDomain: r.required("failure_domain")}
	case "backend-server":
		b.config.BackendServers[name] = r.backendServer(name)
	case "service":
		b.config.Services[name] = r.service(name)
	case "model":
		b.config.Models[name] = Model{
			Name: name, Service: r.required("service"),
			Versions: r.list("versions"), Adapters: r.list("adapters"),
		}
	case "caller":
		b.addCaller(r, name)
	case "route":
		b.config.Routes = append(b.config.Routes, r.route(name))
	case "objective":
		b.config.Objectives = append(b.config.Objectives, r.objective(name))
	default:
		b.addFault(header, "", "unknown kind %q", kind)
		return
	}
	r.reportUnknownKeys()
}

func (b *builder) addCaller(r *sectionReader, name string) {
	c := r.caller(name)
	if other, taken := b.config.callersByDigest[c.KeySHA256]; taken && c.KeySHA256 != "" {
		b.addFault(r.section, "key_sha256", "the same key belongs to caller %q", other)
	}
	b.config.Callers[name] = c
	b.config.callersByDigest[c.KeySHA256] = name
}

// checkReferences checks that each name that a section refers to is declared.
func (b *builder) checkReferences() {
	c := b.config
	for _, h := range c.Hosts {
		if _, ok := c.FailureDomains[h.FailureDomain]; !ok {
			b.addFault("host "+h.Name, "failure_domain", "%q is not declared", h.FailureDomain)
		}
	}
	for _, s := range c.BackendServers {
		section := "backend-server " + s.Name
		if _, ok := c.Hosts[s.Host]; !ok {
			b.addFault(section, "host", "%q is not declared", s.Host)
		}
		if _, ok := c.Services[s.Service]; !ok {
			b.addFault(section, "service", "%q is not declared", s.Service)
		}
	}
	for _, m := range c.Models {
		if s, ok := c.Services[m.Service]; !ok || s.Kind != KindGeneration {
			b.addFault("model "+m.Name, "service", "%q is not a declared generation service", m.Service)
		}
	}
	for _, r := range c.Routes {
		b.checkRouteReferences(r)
	}
	for _, o := range c.Objectives {
		if _, ok := c.Services[o.Service]; !ok {
			b.addFault("objective "+o.Name, "service", "%q is not declared", o.Service)
		}
	}
	sort.Slice(b.faults, func(i, j int) bool { return b.faults[i].String() < b.faults[j].String() })
}

func (b *builder) checkRouteReferences(r Route) {
	section := "route " + r.Name
	c := b.config
	if _, ok := c.Services[r.Service]; !ok {
		b.addFault(section, "service", "%q is not declared", r.Service)
	}
	for _, name := range r.Callers {
		if _, ok := c.Callers[name]; !ok {
			b.addFault(section, "callers", "%q is not declared", name)
		}
	}
	m, ok := c.Models[r.Model]
	if !ok {
		b.addFault(section, "model", "%q is not declared", r.Model)
		return
	}
	if m.Service != r.Service {
		b.addFault(section, "model", "%q belongs to service %q", r.Model, m.Service)
	}
	if r.Version != "" && !contains(m.Versions, r.Version) {
		b.addFault(section, "version", "model %q declares no version %q", m.Name, r.Version)
	}
	if r.Adapter != "" && !contains(m.Adapters, r.Adapter) {
		b.addFault(section, "adapter", "model %q declares no adapter %q", m.Name, r.Adapter)
	}
}

func contains(list []string, want string) bool {
	for _, s := range list {
		if s == want {
			return true
		}
	}
	return false
}
