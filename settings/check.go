package settings

import (
	"fmt"
	"net/netip"
	"slices"
	"sort"
)

// exampleKeySHA256 are the digests of the credentials in the example files, which
// are public: "replace-this-credential" and "quickstart".
var exampleKeySHA256 = []string{
	"c6fc9c1d12cb3e549d97671dfdf2181cd7e32deed6e0f11710128e2522530c6f",
	"ed4f0b24c45258342c1851760d29b3f5eafedafde021ae3bad6af8aa7466ae3e",
}

// maxControlMembers is the maximum number of hosts dedicated to the control group.
const maxControlMembers = 8

// check reports missing settings and combinations of settings that are invalid.
func (p *parser) check(s *Settings) {
	p.checkDaemon(s)
	p.checkRoleSections(s)
	if s.Daemon.Has(RoleEntry) {
		p.require("entry", "listen", "role entry needs an address for callers")
		p.require("daemon", "ops_listen",
			"role entry needs an address for /readyz, by which load balancers detect a drain")
		if s.Entry.StartTimeout > s.Entry.RequestTimeout {
			p.fault("entry", "start_timeout", "%v is longer than request_timeout, %v", s.Entry.StartTimeout, s.Entry.RequestTimeout)
		}
	}
	if s.Daemon.Has(RoleAgent) {
		p.require("agent", "link_listen", "role agent needs an address for token links")
	}
	if s.Daemon.Has(RoleControl) {
		p.checkControl(s)
	}
	if s.Daemon.Has(RoleStandin) && len(s.Standins) == 0 {
		p.fault("daemon", "roles", "role standin needs at least one section [standin NAME]")
	}
	p.checkTLS()
	p.checkListeners(s)
}

// require reports a problem if a key is missing.
func (p *parser) require(section, key, problem string) {
	if !p.has(section, key) {
		p.fault(section, key, "%s", problem)
	}
}

func (p *parser) checkDaemon(s *Settings) {
	d := s.Daemon
	if !p.has("daemon", "roles") {
		p.fault("daemon", "roles", "at least one of entry, agent, control, standin is required")
	}
	if d.Host == "" {
		p.fault("daemon", "host", "a value is required")
	}
	if !d.Has(RoleEntry) && !d.Has(RoleAgent) && !d.Has(RoleControl) {
		return
	}
	if d.FailureDomain == "" {
		p.fault("daemon", "failure_domain", "a value is required")
	}
	p.require("daemon", "peer_listen", "roles entry, agent and control need an address for other daemons")
	if p.has("daemon", "control_addresses") {
		return
	}
	if !d.Has(RoleControl) || s.Control.Join {
		p.fault("daemon", "control_addresses", "the peer addresses of the control members are required")
		return
	}
	for _, id := range memberIDs(s.Control.Members) {
		s.Daemon.ControlAddresses = append(s.Daemon.ControlAddresses, s.Control.Members[id])
	}
}

// checkRoleSections reports sections that have no effect because the daemon does
// not have their role.
func (p *parser) checkRoleSections(s *Settings) {
	if !p.has("daemon", "roles") {
		return
	}
	for _, role := range []Role{RoleEntry, RoleAgent, RoleControl} {
		if section := string(role); p.has(section, "") && !s.Daemon.Has(role) {
			p.fault(section, "", "the section has no effect, because roles does not list %s", role)
		}
	}
	for _, standin := range s.Standins {
		if !s.Daemon.Has(RoleStandin) {
			p.fault(standinPrefix+standin.Name, "", "the section has no effect, because roles does not list standin")
		}
	}
}

func (p *parser) checkControl(s *Settings) {
	c := s.Control
	p.require("control", "data_folder", "role control needs a folder for its log")
	p.require("control", "member_id", "role control needs a member id")
	if c.Join {
		if p.has("control", "bootstrap_folder") {
			p.fault("control", "bootstrap_folder", "a member that joins receives the configuration from the group")
		}
	} else {
		p.require("control", "members", "role control needs the initial members of the group, or join = true")
		if _, ok := c.Members[c.MemberID]; !ok && p.has("control", "members") && c.MemberID != 0 {
			p.fault("control", "members", "the own member %d is not listed", c.MemberID)
		}
	}
	if len(c.Members) > maxControlMembers {
		p.fault("control", "members", "%d members exceed the limit of %d", len(c.Members), maxControlMembers)
	}
	if c.OperatorKeySHA256 == "" && s.Daemon.PeerListen != "" && !isLoopback(s.Daemon.PeerListen) {
		p.fault("control", "operator_key_sha256",
			"a control member that is reachable from other hosts needs the operators' credential")
	}
}

func (p *parser) checkTLS() {
	pairs := [][2]string{
		{"caller_cert", "caller_key"}, {"caller_key", "caller_cert"},
		{"peer_cert", "peer_key"}, {"peer_cert", "peer_ca"},
		{"peer_key", "peer_cert"}, {"peer_ca", "peer_cert"},
	}
	for _, pair := range pairs {
		if p.has("tls", pair[0]) && !p.has("tls", pair[1]) {
			p.fault("tls", pair[1], "%s is given, so a value is required", pair[0])
		}
	}
}

// listener is one address that a daemon listens on. exposure is the risk of the
// listener if other hosts can reach it. It is empty if TLS protects the listener.
type listener struct {
	section, key, address, exposure string
}

// listeners returns all listeners, including those without an address.
func (s *Settings) listeners() []listener {
	callerExposure, peerExposure := "callers' keys cross the network unencrypted", "any host can act as a daemon"
	if s.TLS.CallerCert != "" {
		callerExposure = ""
	}
	if s.TLS.PeerCert != "" {
		peerExposure = ""
	}
	all := []listener{
		{"daemon", "peer_listen", s.Daemon.PeerListen, peerExposure},
		{"daemon", "ops_listen", s.Daemon.OpsListen, "any host can read metrics and profiles"},
		{"entry", "listen", s.Entry.Listen, callerExposure},
		{"agent", "link_listen", s.Agent.LinkListen, peerExposure},
	}
	for _, standin := range s.Standins {
		all = append(all, listener{standinPrefix + standin.Name, "listen", standin.Listen,
			"stand-ins have no access control"})
	}
	return all
}

// checkListeners reports listeners with the same address. Port 0 is exempt,
// because the kernel chooses a free port.
func (p *parser) checkListeners(s *Settings) {
	byAddress := map[string]listener{}
	for _, l := range s.listeners() {
		address, err := netip.ParseAddrPort(l.address)
		if err != nil || address.Port() == 0 {
			continue
		}
		if other, ok := byAddress[address.String()]; ok {
			p.fault(l.section, l.key, "[%s] %s already listens on %s", other.section, other.key, l.address)
			continue
		}
		byAddress[address.String()] = l
	}
}

// addWarnings adds the warnings about settings that work but are unsafe.
func (p *parser) addWarnings(s *Settings) {
	addWarning := func(section, key, format string, args ...any) {
		f := Fault{p.file, p.lines[keyPath{section, key}], section, key, fmt.Sprintf(format, args...)}
		s.Warnings = append(s.Warnings, f.String())
	}
	for _, l := range s.listeners() {
		if l.address != "" && l.exposure != "" && !isLoopback(l.address) {
			addWarning(l.section, l.key, "%s is not a loopback address and has no TLS: %s", l.address, l.exposure)
		}
	}
	if !s.Daemon.Has(RoleControl) {
		return
	}
	if s.Control.OperatorKeySHA256 == "" {
		addWarning("control", "operator_key_sha256",
			"no credential is set, so any local process can change the configuration")
	}
	if slices.Contains(exampleKeySHA256, s.Control.OperatorKeySHA256) && !isLoopback(s.Daemon.PeerListen) {
		addWarning("control", "operator_key_sha256", "the credential is the public one from an example file")
	}
	own, ok := s.Control.Members[s.Control.MemberID]
	listen, err := netip.ParseAddrPort(s.Daemon.PeerListen)
	if ok && err == nil && !listen.Addr().IsUnspecified() && own != s.Daemon.PeerListen {
		addWarning("control", "members", "the own address %s differs from peer_listen, %s", own, s.Daemon.PeerListen)
	}
}

// isLoopback reports whether an IP address with a port is a loopback address.
func isLoopback(address string) bool {
	a, err := netip.ParseAddrPort(address)
	return err == nil && a.Addr().IsLoopback()
}

// memberIDs returns the ids of the members in ascending order.
func memberIDs(members map[uint64]string) []uint64 {
	ids := make([]uint64, 0, len(members))
	for id := range members {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	return ids
}
