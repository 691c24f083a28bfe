package retry

import "time"

const (
	// GrantTTL is how long a grant may be used after it was asked for.
	GrantTTL = time.Second
	// Of the slack, burstShare may be granted at one moment, spreadShare over a window, and
	// initialShare at once by a new leader. Together they hold for three changes of the
	// leader in a window.
	burstShare, spreadShare, initialShare = 0.25, 0.5, 0.08
	// minGrantDelay is the least delay before an entry may ask again after a denial.
	minGrantDelay = 200 * time.Millisecond
)

// Grants hands the slack of a service's retry budget out to the entries that need it, so
// that the sum holds for any number of entries. A new one, as of a new leader, starts with a
// small part, because it does not know what its predecessor granted. It is not safe for
// concurrent use.
type Grants struct {
	perSecond, burst float64
	tokens           float64
	updatedAt        time.Duration
}

// NewGrants returns the Grants of a slack, which holds for each window, from now on.
func NewGrants(now time.Duration, slack float64, window time.Duration) *Grants {
	// In any window, grants of that window and of one GrantTTL before are used: at most
	// the burst and what is added in that time.
	return &Grants{perSecond: slack * spreadShare / (window + GrantTTL).Seconds(), burst: slack * burstShare,
		tokens: slack * initialShare, updatedAt: now}
}

// Acquire returns how many of n wanted retries are granted. If there are none, it returns
// when to ask again.
func (g *Grants) Acquire(now time.Duration, n int) (granted int, again time.Duration) {
	g.tokens = min(g.burst, g.tokens+(now-g.updatedAt).Seconds()*g.perSecond)
	g.updatedAt = now
	if granted = min(n, int(g.tokens)); granted > 0 {
		g.tokens -= float64(granted)
		return granted, 0
	}
	if g.perSecond <= 0 {
		return 0, time.Minute
	}
	return 0, max(minGrantDelay, time.Duration((1-g.tokens)/g.perSecond*float64(time.Second)))
}
