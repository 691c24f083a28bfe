package consensus

import (
	"strings"
	"testing"
)

// TestSchedulesCatchFaults guards against schedules that are too weak to find
// errors. Each deliberate error must be reported as the expected violation.
func TestSchedulesCatchFaults(t *testing.T) {
	for _, mutant := range []struct {
		name, violation string
		faults          faults
	}{
		{"drop the sync", "without synced votes", faults{dropSync: true}},
		{"count the leader's entry before its sync", "committed without a synced majority", faults{countUnsynced: true}},
		{"learner votes", "committed without a synced majority", faults{learnerVotes: true}},
		{"skip the leadership check of a read", "stale read", faults{skipReadCheck: true}},
		{"skip the log check of a pre-vote", "started an election without support", faults{skipPreVoteLog: true}},
		{"count a removed member", "committed without a synced majority", faults{countRemoved: true}},
		{"read before a commit in the term", "stale read", faults{readBeforeCommit: true}},
		{"count a lost disk", "without synced votes", faults{ignoreDisk: true}},
	} {
		t.Run(mutant.name, func(t *testing.T) {
			t.Parallel()
			var last error
			for seed := int64(1); seed <= 300; seed++ {
				if err := runSchedule(seed, mutant.faults); err != nil {
					last = err
				}
				if last != nil && strings.Contains(last.Error(), mutant.violation) {
					t.Logf("caught by %v", last)
					return
				}
			}
			t.Errorf("not caught in 300 schedules; last other violation: %v", last)
		})
	}
}
