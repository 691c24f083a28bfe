package wire

import (
	"encoding/binary"
	"net"
	"testing"
	"time"

	"arbutusmast.example/arbutusmast/netlimit"
)

// Guards against a large frame that no longer counts while it is decoded, so that many links together
// hold more than the budget.
func TestFrameCountsUntilItIsDecoded(t *testing.T) {
	const size = 512 << 10
	here, there := net.Pipe()
	defer here.Close()
	defer there.Close()
	budget := netlimit.NewBudget(4 << 20)
	reader := NewFrameReader(here, time.Minute)
	reader.Limit(budget)
	go func() { _, _ = there.Write(append(binary.BigEndian.AppendUint32(nil, size), make([]byte, size)...)) }()
	body, release, err := reader.next()
	if err != nil || len(body) != size {
		t.Fatalf("%d bytes, %v", len(body), err)
	}
	if used := budget.Used(); used < size {
		t.Errorf("%d bytes are counted before a frame of %d is decoded", used, size)
	}
	if release(); budget.Used() != 0 {
		t.Errorf("%d bytes are counted afterwards", budget.Used())
	}
}
