// Command review-rig runs the scripts of the second review: the daemons of the deploy file as separate
// processes on loopback addresses, before small stand-ins of the platform, its replicas and its consumers.
//
// Usage: review-rig SCENARIO RECORD, at the root of the repository. The exit code is 1 if the rule was broken,
// 0 if it held, and 2 if the scenario could not run. With TROUBLE=0 the disruption is left out.
package main

import (
	"fmt"
	"os"
	"time"
)

// limit is how long a scenario may take.
const limit = 110 * time.Second

// scenario plays a case. It returns whether the rule was broken, and an error if it could not run.
type scenario func(s *system, trouble bool) (broken bool, err error)

var scenarios = map[string]scenario{}

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-rig SCENARIO RECORD")
		return exitNotRun
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer rec.close()
	s, err := newSystem(rec)
	if err != nil {
		rec.printf("could not run: %v", err)
		return exitNotRun
	}
	defer s.close()
	trouble := os.Getenv("TROUBLE") != "0"
	rec.printf("scenario %s, with the disruption: %v", os.Args[1], trouble)
	type outcome struct {
		broken bool
		err    error
	}
	done := make(chan outcome, 1)
	go func() {
		broken, err := scenarios[os.Args[1]](s, trouble)
		done <- outcome{broken, err}
	}()
	o := outcome{err: fmt.Errorf("not done after %v", limit)}
	select {
	case o = <-done:
	case <-time.After(limit):
	}
	switch {
	case o.err != nil:
		rec.printf("could not run: %v", o.err)
		return exitNotRun
	case o.broken:
		rec.printf("the rule was broken")
		return exitBroken
	}
	rec.printf("the rule held")
	return exitHeld
}
