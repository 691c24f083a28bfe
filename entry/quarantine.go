package entry

import (
	"arbutusmast.example/arbutusmast/core/verdict"
)

// maxCrashes is the number of backend servers that the attempts of one request may
// crash. The quarantine list of the control group lags behind, so the entry also
// counts crashes itself.
const maxCrashes = 2

// crashGuard prevents one request from crashing one backend server after another.
type crashGuard struct {
	fleet   Fleet
	digest  string
	crashes int
}

// checkQuarantine returns an error if the request is quarantined, and otherwise
// reports whether it is suspected of crashing backend servers.
func (c *crashGuard) checkQuarantine() (suspect bool, failure *verdict.Error) {
	q, ok := c.fleet.(QuarantineList)
	if !ok {
		return c.crashes > 0, nil
	}
	remaining, suspect, quarantined := q.Quarantined(c.digest)
	if quarantined {
		return true, verdict.New(verdict.NotRun, verdict.ReasonQuarantined,
			"the request has crashed backend servers and is held back").WithRetryAfter(remaining)
	}
	return suspect || c.crashes > 0, nil
}

// recordFailure counts the failure of an attempt if the backend server crashed. It
// reports whether the request must not be retried.
func (c *crashGuard) recordFailure(failure *verdict.Error) bool {
	if failure.Reason != verdict.ReasonBackendCrashed {
		return false
	}
	c.crashes++
	return c.crashes >= maxCrashes
}
