// Package serverlimit keeps all entries together below the request rate that a
// backend server says it accepts. It does no I/O.
package serverlimit

// Statement is what one response of a backend server says about the rate of
// requests that the server accepts from all entries together. The zero value says
// that there is no limit.
type Statement struct {
	// Limited reports whether the response names a limit.
	Limited bool
	// PerSecond is the limit in requests per second.
	PerSecond float64
	// Malformed is the text of a limit that is not a rate, empty otherwise. Such a
	// response says nothing about the limit.
	Malformed string
}
