package peerstate

import (
	"sort"
	"time"

	"arbutusmast.example/arbutusmast/core/message"
)

// membership is the daemon's copy of the membership. A reply with a lower
// sequence comes from a control member that lags behind and is ignored.
type membership struct {
	sequence uint64
	byHost   map[string]message.Member
}

func newMembership() membership { return membership{byHost: map[string]message.Member{}} }

func (m *membership) merge(reply *message.HeartbeatReply) {
	if reply.Sequence < m.sequence {
		return
	}
	m.sequence = reply.Sequence
	for _, member := range reply.Members {
		if member.Sequence > m.byHost[member.Host].Sequence {
			m.byHost[member.Host] = member
		}
	}
}

func (m *membership) list() []message.Member {
	out := make([]message.Member, 0, len(m.byHost))
	for _, member := range m.byHost {
		out = append(out, member)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Host < out[j].Host })
	return out
}

// quarantineList is the daemon's copy of the quarantine list. Expiry times are on
// the daemon's own clock.
type quarantineList struct {
	sequence uint64
	byDigest map[string]quarantineEntry
}

// quarantineEntry is the state of a digest. An entry that is not suspect is
// quarantined.
type quarantineEntry struct {
	suspect   bool
	expiresAt time.Duration
}

func newQuarantineList() quarantineList {
	return quarantineList{byDigest: map[string]quarantineEntry{}}
}

func (q *quarantineList) merge(now time.Duration, reply *message.HeartbeatReply) {
	if reply.QuarantineSequence < q.sequence {
		return
	}
	q.sequence = reply.QuarantineSequence
	if reply.QuarantineReset {
		q.byDigest = map[string]quarantineEntry{}
	}
	for _, entry := range reply.Quarantine {
		if entry.For <= 0 {
			delete(q.byDigest, entry.Digest)
			continue
		}
		q.byDigest[entry.Digest] = quarantineEntry{entry.Suspect, now + entry.For}
	}
}

// list returns the entries sorted by digest and deletes expired ones.
func (q *quarantineList) list(now time.Duration) []message.Quarantine {
	var out []message.Quarantine
	for digest, entry := range q.byDigest {
		if entry.expiresAt <= now {
			delete(q.byDigest, digest)
			continue
		}
		out = append(out, message.Quarantine{Digest: digest, Suspect: entry.suspect, For: entry.expiresAt - now})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Digest < out[j].Digest })
	return out
}
