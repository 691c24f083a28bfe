package settings

import (
	"strconv"
	"strings"
	"time"

	"arbutusmast.example/arbutusmast/core/contract"
)

// Defaults of optional settings.
const (
	defaultDrainTimeout    = 30 * time.Second
	defaultLogLevel        = "info"
	defaultMaxBodyBytes    = 1 << 20
	defaultStartTimeout    = 2 * time.Second
	defaultRequestTimeout  = 30 * time.Minute
	defaultLedgerRetention = 24 * time.Hour
	defaultMaxStreams      = 4096
	defaultReplayBytes     = 64 << 20
	defaultReplayRetention = time.Minute
	defaultMaxQueue        = 256
	defaultTokenInterval   = 20 * time.Millisecond
	defaultMemoryBlocks    = 4096
	defaultBlockTokens     = 16
	defaultMaxBatch        = 32
)

// Limits of settings.
const (
	day = 24 * time.Hour
	// minReplayBytes is the size of the replay buffer of one execution.
	minReplayBytes = 512 << 10
	maxReplayBytes = 64 << 30
	minBodyBytes   = 1 << 10
	maxBodyBytes   = 256 << 20
	maxCount       = 1 << 20
)

func (r *sectionReader) daemon() Daemon {
	d := Daemon{
		Host:          r.text("host"),
		FailureDomain: r.text("failure_domain"),
		PeerListen:    r.listenAddress("peer_listen"),
		OpsListen:     r.listenAddress("ops_listen"),
		DrainTimeout:  r.duration("drain_timeout", defaultDrainTimeout, 0, day),
		LogLevel:      r.oneOf("log_level", defaultLogLevel, "debug", "info", "warn", "error"),
	}
	for _, key := range []string{"host", "failure_domain"} {
		if value := r.text(key); value != "" && !validName(value) {
			r.fault(key, "a name must not contain spaces or commas")
		}
	}
	for _, name := range r.list("roles") {
		role := Role(name)
		switch {
		case d.Has(role):
			r.fault("roles", "%q is listed twice", truncate(name))
		case role == RoleEntry || role == RoleAgent || role == RoleControl || role == RoleStandin:
			d.Roles = append(d.Roles, role)
		default:
			r.fault("roles", "%q is not one of entry, agent, control, standin", truncate(name))
		}
	}
	seen := map[string]bool{}
	for _, address := range r.list("control_addresses") {
		if seen[address] {
			r.fault("control_addresses", "%q is listed twice", truncate(address))
			continue
		}
		seen[address] = true
		if r.checkDialAddress("control_addresses", address) {
			d.ControlAddresses = append(d.ControlAddresses, address)
		}
	}
	return d
}

func (r *sectionReader) entry() Entry {
	return Entry{
		Listen:          r.listenAddress("listen"),
		MaxBodyBytes:    r.size("max_body_size", defaultMaxBodyBytes, minBodyBytes, maxBodyBytes),
		StartTimeout:    r.duration("start_timeout", defaultStartTimeout, 10*time.Millisecond, time.Minute),
		RequestTimeout:  r.duration("request_timeout", defaultRequestTimeout, time.Second, day),
		LedgerRetention: r.duration("ledger_retention", defaultLedgerRetention, time.Minute, 30*day),
		MaxStreams:      r.integer("max_streams", defaultMaxStreams, 1, maxCount),
	}
}

func (r *sectionReader) agent() Agent {
	return Agent{
		LinkListen:      r.listenAddress("link_listen"),
		ReplayBytes:     r.size("replay_size", defaultReplayBytes, minReplayBytes, maxReplayBytes),
		MaxQueue:        r.integer("max_queue", defaultMaxQueue, 1, maxCount),
		ReplayRetention: r.duration("replay_retention", defaultReplayRetention, time.Second, time.Hour),
	}
}

func (r *sectionReader) control() Control {
	c := Control{
		Members:           r.members(),
		Join:              r.boolean("join"),
		OperatorKeySHA256: r.digest("operator_key_sha256"),
	}
	c.DataFolder, _ = r.value("data_folder")
	c.BootstrapFolder, _ = r.value("bootstrap_folder")
	if value, ok := r.value("member_id"); ok {
		id, err := strconv.ParseUint(value, 10, 64)
		if err != nil || id == 0 {
			r.fault("member_id", "%q is not a positive whole number", truncate(value))
		}
		c.MemberID = id
	}
	return c
}

// members returns the members of a list such as
// "1@127.0.0.1:7100, 2@127.0.0.1:7101".
func (r *sectionReader) members() map[uint64]string {
	members := map[uint64]string{}
	idByAddress := map[string]uint64{}
	for _, item := range r.list("members") {
		number, address, ok := strings.Cut(item, "@")
		id, err := strconv.ParseUint(number, 10, 64)
		if !ok || err != nil || id == 0 {
			r.fault("members", "%q does not have the form ID@IP:PORT with a positive id", truncate(item))
			continue
		}
		if !r.checkDialAddress("members", address) {
			continue
		}
		if _, exists := members[id]; exists {
			r.fault("members", "member %d is listed twice", id)
		}
		if other, exists := idByAddress[address]; exists {
			r.fault("members", "members %d and %d have the same address", other, id)
		}
		members[id], idByAddress[address] = address, id
	}
	return members
}

func (r *sectionReader) tls() TLS {
	var t TLS
	t.CallerCert, _ = r.value("caller_cert")
	t.CallerKey, _ = r.value("caller_key")
	t.PeerCert, _ = r.value("peer_cert")
	t.PeerKey, _ = r.value("peer_key")
	t.PeerCA, _ = r.value("peer_ca")
	return t
}

func (r *sectionReader) standin(name string) Standin {
	s := Standin{
		Name:   name,
		Listen: r.listenAddress("listen"),
		Kind: r.oneOf("kind", string(contract.KindGeneration),
			string(contract.KindGeneration), string(contract.KindPlain)),
		TokenInterval: r.duration("token_interval", defaultTokenInterval, 0, time.Minute),
		MemoryBlocks:  r.integer("memory_blocks", defaultMemoryBlocks, 1, 1<<30),
		BlockTokens:   r.integer("block_tokens", defaultBlockTokens, 1, 1<<16),
		MaxBatch:      r.integer("max_batch", defaultMaxBatch, 1, 1<<16),
		ChecksFencing: r.boolean("checks_fencing"),
	}
	if s.Listen == "" && r.values["listen"] == "" {
		r.fault("listen", "a stand-in needs an address to listen on")
	}
	return s
}
