package capacity

import (
	"bytes"
	"context"
	"encoding/json"
	"math"
	"strings"
	"testing"

	"github.com/pkg/errors"
)

// slopeNames lists the slopes that a run must report.
var slopeNames = []string{
	heartbeatBytes, heartbeatLeaderCPU, heartbeatDaemonCPU, heartbeatMemory, memberChangeBytes, quarantineChangeBytes,
	configSnapshotBytes, configSnapshotEncode, configSnapshotDecode, configDeltaBytes, configValidate, configPutChange,
	configApplyLeader, configCopyMemory, configChangeAllocated, operatorApplyBytes, configLeaderMemory, inForceP50,
	inForceP99, inForceMax, ledgerCallLeaderCPU, ledgerCallBytes, ledgerCallLogBytes, ledgerRecordMemory,
	ledgerSnapshotTime, tokenEntryCPU, tokenAgentCPU, tokenEntryCPUByRate, tokenAgentCPUByRate, tokenLinkBytes,
	tokenCallerBytes, requestEntryCPU, requestAgentCPU, agentIdleCPU, streamEntryMemory, streamAgentMemory,
	replayTokenMemory, linkIdleBytes, linkAgentMemory, burnObjectiveMemory, burnEventCPU, metricEventCPU,
	logCommitsPerSecond, logCommitBytes, logCommitLeaderCPU, logCommitFollowerCPU, logCommitP99,
	logCommitBytesByMembers, logCommitLeaderCPUByMembers,
}

// TestQuickRun guards against a measurement that does not complete or omits a
// slope. It asserts nothing about times.
func TestQuickRun(t *testing.T) {
	var out bytes.Buffer
	if err := Run(context.Background(), &out, Options{JSON: true, Quick: true}); err != nil {
		t.Fatal(err)
	}
	var report Report
	if err := json.Unmarshal(out.Bytes(), &report); err != nil {
		t.Fatal(err)
	}
	found := map[string]Slope{}
	for _, s := range report.Slopes {
		found[s.Name] = s
	}
	for _, name := range slopeNames {
		if len(found[name].Points) < 3 {
			t.Errorf("slope %s has %d points, want at least three sizes", name, len(found[name].Points))
		}
	}
	if report.Machine.Processors == 0 || report.Machine.Go == "" || len(report.Lines) == 0 {
		t.Errorf("incomplete report: machine %+v, %d derived lines", report.Machine, len(report.Lines))
	}
	var text bytes.Buffer
	if err := report.writeText(&text); err != nil {
		t.Fatal(err)
	}
	for _, name := range slopeNames {
		if !bytes.Contains(text.Bytes(), []byte(name)) {
			t.Errorf("text report lacks slope %s", name)
		}
	}
}

// TestAllFailuresAreReturned guards against a run that names only the last of several
// measurements that failed.
func TestAllFailuresAreReturned(t *testing.T) {
	defer func(all []measurement) { measurements = all }(measurements)
	fail := func(*bench) error { return errors.New("no leader") }
	measurements = []measurement{{"first", fail}, {"sound", func(*bench) error { return nil }}, {"last", fail}}
	var out bytes.Buffer
	err := Run(context.Background(), &out, Options{Quick: true})
	for _, want := range []string{"measure first: no leader", "measure last: no leader"} {
		if err == nil || !strings.Contains(err.Error(), want) || !strings.Contains(out.String(), want) {
			t.Errorf("error %v and the report do not both hold %q", err, want)
		}
	}
}

// TestNewSlope guards against a wrong fit, which would make all derived costs wrong.
func TestNewSlope(t *testing.T) {
	tests := []struct {
		name                   string
		points                 []Point
		fixed, perSize, spread float64
	}{
		{"on a line", []Point{{1, 5}, {2, 7}, {10, 23}}, 3, 2, 0},
		{"constant", []Point{{1, 4}, {5, 4}, {9, 4}}, 4, 0, 0},
		{"around a line", []Point{{0, 1}, {1, 1}, {2, 4}}, 0.5, 1.5, math.Sqrt(1.5)},
		{"one size", []Point{{3, 8}, {3, 10}}, 9, 0, 0},
	}
	for _, tt := range tests {
		s := NewSlope(tt.name, "", "", tt.points)
		for quantity, got := range map[string][2]float64{
			"fixed": {s.Fixed, tt.fixed}, "per size": {s.PerSize, tt.perSize}, "spread": {s.Spread, tt.spread},
		} {
			if math.Abs(got[0]-got[1]) > 1e-9 {
				t.Errorf("%s: %s = %g, want %g", tt.name, quantity, got[0], got[1])
			}
		}
	}
}

// TestDerive guards against mistakes in the derived costs, such as wrong units, a
// wrong heartbeat interval or a wrong length of a day.
func TestDerive(t *testing.T) {
	slope := func(name string, fixed, perSize float64) Slope {
		return NewSlope(name, "", "", []Point{{0, fixed}, {1, fixed + perSize}, {2, fixed + 2*perSize}})
	}
	lines := Derive(DesignScale(), []Slope{
		slope(heartbeatBytes, 240, 0), slope(heartbeatLeaderCPU, 100, 0), slope(heartbeatDaemonCPU, 50, 0),
		slope(memberChangeBytes, 0, 120),
		slope(configDeltaBytes, 216, 0), slope(configSnapshotBytes, 0, 160), slope(configValidate, 0, 0.003),
		slope(configPutChange, 0, 0.001),
		slope(configCopyMemory, 0, 1000), slope(ledgerRecordMemory, 0, 1000), slope(ledgerCallLeaderCPU, 300, 0),
		slope(ledgerCallBytes, 900, 0),
		slope(tokenEntryCPU, 20, 0), slope(requestEntryCPU, 0, 1), slope(requestAgentCPU, 100, 1),
		slope(linkIdleBytes, 0, 11), slope(inForceMax, 2, 0),
	})
	want := map[string]float64{
		"heartbeats":                                           120,
		"configuration deltas":                                 3,
		"control traffic":                                      120 + (260*4+19*3)*120/86400.0 + 3 + 279/410.0*160*18000/86400,
		"control processor time":                               50e-6/2*100 + 0.018*1200/86400*100,
		"configuration copy with room for collection":          36e6,
		"last daemon has a change in force":                    2.018,
		"1% not repeatable: records kept":                      46 * 86400,
		"that share of the requests":                           (1 << 20) / 86400.0 / 4600 * 100,
		"links to 34 agents: tokens and requests, all entries": 2.3e6*20e-6 + 4600*810e-6,
		"requests":                                4600 / 405.0 * 100e-6,
		"links to 34 agents: entries":             math.Ceil(2.3e6 / 30 / 4096),
		"links to 34 agents: idle links, payload": 374,
	}
	got := map[string]Line{}
	for _, l := range lines {
		if _, seen := got[l.Item]; !seen {
			got[l.Item] = l
		}
	}
	for item, value := range want {
		if l, ok := got[item]; !ok || math.Abs(l.Value-value) > 1e-6*value {
			t.Errorf("%s = %g (%s), want %g", item, l.Value, l.Formula, value)
		}
	}
	if v := got["configuration copy with room for collection"].verdict(); v != "ABOVE 32,000,000" {
		t.Errorf("verdict of 36 MB with a budget of 32 MB = %q", v)
	}
}
