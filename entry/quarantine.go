package entry

import (
	"arbutusmast.example/arbutusmast/core/verdict"
)

// maxCrashes is the number of backend servers that the attempts of one request
// may crash. The control group's list lags, so the entry counts as well.
const maxCrashes = 2

// crashGuard keeps one request from crashing backend servers one after another.
type crashGuard struct {
	fleet   Fleet
	digest  string
	crashes int
}

// check refuses a digest that is held back, and tells whether it is suspect.
func (c *crashGuard) check() (suspect bool, failure *verdict.Error) {
	q, ok := c.fleet.(QuarantineList)
	if !ok {
		return c.crashes > 0, nil
	}
	until, suspect, held := q.Quarantined(c.digest)
	if held {
		return true, verdict.New(verdict.NotRun, verdict.ReasonQuarantined,
			"the request has crashed backend servers and is held back").WithRetryAfter(until)
	}
	return suspect || c.crashes > 0, nil
}

// crashed counts the failure of an attempt. It reports whether the request must
// not be tried again.
func (c *crashGuard) crashed(failure *verdict.Error) bool {
	if failure.Reason != verdict.ReasonBackendCrashed {
		return false
	}
	c.crashes++
	return c.crashes >= maxCrashes
}
