package netlimit

import (
	"slices"
	"testing"
)

// Guards against a refused connection that is closed before it was answered because another one
// arrived, although connections may exceed the bound by an eighth to be answered, and against those
// that send nothing and keep later ones from an answer.
func TestRefusedConnectionsAreAnswered(t *testing.T) {
	const bound, extra = 16, 2
	c := NewConns(bound)
	var served []*Conn
	for range bound {
		conn, _ := c.Add(func() { t.Error("a connection was ended that is served") })
		conn.Set(Busy)
		served = append(served, conn)
	}
	var closed []int
	var refused []*Conn
	for i := range extra + 1 {
		conn, admission := c.Add(func() { closed = append(closed, i) })
		if refused = append(refused, conn); admission != NoRoom {
			t.Errorf("connection %d beyond the bound: %v, want that it is answered", i, admission)
		}
		if want := max(0, i-extra+1); len(closed) != want {
			t.Errorf("%d of %d refused connections were closed, want %d", len(closed), i+1, want)
		}
	}
	if !slices.Equal(closed, []int{0}) {
		t.Errorf("%v were closed, want the oldest", closed)
	}
	served[0].Remove()
	if _, admission := c.Add(func() {}); admission != Admitted {
		t.Errorf("a connection in the place of one that ended: %v", admission)
	}
	for _, conn := range refused {
		conn.Remove()
	}
	if c.ending != 0 {
		t.Errorf("%d connections count as about to end", c.ending)
	}
}
