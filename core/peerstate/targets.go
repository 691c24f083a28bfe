package peerstate

import "strings"

// NotLeaderPrefix begins the error of a control member that does not lead. The
// leader's address follows when it is known.
const NotLeaderPrefix = "not leader"

// ParseLeaderHint reads the error of a member that does not lead.
func ParseLeaderHint(text string) (address string, ok bool) {
	rest, ok := strings.CutPrefix(text, NotLeaderPrefix)
	return strings.TrimSpace(rest), ok
}

// maxHops bounds the hints followed in a row, because during an election two
// members may name each other.
const maxHops = 2

// MemberSelector chooses the control member to ask: the last leader first, then the
// leader that a member names, then all members in turn.
type MemberSelector struct {
	addresses []string
	leader    string
	next      int
	hops      int
}

// NewMemberSelector returns targets that begin at one of the addresses.
func NewMemberSelector(addresses []string, first int) MemberSelector {
	t := MemberSelector{addresses: addresses}
	if len(addresses) > 0 {
		t.next = first % len(addresses)
	}
	return t
}

// Len returns the number of declared addresses.
func (t *MemberSelector) Len() int { return len(t.addresses) }

// Pick returns the address to ask, empty when there is none.
func (t *MemberSelector) Pick() string {
	if t.leader != "" {
		return t.leader
	}
	if len(t.addresses) == 0 {
		return ""
	}
	return t.addresses[t.next]
}

// Succeeded records that an address answered as the leader.
func (t *MemberSelector) Succeeded(address string) { t.leader, t.hops = address, 0 }

// Redirected records that a member named another leader, or none.
func (t *MemberSelector) Redirected(from, to string) {
	if to == "" || to == from || t.hops >= maxHops {
		t.Failed(from)
		return
	}
	t.leader = to
	t.hops++
}

// Failed records that an address gave no useful answer, so that the next one
// is asked.
func (t *MemberSelector) Failed(address string) {
	t.leader, t.hops = "", 0
	if len(t.addresses) == 0 {
		return
	}
	if t.addresses[t.next] == address || !contains(t.addresses, address) {
		t.next = (t.next + 1) % len(t.addresses)
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
