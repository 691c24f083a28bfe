package backend

import "testing"

// TestMergeMarksLeavingServers guards against new requests to a server whose
// termination notice was reported before the platform's list shows it.
func TestMergeMarksLeavingServers(t *testing.T) {
	list := List{
		Servers: []Server{{ID: "b", Address: "2"}, {ID: "a", Address: "1"}, {ID: "c", Address: "3", Leaving: true}},
		Reports: map[string]Report{"2": {Address: "2", Leaving: true}, "3": {Address: "3"}},
	}
	got := list.Merge()
	want := []Server{{ID: "a", Address: "1"}, {ID: "b", Address: "2", Leaving: true}, {ID: "c", Address: "3", Leaving: true}}
	for i := range want {
		if got[i] != want[i] {
			t.Errorf("server %d: %+v, want %+v", i, got[i], want[i])
		}
	}
	if list.Servers[0].Leaving {
		t.Error("Merge modified the list")
	}
}
