package fleet

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"
	"time"

	"arbutusmast.example/arbutusmast/core/message"
)

// Guards against loss of a request's crash record at a change of the leader, and against
// counting one crash twice when several entries report it.
func TestCrashesOutliveTheLeader(t *testing.T) {
	old, next := newServerList("old"), newServerList("next")
	old.setServers(nil, time.Second)
	// The crash of i-1 is reported twice.
	for i, crashed := range []time.Duration{time.Second, time.Second, 2 * time.Second} {
		now := 2*time.Second + time.Duration(i)*time.Millisecond
		old.recordCrashes(&CrashRequest{Crashes: []Crash{{Server: []string{"i-1", "i-1", "i-2"}[i], Digest: "a",
			SentAgo: now - crashed + 30*time.Millisecond, CrashedAgo: now - crashed}}}, now)
	}
	var reply WatchReply
	old.fillReply(&WatchRequest{}, 2*time.Second, &reply)
	if len(reply.Quarantine) != 1 || !reply.Quarantine[0].Suspect {
		t.Fatalf("after two crashes: %+v, want one suspect", reply.Quarantine)
	}
	next.copyFrom(&View{listStamp: reply.List, quarantined: reply.Quarantine, quarantinedAt: 2 * time.Second}, 2*time.Second)
	// The second report comes again, late, to the new leader.
	next.recordCrashes(&CrashRequest{Crashes: []Crash{{Server: "i-2", Digest: "a", SentAgo: 430 * time.Millisecond,
		CrashedAgo: 400 * time.Millisecond}}}, 2500*time.Millisecond)
	reply = WatchReply{}
	next.fillReply(&WatchRequest{}, 2500*time.Millisecond, &reply)
	if len(reply.Quarantine) != 1 || !reply.Quarantine[0].Suspect {
		t.Fatalf("after a repeated report: %+v, want one suspect", reply.Quarantine)
	}
	next.recordCrashes(&CrashRequest{Crashes: []Crash{{Server: "i-3", Digest: "a"}}}, 3*time.Second)
	reply = WatchReply{}
	next.fillReply(&WatchRequest{}, 3*time.Second, &reply)
	if len(reply.Quarantine) != 1 || reply.Quarantine[0].Suspect {
		t.Fatalf("after the third crash: %+v, want it held back", reply.Quarantine)
	}
}

// Guards against a digest that stays suspected after a server completed a request with
// it.
func TestSuccessClearsASuspect(t *testing.T) {
	l := newServerList("b")
	l.setServers(nil, time.Second)
	for i, server := range []string{"i-1", "i-2"} {
		l.recordCrashes(&CrashRequest{Crashes: []Crash{{Server: server, Digest: "a"}}}, time.Duration(i+1)*time.Second)
	}
	if len(l.quarantined) != 1 {
		t.Fatalf("quarantined %+v after two crashes", l.quarantined)
	}
	l.recordCrashes(&CrashRequest{Cleared: []string{"a"}}, 3*time.Second)
	l.recordCrashes(&CrashRequest{Crashes: []Crash{{Server: "i-3", Digest: "a"}}}, 4*time.Second)
	var reply WatchReply
	l.fillReply(&WatchRequest{}, 3*time.Second, &reply)
	if len(reply.Quarantine) != 0 {
		t.Errorf("quarantined %+v after a success", reply.Quarantine)
	}
}

// Guards against a request that crashes servers again and again because these start again
// under the ids that they had (case 3 of the review).
func TestCrashesOfServersThatKeepTheirIDs(t *testing.T) {
	const pause = 3500 * time.Millisecond
	for _, c := range []struct {
		name string
		// crashes are the servers that crash, one list for each time that the request comes.
		crashes [][]string
		// want is the number of times after which the request is held back.
		want int
	}{
		{"one server", [][]string{{"1"}, {"1"}, {"1"}}, 3},
		{"two servers in turn", [][]string{{"1"}, {"2"}, {"1"}}, 3},
		{"three copies at once first", [][]string{{"1", "2", "3"}, {"1"}, {"2"}}, 3},
		{"three copies at once each time", [][]string{{"1", "2", "3"}, {"3", "1", "2"}, {"2", "3", "1"}}, 3},
		{"servers with new ids", [][]string{{"1"}, {"4"}, {"5"}}, 3},
	} {
		l := newServerList("c")
		l.setServers(nil, time.Second)
		for i, servers := range c.crashes {
			now := 10*time.Second + time.Duration(i)*pause
			for _, server := range servers {
				l.recordCrashes(&CrashRequest{Crashes: []Crash{{Server: server, Digest: "a", SentAgo: 90 * time.Millisecond,
					CrashedAgo: 60 * time.Millisecond}}}, now)
			}
			held := slices.ContainsFunc(l.quarantined, func(q message.Quarantine) bool { return !q.Suspect })
			if held != (i+1 >= c.want) {
				t.Errorf("%s: held back after %d times: %v", c.name, i+1, held)
			}
		}
	}
}

// crashReport is a report on its way to the leader.
type crashReport struct {
	request  CrashRequest
	received time.Duration
}

// Guards against the quarantine of a sound request because equal ones are in progress at
// several servers of a failure domain that is lost again and again, while the servers come
// back under their ids and reports come late, repeated and out of order.
func TestLostFailureDomainHoldsNoRequestBack(t *testing.T) {
	const (
		losses, servers, entries = 4, 3, 3
		lossInterval             = 3500 * time.Millisecond
		downTime                 = 2 * time.Second
		workTime                 = 200 * time.Millisecond
	)
	for seed := range int64(200) {
		rng := rand.New(rand.NewSource(seed))
		random := func(limit time.Duration) time.Duration { return time.Duration(rng.Int63n(int64(limit))) }
		var reports []crashReport
		for loss := range losses {
			for server := range servers {
				crashed := time.Duration(loss+1)*lossInterval + random(100*time.Millisecond)
				for range 1 + rng.Intn(2*entries) {
					sent := crashed - random(workTime)
					for try := range 1 + rng.Intn(2) {
						reported := crashed + random(100*time.Millisecond) + time.Duration(try)*crashRetryInterval
						reports = append(reports, crashReport{CrashRequest{Crashes: []Crash{{Server: fmt.Sprint("i-", server),
							Digest: "a", SentAgo: reported - sent, CrashedAgo: reported - crashed}}},
							reported + random(crashReportTimeout)})
					}
				}
			}
			// When servers are back, requests succeed, which is reported if they are suspected.
			reports = append(reports, crashReport{CrashRequest{Cleared: []string{"a"}},
				time.Duration(loss+1)*lossInterval + downTime + random(crashReportTimeout)})
		}
		slices.SortFunc(reports, func(a, b crashReport) int { return int(a.received - b.received) })
		l := newServerList("c")
		l.setServers(nil, time.Second)
		for _, r := range reports {
			l.recordCrashes(&r.request, r.received)
			if slices.ContainsFunc(l.quarantined, func(q message.Quarantine) bool { return !q.Suspect }) {
				t.Fatalf("seed %d: held back %v after the start", seed, r.received)
			}
		}
	}
}
