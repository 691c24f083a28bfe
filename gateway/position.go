package gateway

import "strings"

// streamPosition is the place up to which the caller has a stream. Every request for the rest of the stream starts
// there.
type streamPosition struct {
	// lastEventID holds the header values that name the last event that the caller has: those of its request until
	// an event with an id is forwarded. It is empty if the caller has no event.
	lastEventID []string
	// events is the number of events that were forwarded.
	events int
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
