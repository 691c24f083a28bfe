package fleet

import (
	"strconv"
	"testing"

	"arbutusmast.example/arbutusmast/core/consensus"
)

// Guards against a leader that remembers each join for good, and against one that forgets a
// join whose request may be repeated, which would add the member twice.
func TestJoinsOfFormerMembersAreForgotten(t *testing.T) {
	c := &Control{nonces: map[string]consensus.MemberID{}}
	for id := consensus.MemberID(1); id <= 1000; id++ {
		members := []consensus.Member{{ID: id}}
		if id > 1 {
			members = append(members, consensus.Member{ID: id - 1})
		}
		c.rememberJoin(strconv.FormatUint(uint64(id), 10), id, members)
	}
	if len(c.nonces) != 2 || c.nonces["999"] != 999 || c.nonces["1000"] != 1000 {
		t.Errorf("%d joins are remembered, want those of the two members", len(c.nonces))
	}
}
