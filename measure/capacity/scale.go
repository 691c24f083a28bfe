package capacity

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strconv"
	"time"

	"arbutusmast.example/arbutusmast/core/contract"
	"arbutusmast.example/arbutusmast/core/message"
)

// Scale is the size of the system for which costs are derived, and its budgets.
type Scale struct {
	Daemons, BackendServers, Accelerators, Callers, Models    float64
	Regions, FailureDomains                                   float64
	RequestsPerSecond, TokensPerSecond                        float64
	TokensPerSecondPerStream                                  float64
	ChangesPerDay, FailuresPerDay, RestartsPerDay             float64
	ControlMembers                                            float64
	BudgetCorePercent, BudgetBytes, BudgetBytesPerSecond      float64
	BudgetControlHosts, BudgetInForceSeconds, LedgerRetention float64
}

// DesignScale returns the scale of section 2 of the design. The token rate of one
// stream is an assumption: the limit of 59 ms between tokens requires at least
// 17 tokens/s, and 30 tokens/s stays well within it.
func DesignScale() Scale {
	return Scale{
		Daemons: 410, BackendServers: 810, Accelerators: 6500, Callers: 18000, Models: 6, Regions: 2, FailureDomains: 6,
		RequestsPerSecond: 4600, TokensPerSecond: 2.3e6, TokensPerSecondPerStream: streamTokensPerSecond,
		ChangesPerDay: 1200, FailuresPerDay: 19, RestartsPerDay: 260, ControlMembers: 5,
		BudgetCorePercent: 1.3, BudgetBytes: 32e6, BudgetBytesPerSecond: 4e3,
		BudgetControlHosts: 8, BudgetInForceSeconds: 11, LedgerRetention: (24 * time.Hour).Seconds(),
	}
}

// streamTokensPerSecond is the token rate of one stream.
const streamTokensPerSecond = 30

// callerKey returns the bearer key of a caller and the declared SHA-256 digest of
// it.
func callerKey(i int) (key, digest string) {
	key = fmt.Sprintf("key-of-team-%05d", i)
	sum := sha256.Sum256([]byte(key))
	return key, hex.EncodeToString(sum[:])
}

func hostName(i int) string   { return fmt.Sprintf("host-%03d", i) }
func serverName(i int) string { return fmt.Sprintf("server-%03d", i) }
func modelName(i int) string  { return fmt.Sprintf("model-%d", i) }

// sections declares a fleet of the given size. The backend servers are spread
// evenly over the services, each of which has one model.
func sections(callers, hosts, servers, models int) contract.Sections {
	s := contract.Sections{}
	for i := range 6 {
		s[fmt.Sprintf("failure-domain domain-%d", i)] = map[string]string{"region": fmt.Sprintf("region-%d", i%2)}
	}
	for i := range models {
		service := fmt.Sprintf("service-%d", i)
		s["service "+service] = map[string]string{"kind": "generation"}
		s["model "+modelName(i)] = map[string]string{"service": service, "versions": "v1, v2"}
		s[fmt.Sprintf("route route-%d", i)] = map[string]string{
			"service": service, "model": modelName(i), "version": "v1",
		}
	}
	for i := range hosts {
		s["host "+hostName(i)] = map[string]string{"failure_domain": fmt.Sprintf("domain-%d", i%6)}
	}
	for i := range servers {
		s["backend-server "+serverName(i)] = map[string]string{
			"host": hostName(i % hosts), "service": fmt.Sprintf("service-%d", i%models),
			"address": fmt.Sprintf("127.0.0.1:%d", 20000+i), "memory_blocks": strconv.Itoa(engineBlocks),
			"max_batch": "65536",
		}
	}
	for i := range callers {
		_, digest := callerKey(i)
		s[fmt.Sprintf("caller team-%05d", i)] = map[string]string{
			"key_sha256": digest, "weight": "2", "priority": "1", "max_concurrent": "200", "team_class": "standard",
		}
	}
	return s
}

// heartbeatRequest returns the heartbeat of a host with two backend servers.
func heartbeatRequest(i int) message.HeartbeatRequest {
	return message.HeartbeatRequest{
		Header: message.Header{Host: hostName(i), Incarnation: 1785000000000000, Revision: 1200,
			PeerAddress: fmt.Sprintf("10.20.%d.%d:7400", i/250, i%250)},
		Roles:         []string{"agent"},
		FailureDomain: fmt.Sprintf("domain-%d", i%6),
		AgentAddress:  fmt.Sprintf("10.20.%d.%d:7400", i/250, i%250),
		LinkAddress:   fmt.Sprintf("10.20.%d.%d:7401", i/250, i%250),
		ConfigApplied: 1200,
		BackendServers: []message.BackendServerStatus{
			{Name: serverName(2 * i), Healthy: true}, {Name: serverName(2*i + 1), Healthy: true},
		},
	}
}
