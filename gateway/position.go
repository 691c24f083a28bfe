package gateway

import (
	"strconv"
	"strings"
)

// streamPosition is the place up to which the caller has a stream. Every request for the rest of the stream starts
// there.
type streamPosition struct {
	// lastEventID holds the header values that name the last event that the caller has: those of its request until
	// an event with an id is forwarded. It is empty if the caller has no event.
	lastEventID []string
	// events is the number of events that were forwarded.
	events int
	// numbered is set if the request of the caller names the number of an event.
	numbered bool
}

// newStreamPosition returns the position of a caller whose request names the last event that it has.
func newStreamPosition(lastEventID []string) streamPosition {
	p := streamPosition{lastEventID: lastEventID}
	_, p.numbered = p.number()
	return p
}

// number returns the last event id if it is a number.
func (p *streamPosition) number() (int, bool) {
	if len(p.lastEventID) != 1 {
		return 0, false
	}
	n, err := strconv.ParseUint(p.lastEventID[0], 10, 31)
	return int(n), err == nil
}

// callerEvents returns the number of events that the caller had before its request, 0 if unknown. Ids that are numbers are
// taken for the numbers of events.
func (p *streamPosition) callerEvents() int {
	last, ok := p.number()
	if !ok || !p.numbered {
		return 0
	}
	return max(0, last-p.events)
}

// advance moves the position behind complete events.
func (p *streamPosition) advance(events []byte) {
	for event := range strings.SplitSeq(string(events), string(eventDelimiter)) {
		if event == "" {
			continue
		}
		p.events++
		for line := range strings.SplitSeq(event, "\n") {
			id, ok := strings.CutPrefix(line, "id:")
			if id = strings.TrimSpace(id); ok && id != "" {
				p.lastEventID = []string{id}
			}
		}
	}
}

// String returns the last event id for logs.
func (p *streamPosition) String() string { return strings.Join(p.lastEventID, ", ") }
