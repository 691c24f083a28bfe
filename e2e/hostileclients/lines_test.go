package hostileclients

import (
	"strings"
	"testing"
)

// lineClients is more than the bound of connections of a listener for clients with the memory of the tests.
const lineClients = 400

// shortLines returns lines of a head as short as possible, each with a name of its own.
func shortLines(size int) string {
	const letters = "abcdefghijklmnopqrstuvwxyz"
	var b strings.Builder
	for i := 0; b.Len()+6 <= size; i++ {
		b.WriteString(string([]byte{letters[i%26], letters[i/26%26], letters[i/676%26]}) + ":\r\n")
	}
	return b.String()
}

// Guards against unfinished heads of many short lines, whose headers take many times their size.
func TestShortHeaderLines(t *testing.T) {
	for _, l := range []struct {
		name  string
		start httpListener
		size  int
	}{
		{"entry callers", entryCallers, 64 << 10}, {"entry operators", entryOperators, 16 << 10},
		{"platform operators", operators, 16 << 10}, {"platform metrics", controlMetrics, 16 << 10},
	} {
		t.Run(l.name, func(t *testing.T) {
			p, target, call := l.start(t, limits{memoryMB: machineMB})
			lines := shortLines(l.size - 1<<10)
			pressCount(t, p, target.Address, lineClients, lineClients+100, call, func(w *rawClient) {
				w.writeString("GET " + target.Path + " HTTP/1.1\r\nHost: x\r\n" + lines)
			})
		})
	}
}
