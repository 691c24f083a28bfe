// Command cases plays the cases of the review. It starts the project's own programs as
// processes, with stand-ins of the platform, the replicas and the consumers around them.
package main

import (
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	held = iota
	broken
	couldNotRun
)

// cases are the cases by name. A case reports whether the rule was broken.
var cases = map[string]func(p *platform, trouble bool) (bool, error){
	"poison": playPoison, "query": playPoisonQuery, "firststart": playFirstStart, "invalid": playInvalid, "stop": playStop, "memory": playMemory,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Println("usage: cases NAME TROUBLE, where TROUBLE is 0 for no disruption")
		os.Exit(couldNotRun)
	}
	os.Exit(play(os.Args[1], os.Args[2] != "0"))
}

// play runs one case in the current folder and returns the exit code.
func play(name string, trouble bool) int {
	record, err := newRecorder()
	if err != nil {
		fmt.Println(err)
		return couldNotRun
	}
	p, err := newPlatform(record)
	if err != nil {
		record.say("could not run: %v", err)
		return couldNotRun
	}
	defer p.stop()
	wasBroken, err := cases[name](p, trouble)
	switch {
	case err != nil:
		record.say("could not run: %v", err)
		return couldNotRun
	case wasBroken:
		record.say("BROKEN")
		return broken
	}
	record.say("held")
	return held
}
