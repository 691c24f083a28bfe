package peerstate

import "strings"

// NotLeaderPrefix is the prefix of the error from a control member that is not
// the leader. The leader's address follows if it is known.
const NotLeaderPrefix = "not leader"

// ParseLeaderHint extracts the leader's address, which may be empty, from an error
// text. ok is false if the text is not that of a member that is not the leader.
func ParseLeaderHint(text string) (address string, ok bool) {
	rest, ok := strings.CutPrefix(text, NotLeaderPrefix)
	return strings.TrimSpace(rest), ok
}

// maxRedirects limits the leader hints followed in a row, because two members may
// name each other during an election.
const maxRedirects = 2

// MemberSelector selects the control member to call: the last known leader, then
// the leader that another member names, then all members in turn.
type MemberSelector struct {
	addresses []string
	leader    string
	nextIndex int
	redirects int
}

// NewMemberSelector returns a selector that starts at addresses[first], modulo
// the number of addresses.
func NewMemberSelector(addresses []string, first int) MemberSelector {
	s := MemberSelector{addresses: addresses}
	if len(addresses) > 0 {
		s.nextIndex = first % len(addresses)
	}
	return s
}

// Len returns the number of configured addresses.
func (s *MemberSelector) Len() int { return len(s.addresses) }

// Pick returns the address to call, or "" if there is none.
func (s *MemberSelector) Pick() string {
	if s.leader != "" {
		return s.leader
	}
	if len(s.addresses) == 0 {
		return ""
	}
	return s.addresses[s.nextIndex]
}

// Succeeded records that an address replied as the leader.
func (s *MemberSelector) Succeeded(address string) { s.leader, s.redirects = address, 0 }

// Redirected records that the member at from named the leader at to, which is
// empty if it knows none.
func (s *MemberSelector) Redirected(from, to string) {
	if to == "" || to == from || s.redirects >= maxRedirects {
		s.Failed(from)
		return
	}
	s.leader = to
	s.redirects++
}

// Failed records that a call to an address failed, so that the next address is
// selected.
func (s *MemberSelector) Failed(address string) {
	s.leader, s.redirects = "", 0
	if len(s.addresses) == 0 {
		return
	}
	if s.addresses[s.nextIndex] == address || !contains(s.addresses, address) {
		s.nextIndex = (s.nextIndex + 1) % len(s.addresses)
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
