// Package settings reads the static settings of a daemon from an INI file.
package settings

import "time"

// Role is a function that a daemon performs. A daemon may have several roles.
type Role string

// Roles of a daemon. RoleStandin runs built-in simulated backend servers for
// trials.
const (
	RoleEntry   Role = "entry"
	RoleAgent   Role = "agent"
	RoleControl Role = "control"
	RoleStandin Role = "standin"
)

// Settings is the content of a settings file.
type Settings struct {
	Daemon  Daemon
	Entry   Entry
	Agent   Agent
	Control Control
	TLS     TLS
	// Standins holds the sections "standin NAME", sorted by name.
	Standins []Standin
	// Warnings holds one line for each setting that works but is unsafe.
	Warnings []string
}

// Daemon is the section "daemon".
type Daemon struct {
	Host          string
	FailureDomain string
	Roles         []Role
	// PeerListen is the address that serves net/rpc calls of other daemons.
	PeerListen string
	// OpsListen is the address that serves health checks, metrics and profiles to
	// operators.
	OpsListen string
	// ControlAddresses are the peer addresses of the control members.
	ControlAddresses []string
	// DrainTimeout limits the time of a graceful shutdown.
	DrainTimeout time.Duration
	LogLevel     string
}

// Has reports whether the daemon has a role.
func (d Daemon) Has(role Role) bool {
	for _, r := range d.Roles {
		if r == role {
			return true
		}
	}
	return false
}

// Entry is the section "entry".
type Entry struct {
	Listen       string
	MaxBodyBytes int64
	// StartTimeout limits the time of one Start call to an agent.
	StartTimeout time.Duration
	// RequestTimeout limits the total time of one generation.
	RequestTimeout time.Duration
	// LedgerRetention is the time for which the ledger keeps a non-idempotent call.
	LedgerRetention time.Duration
	MaxStreams      int
}

// Agent is the section "agent".
type Agent struct {
	// LinkListen is the address that serves token links.
	LinkListen      string
	ReplayBytes     int64
	MaxQueue        int
	ReplayRetention time.Duration
}

// Control is the section "control".
type Control struct {
	DataFolder string
	MemberID   uint64
	// Members maps the ids of the group's initial members to their peer addresses.
	Members map[uint64]string
	// Join is set if the member joins an existing group as a learner.
	Join bool
	// BootstrapFolder is a folder of declarations that is applied if the group does
	// not have a configuration yet.
	BootstrapFolder string
	// OperatorKeySHA256 is the SHA-256 digest of the operators' credential.
	OperatorKeySHA256 string
}

// TLS is the section "tls". Without file names, connections are not encrypted.
type TLS struct {
	CallerCert string
	CallerKey  string
	PeerCert   string
	PeerKey    string
	PeerCA     string
}

// Standin is one section "standin NAME".
type Standin struct {
	Name          string
	Listen        string
	Kind          string
	TokenInterval time.Duration
	MemoryBlocks  int
	BlockTokens   int
	MaxBatch      int
	ChecksFencing bool
}
