package hostileclients

import (
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"net/http"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"arbutusmast.example/arbutusmast/platform"
)

// ordinaryTimeout only ends a call that hangs.
const ordinaryTimeout = 5 * time.Second

// ordinaryCall sends one request on a connection of its own and checks the status.
func ordinaryCall(method, url, body string, status int, headers ...string) error {
	ctx, cancel := context.WithTimeout(context.Background(), ordinaryTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return err
	}
	for i := 0; i+1 < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	// Callers' certificates are of an authority that only the test knows.
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true,
		TLSClientConfig: &tls.Config{InsecureSkipVerify: true}}}
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	if response.StatusCode != status {
		return fmt.Errorf("%s: %.200s", response.Status, text)
	}
	return nil
}

// platformMember is one daemon on the platform.
type platformMember struct {
	*process
	operators, ready, metrics, peers string
}

const platformSettings = `
[daemon]
host = %[1]s
role = %[1]s
ip = %[2]s
failure_domain = z
first_port = %[3]d
seeds = %[2]s:1
first_start = true
data_folder = %[4]s
drain_seconds = 4
[failure_domains]
z = r
[listen]
callers = %[2]s:%[5]d
ready = %[2]s:%[6]d
operators = %[2]s:%[7]d
[platform]
list = 127.0.0.1:1
[limits]
memory_mb = %[8]d
[retries]
ratio = 0.2
slack = 58
window_seconds = 10
`

// desiredState is a valid desired state.
const desiredState = `{"version":%d,"routes":[
 {"name":"u","hostname":"f.example","path-prefix":"/u/","kind":"unsafe","timeout-ms":5000,"service":"llm","max-attempts":1}],
 "services":[{"name":"llm","engine":{"slots":24,"kv-capacity-tokens":30000,"kv-bytes":1000,"link-mbps":24000,"moves":true,"hold-ms":500}}],
 "tenants":[{"name":"t1","api-keys":["k1"]}]}`

// startPlatform starts a daemon of a role on a machine with the given memory. A control member is
// a group by itself.
func startPlatform(t *testing.T, role string, l limits) *platformMember {
	t.Helper()
	const ip, ports, entryMetrics, controlMetrics = "127.0.2.1", 30, 10, 11
	folder, first := t.TempDir(), freePorts(t, ip, ports)
	path := writeFile(t, folder, "boot.ini", fmt.Sprintf(platformSettings, role, ip, first, filepath.Join(folder, "data"),
		first+20, first+21, first+22, l.memoryMB))
	address := func(offset int) string { return fmt.Sprintf("%s:%d", ip, first+offset) }
	metrics := controlMetrics
	if role == "entry" {
		metrics = entryMetrics
	}
	// The daemon takes the limit of the Go runtime from memory_mb.
	m := &platformMember{process: startProcess(t, folder, role, limits{descriptors: l.descriptors},
		[]string{"ARBUTUSMAST_BOOT=" + path}, "-platform"),
		operators: address(22), ready: address(21), metrics: address(metrics), peers: address(0)}
	if role == "control" {
		eventually(t, "the member accepts a desired state", func() error { return m.publish(1, 0) })
	} else {
		eventually(t, "the metrics are served", func() error {
			return ordinaryCall("GET", "http://"+m.metrics+"/metrics", "", http.StatusOK)
		})
	}
	return m
}

// publish publishes a desired state of a version, padded to a size.
func (m *platformMember) publish(version, bytes int) error {
	text := fmt.Sprintf(desiredState, version)
	text += strings.Repeat(" ", max(0, bytes-len(text)))
	return ordinaryCall("POST", "http://"+m.operators+platform.PutStatePath, text, http.StatusOK)
}

const declaration = `
[failure-domain pinecrest]
region = great-lakes
[host a1]
failure_domain = pinecrest
[service book-desk]
kind = plain
[caller demo]
key_sha256 = c48a01f49fd0f2cc404bc3cbbc80e91457a3d41bb429a695243de4c61794155c
[backend-server desk-1]
host = a1
service = book-desk
address = %s
`

const operatorKeySHA = "ed4f0b24c45258342c1851760d29b3f5eafedafde021ae3bad6af8aa7466ae3e" // SHA-256 of "quickstart"

// iniCluster is a control member, an agent with its backend server, and an entry.
type iniCluster struct {
	control, agent, entry                         *process
	controlPeers, agentPeers, links, callers, ops string
	scheme                                        string
}

const daemonSettings = `
[daemon]
host = %s
failure_domain = pinecrest
roles = %s
drain_timeout = 5s
%s`

// startINI starts a cluster whose processes have limits. The caller and peer listeners use TLS if
// tlsSettings, a section of the settings, is not empty.
func startINI(t *testing.T, l limits, tlsSettings string) *iniCluster {
	t.Helper()
	c := &iniCluster{controlPeers: freeAddress(t), agentPeers: freeAddress(t), links: freeAddress(t),
		callers: freeAddress(t), ops: freeAddress(t), scheme: "http"}
	if tlsSettings != "" {
		c.scheme = "https"
	}
	folder, desk := t.TempDir(), freeAddress(t)
	writeFile(t, folder, "config.d/10.ini", fmt.Sprintf(declaration, desk))
	start := func(name, roles, extra string, l limits) *process {
		path := writeFile(t, folder, name+".ini", fmt.Sprintf(daemonSettings, name, roles, extra))
		return startProcess(t, folder, name, l, nil, "-config", path)
	}
	c.control = start("c1", "control", fmt.Sprintf(
		"peer_listen = %s\n[control]\ndata_folder = %s\nmember_id = 1\nmembers = 1@%s\nbootstrap_folder = %s\noperator_key_sha256 = %s\n%s",
		c.controlPeers, filepath.Join(folder, "data"), c.controlPeers, filepath.Join(folder, "config.d"), operatorKeySHA, tlsSettings), l)
	start("s1", "standin", fmt.Sprintf("[standin desk-1]\nkind = plain\nlisten = %s\n", desk), limits{})
	c.agent = start("a1", "agent", fmt.Sprintf("peer_listen = %s\ncontrol_addresses = %s\n[agent]\nlink_listen = %s\n%s",
		c.agentPeers, c.controlPeers, c.links, tlsSettings), l)
	c.entry = start("e1", "entry", fmt.Sprintf(
		"peer_listen = %s\nops_listen = %s\ncontrol_addresses = %s\n[entry]\nlisten = %s\nmax_body_size = 4MiB\n%s",
		freeAddress(t), c.ops, c.controlPeers, c.callers, tlsSettings), l)
	eventually(t, "the entry serves", c.call)
	return c
}

// call sends an ordinary call through the entry and the agent.
func (c *iniCluster) call() error {
	return ordinaryCall("POST", c.scheme+"://"+c.callers+"/services/book-desk/swaps", "data", http.StatusOK,
		"Authorization", "Bearer demo-key")
}

// status asks the control member for its status on a new connection.
func (c *iniCluster) status(t *testing.T) error {
	cmd := exec.CommandContext(t.Context(), ctlBinary, "status", "-control", c.controlPeers)
	cmd.Env = append(cmd.Environ(), "ARBUTUSMAST_OPERATOR_KEY=quickstart")
	if out, err := cmd.CombinedOutput(); err != nil {
		return fmt.Errorf("status: %w: %s", err, out)
	}
	return nil
}
